//! Table of links.

use super::fields::Fields;
use super::names::Names;
use crate::finding::Findings;
use crate::link::Link;
use crate::section::Kind;
use crate::sections::Sections;

/// Builds the table; an end that is not a known availability zone is an error.
pub(super) fn table(sections: &Sections, names: &Names<'_>, findings: &mut Findings) -> Vec<Link> {
    let mut rows = Vec::new();
    for section in sections.of_kind(Kind::Link) {
        let mut fields = Fields::new(section, findings);
        let (a, b) = section.key().name.split_once(' ').unwrap_or_default();
        let a = fields.lookup("", a, &names.zones);
        let b = fields.lookup("", b, &names.zones);
        rows.push(Link {
            a: a.unwrap_or_default(),
            b: b.unwrap_or_default(),
            latency: fields.time("latency"),
            tokens_per_second: fields.rate("tokens_per_second"),
        });
    }
    rows
}
