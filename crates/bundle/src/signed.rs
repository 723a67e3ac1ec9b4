//! Signed versions: what a person signs and how the signature is checked.

use crate::delta::Delta;
use crate::digest::Digest;
use crate::id::Number;
use crate::sections::Sections;
use crate::signer::Signer;
use ed25519_dalek::{Signature, VerifyingKey};
use std::fmt;
use std::time::Duration;

/// Separates these signatures from any other use of the same key, and versions the form.
const DOMAIN: &[u8] = b"wigeonshelf bundle version 1\n";

/// What is signed.
///
/// The delta's digest is in it, so a reader of the delta knows that nobody changed it; the
/// result's digest is in it too, so the same signature vouches for the full text alone, without
/// the delta and all versions before it. The number is in it because digests can recur (a
/// change and its undoing): it keeps an old version from fitting again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name of the person.
    pub signer: String,
    /// Number of the version.
    pub number: Number,
    /// Digest of the version it follows; all zero for the first.
    pub parent: Digest,
    /// Digest of the sections that it results in.
    pub result: Digest,
    /// Digest of its delta.
    pub delta: Digest,
}

impl Header {
    /// The bytes that are signed.
    pub fn message(&self) -> Vec<u8> {
        let signer = self.signer.as_bytes();
        let mut bytes = DOMAIN.to_vec();
        bytes.extend_from_slice(&(signer.len() as u64).to_be_bytes());
        bytes.extend_from_slice(signer);
        bytes.extend_from_slice(&self.number.to_be_bytes());
        bytes.extend_from_slice(&self.parent.0);
        bytes.extend_from_slice(&self.result.0);
        bytes.extend_from_slice(&self.delta.0);
        bytes
    }

    /// Identity of the version; the same for every copy of it.
    pub fn id(&self) -> Digest {
        Digest::of(&self.message())
    }
}

/// Why a signature doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// No trusted signer has the name.
    UnknownSigner,
    /// The signer's key is revoked.
    RevokedSigner,
    /// The signature is not that of the trusted key on these bytes.
    WrongSignature,
}

impl fmt::Display for SignatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownSigner => "unknown signer",
            Self::RevokedSigner => "revoked signer",
            Self::WrongSignature => "signature doesn't match the signer's key",
        })
    }
}

/// A header with its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// What is signed.
    pub header: Header,
    /// The ed25519 signature.
    pub signature: [u8; 64],
}

impl Envelope {
    /// Checks the signature against the `trusted` keys of the settings; `revoked` are the
    /// signers of the bundle in force, of which only revocations count.
    pub fn check(&self, trusted: &[Signer], revoked: &[Signer]) -> Result<(), SignatureError> {
        let named = trusted.iter().filter(|s| s.name == self.header.signer);
        let mut last = SignatureError::UnknownSigner;
        for signer in named {
            let listed = revoked.iter().any(|s| s.revoked && s.key == signer.key);
            if signer.revoked || listed {
                last = SignatureError::RevokedSigner;
            } else if self.signed_by(&signer.key) {
                return Ok(());
            } else {
                last = SignatureError::WrongSignature;
            }
        }
        Err(last)
    }

    /// Whether `key` made the signature. Strict: exactly one signature is valid for a message
    /// and key, and keys of small order are refused.
    fn signed_by(&self, key: &[u8; 32]) -> bool {
        let Ok(key) = VerifyingKey::from_bytes(key) else {
            return false;
        };
        let signature = Signature::from_bytes(&self.signature);
        key.verify_strict(&self.header.message(), &signature)
            .is_ok()
    }
}

/// A signed version as a delta on its parent.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Header and signature.
    pub envelope: Envelope,
    /// What it changes; its digest is the header's.
    pub delta: Delta,
}

/// Where a checkpoint is in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Offset of its record.
    pub offset: u64,
    /// It accounts for all records below this offset; useless once a later one is the first
    /// retained.
    pub next: u64,
    /// When it was written, since the Unix epoch, by its writer's clock.
    pub written: Duration,
    /// Number of its version.
    pub number: Number,
}

/// A signed version as its full sections: a checkpoint in the log, or a peer's head.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Header and signature.
    pub envelope: Envelope,
    /// All records below this offset of the log are accounted for in it.
    pub next: u64,
    /// When it was written, since the Unix epoch; zero if it isn't known. Not signed, and used
    /// for nothing but to time the next checkpoint.
    pub written: Duration,
    /// In a peer's head: the last checkpoint it knows of. Without this, a node that starts from a
    /// peer's head skips the log's checkpoints, would miss one, and write it: one for each restart.
    /// Not signed, and used as `written` is.
    pub checkpoint: Option<Location>,
    /// All sections; their digest is the header's result.
    pub sections: Sections,
}
