//! Idempotency keys, and the handler of tickets.

use super::Shared;
use crate::api::error::{Error, Result};
use crate::api::header::{self, Header, IDEMPOTENCY_KEY};
use crate::claim::Claim;
use crate::core::Command;
use crate::response::json;
use bundle::Bundle;
use http::StatusCode;
use lease::claim::Key;
use route::request::Request as Routed;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use viz::{Request, Response};

/// Timeout of the issue of a ticket, and the retry-after delay if it fails.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the claim of a request that is not repeatable and has a key. A repeatable request needs
/// no claim, because a second run does no harm.
pub fn claim(header: &Header, bundle: &Bundle, request: &Routed) -> Result<Option<Claim>> {
    let Some(key) = header
        .idempotency_key
        .as_deref()
        .filter(|_| !request.repeatable)
    else {
        return Ok(None);
    };
    let team = &bundle.teams[usize::from(header.team)].name;
    let form = Key::parse(team, key)
        .map_err(|e| Error::invalid_value(IDEMPOTENCY_KEY.as_str(), e.to_string()))?;
    Ok(Some(Claim {
        form,
        fingerprint: request.fingerprint,
    }))
}

#[derive(Serialize)]
struct Ticket {
    ticket: String,
}

/// Handles `POST /v1/tickets`. A ticket is an idempotency key that only this node runs, and that
/// works even while the log is unavailable.
pub async fn ticket(state: &Shared, req: &Request) -> Result<Response> {
    let snapshot = state.snapshot()?;
    header::team(req.headers(), &snapshot.view.bundle)?;
    let (tx, rx) = oneshot::channel();
    let _ = state.tx.send(Command::Ticket(tx));
    let ticket = timeout(TICKET_TIMEOUT, rx).await.ok().and_then(|t| t.ok());
    let ticket = ticket.ok_or_else(|| {
        let message = "no ticket could be issued in time";
        Error::new(StatusCode::SERVICE_UNAVAILABLE, "no_ticket", message)
            .with_retry_after(TICKET_TIMEOUT)
    })?;
    Ok(json(&Ticket { ticket }))
}
