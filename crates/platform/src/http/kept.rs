//! A connection to one service that is kept open, and whose end is reported at once.
//!
//! [`super::client::Client`] notices that a pooled connection was closed with the next call, and does
//! not say whether a connection was refused or timed out. Failure detection needs both.

use crate::error::{Cause, Error, Result};
use crate::http::client::check_head;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The address refused or reset the connection.
    Refused,
    /// Nothing answered before the timeout, or the address can't be reached.
    Unreachable,
}

/// A connection for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    host: HeaderValue,
}

/// The part of a connection that does its I/O.
pub struct Driver(http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>);

impl Driver {
    /// Runs until the connection is closed, by either side.
    pub async fn run(self) {
        // An error closes the connection like an orderly end does.
        let _ = self.0.await;
    }
}

impl fmt::Debug for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Driver")
    }
}

impl Connection {
    /// Connects to `addr` within `limit`. The connection works only while its driver runs.
    pub async fn open(
        addr: SocketAddr,
        limit: Duration,
    ) -> std::result::Result<(Self, Driver), OpenError> {
        let stream = match timeout(limit, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(open_error(error.kind())),
            Err(_) => return Err(OpenError::Unreachable),
        };
        // Without it a request is only delayed.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| OpenError::Unreachable)?;
        let host = HeaderValue::from_str(&addr.to_string());
        let host = host.map_err(|_| OpenError::Unreachable)?;
        Ok((Self { sender, host }, Driver(driver)))
    }

    /// Requests `path` and reads the response, whose body has at most `max_bytes` bytes, within `limit`.
    /// After an error the connection is of no further use.
    pub async fn get(
        &mut self,
        path: &'static str,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>> {
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(HOST, self.host.clone());
        let exchange = async {
            let ready = self.sender.ready().await;
            ready.map_err(|_| Error::unsent(Cause::Broken))?;
            let response = self.sender.send_request(request).await;
            let response = response.map_err(|_| Error::sent(Cause::Broken))?;
            check_head(&response)?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, max_bytes).collect().await;
            let body = body.map_err(|_| Error::sent(Cause::Broken))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let result = timeout(limit, exchange).await;
        result.unwrap_or(Err(Error::sent(Cause::Timeout)))
    }
}

fn open_error(kind: ErrorKind) -> OpenError {
    match kind {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => OpenError::Refused,
        _ => OpenError::Unreachable,
    }
}
