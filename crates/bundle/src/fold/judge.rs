//! Checks whether a version is a valid child of a head.

use super::signed_bundle::{self, SignedBundle};
use super::verdict::{Reason, Verdict};
use super::{Fold, Status};
use crate::bundle::Bundle;
use crate::signed::Version;
use crate::verify;
use std::sync::Arc;

impl Fold {
    /// Returns the verdict that `version` would get as the next record, without applying it.
    pub fn judge(&self, version: &Version) -> Verdict {
        if let Status::Accepted(_) = self.status(&version.envelope.header) {
            return Verdict::Repeated;
        }
        match self.child_bundle(self.current(), version) {
            Ok(bundle) => Verdict::Accepted(Arc::new(bundle)),
            Err(verdict) => verdict,
        }
    }

    /// Returns the bundle that results from applying `version` to `head`, or the verdict that
    /// rejects the version.
    pub(super) fn child_bundle(
        &self,
        head: Option<&SignedBundle>,
        version: &Version,
    ) -> Result<Bundle, Verdict> {
        let header = &version.envelope.header;
        let none = Bundle::default();
        let parent = head.map_or(&none, |k| &*k.bundle);
        let trust = version.envelope.check(&self.trusted, &parent.signers);
        trust.map_err(|e| Verdict::Refused(Reason::Signature(e)))?;
        let follows =
            header.parent == parent.digest && parent.number.checked_add(1) == Some(header.number);
        if !follows {
            return Err(Verdict::Lost {
                head: head.map(|k| k.bundle.clone()),
            });
        }
        let bundle = child(parent, version).map_err(Verdict::Refused)?;
        Ok(bundle)
    }
}

/// Applies `version`, whose signature was checked, to `parent` and verifies the result.
fn child(parent: &Bundle, version: &Version) -> Result<Bundle, Reason> {
    let header = &version.envelope.header;
    let sections = version.delta.apply(&parent.sections);
    let sections = sections.map_err(Reason::Delta)?;
    if sections.digest() != header.result {
        return Err(Reason::Digest);
    }
    let bundle = signed_bundle::build_bundle(&sections, header)?;
    let findings = verify::verify_successor(parent, &bundle);
    if findings.has_errors() {
        return Err(Reason::Bundle(findings));
    }
    Ok(bundle)
}
