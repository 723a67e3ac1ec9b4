//! Table of plain services.

use super::fields::Fields;
use crate::endpoint::Endpoint;
use crate::finding::Findings;
use crate::id::ServiceId;
use crate::section::Kind;
use crate::sections::Sections;
use crate::service::Service;
use std::collections::BTreeSet;

/// Builds the table; a service that no endpoint serves is an error.
pub(super) fn table(
    sections: &Sections,
    endpoints: &[Endpoint],
    findings: &mut Findings,
) -> Vec<Service> {
    let served = endpoints.iter().flat_map(|e| e.services.iter().copied());
    let served: BTreeSet<ServiceId> = served.collect();
    let mut rows = Vec::new();
    for (i, section) in sections.of_kind(Kind::Service).enumerate() {
        let mut fields = Fields::new(section, findings);
        let id = ServiceId::try_from(i).unwrap_or(ServiceId::MAX);
        if !served.contains(&id) {
            fields.error("", "no endpoint serves it");
        }
        // The default is not repeatable: a duplicate call can do harm, whereas a refused retry is
        // reported to the caller.
        let repeatable = fields.flag("repeatable", false);
        rows.push(Service {
            name: fields.name(),
            repeatable,
        });
    }
    rows
}
