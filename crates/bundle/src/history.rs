//! Response of the admin API that lists the versions that were in force.

use crate::fold::{Entry, Fold};
use crate::id::Number;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A version that was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version.
    pub number: Number,
    /// Name of the signer.
    pub signer: String,
    /// Digest of the sections, in hex.
    pub digest: String,
    /// Offset of its record in the log; `None` for a version from a checkpoint or a peer.
    #[serde(default)]
    pub offset: Option<u64>,
}

/// Versions that were in force, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    /// The versions.
    pub versions: Vec<Version>,
}

impl From<&Entry> for Version {
    fn from(entry: &Entry) -> Self {
        Self {
            number: entry.number,
            signer: entry.signer.clone(),
            digest: entry.digest.to_string(),
            offset: entry.offset,
        }
    }
}

impl From<&Fold> for History {
    fn from(fold: &Fold) -> Self {
        let versions = fold.history().map(Version::from).collect();
        Self { versions }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for version in &self.versions {
            let Version {
                number,
                signer,
                digest,
                offset,
            } = version;
            write!(f, "{number:>6} {signer:<16} {digest}")?;
            match offset {
                Some(offset) => writeln!(f, " offset {offset}")?,
                None => writeln!(f, " adopted")?,
            }
        }
        Ok(())
    }
}
