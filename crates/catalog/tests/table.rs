//! Local copies of a table: applying pages, and pages for a peer.

use catalog::source::{Page, Record, Table};

fn record(key: &str, value: Option<&str>, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|v| v.as_bytes().into()),
        offset,
    }
}

fn page(records: Vec<Record>, next_offset: u64, complete: bool) -> Page {
    Page {
        records,
        next_offset,
        complete,
    }
}

fn keys(table: &Table) -> Vec<&str> {
    table.iter().map(|(key, _)| key).collect()
}

#[test]
fn a_later_record_replaces_an_earlier_one() {
    let mut table = Table::default();
    let records = vec![record("a", Some("1"), 0), record("b", Some("1"), 1)];
    assert_eq!(table.apply(page(records, 2, true)), ["a", "b"]);
    let records = vec![record("a", Some("2"), 2), record("b", None, 3)];
    assert_eq!(table.apply(page(records, 4, false)), ["a", "b"]);
    assert_eq!(keys(&table), ["a"]);
    assert_eq!(table.get("a").map(|v| v.to_vec()), Some(b"2".to_vec()));
}

// Guards against a removed endpoint that reappears: a node that can't reach the store requests a
// peer's copy, and the peer's copy is behind its own. The copy with the higher offset must stay.
#[test]
fn an_older_page_has_no_effect() {
    let mut table = Table::default();
    table.apply(page(vec![record("a", None, 7)], 8, false));
    let older = page(vec![record("a", Some("1"), 3)], 5, false);
    assert_eq!(table.apply(older), Vec::<String>::new());
    assert_eq!(table.next_offset(), 8);
    // A record in a newer page is ignored, too, if it is older than the known record of its key.
    let newer = page(
        vec![record("a", Some("1"), 3), record("c", Some("1"), 8)],
        9,
        false,
    );
    assert_eq!(table.apply(newer), ["c"]);
    assert_eq!(keys(&table), ["c"]);
}

// Guards against keys that are never removed: the store compacts its log while a node is away, so
// the node reads all keys again. Keys that are missing from the page were removed meanwhile.
#[test]
fn a_complete_page_removes_keys_that_it_lacks() {
    let mut table = Table::default();
    let records = vec![record("a", Some("1"), 0), record("b", Some("1"), 1)];
    table.apply(page(records, 2, true));
    let changed = table.apply(page(vec![record("b", Some("1"), 1)], 9, true));
    assert_eq!(changed, ["a"]);
    assert_eq!(keys(&table), ["b"]);
}

#[test]
fn changes_for_a_peer_include_removals() {
    let mut table = Table::default();
    let records = vec![record("a", Some("1"), 0), record("b", Some("1"), 1)];
    table.apply(page(records, 2, true));
    table.apply(page(vec![record("a", None, 2)], 3, false));
    let mut peer = Table::default();
    let records = vec![record("a", Some("1"), 0), record("b", Some("1"), 1)];
    peer.apply(page(records, 2, true));
    assert_eq!(peer.apply(table.since(peer.next_offset())), ["a"]);
    assert_eq!(keys(&peer), ["b"]);
}

// Guards against requests to an endpoint that no longer exists: a node takes changes from a peer
// that started after the endpoint's row was removed. The peer read only the keys that existed then
// and has no record of the removal, so it must send all keys rather than changes.
#[test]
fn a_copy_without_earlier_removals_sends_all_keys() {
    let mut table = Table::default();
    let records = vec![record("a", Some("1"), 0), record("b", Some("1"), 1)];
    table.apply(page(records, 2, true));
    let mut later_copy = Table::default();
    // "a" was removed at offset 2, and no record of it is left.
    later_copy.apply(page(vec![record("b", Some("1"), 1)], 3, true));
    assert_eq!(table.apply(later_copy.since(table.next_offset())), ["a"]);
    assert_eq!(keys(&table), ["b"]);
    // Changes are sufficient from here on.
    later_copy.apply(page(vec![record("c", Some("1"), 3)], 4, false));
    let changes = later_copy.since(table.next_offset());
    assert_eq!((changes.complete, changes.records.len()), (false, 1));
    assert_eq!(table.apply(changes), ["c"]);
    assert_eq!(keys(&table), ["b", "c"]);
}
