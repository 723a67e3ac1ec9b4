//! Interface of the log service, which stores append-only streams of records.

use crate::error::Result;
use bytes::Bytes;
use std::time::Duration;

/// Position of a record in its stream. The first record of a stream has offset 0.
pub type Offset = u64;

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Body that was appended.
    pub body: Bytes,
}

/// Consecutive records of a stream, as the result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// First offset that the stream still holds. Records below it were removed by retention. If the
    /// stream holds no records, this is the offset of the next append.
    pub first: Offset,
    /// Offset at which to continue reading: one past the last returned record. If no record is
    /// returned and none was removed, this is the requested offset.
    pub next: Offset,
    /// Records in order of their offsets.
    pub records: Vec<Record>,
}

impl Page {
    /// Returns whether records at or after `from` were removed by retention before they were read.
    pub fn has_gap(&self, from: Offset) -> bool {
        self.first > from
    }
}

/// A client of the log service.
pub trait Log {
    /// Appends `body` to `stream` and returns the offset of the record.
    ///
    /// After an error, [`crate::Error::unsure`] states whether the append may have taken effect.
    fn append(&self, stream: &str, body: Bytes) -> impl Future<Output = Result<Offset>> + Send;

    /// Reads `stream` starting at offset `from`. Waits up to `wait` if there are no records yet.
    ///
    /// A stream without appends is empty; reading it is not an error.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page>> + Send;
}
