//! Verdicts of the fold on records.

use crate::bundle::Bundle;
use crate::delta::Mismatch;
use crate::finding::Findings;
use crate::id::Number;
use crate::record;

use crate::signed::SignatureError;
use std::fmt;
use std::sync::Arc;

/// Verdict of the fold on a record.
#[derive(Debug)]
pub enum Verdict {
    /// The version is now the head of the log; it may already be in force, received from a peer.
    Accepted(Arc<Bundle>),
    /// The version does not follow the head: another child of its parent came first in the log, or
    /// its parent was never the head.
    Lost {
        /// Head at the time of the verdict; `None` if there was none.
        head: Option<Arc<Bundle>>,
    },
    /// The record is a copy of a version that was accepted before.
    Repeated,
    /// The record is invalid, on every node alike.
    Refused(Reason),
    /// The record can't be judged because of a gap in the records read.
    Unjudged,
    /// A state from a checkpoint or a peer is now in use.
    Adopted(Arc<Bundle>),
    /// The checkpoint agrees with the fold.
    Agreed,
    /// The record or state is older than the known state and changed nothing.
    Stale,
    /// The record was skipped, since reading continues from an earlier offset.
    Skipped,
}

/// Reason why a record is refused.
#[derive(Debug)]
pub enum Reason {
    /// The record can't be decoded.
    Record(record::Error),
    /// The signature is not by a trusted key.
    Signature(SignatureError),
    /// The delta can't be applied to the parent.
    Delta(Mismatch),
    /// The digest of the resulting sections differs from the signed one.
    Digest,
    /// The bundle has this many sections, more than [`crate::sections::MAX_SECTIONS`].
    TooManySections(usize),
    /// The verifier found errors in the bundle.
    Bundle(Findings),
    /// The checkpoint claims to cover records after its own offset.
    FutureOffset,
    /// A checkpoint's version was never the head of the log, or a peer's head differs from the
    /// known version with the same number.
    Conflict(Number),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(e) => write!(f, "{e}"),
            Self::Signature(e) => write!(f, "{e}"),
            Self::Delta(e) => write!(f, "delta {e}"),
            Self::Digest => f.write_str("digest of the result differs from the signed digest"),
            Self::TooManySections(len) => {
                write!(f, "{len} sections exceed the maximum")
            }
            Self::Bundle(findings) => write!(f, "{findings}"),
            Self::FutureOffset => {
                f.write_str("checkpoint claims to cover records after its own offset")
            }
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
