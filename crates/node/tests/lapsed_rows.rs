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
    /// Starts a node that has read the row of the endpoint. Times count from then.
    fn ready() -> Self {
        let mut node = Self {
            platform: Platform::new(([127, 0, 0, 1], 1).into()),
            tables: Tables::new(Journal::disabled()),
            start: Instant::now(),
            offset: 0,
        };
        node.read(true);
        node
    }

    /// Starts a node that has read the row of the endpoint, and whose reads then fail for
    /// [`OUTAGE`], each after `failure_time`. Times count from the first read that succeeds again.
    async fn after_outage(failure_time: Duration) -> Self {
        let mut node = Self::ready();
        node.start += OUTAGE;
        let start = node.start;
        let retry_interval = failure_time + RETRY_PAUSE;
        let failures = OUTAGE.as_millis() / retry_interval.as_millis();
        for failure in (1..=failures as u32).rev() {
            let began = start - retry_interval * failure;
            sleep_until(began + failure_time).await;
            node.tables.record_read_failure(began);
        }
        node.wait_until(Duration::ZERO).await;
        node
    }

    /// Waits until `at` after the start.
    async fn wait_until(&self, at: Duration) {
        sleep_until(self.start + at).await;
    }

    /// Reads the endpoint's row, or its removal.
    fn read(&mut self, exists: bool) {
        self.tables.record_read();
        self.apply(exists, "store");
    }

    /// Applies the removal of the endpoint's row from the copy of a peer, which is no read of the
    /// store by this node.
    fn copy_removal(&mut self) {
        self.apply(false, "peer");
    }

    /// Applies the endpoint's row, or its removal.
    fn apply(&mut self, exists: bool, source: &'static str) {
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
        self.tables
            .apply(&self.platform, Table::Endpoints, page, source);
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
            self.wait_until(now).await;
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

    /// Does the periodic work from `from` on and returns when the endpoint was dropped.
    async fn dropped_at(&mut self, from: Duration) -> Duration {
        let mut now = from;
        while now < GIVE_UP {
            self.wait_until(now).await;
            self.tables.expire(Instant::now());
            if !self.uses_endpoint() {
                return now;
            }
            now += STEP_INTERVAL;
        }
        GIVE_UP
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

// Guards against a live endpoint that is dropped early by a node that copies the table from a
// reader: the reader notices the store's return while the node's own read still waits for an answer.
#[tokio::test(start_paused = true)]
async fn a_read_in_flight_at_the_return_of_the_store_counts_as_failed() {
    let mut node = Node::ready();
    node.wait_until(ms(4700)).await;
    node.tables.record_read_failure(node.start + ms(4000));
    // The next read began at 5 s. The store returns at 5.5 s, and a reader's copy arrives.
    node.wait_until(ms(5600)).await;
    node.tables.record_read();
    node.copy_removal();
    node.wait_until(ms(5700)).await;
    node.tables.record_read_failure(node.start + ms(5000));
    node.wait_until(ms(5950)).await;
    node.tables.record_read();
    let dropped = node.dropped_at(ms(6000)).await;
    assert!(dropped >= ms(5500) + REWRITE_TIME, "dropped at {dropped:?}");
}

// Guards against a removal that a node copies from a peer after the store's return and before its
// own next read: the window counts from the last failed read there too.
#[tokio::test(start_paused = true)]
async fn a_removal_copied_before_the_next_read_is_kept_no_longer() {
    let mut node = Node::ready();
    // The store returns just after this read began.
    node.wait_until(ms(5700)).await;
    node.tables.record_read_failure(node.start + ms(5000));
    node.wait_until(ms(5950)).await;
    node.copy_removal();
    node.wait_until(ms(6050)).await;
    node.tables.record_read();
    let dropped = node.dropped_at(ms(6100)).await;
    assert!(
        dropped <= ms(5000) + SETTLING_TIME,
        "dropped at {dropped:?}"
    );
}

// Guards against a live endpoint that is dropped at the end of a second outage, because its time to
// write its row again ran out during that outage.
#[tokio::test(start_paused = true)]
async fn a_second_outage_gives_endpoints_their_time_again() {
    let mut node = Node::ready();
    node.wait_until(ms(5000)).await;
    node.tables.record_read_failure(node.start + ms(5000));
    node.wait_until(ms(5300)).await;
    node.read(false);
    for failure in 0..20 {
        let began = ms(5600) + RETRY_PAUSE * failure;
        node.wait_until(began).await;
        node.tables.record_read_failure(node.start + began);
    }
    // The last failed read began at 11.3 s.
    node.wait_until(ms(11_600)).await;
    node.tables.record_read();
    let dropped = node.dropped_at(ms(11_600)).await;
    assert!(
        dropped >= ms(11_300) + REWRITE_TIME,
        "dropped at {dropped:?}"
    );
}
