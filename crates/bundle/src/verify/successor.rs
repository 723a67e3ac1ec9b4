//! Checks of a version against its parent.

use super::fields::Fields;
use crate::bundle::Bundle;
use crate::finding::{Finding, Findings, Level};
use crate::section::{Key, Kind};
use crate::signer::Signer;

/// Checks `child` against its `parent`: a revoked key must stay revoked.
///
/// Without this check, a single careless edit by another signer, such as signing an old file again,
/// would make a revoked key trusted again. A person whose key was revoked may be listed again with
/// a new key.
pub fn verify_successor(parent: &Bundle, child: &Bundle) -> Findings {
    let mut findings = Findings::default();
    let revoked = parent.signers.iter().filter(|s| s.revoked);
    for signer in revoked {
        check_signer(signer, child, &mut findings);
    }
    findings
}

/// Checks that the key of one revoked signer of the parent is still listed as revoked.
fn check_signer(signer: &Signer, child: &Bundle, findings: &mut Findings) {
    let row = child.signers.iter().find(|s| s.key == signer.key);
    if row.is_some_and(|r| r.revoked) {
        return;
    }
    let message = "its key was revoked and must stay listed as revoked";
    let name = row.map_or(&signer.name, |r| &r.name);
    let key = Key {
        kind: Kind::Signer,
        name: name.clone(),
    };
    match child.sections.get(&key) {
        Some(section) => Fields::new(section, findings).error("revoked", message),
        None => findings.push(Finding {
            level: Level::Error,
            line: 0,
            section: key.to_string(),
            key: String::new(),
            message: message.into(),
        }),
    }
}
