//! All sections of a bundle, their canonical text and digest.

use crate::digest::Digest;
use crate::section::{Key, Kind, Section};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Domain separator: keeps these digests distinct from all other uses of SHA-256, and carries the
/// version of the format.
const DOMAIN: &[u8] = b"wigeonshelf bundle 1\n";

/// Maximum number of sections of a bundle. Bounds memory use; far above the design size.
pub const MAX_SECTIONS: usize = 65_536;

/// The sections of one bundle, in canonical order. A clone shares the map until either is changed,
/// and shares the unchanged sections after that too.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sections(Arc<BTreeMap<Key, Arc<Section>>>);

impl Sections {
    /// Adds or replaces a section. Returns the replaced section.
    pub fn set(&mut self, section: Arc<Section>) -> Option<Arc<Section>> {
        Arc::make_mut(&mut self.0).insert(section.key().clone(), section)
    }

    /// Removes the section with header `key` and returns it.
    pub fn remove(&mut self, key: &Key) -> Option<Arc<Section>> {
        Arc::make_mut(&mut self.0).remove(key)
    }

    /// Returns the section with header `key`.
    pub fn get(&self, key: &Key) -> Option<&Arc<Section>> {
        self.0.get(key)
    }

    /// Returns all sections in canonical order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Section>> {
        self.0.values()
    }

    /// Returns the sections of one kind, sorted by name.
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

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no sections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Computes the digest over the sections' digests in canonical order.
    ///
    /// Hashing 32 bytes per section instead of the whole text keeps the cost of applying a small
    /// delta low. The section digests are over canonical text, so equal digests mean equal text.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::with_capacity(DOMAIN.len() + 32 * self.0.len());
        bytes.extend_from_slice(DOMAIN);
        for section in self.iter() {
            bytes.extend_from_slice(&section.digest().0);
        }
        Digest::of(&bytes)
    }
}

/// Writes the canonical text, with an empty line between sections.
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
