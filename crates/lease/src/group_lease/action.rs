//! What a lease table asks its node to do.

use crate::Offset;
use crate::group_lease::{Batch, Fence, Group};
use bytes::Bytes;

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append to the stream.
    Append {
        /// Number to answer with.
        batch: Batch,
        /// The record.
        body: Bytes,
    },
    /// Read the stream.
    Read {
        /// Where to start.
        from: Offset,
        /// Whether to wait for the next record when there is none.
        wait: bool,
    },
    /// This node holds the group now.
    Gained(Group, Fence),
    /// This node no longer holds the group.
    Lost(Group),
}
