//! Table of signers.

use super::fields::Fields;
use crate::finding::{Finding, Findings, Level};
use crate::section::Kind;
use crate::sections::Sections;
use crate::signer::{self, Signer};
use std::collections::BTreeMap;

/// Builds the table; two signers with the same key are an error.
pub(super) fn table(sections: &Sections, findings: &mut Findings) -> Vec<Signer> {
    let mut rows: Vec<Signer> = Vec::new();
    let mut holders: BTreeMap<[u8; 32], String> = BTreeMap::new();
    for section in sections.of_kind(Kind::Signer) {
        let mut fields = Fields::new(section, findings);
        let key = key(&mut fields);
        if let Some(other) = key.and_then(|k| holders.insert(k, fields.name())) {
            fields.error("key", format_args!("is the key of `{other}` too"));
        }
        rows.push(Signer {
            name: fields.name(),
            key: key.unwrap_or_default(),
            revoked: fields.flag("revoked", false),
        });
    }
    if !rows.is_empty() && rows.iter().all(|r| r.revoked) {
        findings.push(all_revoked());
    }
    rows
}

/// Reads the public key.
fn key(fields: &mut Fields<'_>) -> Option<[u8; 32]> {
    let text = fields.text("key")?;
    let key = signer::parse_key(text);
    if key.is_none() {
        fields.error(
            "key",
            format_args!("`{text:.80}` is not an ed25519 public key in hex"),
        );
    }
    key
}

/// Returns the finding for a bundle in which all signers are revoked, so that none of them could
/// sign the next version.
fn all_revoked() -> Finding {
    Finding {
        level: Level::Error,
        line: 0,
        section: "signer".into(),
        key: "revoked".into(),
        message: "all signers are revoked; nobody could sign the next version".into(),
    }
}
