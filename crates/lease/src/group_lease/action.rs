//! Actions that a lease table returns for the node to execute.

use crate::Offset;
use crate::group_lease::{Batch, Fence, Group};
use bytes::Bytes;

/// An action of a lease table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the stream of leases.
    Append {
        /// Number to pass back in the event that reports the result.
        batch: Batch,
        /// Encoded record.
        body: Bytes,
    },
    /// Read the stream of leases.
    Read {
        /// Offset of the first record to read.
        from: Offset,
        /// Whether to wait for the next record if there is none yet.
        wait: bool,
    },
    /// This node has acquired the lease of the group, with this fencing number.
    Gained(Group, Fence),
    /// This node no longer holds the lease of the group.
    Lost(Group),
}
