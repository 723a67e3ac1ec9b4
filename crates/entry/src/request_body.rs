//! Reads the bodies of requests within the listener's limits.

use crate::api::error::{Error, Result};
use crate::limits::Limits;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;
use viz::{Body, Request};

/// Maximum time for reading the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the complete body of `req`. A declared length above the limit is rejected before a byte
/// is read. The timeout limits the memory that slow callers can occupy.
pub async fn read(req: &mut Request, limits: &Limits) -> Result<Bytes> {
    let declared = viz::RequestExt::content_length(req).unwrap_or(0);
    if declared > limits.max_body_bytes as u64 {
        return Err(too_large(limits));
    }
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits)),
        Ok(Err(_)) => Err(Error::new(
            StatusCode::BAD_REQUEST,
            "broken_body",
            "the body ended early",
        )),
        Err(_) => Err(Error::new(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            "the body did not come in time",
        )),
    }
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
