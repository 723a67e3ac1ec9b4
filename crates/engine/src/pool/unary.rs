//! Requests with short answers.

use super::connection::Connection;
use super::{Error, Limits, Result, request};
use crate::service;
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Method, Request, Response};
use std::net::SocketAddr;
use std::pin::pin;

/// Longest body of such an answer.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Sends the request and collects the answer.
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

/// Asks for the endpoint's health on connections of its own, over HTTP/2 and HTTP/1.1 at once: a
/// plain service may speak only the latter, and not all such servers answer the former with an error.
pub(super) async fn probe(addr: SocketAddr, limits: &Limits) -> bool {
    let http2 = pin!(async { health(addr, limits).await.unwrap_or(false) });
    let http1 = pin!(service::health(addr));
    match select(http2, http1).await {
        Either::Left((true, _)) | Either::Right((true, _)) => true,
        Either::Left((false, http1)) => http1.await,
        Either::Right((false, http2)) => http2.await,
    }
}

async fn health(addr: SocketAddr, limits: &Limits) -> Result<bool> {
    let made = Connection::connect(addr, limits).await?;
    let connection = made.reserve().ok_or(Error::Full)?;
    let question = request(Method::GET, addr, "/health")?;
    let answer = call(connection, question, Bytes::new()).await?;
    Ok(answer.status().is_success())
}
