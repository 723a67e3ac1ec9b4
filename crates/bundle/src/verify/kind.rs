//! Table of accelerator kinds.

use super::fields::Fields;
use crate::finding::Findings;
use crate::kind;
use crate::section::Kind;
use crate::sections::Sections;

/// Builds the table.
pub(super) fn table(sections: &Sections, findings: &mut Findings) -> Vec<kind::Kind> {
    let rows = sections.of_kind(Kind::Kind).map(|section| {
        let mut fields = Fields::new(section, findings);
        kind::Kind {
            name: fields.name(),
            layers_per_second: fields.rate("layers_per_second"),
        }
    });
    rows.collect()
}
