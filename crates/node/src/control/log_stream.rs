//! Appends to and reads of a stream of the log, as the decisions on claims and leases ask for them.

use bytes::Bytes;
use lease::{Page, Record};
use platform::Log;
use platform::http::Log as Client;
use std::time::Duration;

/// How long a read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// It took effect.
    Done,
    /// It may have taken effect.
    Unsure,
    /// It had no effect.
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

/// Reads `stream` from an offset, if it can be read; with `wait` until there is a record, for a while.
pub async fn read(log: &Client, stream: &str, from: u64, wait: bool) -> Option<Page> {
    let wait = if wait { READ_WAIT } else { Duration::ZERO };
    log.read(stream, from, wait).await.ok().map(to_page)
}

/// A page as the decisions read it.
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
