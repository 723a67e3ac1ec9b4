//! Actions that a claim table returns for the node to execute.

use crate::claim::{Batch, Hash, Shard};
use crate::{Offset, Outcome, Owner, RequestId};
use bytes::Bytes;
use std::fmt;

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The log service did not settle the claim by the deadline, or too many claims are queued.
    Unsettled,
    /// The key was used with another request body.
    Mismatch,
    /// The key is so old that the stream may have dropped an earlier claim of it.
    Expired,
    /// The key's date is ahead of this node's clock.
    Future,
    /// This node did not issue the ticket.
    Unissued,
}

impl Refusal {
    /// HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Unsettled => 503,
            Self::Mismatch => 422,
            Self::Expired => 409,
            Self::Future | Self::Unissued => 400,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsettled => "the log service did not settle the claim in time",
            Self::Mismatch => "the key was used with another request body",
            Self::Expired => "the key is too old to tell whether it has run",
            Self::Future => "the key is dated in the future",
            Self::Unissued => "this node did not issue the ticket",
        })
    }
}

/// An action of a claim table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to a shard's stream.
    Append {
        /// Number to pass back in the event that reports the result.
        batch: Batch,
        /// The shard.
        shard: Shard,
        /// Encoded record.
        body: Bytes,
    },
    /// Read a shard's stream.
    Read {
        /// The shard.
        shard: Shard,
        /// Offset of the first record to read.
        from: Offset,
        /// Whether to wait for the next record if there is none yet.
        wait: bool,
    },
    /// Run the request. The node reports the end with [`crate::claim::Event::Ended`].
    Run {
        /// The request.
        request: RequestId,
        /// Hash of its key.
        hash: Hash,
    },
    /// Send the request the answer of another request with the same key that runs on this node.
    Join {
        /// The request.
        request: RequestId,
        /// The request that runs.
        running: RequestId,
    },
    /// Send the request the answer of a run that ended on this node.
    Answer {
        /// The request.
        request: RequestId,
        /// Outcome of the run.
        outcome: Outcome,
        /// Request whose answer is cached, or `None` if the answer was dropped.
        source: Option<RequestId>,
    },
    /// Another node owns the key. Forward the request to that node at most once, or name the node
    /// to the caller. If that incarnation is dead, the outcome is the recorded one, or else
    /// unknown.
    Redirect {
        /// The request.
        request: RequestId,
        /// Owner of the key.
        owner: Owner,
        /// Outcome that the owner recorded, if any.
        outcome: Option<Outcome>,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        reason: Refusal,
        /// Outcome to report to the caller for this key with this body. It is [`Outcome::NotRun`]
        /// only if no other node can have run an earlier attempt of the request, which a refusal by
        /// this node does not imply.
        outcome: Outcome,
    },
    /// Drop the cached answer of this request.
    DropAnswer(RequestId),
}
