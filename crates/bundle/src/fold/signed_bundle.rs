//! A checked bundle with the envelope that authenticates it.

use super::history::Entry;
use super::verdict::Reason;
use crate::bundle::Bundle;
use crate::sections::{self, Sections};
use crate::signed::{Envelope, Head, Header, Location};
use crate::verify;
use std::sync::Arc;
use std::time::Duration;

/// A checked bundle with its signed header.
#[derive(Clone, Debug)]
pub(super) struct SignedBundle {
    /// Checked bundle.
    pub bundle: Arc<Bundle>,
    /// Signed header of the version.
    pub envelope: Arc<Envelope>,
    /// Offset below which this state covers all records of the log.
    pub next: u64,
}

impl SignedBundle {
    /// Creates a state from an envelope whose signature was checked.
    pub fn new(bundle: Arc<Bundle>, envelope: Envelope, next: u64) -> Self {
        let envelope = Arc::new(envelope);
        Self {
            bundle,
            envelope,
            next,
        }
    }

    /// Returns the history entry of the version; `offset` is that of its record in the log.
    pub fn entry(&self, offset: Option<u64>) -> Entry {
        let header = &self.envelope.header;
        Entry {
            number: header.number,
            signer: header.signer.clone(),
            digest: header.result,
            parent: header.parent,
            id: header.id(),
            offset,
        }
    }

    /// Returns the state as a head that covers the log below `next`, written at `written`.
    pub fn to_head(&self, next: u64, written: Duration, checkpoint: Option<Location>) -> Head {
        Head {
            envelope: (*self.envelope).clone(),
            next,
            written,
            checkpoint,
            sections: self.bundle.sections.clone(),
        }
    }
}

/// Verifies `sections` and builds the bundle of the version with `header`. The caller has
/// compared the digest of `sections` with the result in `header`.
pub fn build_bundle(sections: &Sections, header: &Header) -> Result<Bundle, Reason> {
    if sections.len() > sections::MAX_SECTIONS {
        return Err(Reason::TooManySections(sections.len()));
    }
    let report = verify::verify(sections);
    let mut bundle = report.bundle.ok_or(Reason::Bundle(report.findings))?;
    bundle.number = header.number;
    bundle.parent = header.parent;
    bundle.signer.clone_from(&header.signer);
    Ok(bundle)
}
