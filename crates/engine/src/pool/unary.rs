//! Requests with short answers.

use super::connection::Connection;
use super::{Error, Limits, Result, request};
use crate::service;
use bytes::Bytes;
use http::{Method, Request, Response};
use std::net::SocketAddr;

/// Longest body of such an answer.
const ANSWER_LIMIT: usize = 1 << 20;

/// Sends the request and collects the answer.
pub(super) async fn ask(
    connection: Connection,
    request: Request<()>,
    body: Bytes,
) -> Result<Response<Bytes>> {
    let mut stream = connection.start(request, body.is_empty())?;
    if !body.is_empty() {
        stream.send(body, true).await?;
    }
    stream.collect(ANSWER_LIMIT).await
}

/// Asks for the endpoint's health on a connection of its own. A plain service may speak HTTP/1.1
/// only, and then gets the question again in that form.
pub(super) async fn probe(addr: SocketAddr, limits: &Limits) -> bool {
    if let Ok(status) = health(addr, limits).await {
        return status;
    }
    service::health(addr).await
}

async fn health(addr: SocketAddr, limits: &Limits) -> Result<bool> {
    let made = Connection::make(addr, limits).await?;
    let connection = made.reserve().ok_or(Error::Full)?;
    let question = request(Method::GET, addr, "/health")?;
    let answer = ask(connection, question, Bytes::new()).await?;
    Ok(answer.status().is_success())
}
