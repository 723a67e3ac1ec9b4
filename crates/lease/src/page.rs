//! A part of a stream of the log, as read.

use crate::Offset;
use bytes::Bytes;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream.
    pub offset: Offset,
    /// What was appended.
    pub body: Bytes,
}

/// Consecutive records; the reader of the page has checked that it has no hole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The first offset that the stream still holds.
    pub first: Offset,
    /// One past the last record given, or `max(first, offset asked for)`.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<Record>,
}
