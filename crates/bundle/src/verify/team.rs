//! Table of teams.

use super::fields::Fields;
use super::names::Names;
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::finding::Findings;
use crate::id::PriorityId;
use crate::priority::Priority;
use crate::section::Kind;
use crate::sections::Sections;
use crate::team::Team;
use std::collections::BTreeMap;

/// Builds the table; a key that two teams hold is an error.
pub(super) fn table(
    sections: &Sections,
    names: &Names<'_>,
    priorities: &[Priority],
    findings: &mut Findings,
) -> Vec<Team> {
    let mut rows = Vec::new();
    let mut holders: BTreeMap<Digest, String> = BTreeMap::new();
    for section in sections.of_kind(Kind::Team) {
        let mut fields = Fields::new(section, findings);
        let row = row(&mut fields, names, priorities);
        for key in &row.keys {
            if let Some(other) = holders.insert(*key, row.name.clone()) {
                fields.error("keys", format_args!("team `{other}` holds one of them too"));
            }
        }
        rows.push(row);
    }
    rows
}

/// Reads the row of one section.
fn row(fields: &mut Fields<'_>, names: &Names<'_>, priorities: &[Priority]) -> Team {
    let top = fields.id("top", &names.priorities).unwrap_or_default();
    let default_priority = match fields.optional("usual") {
        None => first_not_urgent(top, priorities),
        Some(_) => fields.id("usual", &names.priorities).unwrap_or(top),
    };
    if default_priority < top {
        fields.error("usual", "is more urgent than the team's top priority");
    }
    Team {
        name: fields.name(),
        keys: keys(fields),
        weight: fields.count("weight"),
        rate: fields.rate("rate"),
        in_flight: fields.count("in_flight"),
        highest_priority: top,
        default_priority,
        models: fields.ids("models", &names.models),
    }
}

/// Returns the default priority: the first that isn't urgent, but none more urgent than `top`. A
/// request must ask for an urgent priority explicitly.
fn first_not_urgent(top: PriorityId, priorities: &[Priority]) -> PriorityId {
    let first = priorities.iter().position(|p| !p.urgent);
    let first = first.and_then(|i| PriorityId::try_from(i).ok());
    first.unwrap_or(top).max(top)
}

/// Reads the digests of the bearer keys. A team without a key is an error, since no caller could
/// authenticate as it.
fn keys(fields: &mut Fields<'_>) -> Vec<Digest> {
    let mut keys = Vec::new();
    for text in fields.list("keys") {
        let mut digest = Digest::default();
        match hex::decode_to_slice(text, &mut digest.0) {
            Ok(()) => keys.push(digest),
            Err(_) => fields.error("keys", format_args!("`{text:.80}` is not a SHA-256 in hex")),
        }
    }
    if fields.optional("keys").is_none() {
        fields.error("keys", "the team has no key, so no caller can be it");
    }
    keys
}

/// Warns of limits above the total capacity, which are likely typing mistakes.
pub(super) fn check_limits(
    sections: &Sections,
    teams: &[Team],
    endpoints: &[Endpoint],
    findings: &mut Findings,
) {
    let slots: u64 = endpoints.iter().map(|e| u64::from(e.slots)).sum();
    for (section, team) in sections.of_kind(Kind::Team).zip(teams) {
        if u64::from(team.in_flight) > slots {
            let message = format!("is over the {slots} slots of all endpoints together");
            Fields::new(section, findings).warn("in_flight", message);
        }
    }
}
