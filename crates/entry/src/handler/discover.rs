//! Handlers of the lists of models and of entry nodes' addresses.

use super::Shared;
use crate::address::{self, Location};
use crate::api::error::Result;
use crate::api::{header, models};
use crate::response::json;
use viz::{Request, RequestExt, Response};

/// Maximum number of addresses in an answer. A caller needs only a few, while a large fleet has
/// many.
const MAX_ADDRESSES: usize = 16;

/// Handles `GET /v1/models`.
pub fn models(state: &Shared, req: &Request) -> Result<Response> {
    let snapshot = state.snapshot()?;
    let bundle = &snapshot.view.bundle;
    let team = header::team(req.headers(), bundle)?;
    Ok(json(&models::list(bundle, team)))
}

#[derive(serde::Deserialize)]
struct Query {
    zone: Option<String>,
}

/// Handles `GET /v1/addresses?zone=NAME`. No key is required, because this is a caller's first
/// request and the answer contains only what is needed to connect. Without a known zone, the
/// node's own zone is used.
pub fn addresses(state: &Shared, req: &Request) -> Result<Response> {
    let snapshot = state.snapshot()?;
    let view = &snapshot.view;
    let zones = &view.bundle.zones;
    let requested = req.query::<Query>().ok().and_then(|q| q.zone);
    let named = requested.and_then(|name| zones.iter().find(|z| z.name == name));
    let zone = named.or_else(|| zones.get(usize::from(view.zone)));
    let location = zone.map_or_else(Location::default, |z| Location {
        zone: z.name.clone(),
        region: z.region.clone(),
    });
    let list = address::list(
        &snapshot.addresses,
        &location,
        state.address_ttl,
        MAX_ADDRESSES,
        &mut state.rng(),
    );
    Ok(json(&list))
}
