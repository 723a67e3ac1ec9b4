//! Fixtures that the tests share.
#![allow(dead_code, reason = "each test file uses some of it")]

use bundle::sign::{self, SigningKey};
use bundle::signer::Signer;

/// Returns the text of the example bundle.
pub fn text() -> &'static str {
    include_str!("../../../etc/bundle.ini")
}

/// Returns the signing key of the first operator.
pub fn mira() -> SigningKey {
    sign::key_from_seed([1; 32])
}

/// Returns the signing key of the second operator.
pub fn tuya() -> SigningKey {
    sign::key_from_seed([2; 32])
}

/// Creates a trusted signer.
pub fn signer(name: &str, key: &SigningKey) -> Signer {
    Signer {
        name: name.into(),
        key: *key.verifying_key().as_bytes(),
        revoked: false,
    }
}

/// Returns the trusted signers of the settings.
pub fn signers() -> Vec<Signer> {
    vec![signer("mira", &mira()), signer("tuya", &tuya())]
}
