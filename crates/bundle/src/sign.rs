//! Keys and signing of versions, for the tools of operators.

use crate::bundle::Bundle;
use crate::delta::Delta;
use crate::digest::Digest;
use crate::finding::Findings;
use crate::record::Record;
use crate::section::is_name;
use crate::signed::{Envelope, Header, Version};
use crate::verify;
use ed25519_dalek::Signer as _;
use ed25519_dalek::pkcs8::spki::der::pem::LineEnding;
use ed25519_dalek::pkcs8::{DecodePrivateKey, EncodePrivateKey};
use std::fmt;

pub use ed25519_dalek::SigningKey;

/// Reason why a version was not signed, or a private key not read or written.
#[derive(Debug)]
pub enum Error {
    /// The verifier found errors in the bundle.
    Bundle(Findings),
    /// The bundle is identical to its parent.
    Unchanged,
    /// The signer's name is not a valid name.
    InvalidName,
    /// The private key can't be read or written.
    Key(ed25519_dalek::pkcs8::Error),
}

/// Result of signing or of handling a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bundle(findings) => write!(f, "{findings}"),
            Self::Unchanged => f.write_str("the bundle is identical to its parent"),
            Self::InvalidName => f.write_str("the signer's name is not a valid name"),
            Self::Key(e) => write!(f, "private key: {e}"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns the signing key derived from `seed`: 32 secret bytes, which callers obtain from the
/// operating system's random number generator.
pub fn key_from_seed(seed: [u8; 32]) -> SigningKey {
    SigningKey::from_bytes(&seed)
}

/// Encodes the private key as PKCS #8 PEM.
pub fn to_pem(key: &SigningKey) -> Result<String> {
    let pem = key.to_pkcs8_pem(LineEnding::LF).map_err(Error::Key)?;
    Ok(pem.to_string())
}

/// Decodes a private key from PKCS #8 PEM.
pub fn from_pem(pem: &str) -> Result<SigningKey> {
    SigningKey::from_pkcs8_pem(pem).map_err(Error::Key)
}

/// Returns the public key in hex, the form used in settings and in `[signer NAME]` sections.
pub fn public_key_hex(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().as_bytes())
}

/// Verifies `text`, signs it as the child of `parent` (`None` for the first version) and returns
/// the encoded record to append.
pub fn sign_text(
    parent: Option<&Bundle>,
    text: &str,
    signer: &str,
    key: &SigningKey,
) -> Result<Vec<u8>> {
    let child: Bundle = text.parse().map_err(Error::Bundle)?;
    let version = sign_bundle(parent, &child, signer, key)?;
    Ok(Record::Version(version).encode())
}

/// Signs the checked bundle `child` as the version after `parent`.
pub fn sign_bundle(
    parent: Option<&Bundle>,
    child: &Bundle,
    signer: &str,
    key: &SigningKey,
) -> Result<Version> {
    if !is_name(signer) {
        return Err(Error::InvalidName);
    }
    let none = Bundle::default();
    let parent = parent.unwrap_or(&none);
    let findings = verify::verify_successor(parent, child);
    if findings.has_errors() {
        return Err(Error::Bundle(findings));
    }
    let delta = Delta::between(&parent.sections, &child.sections);
    if delta.is_empty() {
        return Err(Error::Unchanged);
    }
    let header = Header {
        signer: signer.into(),
        number: parent.number + 1,
        parent: parent.digest,
        result: child.digest,
        delta: delta.digest(),
    };
    let envelope = sign_header(header, key);
    Ok(Version { envelope, delta })
}

/// Signs a header.
pub fn sign_header(header: Header, key: &SigningKey) -> Envelope {
    let signature = key.sign(&header.message()).to_bytes();
    Envelope { header, signature }
}

/// Returns the digest of a caller's bearer key, the form used in `[team NAME]` sections.
pub fn bearer_digest(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}
