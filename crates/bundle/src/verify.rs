//! Verifier: checks sections and builds a [`Bundle`] from them.
//!
//! The verifier is deliberately separate from the text parser: a fault in one is not repeated in
//! the other, and sections from a delta pass the same checks as those from a file. Each table has a
//! submodule. All findings are collected; a row with an error stays in its table with default
//! values, so that the ids of the other rows and their findings stay correct.

mod endpoint;
mod fields;
mod kind;
mod link;
mod model;
mod names;
mod priority;
mod service;
mod signer;
mod successor;
mod team;
mod zone;

use crate::bundle::Bundle;
use crate::finding::Findings;
use crate::sections::Sections;
use names::Names;

pub use successor::verify_successor;

/// Result of a verification.
#[derive(Debug)]
pub struct Report {
    /// Checked bundle, if no finding is an error. Its version fields (number, parent, signer) are
    /// not set.
    pub bundle: Option<Bundle>,
    /// All findings.
    pub findings: Findings,
}

/// Checks `sections` and builds the bundle.
pub fn verify(sections: &Sections) -> Report {
    let mut findings = Findings::default();
    let bundle = tables(sections, &mut findings);
    findings.sort();
    let bundle = (!findings.has_errors()).then_some(bundle);
    Report { bundle, findings }
}

/// Builds all tables; a table is built before those that refer to it.
fn tables(sections: &Sections, findings: &mut Findings) -> Bundle {
    let names = Names::new(sections, findings);
    let models = model::table(sections, findings);
    let priorities = priority::table(sections, &names, findings);
    let endpoints = endpoint::table(sections, &names, &models, findings);
    let services = service::table(sections, &endpoints, findings);
    model::check_coverage(sections, &models, &endpoints, findings);
    let teams = team::table(sections, &names, &priorities, findings);
    team::check_limits(sections, &teams, &endpoints, findings);
    Bundle {
        digest: sections.digest(),
        zones: zone::table(sections, findings),
        kinds: kind::table(sections, findings),
        models,
        endpoints,
        services,
        priorities,
        teams,
        links: link::table(sections, &names, findings),
        signers: signer::table(sections, findings),
        sections: sections.clone(),
        ..Bundle::default()
    }
}

impl TryFrom<&Sections> for Bundle {
    type Error = Findings;

    fn try_from(sections: &Sections) -> Result<Self, Findings> {
        let report = verify(sections);
        report.bundle.ok_or(report.findings)
    }
}

impl std::str::FromStr for Bundle {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Findings> {
        Self::try_from(&crate::text::parse(text)?)
    }
}
