//! Deltas: the sections that a version sets and removes.

use crate::digest::Digest;
use crate::section::{Key, Section};
use crate::sections::Sections;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Domain separator: keeps these digests distinct from all other uses of SHA-256.
const DOMAIN: &[u8] = b"wigeonshelf delta 1\n";

/// Sections that a version sets and removes. A valid delta has no section in both sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Sections added or replaced.
    pub set: BTreeMap<Key, Arc<Section>>,
    /// Sections removed.
    pub removed: BTreeSet<Key>,
}

/// Reason why a delta can't be applied to its parent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The delta removes a section that the parent does not have.
    Missing(Key),
    /// The delta both sets and removes a section.
    Both(Key),
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(key) => write!(f, "removes [{key}], which the parent does not have"),
            Self::Both(key) => write!(f, "both sets and removes [{key}]"),
        }
    }
}

impl Delta {
    /// Computes the delta that turns `from` into `to`.
    pub fn between(from: &Sections, to: &Sections) -> Self {
        let changed = |s: &&Arc<Section>| from.get(s.key()) != Some(s);
        let gone = |s: &&Arc<Section>| to.get(s.key()).is_none();
        let set = to.iter().filter(changed);
        let removed = from.iter().filter(gone);
        Self {
            set: set.map(|s| (s.key().clone(), s.clone())).collect(),
            removed: removed.map(|s| s.key().clone()).collect(),
        }
    }

    /// Applies the delta to `parent` and returns the resulting sections.
    pub fn apply(&self, parent: &Sections) -> Result<Sections, Mismatch> {
        let mut sections = parent.clone();
        for key in &self.removed {
            if self.set.contains_key(key) {
                return Err(Mismatch::Both(key.clone()));
            }
            let gone = sections.remove(key);
            gone.ok_or_else(|| Mismatch::Missing(key.clone()))?;
        }
        for section in self.set.values() {
            sections.set(section.clone());
        }
        Ok(sections)
    }

    /// Returns whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }

    /// Returns the digest of the canonical form.
    pub fn digest(&self) -> Digest {
        let mut bytes = DOMAIN.to_vec();
        for section in self.set.values() {
            bytes.push(b'+');
            bytes.extend_from_slice(&section.digest().0);
        }
        for key in &self.removed {
            bytes.push(b'-');
            bytes.extend_from_slice(&Digest::of(key.to_string().as_bytes()).0);
        }
        Digest::of(&bytes)
    }
}

/// Writes one line per section: `+` for added or replaced, `-` for removed.
impl fmt::Display for Delta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for key in self.set.keys() {
            writeln!(f, "+ [{key}]")?;
        }
        for key in &self.removed {
            writeln!(f, "- [{key}]")?;
        }
        Ok(())
    }
}
