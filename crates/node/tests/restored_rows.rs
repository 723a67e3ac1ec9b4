//! Tables of a store that was restored from an older copy, in virtual time.

use adapter::Platform;
use adapter::store::Table;
use catalog::endpoint::State;
use catalog::source::{Era, Page, Record, offset};
use journal::Journal;
use node::hosted::control::tables::Tables;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after the store's return within which live endpoints write their rows again.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Time from which an endpoint whose row was not written again gets no more requests.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// A node that follows both tables.
struct Node {
    platform: Platform,
    tables: Tables,
}

impl Node {
    fn start() -> Self {
        Self {
            platform: Platform::new(([127, 0, 0, 1], 1).into()),
            tables: Tables::new(Journal::disabled()),
        }
    }

    /// Applies a page of rows, each with its key, its number and its state; `None` removes it.
    fn apply(&mut self, era: Era, end: u64, complete: bool, rows: &[(&str, u64, Option<&str>)]) {
        let records = rows.iter().map(|(key, number, state)| Record {
            key: (*key).to_owned(),
            value: state.map(|state| row(state).into_bytes().into()),
            offset: offset(era, *number).unwrap(),
        });
        let page = Page {
            records: records.collect(),
            next_offset: offset(era, end).unwrap(),
            complete,
        };
        self.tables
            .apply(&self.platform, Table::Endpoints, page, "store");
    }

    /// Returns the state of an endpoint; `None` if it is gone.
    fn state(&self, key: &str) -> Option<State> {
        let mut endpoints = self.tables.endpoints();
        endpoints.find(|e| e.run.id == key).map(|e| e.state)
    }
}

fn row(state: &str) -> String {
    format!(r#"{{"service":"app","address":"127.0.0.1:9","zone":"a","state":"{state}"}}"#)
}

// Guards against endpoints that are dropped since the copy lacks their rows, and against one that is
// kept though it does not write its row again.
#[tokio::test(start_paused = true)]
async fn rows_that_the_copy_lacks_have_time_to_be_written_again() {
    let mut node = Node::start();
    let rows = [("old", 0, Some("ready")), ("new", 1, Some("ready"))];
    node.apply(1, 2, true, &rows);
    sleep(Duration::from_secs(60)).await;
    node.apply(2, 1, true, &rows[..1]);
    sleep(REWRITE_TIME).await;
    node.tables.expire(Instant::now());
    assert_eq!(node.state("new"), Some(State::Ready));
    sleep(SETTLING_TIME - REWRITE_TIME).await;
    node.tables.expire(Instant::now());
    assert_eq!(node.state("new"), None);
    assert_eq!(node.state("old"), Some(State::Ready));
}

// Guards against requests to an endpoint that said that it leaves, or is gone, and is ready by the
// copy's row; its next own row counts again.
#[tokio::test(start_paused = true)]
async fn a_copy_does_not_undo_that_an_endpoint_left() {
    let mut node = Node::start();
    let rows = [("a", 0, Some("ready")), ("b", 1, Some("ready"))];
    node.apply(1, 2, true, &rows);
    node.apply(1, 3, false, &[("a", 2, Some("draining"))]);
    node.apply(1, 4, false, &[("b", 3, None)]);
    assert_eq!(node.state("b"), None);
    node.apply(2, 2, true, &rows);
    assert_eq!(node.state("a"), Some(State::Draining));
    assert_eq!(node.state("b"), Some(State::Draining));
    node.apply(2, 3, false, &[("b", 2, Some("ready"))]);
    assert_eq!(node.state("b"), Some(State::Ready));
}

// Guards against a late answer, or the copy of a peer, from before the restore.
#[tokio::test(start_paused = true)]
async fn a_page_of_an_earlier_era_has_no_effect() {
    let mut node = Node::start();
    node.apply(2, 5, true, &[("a", 4, Some("draining"))]);
    node.apply(1, 90, true, &[("a", 80, Some("ready"))]);
    node.apply(1, 91, false, &[("b", 90, Some("ready"))]);
    assert_eq!(node.state("a"), Some(State::Draining));
    assert_eq!(node.state("b"), None);
    node.apply(3, 1, true, &[("b", 0, Some("ready"))]);
    assert_eq!(node.state("b"), Some(State::Ready));
}
