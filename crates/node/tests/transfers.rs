//! Transfers of tables from a reader whose responses are late, lost or refused.

use adapter::store::Table;
use catalog::source::{MAX_TABLE_BYTES, Page, Record, Table as Copy};
use node::hosted::control::assignment::Assignment;
use node::hosted::control::copy::{Request, Response};
use node::hosted::control::pulls::{Action, PULL_INTERVAL, Pulls};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const ROWS: Request = Request::Changes(Table::Endpoints);
const CATALOG: Request = Request::Changes(Table::Operator);
const KEYS: Request = Request::Keys(Table::Operator);
const PEERS_PER_COPY: usize = 2;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn reader() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

fn one_reader() -> Assignment {
    let mut assignment = Assignment::default();
    assignment.readers.push(reader());
    assignment
}

/// Returns the chunk of all keys that begins at an offset, of a table of two rows in two chunks.
fn chunk(from: u64) -> Response {
    let record = Record {
        key: format!("row-{from}"),
        value: Some(b"1".as_slice().into()),
        offset: from,
    };
    Response {
        page: Page {
            records: vec![record],
            next_offset: 2,
            complete: true,
        },
        up_to_date: true,
        more: from == 0,
    }
}

/// Handles a chunk as control does. Returns the offset of the next chunk to request.
fn handle(pulls: &mut Pulls, copy: &mut Copy, request: Request, from: u64) -> Option<u64> {
    pulls.finish(request, reader(), true);
    match pulls.handle_chunk(reader(), request, chunk(from)) {
        Action::Apply(page) | Action::ApplyAndContinue(page) => {
            copy.apply(page);
            None
        }
        Action::FetchKeys(next) => Some(next),
        Action::Discard => None,
    }
}

/// Starts a transfer of all keys of the operator's table whose second chunk is overdue.
fn overdue_transfer(pulls: &mut Pulls, copy: &mut Copy) -> Instant {
    let start = Instant::now();
    assert!(pulls.begin(start, CATALOG, reader(), 1));
    assert_eq!(handle(pulls, copy, CATALOG, 0), Some(1));
    assert!(pulls.begin(start, KEYS, reader(), PEERS_PER_COPY));
    start + ms(1600)
}

fn keys(copy: &Copy) -> Vec<&str> {
    copy.iter().map(|(key, _)| key).collect()
}

// Guards against rows that disappear: chunks of two transfers from one reader are joined, or the
// last one is taken for the whole table.
#[test]
fn a_late_chunk_of_an_overdue_transfer_removes_no_rows() {
    let (mut pulls, mut copy) = (Pulls::default(), Copy::default());
    let later = overdue_transfer(&mut pulls, &mut copy);
    assert!(pulls.begin(later, CATALOG, reader(), 1));
    assert_eq!(handle(&mut pulls, &mut copy, CATALOG, 0), None);
    handle(&mut pulls, &mut copy, KEYS, 1);
    assert_eq!(keys(&copy), ["row-0", "row-1"]);
    handle(&mut pulls, &mut copy, KEYS, 1);
    assert_eq!(keys(&copy), ["row-0", "row-1"]);
}

// Guards against rows that are missing: a request times out, and a late chunk of its transfer is
// taken for the whole table.
#[test]
fn a_chunk_after_the_timeout_of_its_transfer_removes_no_rows() {
    let (mut pulls, mut copy) = (Pulls::default(), Copy::default());
    let mut full = chunk(0).page;
    full.records.extend(chunk(1).page.records);
    copy.apply(full);
    overdue_transfer(&mut pulls, &mut copy);
    pulls.finish(KEYS, reader(), false);
    handle(&mut pulls, &mut copy, KEYS, 1);
    assert_eq!(keys(&copy), ["row-0", "row-1"]);
}

