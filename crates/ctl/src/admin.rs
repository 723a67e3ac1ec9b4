//! Client of a node's admin API.

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

/// Timeout of a whole call. A node determines the outcome of a publish before it responds, and
/// backs off while the log is slow, so this exceeds the node's own limit.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A response of a node.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns the body, or an error with the status and the start of the body unless the status is
    /// a success.
    pub fn success(self) -> Result<Bytes> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let text = String::from_utf8_lossy(&self.body);
        Err(eyre!("{}: {:.500}", self.status, text.trim()))
    }

    /// Decodes the body as JSON. The status isn't checked, since refusals carry a JSON body as
    /// well.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .wrap_err_with(|| format!("status {}, unexpected response body", self.status))
    }
}

/// Admin API of one node, by the address of its admin listener.
#[derive(Clone, Copy, Debug)]
pub struct Admin(pub SocketAddr);

impl Admin {
    /// Gets the resource at `path`; any status but a success is an error.
    pub async fn get(self, path: &str) -> Result<Bytes> {
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        response.success().wrap_err_with(|| path.to_owned())
    }

    /// Posts `body` to `path` and returns the response, whatever its status.
    pub async fn post(self, path: &str, body: Bytes) -> Result<Response> {
        self.call(Method::POST, path, body).await
    }

    /// Makes one call within [`CALL_TIMEOUT`]. Each call opens a connection of its own, since a
    /// pooled one may have been closed by the peer without notice.
    async fn call(self, method: Method, path: &str, body: Bytes) -> Result<Response> {
        let call = timeout(CALL_TIMEOUT, self.exchange(method, path, body));
        let response = call.await.wrap_err("the admin call timed out")?;
        response.wrap_err_with(|| format!("node {}", self.0))
    }

    /// Connects, sends the request and reads the whole response.
    async fn exchange(self, method: Method, path: &str, body: Bytes) -> Result<Response> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0));
        let stream = connect.await.wrap_err("connecting timed out")??;
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
        let body = body
            .map_err(|e| eyre!("reading the response body: {e}"))?
            .to_bytes();
        Ok(Response {
            status: parts.status,
            body,
        })
    }
}
