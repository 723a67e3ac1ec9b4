//! Table of endpoints.

use super::fields::Fields;
use super::model;
use super::names::Names;
use crate::endpoint::{Endpoint, Span};
use crate::finding::Findings;
use crate::model::Model;
use crate::section::Kind;
use crate::sections::Sections;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Maximum number of requests that one endpoint may run concurrently; a larger value is more likely
/// a typing mistake.
const MAX_SLOTS: u32 = 65_536;

/// Placeholder for an address that is missing or can't be parsed.
const UNREADABLE_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Builds the table; two endpoints with the same address are an error.
pub(super) fn table(
    sections: &Sections,
    names: &Names<'_>,
    models: &[Model],
    findings: &mut Findings,
) -> Vec<Endpoint> {
    let mut rows = Vec::new();
    let mut addrs: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for section in sections.of_kind(Kind::Endpoint) {
        let mut fields = Fields::new(section, findings);
        let row = row(&mut fields, names, models);
        if row.addr != UNREADABLE_ADDR
            && let Some(other) = addrs.insert(row.addr, row.name.clone())
        {
            fields.error("addr", format_args!("is the address of `{other}` too"));
        }
        rows.push(row);
    }
    rows
}

/// Reads the row of one section.
fn row(fields: &mut Fields<'_>, names: &Names<'_>, models: &[Model]) -> Endpoint {
    let row = Endpoint {
        name: fields.name(),
        instance: fields.text("instance").unwrap_or_default().into(),
        addr: addr(fields),
        zone: fields.id("zone", &names.zones).unwrap_or_default(),
        kind: kind(fields, names),
        spans: spans(fields, names, models),
        services: fields.ids("services", &names.services),
        slots: fields.count("slots"),
        fenced: fields.flag("fenced", false),
    };
    check(fields, &row);
    row
}

/// Reads the address; an address on which nothing can listen is an error.
fn addr(fields: &mut Fields<'_>) -> SocketAddr {
    let addr = fields.read("addr", "an IP address with a port");
    let addr = addr.unwrap_or(UNREADABLE_ADDR);
    if fields
        .optional("addr")
        .is_some_and(|t| t.parse() == Ok(addr))
        && (addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast())
    {
        fields.error("addr", "nothing can be reached there");
    }
    addr
}

/// Reads the kind of the accelerator, if one is named.
fn kind(fields: &mut Fields<'_>, names: &Names<'_>) -> Option<crate::id::KindId> {
    fields.optional("kind")?;
    fields.id("kind", &names.kinds)
}

/// Reads the spans; each span that can't be parsed is an error.
fn spans(fields: &mut Fields<'_>, names: &Names<'_>, models: &[Model]) -> Vec<Span> {
    let mut spans = Vec::new();
    for text in fields.list("spans") {
        match model::span(text, models, |name| names.models.get(name)) {
            Ok(span) => spans.push(span),
            Err(Some(message)) => fields.error("spans", message),
            Err(None) => {
                let name = text.split(' ').next().unwrap_or(text);
                fields.lookup("spans", name, &names.models);
            }
        }
    }
    spans
}

/// Checks the limits of a row and the consistency of its values.
fn check(fields: &mut Fields<'_>, row: &Endpoint) {
    if row.slots > MAX_SLOTS {
        fields.error("slots", format_args!("is over {MAX_SLOTS}"));
    }
    if !row.spans.is_empty() && fields.optional("kind").is_none() {
        fields.error("kind", "is missing, but the endpoint serves layers");
    }
    if fields.optional("spans").is_none() && fields.optional("services").is_none() {
        fields.error("", "serves neither a span nor a service");
    }
}
