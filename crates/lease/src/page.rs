//! Pages of records read from a stream of the log service.

use crate::Offset;
use bytes::Bytes;

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Appended bytes.
    pub body: Bytes,
}

/// Consecutive records of a stream. Whoever builds a page must have checked that its offsets have
/// no gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// First offset that the stream still retains.
    pub first: Offset,
    /// Offset after the last record of the page, or `max(first, requested offset)` if the page is
    /// empty.
    pub next: Offset,
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
}
