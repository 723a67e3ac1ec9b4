//! A node's admin API.

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time of a call. A node settles a publish itself before it answers, backing off from
/// a slow log, so this is longer than the node's own limit.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An answer.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// The body, if the status says success.
    pub fn success(self) -> Result<Bytes> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        Err(eyre!("{}: {:.500}", self.status, text.trim()))
    }

    /// The body as JSON, whatever the status: refusals carry one as well.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .wrap_err_with(|| format!("status {}, unexpected answer", self.status))
    }
}

/// The admin API of one node.
#[derive(Clone, Copy, Debug)]
pub struct Admin(pub SocketAddr);

impl Admin {
    /// The JSON or text under `path`.
    pub async fn get(self, path: &str) -> Result<Bytes> {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        answer.success().wrap_err_with(|| path.to_owned())
    }

    /// Posts `body` to `path`.
    pub async fn post(self, path: &str, body: Bytes) -> Result<Response> {
        self.call(Method::POST, path, body).await
    }

    /// One call on a connection of its own, since a kept one may have gone silent.
    async fn call(self, method: Method, path: &str, body: Bytes) -> Result<Response> {
        let call = timeout(CALL_TIMEOUT, self.exchange(method, path, body));
        let answer = call.await.wrap_err("time limit passed")?;
        answer.wrap_err_with(|| format!("node {}", self.0))
    }

    async fn exchange(self, method: Method, path: &str, body: Bytes) -> Result<Response> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0));
        let stream = connect.await.wrap_err("no connection")??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.0.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| eyre!("answer: {e}"))?.to_bytes();
        Ok(Response {
            status: parts.status,
            body,
        })
    }
}
