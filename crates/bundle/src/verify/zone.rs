//! Table of availability zones.

use super::fields::Fields;
use crate::finding::Findings;
use crate::section::Kind;
use crate::sections::Sections;
use crate::zone::Zone;

/// Builds the table.
pub(super) fn table(sections: &Sections, findings: &mut Findings) -> Vec<Zone> {
    let rows = sections.of_kind(Kind::Zone).map(|section| {
        let mut fields = Fields::new(section, findings);
        Zone {
            name: fields.name(),
            region: fields.text("region").unwrap_or_default().into(),
        }
    });
    rows.collect()
}
