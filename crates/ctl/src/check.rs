//! `wigeonctl check`: validates the text of a bundle.

use crate::failure::{Failure, Result};
use crate::files;
use crate::output::Output;
use bundle::finding::Finding;
use bundle::verify;
use clap::ArgMatches;
use serde::Serialize;
use std::fmt;

/// Counts of a valid bundle's sections, and its warnings.
#[derive(Serialize)]
struct Summary {
    digest: String,
    endpoints: usize,
    models: usize,
    services: usize,
    teams: usize,
    findings: Vec<Finding>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let Self {
            digest,
            endpoints,
            models,
            services,
            teams,
            ..
        } = self;
        write!(
            f,
            "sound: {endpoints} endpoints, {models} models, {services} services, {teams} teams\n\
             digest {digest}"
        )
    }
}

/// Checks the text of a bundle and prints its summary; fails with all findings if it is invalid.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let sections = files::sections(files::path_arg(args, "file"))?;
    let report = verify::verify(&sections);
    let findings = report.findings.rows().to_vec();
    let bundle = report.bundle.ok_or(Failure::Findings(report.findings))?;
    output.show(&Summary {
        digest: bundle.digest.to_string(),
        endpoints: bundle.endpoints.len(),
        models: bundle.models.len(),
        services: bundle.services.len(),
        teams: bundle.teams.len(),
        findings,
    })
}
