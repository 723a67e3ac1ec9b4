//! Follows one table of the store.

use super::input::{Input, InputSender};
use adapter::Platform;
use adapter::store::{Changes, Table};
use catalog::source::{Offset, Page};
use gate::metrics::Metrics;
use platform::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the store may hold a read of the operator's table back. Long, since each read is
/// paid for; not so long that a silent store is noticed late.
const OPERATOR_LONG_POLL: Duration = Duration::from_millis(1500);
/// Pause between two reads of the endpoints' table, which changes all the time. A leaving
/// endpoint must get no new work after two seconds, a read may take most of another.
const ENDPOINTS_READ_PAUSE: Duration = Duration::from_millis(800);
/// Pause between two reads of the operator's table, so that quick changes share a read.
const OPERATOR_READ_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads a table and its changes while `reads` holds, until the inputs are closed.
pub async fn follow(
    platform: Arc<Platform>,
    table: Table,
    inputs: InputSender,
    mut reads: watch::Receiver<bool>,
    metrics: Metrics,
) {
    let mut from: Option<Offset> = None;
    loop {
        if reads.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        let started = Instant::now();
        let result = read(&platform, table, from).await;
        metrics.record_store_read(label(table), result.is_ok(), started.elapsed());
        let (input, pause) = match result {
            Ok(Some(page)) => {
                from = Some(page.next_offset);
                (Some(Input::Page(table, page)), pause(table))
            }
            Ok(None) => {
                from = None;
                (None, Duration::ZERO)
            }
            Err(error) => (
                Some(Input::ReadFailed(table, error.to_string())),
                RETRY_PAUSE,
            ),
        };
        if let Some(input) = input
            && inputs.send(input).await.is_err()
        {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// The whole table, or its changes from an offset on; nothing if these are lost.
async fn read(platform: &Platform, table: Table, from: Option<Offset>) -> Result<Option<Page>> {
    let store = platform.store();
    let Some(from) = from else {
        return store.read_all(table).await.map(Some);
    };
    let wait = match table {
        Table::Operator => OPERATOR_LONG_POLL,
        Table::Endpoints => Duration::ZERO,
    };
    Ok(match store.read_changes(table, from, wait).await? {
        Changes::Page(page) => Some(page),
        Changes::Compacted => None,
    })
}

fn pause(table: Table) -> Duration {
    match table {
        Table::Operator => OPERATOR_READ_PAUSE,
        Table::Endpoints => ENDPOINTS_READ_PAUSE,
    }
}

/// The word for a table in logs and metrics.
pub fn label(table: Table) -> &'static str {
    match table {
        Table::Operator => "operator",
        Table::Endpoints => "endpoints",
    }
}
