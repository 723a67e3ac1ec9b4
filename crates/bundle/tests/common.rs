//! What the tests share.
#![allow(dead_code, reason = "each test file uses some of it")]

use bundle::sign::{self, SigningKey};
use bundle::signer::Signer;

/// Text of the example bundle.
pub fn text() -> &'static str {
    include_str!("../../../etc/bundle.ini")
}

/// Key of the first operator.
pub fn mira() -> SigningKey {
    sign::key_from_seed([1; 32])
}

/// Key of the second operator.
pub fn tuya() -> SigningKey {
    sign::key_from_seed([2; 32])
}

/// A trusted signer.
pub fn signer(name: &str, key: &SigningKey) -> Signer {
    Signer {
        name: name.into(),
        key: *key.verifying_key().as_bytes(),
        revoked: false,
    }
}

/// The trusted keys of the settings.
pub fn signers() -> Vec<Signer> {
    vec![signer("mira", &mira()), signer("tuya", &tuya())]
}
