//! All sections of a bundle, their canonical text and digest.

use crate::digest::Digest;
use crate::section::{Key, Kind, Section};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Separates these digests from all other uses of SHA-256, and versions the form.
const DOMAIN: &[u8] = b"wigeonshelf bundle 1\n";

/// Most sections of a bundle; a bound on memory, far above the size to design for.
pub const MAX_SECTIONS: usize = 65_536;

/// The sections of one bundle, in canonical order. A clone shares the map until one of both is
/// changed, and the sections also then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sections(Arc<BTreeMap<Key, Arc<Section>>>);

impl Sections {
    /// Adds or replaces a section; returns the one it replaced.
    pub fn set(&mut self, section: Arc<Section>) -> Option<Arc<Section>> {
        Arc::make_mut(&mut self.0).insert(section.key().clone(), section)
    }

    /// Removes a section.
    pub fn remove(&mut self, key: &Key) -> Option<Arc<Section>> {
        Arc::make_mut(&mut self.0).remove(key)
    }

    /// The section with header `key`.
    pub fn get(&self, key: &Key) -> Option<&Arc<Section>> {
        self.0.get(key)
    }

    /// All sections in canonical order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Section>> {
        self.0.values()
    }

    /// The sections of one kind, by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Section>> {
        let first = Key {
            kind,
            name: String::new(),
        };
        self.0
            .range(first..)
            .map(|(_, s)| s)
            .take_while(move |s| s.key().kind == kind)
    }

    /// Number of sections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Digest over the sections' digests in canonical order.
    ///
    /// Hashing 32 bytes a section in place of the whole text keeps the cost of a small delta
    /// small; the section digests are over canonical text, so equal digests mean equal text.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::with_capacity(DOMAIN.len() + 32 * self.0.len());
        bytes.extend_from_slice(DOMAIN);
        for section in self.iter() {
            bytes.extend_from_slice(&section.digest().0);
        }
        Digest::of(&bytes)
    }
}

/// Canonical text.
impl fmt::Display for Sections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, section) in self.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{section}")?;
        }
        Ok(())
    }
}
