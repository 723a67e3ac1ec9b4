//! Head of the bundle stream: identifies the newest bundle that a node has in force.

use std::fmt;

/// Identifies the bundle that a node has in force. The head with the highest number supersedes all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Head {
    /// Version number of the bundle.
    pub number: u64,
    /// Digest of the bundle's canonical text.
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
