//! A bundle with the envelope that vouches for it.

use super::history::Entry;
use super::verdict::Reason;
use crate::bundle::Bundle;
use crate::sections::{self, Sections};
use crate::signed::{Envelope, Head, Header, Location};
use crate::verify;
use std::sync::Arc;
use std::time::Duration;

/// A known state.
#[derive(Clone, Debug)]
pub(super) struct SignedBundle {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Header and signature.
    pub envelope: Arc<Envelope>,
    /// All records of the log below this offset are accounted for.
    pub next: u64,
}

impl SignedBundle {
    /// A state whose signature was checked.
    pub fn new(bundle: Arc<Bundle>, envelope: Envelope, next: u64) -> Self {
        let envelope = Arc::new(envelope);
        Self {
            bundle,
            envelope,
            next,
        }
    }

    /// Its line in the history.
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

    /// As a record that accounts for the log below `next`, written at `written`.
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

/// The checked bundle of `sections`, whose digest is the one in `header`.
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
