//! Persons who may sign bundles.

use ed25519_dalek::VerifyingKey;

/// A person with a public key that signs bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name of the person.
    pub name: String,
    /// Ed25519 public key.
    pub key: [u8; 32],
    /// Whether the key is revoked.
    pub revoked: bool,
}

/// Parses a public key in hex. Returns `None` if the key is not a point on the curve or has small
/// order.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    hex::decode_to_slice(text, &mut key).ok()?;
    let point = VerifyingKey::from_bytes(&key).ok()?;
    (!point.is_weak()).then_some(key)
}