// Guards against a transfer that never ends because a chunk of an earlier one is left over.
#[test]
fn a_transfer_starts_anew_after_the_timeout_of_another() {
    let (mut pulls, mut copy) = (Pulls::default(), Copy::default());
    let later = overdue_transfer(&mut pulls, &mut copy);
    pulls.finish(KEYS, reader(), false);
    assert!(pulls.begin(later, CATALOG, reader(), 1));
    assert_eq!(handle(&mut pulls, &mut copy, CATALOG, 0), Some(1));
    assert!(pulls.begin(later, KEYS, reader(), PEERS_PER_COPY));
    assert_eq!(handle(&mut pulls, &mut copy, KEYS, 1), None);
    assert_eq!(keys(&copy), ["row-0", "row-1"]);
}

// Guards against a second transfer of the endpoints' table from a reader that has not answered the
// first one yet, and against one that waits for it although another reader is there.
#[test]
fn an_overdue_request_for_rows_is_repeated_at_another_reader() {
    let (mut pulls, start) = (Pulls::default(), Instant::now());
    assert!(pulls.begin(start, ROWS, reader(), 1));
    let later = start + ms(1600);
    let mut assignment = one_reader();
    let due = pulls.due(later, &assignment);
    assert!(!due.contains(&(ROWS, reader())), "{due:?}");
    let other: SocketAddr = ([10, 0, 0, 2], 80).into();
    assignment.readers.push(other);
    let due = pulls.due(later + PULL_INTERVAL, &assignment);
    assert!(due.contains(&(ROWS, other)), "{due:?}");
}

// Guards against a pull before its time when a request that is no longer in flight fails once more.
#[test]
fn the_failure_of_an_ended_request_causes_no_pull() {
    let (mut pulls, start) = (Pulls::default(), Instant::now());
    assert!(!pulls.due(start, &one_reader()).is_empty());
    pulls.finish(ROWS, reader(), true);
    pulls.finish(ROWS, reader(), false);
    let due = pulls.due(start + ms(100), &one_reader());
    assert!(due.is_empty(), "{due:?}");
}

// Guards against requests at the rate of control's steps while the only reader refuses them at
// once, for instance because its process has ended.
#[test]
fn refused_requests_are_not_repeated_faster_than_pulls() {
    let (mut pulls, start) = (Pulls::default(), Instant::now());
    let mut requests = 0;
    for step in 0..20 {
        let now = start + ms(100) * step;
        for (request, peer) in pulls.due(now, &one_reader()) {
            requests += usize::from(request == ROWS);
            pulls.finish(request, peer, false);
            pulls.mark_failed(now, peer);
        }
    }
    let pulls_in_time = (ms(2000).as_millis() / PULL_INTERVAL.as_millis()) as usize + 1;
    assert!(requests <= pulls_in_time, "{requests} requests in 2 s");
}

// Guards against a peer whose table has no end, and that is asked for more until the memory is used up.
#[test]
fn a_transfer_without_end_is_given_up() {
    let mut pulls = Pulls::default();
    let now = Instant::now();
    assert!(pulls.begin(now, CATALOG, reader(), 1));
    let mut request = CATALOG;
    let mut received = 0;
    for number in 0.. {
        let record = Record {
            key: format!("row-{number:09}"),
            value: Some(vec![b'x'; 64 << 10].into()),
            offset: number,
        };
        received += record.cost();
        assert!(received < 2 * MAX_TABLE_BYTES, "the transfer goes on");
        let page = Page {
            records: vec![record],
            next_offset: 1 << 30,
            complete: true,
        };
        let response = Response {
            page,
            up_to_date: true,
            more: true,
        };
        pulls.finish(request, reader(), true);
        match pulls.handle_chunk(reader(), request, response) {
            Action::FetchKeys(_) => {
                request = KEYS;
                assert!(pulls.begin(now, KEYS, reader(), PEERS_PER_COPY));
            }
            action => {
                assert_eq!(action, Action::Discard);
                return;
            }
        }
    }
}
