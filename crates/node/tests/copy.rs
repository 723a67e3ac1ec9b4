//! Changes of a table between nodes.

use catalog::source::{Page, Record};
use node::hosted::control::copy::{Copy, decode, encode};

// A peer gives all keys in place of changes, and whoever takes them must know that: what they do
// not name is gone.
#[test]
fn a_copy_arrives_as_it_was_given() {
    let record = |key: &str, value: Option<&[u8]>, offset| Record {
        key: key.to_owned(),
        value: value.map(Into::into),
        offset,
    };
    for whole in [true, false] {
        let records = vec![record("a", Some(b"1"), 3), record("b", None, 4)];
        let copy = Copy {
            page: Page {
                records,
                next: 5,
                whole,
            },
            fresh: true,
        };
        assert_eq!(decode(&encode(&copy).unwrap()).unwrap(), copy);
    }
}
