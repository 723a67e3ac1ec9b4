//! Named persons who may sign bundles.

use ed25519_dalek::VerifyingKey;

/// A signer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name of the person.
    pub name: String,
    /// Ed25519 public key.
    pub key: [u8; 32],
    /// Whether the key no longer counts.
    pub revoked: bool,
}

/// Reads a public key in hex; one that is no point of the curve, or of small order, is none.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    hex::decode_to_slice(text, &mut key).ok()?;
    let point = VerifyingKey::from_bytes(&key).ok()?;
    (!point.is_weak()).then_some(key)
}
