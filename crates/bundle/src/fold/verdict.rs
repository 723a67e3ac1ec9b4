//! What the fold says to a record.

use crate::bundle::Bundle;
use crate::delta::Mismatch;
use crate::finding::Findings;
use crate::id::Number;
use crate::record;
use crate::signed::SignatureError;
use std::fmt;
use std::sync::Arc;

/// The fold's verdict on a record.
#[derive(Debug)]
pub enum Verdict {
    /// A version that is now the head of the log (it may be in force already, from a peer).
    Accepted(Arc<Bundle>),
    /// A version that was sound for another head; another child of its parent came first, or
    /// the parent never was the head.
    Lost {
        /// The head when it came.
        head: Option<Arc<Bundle>>,
    },
    /// A copy of a version that was accepted before.
    Repeated,
    /// A record that doesn't count, on any node.
    Refused(Reason),
    /// A record that can't be judged for a gap in what was read.
    Unjudged,
    /// A state from a checkpoint or a peer that is used now.
    Adopted(Arc<Bundle>),
    /// A checkpoint that agrees with what was folded.
    Agreed,
    /// A record or state that is older than what is known; it changed nothing.
    Stale,
    /// A record that was passed over, since reading goes on from an earlier offset.
    Skipped,
}

/// Why a record doesn't count.
#[derive(Debug)]
pub enum Reason {
    /// It can't be read.
    Record(record::Error),
    /// The signer isn't trusted.
    Signature(SignatureError),
    /// The delta doesn't fit the parent.
    Delta(Mismatch),
    /// The result doesn't have the digest that was signed.
    Digest,
    /// So many sections that it is over the bound.
    TooManySections(usize),
    /// The bundle is wrong.
    Bundle(Findings),
    /// A checkpoint that accounts for records after itself.
    FutureOffset,
    /// A checkpoint with a version that the log didn't come to, or a peer's head that isn't the
    /// one known under its number.
    Conflict(Number),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(e) => write!(f, "{e}"),
            Self::Signature(e) => write!(f, "{e}"),
            Self::Delta(e) => write!(f, "delta {e}"),
            Self::Digest => f.write_str("result doesn't have the digest that was signed"),
            Self::TooManySections(len) => write!(f, "{len} sections are too many"),
            Self::Bundle(findings) => write!(f, "{findings}"),
            Self::FutureOffset => f.write_str("checkpoint accounts for records after itself"),
            Self::Conflict(number) => {
                write!(f, "another version {number} is known")
            }
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(bundle) => {
                write!(
                    f,
                    "accepted: version {} by {}",
                    bundle.number, bundle.signer
                )
            }
            Self::Lost { head: Some(head) } => {
                write!(
                    f,
                    "lost: the head is version {} by {}",
                    head.number, head.signer
                )
            }
            Self::Lost { head: None } => f.write_str("lost: there is no head yet"),
            Self::Repeated => f.write_str("repeated"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Unjudged => f.write_str("unjudged"),
            Self::Adopted(bundle) => write!(f, "adopted: version {}", bundle.number),
            Self::Agreed => f.write_str("agreed"),
            Self::Stale => f.write_str("old"),
            Self::Skipped => f.write_str("unread"),
        }
    }
}
