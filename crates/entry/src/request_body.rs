//! Reads the bodies of requests within the listener's limits.

use crate::account::overloaded;
use crate::api::error::{Error, Result};
use crate::limits::Limits;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use memory::budget::Part;
use memory::buffer::Buffer;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use viz::{Body, Request};

/// Maximum time for reading the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte after which a body has to give way if memory is scarce.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that each byte of a body takes once it is parsed, beside the body itself.
const PARSED_FACTOR: usize = 1;

/// Reads the complete body of `req`. A declared length above the limit is rejected before a byte
/// is read. The timeout limits the time for which slow callers can occupy memory.
///
/// # Errors
///
/// Returns an error if the body is too long, breaks off or is late, or if the listeners have no memory for it.
pub async fn read(req: &mut Request, limits: &Limits) -> Result<Bytes> {
    let declared = viz::RequestExt::content_length(req);
    if declared.is_some_and(|length| length > limits.max_body_bytes as u64) {
        return Err(too_large(limits));
    }
    let mut body = std::mem::replace(req.body_mut(), Body::Empty);
    let expected = declared.and_then(|length| usize::try_from(length).ok());
    let mut buffer = Buffer::new(limits.memory.lease(Part::Bodies), expected);
    let deadline = Instant::now() + limits.body_timeout;
    loop {
        let check_at = deadline.min(Instant::now() + STALL_TIME);
        match timeout_at(check_at, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => {
                // Trailers are not used.
                let mut bytes = frame.into_data().unwrap_or_default();
                if buffer.len() + bytes.len() > limits.max_body_bytes {
                    return Err(too_large(limits));
                }
                if !buffer.store(&mut bytes) {
                    return Err(overloaded());
                }
            }
            Ok(Some(Err(_))) => {
                return Err(Error::new(
                    StatusCode::BAD_REQUEST,
                    "broken_body",
                    "the body ended early",
                ));
            }
            Err(_) if Instant::now() >= deadline => {
                return Err(Error::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "slow_body",
                    "the body did not come in time",
                ));
            }
            Err(_) if limits.is_memory_scarce() => return Err(overloaded()),
            Err(_) => {}
        }
    }
    let (len, class) = (buffer.len(), buffer.class());
    if !buffer.try_lease(len * PARSED_FACTOR, class) {
        return Err(overloaded());
    }
    Ok(buffer.finish().into_bytes())
}

/// Reads the rest of the body of a refused request and drops it, within the listener's limits. If
/// the connection closed while the body still arrives, it would be reset, and the caller would not
/// get the refusal.
pub async fn discard(req: &mut Request, limits: &Limits) {
    let declared = viz::RequestExt::content_length(req).unwrap_or(0);
    if declared > limits.max_body_bytes as u64 {
        return;
    }
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let mut body = Limited::new(body, limits.max_body_bytes);
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // The refusal is sent in any case.
    let _ = tokio::time::timeout(limits.body_timeout.min(DISCARD_TIMEOUT), rest).await;
}

fn too_large(limits: &Limits) -> Error {
    let message = format!("the body is longer than {} bytes", limits.max_body_bytes);
    Error::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}
