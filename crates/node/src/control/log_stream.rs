//! Appends to and reads from a stream of the log, for claims and leases.

use bytes::Bytes;
use lease::{Page, Record};
use platform::Log;
use platform::http::Log as Client;
use std::time::Duration;

/// Maximum time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The record was appended.
    Done,
    /// The record may have been appended.
    Unsure,
    /// The record was not appended.
    Failed,
}

/// Appends a record to `stream`.
pub async fn append(log: &Client, stream: &str, body: Bytes) -> Append {
    match log.append(stream, body).await {
        Ok(_) => Append::Done,
        Err(error) if error.unsure() => Append::Unsure,
        Err(_) => Append::Failed,
    }
}

/// Reads `stream` from an offset. With `wait`, the read waits up to 2 s for a new record. Returns
/// `None` if the read failed.
pub async fn read(log: &Client, stream: &str, from: u64, wait: bool) -> Option<Page> {
    let wait = if wait { READ_WAIT } else { Duration::ZERO };
    log.read(stream, from, wait).await.ok().map(to_page)
}

/// Converts a page to the form that claims and leases use.
fn to_page(page: platform::Page) -> Page {
    let records = page.records.into_iter().map(|r| Record {
        offset: r.offset,
        body: r.body,
    });
    Page {
        first: page.first,
        next: page.next,
        records: records.collect(),
    }
}
