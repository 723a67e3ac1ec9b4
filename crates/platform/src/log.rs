//! The log service: append-only streams with offsets.

use crate::error::Result;
use bytes::Bytes;
use std::time::Duration;

/// Place of a record in its stream. The first record of a stream has offset 0.
pub type Offset = u64;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream.
    pub offset: Offset,
    /// What was appended.
    pub body: Bytes,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The first offset that the stream still holds; all below it is gone. When the stream holds
    /// nothing it equals the offset that the next append gets.
    pub first: Offset,
    /// Where to read on: one past the last record given, or the offset asked for when none is
    /// given and none was trimmed.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl Page {
    /// Whether a reader that asked from `from` has lost records to retention.
    pub fn has_gap(&self, from: Offset) -> bool {
        self.first > from
    }
}

/// A client of the log service.
pub trait Log {
    /// Appends `body` to `stream` and gives its offset.
    ///
    /// After an error, [`crate::Error::unsure`] says whether the append may have taken effect.
    fn append(&self, stream: &str, body: Bytes) -> impl Future<Output = Result<Offset>> + Send;

    /// Reads `stream` from an offset on, waiting up to `wait` when nothing is there yet.
    ///
    /// A stream that was never appended to is empty.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page>> + Send;
}
