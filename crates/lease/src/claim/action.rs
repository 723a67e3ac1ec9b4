//! What a claim table asks its node to do.

use crate::claim::{Batch, Hash, Shard};
use crate::{Offset, Outcome, Owner, RequestId};
use bytes::Bytes;
use std::fmt;

/// Refusal a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The log did not settle the claim by the deadline.
    Unsettled,
    /// The key stands for another body.
    Mismatch,
    /// The key is so old that a claim of it could have been dropped.
    Expired,
    /// The key's date is ahead of this node's clock.
    Future,
    /// This node has not issued the ticket.
    Unissued,
}

impl Refusal {
    /// HTTP status for the caller.
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
            Self::Mismatch => "the key stands for another request body",
            Self::Expired => "the key is too old to tell whether it has run",
            Self::Future => "the key is dated in the future",
            Self::Unissued => "the ticket was not issued",
        })
    }
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append to a shard's stream.
    Append {
        /// Number to answer with.
        batch: Batch,
        /// The shard.
        shard: Shard,
        /// The record.
        body: Bytes,
    },
    /// Read a shard's stream.
    Read {
        /// The shard.
        shard: Shard,
        /// Where to start.
        from: Offset,
        /// Whether to wait for the next record when there is none.
        wait: bool,
    },
    /// Run the request under its key; the node answers with [`crate::claim::Event::Ended`].
    Run {
        /// The request.
        request: RequestId,
        /// Its key.
        hash: Hash,
    },
    /// Give the request the answer of another one that runs on this node.
    Join {
        /// The request.
        request: RequestId,
        /// The one that runs.
        running: RequestId,
    },
    /// Give the request the answer of a run that ended on this node.
    Answer {
        /// The request.
        request: RequestId,
        /// How the run ended.
        outcome: Outcome,
        /// The request whose answer is kept; `None` when it is kept no longer.
        source: Option<RequestId>,
    },
    /// The key is another node's. Hand the request to that node once, or name it to the caller.
    /// When that incarnation is dead, the outcome is the noted one, or unknown.
    Redirect {
        /// The request.
        request: RequestId,
        /// Who owns the key.
        owner: Owner,
        /// How the owner noted that it ended.
        outcome: Option<Outcome>,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Refusal.
        reason: Refusal,
        /// What the caller may be told of the key, with this body. A refusal by this node does not
        /// mean that no other node ran an earlier send: it is [`Outcome::NotRun`] only where that
        /// can't be.
        outcome: Outcome,
    },
    /// Drop the kept answer of this request.
    DropAnswer(RequestId),
}
