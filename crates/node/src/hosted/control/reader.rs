//! Task that follows one table of the store.

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

/// How long the store may hold a read of the operator's table until there is a change (long
/// polling). Each read is paid for, which favours a long wait; a longer one would delay the
/// detection of a store that does not answer.
const OPERATOR_LONG_POLL: Duration = Duration::from_millis(1500);
/// Pause between two reads of the endpoints' table, which changes constantly. An endpoint that
/// leaves must get no new work after two seconds, and a read itself may take most of a second.
const ENDPOINTS_READ_PAUSE: Duration = Duration::from_millis(800);
/// Pause between two reads of the operator's table, so that changes in quick succession share one
/// read.
const OPERATOR_READ_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed read, before it is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads a table and then its changes for as long as `reads` is true. Returns when the input queue
/// is closed.
pub async fn follow(
    platform: Arc<Platform>,
    table: Table,
    inputs: InputSender,
    mut enabled: watch::Receiver<bool>,
    metrics: Metrics,
) {
    let mut from: Option<Offset> = None;
    loop {
        if enabled.wait_for(|enabled| *enabled).await.is_err() {
            return;
        }
        let started = Instant::now();
        let result = read(&platform, table, from).await;
        metrics.record_store_read(label(table), result.is_ok(), started.elapsed());
        let (input, pause) = match result {
            Ok(Some(page)) => {
                from = Some(page.next_offset);
                (Some(Input::Read(table, page)), pause(table))
            }
            Ok(None) => {
                from = None;
                (None, Duration::ZERO)
            }
            Err(error) => (
                Some(Input::ReadFailed(table, started, error.to_string())),
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

/// Reads the changes of a table from the offset `from` on, or the whole table if there is no
/// offset. Returns `None` if the store has discarded those changes, or was restored from a copy; the
/// whole table must be read then.
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
        Changes::Compacted | Changes::Restored => None,
    })
}

fn pause(table: Table) -> Duration {
    match table {
        Table::Operator => OPERATOR_READ_PAUSE,
        Table::Endpoints => ENDPOINTS_READ_PAUSE,
    }
}

/// Returns the label of a table in logs and metrics.
pub fn label(table: Table) -> &'static str {
    match table {
        Table::Operator => "operator",
        Table::Endpoints => "endpoints",
    }
}
