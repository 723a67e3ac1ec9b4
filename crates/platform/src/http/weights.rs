//! Client of the weight store over HTTP.

use crate::error::{Error, Result};
use crate::format::{self, Allowed};
use crate::http::client::Client;
use crate::limits::Limits;
use crate::weights::{self, Rate};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP client of the weight store.
#[derive(Debug)]
pub struct Weights {
    client: Client,
}

impl Weights {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        Self {
            client: Client::new(addr, limits),
        }
    }
}

impl weights::Weights for Weights {
    async fn rate(&self) -> Result<Rate> {
        let call = self
            .client
            .call(Method::GET, format::RATE_PATH, Bytes::new(), Duration::ZERO);
        let response = call.await?;
        let allowed: Allowed = format::decode_json(&response).map_err(Error::sent)?;
        Ok(allowed.into())
    }
}
