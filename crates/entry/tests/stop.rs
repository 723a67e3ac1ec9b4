//! Stop sequences that span several tokens.

use entry::api::stop::Filter;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the text that is released for `tokens`, and whether a stop sequence was found.
fn cut(stops: &[&str], tokens: &[&str]) -> (String, bool) {
    let mut filter = Filter::new(stops.iter().map(|s| (*s).to_owned()).collect());
    let mut released: String = tokens.iter().map(|t| filter.push(t)).collect();
    released.push_str(&filter.finish());
    (released, filter.done())
}

#[test]
fn cuts_where_a_sequence_begins() {
    assert_eq!(cut(&[], &["a", "b"]), ("ab".to_owned(), false));
    assert_eq!(
        cut(&["\n\n"], &["a", "\n", "\n", "b"]),
        ("a".to_owned(), true)
    );
    assert_eq!(
        cut(&["END"], &["theE", "N", "Dmore"]),
        ("the".to_owned(), true)
    );
    assert_eq!(
        cut(&["END"], &["theE", "N", "d"]),
        ("theENd".to_owned(), false)
    );
    assert_eq!(cut(&["END"], &["the E"]), ("the E".to_owned(), false));
    assert_eq!(cut(&["aab"], &["a", "a", "a", "b"]), ("a".to_owned(), true));
}

#[test]
fn text_that_begins_no_sequence_is_released_at_once() {
    let mut filter = Filter::new(vec!["END".to_owned()]);
    assert_eq!(filter.push("some E"), "some ");
    assert_eq!(filter.push("x"), "Ex");
}

#[test]
fn multibyte_characters_are_not_split() {
    assert_eq!(
        cut(&["ö!"], &["sch", "ö", "n ö", "!"]),
        ("schön ".to_owned(), true)
    );
    assert_eq!(cut(&["é"], &["e", "è", "ê"]), ("eèê".to_owned(), false));
    assert_eq!(cut(&["日本"], &["日", "日", "本"]), ("日".to_owned(), true));
}

// The same text gives the same answer however it is split into tokens, because the stop sequence
// that ends first ends the answer.
#[test]
fn answer_does_not_depend_on_token_boundaries() {
    const LETTERS: [char; 4] = ['a', 'b', 'c', 'ö'];
    for seed in 0..2000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut random_text = |max_len: usize| -> String {
            let length = rng.random_range(1..=max_len);
            (0..length)
                .map(|_| LETTERS[rng.random_range(0..LETTERS.len())])
                .collect()
        };
        let stops = [random_text(3), random_text(4)];
        let stops: Vec<&str> = stops.iter().map(String::as_str).collect();
        let pieces: Vec<String> = (0..8).map(|_| random_text(4)).collect();
        let text = pieces.concat();
        let pieces: Vec<&str> = pieces.iter().map(String::as_str).collect();
        let letters: Vec<String> = text.chars().map(String::from).collect();
        let letters: Vec<&str> = letters.iter().map(String::as_str).collect();
        let whole = cut(&stops, &[&text]);
        assert_eq!(
            cut(&stops, &pieces),
            whole,
            "seed {seed}: {stops:?} in {pieces:?}"
        );
        assert_eq!(
            cut(&stops, &letters),
            whole,
            "seed {seed}: {stops:?} in {text}"
        );
        assert!(stops.iter().all(|s| !whole.0.contains(s)), "seed {seed}");
    }
}
