//! Rows of endpoints that are removed around an outage of the store, in virtual time.

use adapter::Platform;
use adapter::store::Table;
use catalog::source::{Offset, Page, Record};
use journal::Journal;
use node::hosted::control::tables::Tables;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Interval of control's periodic work.
const STEP_INTERVAL: Duration = ms(100);
/// Pause between two reads of the endpoints' table.
const READ_INTERVAL: Duration = ms(800);
/// Pause before a failed read is retried.
const RETRY_PAUSE: Duration = ms(300);
/// Time until a read fails that the store refuses, and one that it does not answer.
const READ_FAILURE_TIMES: [Duration; 2] = [ms(0), ms(700)];
/// Time within which an endpoint that leaves must get no more requests.
const LEAVING_DEADLINE: Duration = Duration::from_secs(2);
/// Time after an outage of the store from which that deadline holds.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time after an outage of the store within which live endpoints rewrite their rows.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(7);
/// Time until a node stops following an endpoint.
const GIVE_UP: Duration = Duration::from_secs(20);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A node that reads the store, and the changes that are written to it.
struct Node {
    platform: Platform,
    tables: Tables,
    start: Instant,
    offset: Offset,
}

impl Node {
    /// Starts a node that has read the row of the endpoint, and whose reads then fail for
    /// [`OUTAGE`], each after `failure_time`. Times count from the first read that succeeds again.
    async fn after_outage(failure_time: Duration) -> Self {
        let start = Instant::now() + OUTAGE;
        let mut node = Self {
            platform: Platform::new(([127, 0, 0, 1], 1).into()),
            tables: Tables::new(Journal::disabled()),
            start,
            offset: 0,
        };
        node.read(true);
        let retry_interval = failure_time + RETRY_PAUSE;
        let failures = OUTAGE.as_millis() / retry_interval.as_millis();
        for failure in (1..=failures as u32).rev() {
            let began = start - retry_interval * failure;
            sleep_until(began + failure_time).await;
            node.tables.record_read_failure(began);
        }
        sleep_until(start).await;
        node
    }

    /// Reads the endpoint's row, or its removal.
    fn read(&mut self, exists: bool) {
        let row = r#"{"service":"app","address":"127.0.0.1:9","zone":"a","state":"ready"}"#;
        let record = Record {
            key: "e".to_owned(),
            value: exists.then(|| row.as_bytes().into()),
            offset: self.offset,
        };
        self.offset += 1;
        let page = Page {
            records: vec![record],
            next_offset: self.offset,
            complete: false,
        };
        self.tables.record_read();
        self.tables
            .apply(&self.platform, Table::Endpoints, page, "store");
    }

    fn uses_endpoint(&self) -> bool {
        self.tables.endpoints().count() > 0
    }

    /// Reads the store while the endpoint's row is removed at `removed` and, if `rewritten` is
    /// given, written again then. Returns when the node first stopped using the endpoint, if it
    /// did.
    async fn follow(&mut self, removed: Duration, rewritten: Option<Duration>) -> Option<Duration> {
        let exists = |at: Duration| at < removed || rewritten.is_some_and(|back| at >= back);
        let mut existed = true;
        for step in 0..(GIVE_UP.as_millis() / STEP_INTERVAL.as_millis()) as u32 {
            let now = STEP_INTERVAL * step;
            sleep_until(self.start + now).await;
            if now.as_millis().is_multiple_of(READ_INTERVAL.as_millis()) {
                let exists = exists(now);
                match exists == existed {
                    true => self.tables.record_read(),
                    false => self.read(exists),
                }
                existed = exists;
            }
            self.tables.expire(Instant::now());
            if !self.uses_endpoint() {
                return Some(now);
            }
        }
        None
    }
}

// Guards against an endpoint that leaves shortly after an outage of the store and still gets
// requests seconds later, since its row counts as one that expired during the outage.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_leaves_after_an_outage_is_dropped_in_time() {
    for failure_time in READ_FAILURE_TIMES {
        // The store may have been back since just after the last failed read began.
        let outage_end = failure_time + RETRY_PAUSE;
        for removed in (1..=60).map(|step| STEP_INTERVAL * step) {
            let mut node = Node::after_outage(failure_time).await;
            let dropped = node.follow(removed, None).await.expect("is dropped");
            let deadline = (SETTLING_TIME - outage_end).max(removed + LEAVING_DEADLINE);
            assert!(
                dropped <= deadline,
                "removed at {removed:?}, dropped at {dropped:?}, deadline {deadline:?}"
            );
        }
    }
}

// Guards against a live endpoint that is dropped because its row expired while the store was down.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_rewrites_its_row_after_an_outage_stays_in_use() {
    for removed in (0..10).map(|n| STEP_INTERVAL * n) {
        let mut node = Node::after_outage(READ_FAILURE_TIMES[0]).await;
        let dropped = node.follow(removed, Some(REWRITE_TIME)).await;
        assert_eq!(dropped, None, "removed at {removed:?}");
    }
}
