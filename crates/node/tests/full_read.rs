//! Full reads of a table of the store, page by page.

#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::Platform;
use adapter::store::Table;
use standin::store::{PAGE_ROWS, Store};

// Guards against a full read that fails at each key which a query can't carry as it is, or reads rows
// twice: a node that starts then never gets ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_read_goes_on_after_any_key() {
    let odd = [
        " ", "\"", "%", "%41", "&part=1", "#x", "+", "\n", "\u{1}", "\u{438}", "/?=", "\\",
    ];
    for odd in odd {
        let store = Store::start().await;
        let pages = 3;
        let last = |page: usize| page * PAGE_ROWS - 1;
        let key = |number: usize| match (1..=pages).any(|page| number == last(page)) {
            true => format!("{number:05}{odd}"),
            false => format!("{number:05}"),
        };
        let keys: Vec<String> = (0..last(pages) + 10).map(key).collect();
        for key in &keys {
            store.put_registration(key, "row");
        }
        let platform = Platform::new(store.addr);
        let page = platform.store().read_all(Table::Endpoints).await;
        let page = page.unwrap_or_else(|e| panic!("{odd:?}: {e}"));
        let read: Vec<&str> = page.records.iter().map(|r| r.key.as_str()).collect();
        assert_eq!(read, keys, "{odd:?}");
    }
}
