//! Signed versions: the signed header and the check of its signature.

use crate::delta::Delta;
use crate::digest::Digest;
use crate::id::Number;
use crate::sections::Sections;
use crate::signer::Signer;
use ed25519_dalek::{Signature, VerifyingKey};
use std::fmt;
use std::time::Duration;

/// Domain separator: keeps these signatures distinct from any other use of the same key, and
/// carries the version of the format.
const DOMAIN: &[u8] = b"wigeonshelf bundle version 1\n";

/// Signed header of a version.
///
/// It contains the digest of the delta, which lets a reader of the delta detect any change. It also
/// contains the digest of the result, so the same signature authenticates the full text without the
/// delta and all previous versions. It contains the number because digests can recur (a change and
/// its reversal): the number prevents an old version from being accepted again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name of the signer.
    pub signer: String,
    /// Number of the version.
    pub number: Number,
    /// Digest of the parent version's sections; all zero for the first version.
    pub parent: Digest,
    /// Digest of the resulting sections.
    pub result: Digest,
    /// Digest of the delta.
    pub delta: Digest,
}

impl Header {
    /// Returns the bytes that are signed.
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

    /// Returns the identity of the version, which is the same for every copy of it.
    pub fn id(&self) -> Digest {
        Digest::of(&self.message())
    }
}

/// Reason why a signature is not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// No trusted signer has the name in the header.
    UnknownSigner,
    /// The signer's key is revoked.
    RevokedSigner,
    /// The signature was not made over these bytes with the trusted key of that name.
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
    /// Signed header.
    pub header: Header,
    /// Ed25519 signature over [`Header::message`].
    pub signature: [u8; 64],
}

impl Envelope {
    /// Checks the signature against the `trusted` keys of the settings. `revoked` are the signers
    /// of the bundle in force; only their revocations are taken into account.
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

    /// Returns whether the signature was made with `key`. The check is strict: exactly one
    /// signature is valid for a message and key, and keys of small order are refused.
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
    /// Changes to the parent; the header contains their digest.
    pub delta: Delta,
}

/// Location of a checkpoint in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Offset of its record.
    pub offset: u64,
    /// Offset below which the checkpoint covers all records. The checkpoint is useless once the
    /// first retained offset is higher.
    pub next: u64,
    /// Time of writing since the Unix epoch, by the writer's clock.
    pub written: Duration,
    /// Number of its version.
    pub number: Number,
}

/// A signed version with all its sections: a checkpoint in the log, or a peer's head.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Header and signature.
    pub envelope: Envelope,
    /// Offset below which this state covers all records of the log.
    pub next: u64,
    /// Time of writing since the Unix epoch; zero if unknown. Not signed, and used only to schedule
    /// the next checkpoint.
    pub written: Duration,
    /// In a peer's head: the last checkpoint that the peer knows of. A node that starts from a
    /// peer's head skips the checkpoints in the log; without this field it would assume that none
    /// exists and write one after each restart. Not signed, and used only to schedule the next
    /// checkpoint.
    pub checkpoint: Option<Location>,
    /// All sections; their digest is the `result` of the header.
    pub sections: Sections,
}
