//! What callers ask before they send work: models and addresses.

use super::Shared;
use crate::address::{self, Location};
use crate::api::error::Result;
use crate::api::{header, models};
use crate::response::json;
use viz::{Request, RequestExt, Response};

/// Most addresses in one answer: a caller needs a few, and at full size the list is long.
const MAX_ADDRESSES: usize = 16;

/// `GET /v1/models`.
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

/// `GET /v1/addresses?zone=NAME`. It needs no key: a caller asks it before all else, and the
/// answer holds no more than what it needs to connect. Without a zone the node's own is taken.
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
