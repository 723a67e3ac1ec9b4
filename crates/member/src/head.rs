//! Heads of the bundle stream.

use std::fmt;

/// The bundle that a node has in force: the highest number wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Head {
    /// Number of the version.
    pub number: u64,
    /// Digest of its canonical text.
    pub digest: [u8; 32],
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.number)?;
        self.digest
            .iter()
            .take(4)
            .try_for_each(|b| write!(f, "{b:02x}"))
    }
}
