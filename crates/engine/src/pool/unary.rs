//! Requests with short responses.

use super::connection::Connection;
use super::{Error, Limits, Result, request};
use crate::service;
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Method, Request, Response};
use std::net::SocketAddr;
use std::pin::pin;

/// Maximum length of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Sends a request and collects its response.
pub(super) async fn call(
    connection: Connection,
    request: Request<()>,
    body: Bytes,
) -> Result<Response<Bytes>> {
    let mut stream = connection.start(request, body.is_empty())?;
    if !body.is_empty() {
        stream.send(body, true).await?;
    }
    stream.collect(MAX_RESPONSE_BYTES).await
}

/// Requests the endpoint's health on new connections, over HTTP/2 and HTTP/1.1 at the same time. A
/// plain service may support only HTTP/1.1, and not all such servers answer HTTP/2 with an error.
pub(super) async fn probe(addr: SocketAddr, limits: &Limits) -> bool {
    let http2 = pin!(async { health(addr, limits).await.unwrap_or(false) });
    let http1 = pin!(service::health(addr, limits));
    match select(http2, http1).await {
        Either::Left((true, _)) | Either::Right((true, _)) => true,
        Either::Left((false, http1)) => http1.await,
        Either::Right((false, http2)) => http2.await,
    }
}

/// Returns whether the endpoint answers `GET /health` with success over HTTP/2.
async fn health(addr: SocketAddr, limits: &Limits) -> Result<bool> {
    let connection = Connection::connect(addr, limits).await?;
    let handle = connection.reserve().ok_or(Error::Full)?;
    let request = request(Method::GET, addr, "/health")?;
    let response = call(handle, request, Bytes::new()).await?;
    Ok(response.status().is_success())
}
