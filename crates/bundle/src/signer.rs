//! Named persons who may sign bundles.

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
