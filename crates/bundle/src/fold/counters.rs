//! Counters of the fold.

use super::verdict::{Reason, Verdict};
use crate::signed::SignatureError;

/// What the fold has counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Versions accepted from the log.
    pub accepted: u64,
    /// Versions that lost their race.
    pub lost: u64,
    /// Copies of accepted versions.
    pub repeated: u64,
    /// Records by a signer that the settings don't name.
    pub unknown_signer: u64,
    /// Records by a revoked signer.
    pub revoked_signer: u64,
    /// Records with a wrong signature.
    pub wrong_signature: u64,
    /// Records that can't be read, such as one without a signature.
    pub unreadable: u64,
    /// Signed versions that are no valid bundle.
    pub invalid: u64,
    /// Records that couldn't be judged for a gap.
    pub unjudged: u64,
    /// Gaps found.
    pub gaps: u64,
    /// States adopted from checkpoints or peers.
    pub adopted: u64,
    /// Checkpoints that agreed with the fold.
    pub agreed: u64,
    /// States that contradicted the log.
    pub conflicts: u64,
}

impl Counters {
    /// Each counter with its name, for metrics and dumps.
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

    /// The counter of a reason.
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
