//! Client of the log service over HTTP.

use crate::error::{Error, Result};
use crate::format::{self, Appended};
use crate::http::client::Client;
use crate::limits::Limits;
use crate::log::{self, Offset, Page};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP client of the log service.
#[derive(Debug)]
pub struct Log {
    client: Client,
}

impl Log {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        Self {
            client: Client::new(addr, limits),
        }
    }
}

impl log::Log for Log {
    async fn append(&self, stream: &str, body: Bytes) -> Result<Offset> {
        let path = format::records_path(stream).map_err(Error::unsent)?;
        let response = self
            .client
            .call(Method::POST, &path, body, Duration::ZERO)
            .await?;
        let appended: Appended = format::decode_json(&response).map_err(Error::sent)?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
        let path = format::records_path(stream).map_err(Error::unsent)?;
        let path = format!("{path}?from={from}&wait={}", wait.as_millis());
        let response = self
            .client
            .call(Method::GET, &path, Bytes::new(), wait)
            .await?;
        let page = format::Page::decode(&response).map_err(Error::sent)?;
        Page::try_from(page).map_err(Error::sent)
    }
}
