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

/// Asks for the endpoint's health on connections of its own, over HTTP/2 and HTTP/1.1 at once: a
/// plain service may speak only the latter, and not all such servers answer the former with an error.
pub(super) async fn probe(addr: SocketAddr, limits: &Limits) -> bool {
    let newer = pin!(async { health(addr, limits).await.unwrap_or(false) });
    let older = pin!(service::health(addr));
    match select(newer, older).await {
        Either::Left((true, _)) | Either::Right((true, _)) => true,
        Either::Left((false, older)) => older.await,
        Either::Right((false, newer)) => newer.await,
    }
}

async fn health(addr: SocketAddr, limits: &Limits) -> Result<bool> {
    let made = Connection::make(addr, limits).await?;
    let connection = made.reserve().ok_or(Error::Full)?;
    let question = request(Method::GET, addr, "/health")?;
    let answer = ask(connection, question, Bytes::new()).await?;
    Ok(answer.status().is_success())
}
