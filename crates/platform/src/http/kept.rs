//! A connection to one service that is kept open, and whose end is reported at once.
//!
//! [`super::client::Client`] notices that a pooled connection was closed with the next call, and does
//! not say whether a connection was refused or timed out. Failure detection needs both.

use crate::error::{Cause, Error, Result};
use crate::http::OPTIONS;
use crate::http::client::check_head;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::Empty;
use hyper::client::conn::http1::SendRequest;
use memory::budget::Budget;
use response::body;
use response::connection::{self, Opened};
use response::meter::Meter;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
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
    meter: Meter,
    host: HeaderValue,
}

/// The part of a connection that does its I/O.
pub struct Driver(connection::Driver<Empty<Bytes>>);

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
        let opened = match timeout(limit, connection::connect(addr, &OPTIONS)).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => return Err(open_error(error.kind())),
            Err(_) => return Err(OpenError::Unreachable),
        };
        let Opened {
            sender,
            driver,
            meter,
        } = opened;
        let host = HeaderValue::from_str(&addr.to_string());
        let host = host.map_err(|_| OpenError::Unreachable)?;
        let connection = Self {
            sender,
            meter,
            host,
        };
        Ok((connection, Driver(driver)))
    }

    /// Requests `path` and reads the response within `limit`. Its body has at most `max_bytes` bytes, and takes its
    /// memory from `budget`. After an error the connection is of no further use.
    pub async fn get(
        &mut self,
        path: &'static str,
        limit: Duration,
        max_bytes: usize,
        budget: &Budget,
    ) -> Result<Response<Bytes>> {
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(HOST, self.host.clone());
        let exchange = async {
            let ready = self.sender.ready().await;
            ready.map_err(|_| Error::unsent(Cause::Broken))?;
            self.meter.begin();
            let response = self.sender.send_request(request).await;
            let response = response.map_err(|_| Error::sent(Cause::Broken))?;
            check_head(&response)?;
            let (head, body) = response.into_parts();
            self.meter.begin_body();
            let body = body::collect(body, max_bytes, budget).await;
            let body = body.map_err(|_| Error::sent(Cause::Broken))?;
            Ok(Response::from_parts(head, body))
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
