//! Counters of the fold.

use super::verdict::{Reason, Verdict};
use crate::signed::SignatureError;

/// Counts of verdicts, gaps and conflicts since the fold was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Versions accepted from the log.
    pub accepted: u64,
    /// Versions that lost against another child of the same parent, or whose parent was never the
    /// head.
    pub lost: u64,
    /// Copies of accepted versions.
    pub repeated: u64,
    /// Records by a signer that the settings don't name.
    pub unknown_signer: u64,
    /// Records by a revoked signer.
    pub revoked_signer: u64,
    /// Records with a wrong signature.
    pub wrong_signature: u64,
    /// Records that can't be decoded, such as one without a signature.
    pub unreadable: u64,
    /// Signed versions that don't yield a valid bundle, and checkpoints that claim to cover records
    /// after their own offset.
    pub invalid: u64,
    /// Records that couldn't be judged because of a gap.
    pub unjudged: u64,
    /// Gaps found.
    pub gaps: u64,
    /// States adopted from checkpoints or peers.
    pub adopted: u64,
    /// Checkpoints that agreed with the fold.
    pub agreed: u64,
    /// States that contradicted the log or the known version with the same number.
    pub conflicts: u64,
}

impl Counters {
    /// Returns each counter with its name, for metrics and dumps.
    pub fn rows(&self) -> [(&'static str, u64); 13] {
        [
            ("accepted", self.accepted),
            ("lost", self.lost),
            ("repeated", self.repeated),
            ("unknown_signer", self.unknown_signer),
            ("revoked_signer", self.revoked_signer),
            ("wrong_signature", self.wrong_signature),
            ("unreadable", self.unreadable),
            ("invalid", self.invalid),
            ("unjudged", self.unjudged),
            ("gaps", self.gaps),
            ("adopted", self.adopted),
            ("agreed", self.agreed),
            ("conflicts", self.conflicts),
        ]
    }

    /// Counts a verdict.
    pub(super) fn count(&mut self, verdict: &Verdict) {
        let counter = match verdict {
            Verdict::Accepted(_) => &mut self.accepted,
            Verdict::Lost { .. } => &mut self.lost,
            Verdict::Repeated => &mut self.repeated,
            Verdict::Unjudged => &mut self.unjudged,
            Verdict::Adopted(_) => &mut self.adopted,
            Verdict::Agreed => &mut self.agreed,
            Verdict::Stale | Verdict::Skipped => return,
            Verdict::Refused(reason) => self.refused(reason),
        };
        *counter += 1;
    }

    /// Returns the counter for a refusal with `reason`.
    fn refused(&mut self, reason: &Reason) -> &mut u64 {
        match reason {
            Reason::Signature(SignatureError::UnknownSigner) => &mut self.unknown_signer,
            Reason::Signature(SignatureError::RevokedSigner) => &mut self.revoked_signer,
            Reason::Signature(SignatureError::WrongSignature) => &mut self.wrong_signature,
            Reason::Record(_) => &mut self.unreadable,
            Reason::Conflict(_) => &mut self.conflicts,
            _ => &mut self.invalid,
        }
    }
}
