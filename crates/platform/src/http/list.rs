//! Client of the instance list over HTTP.

use crate::error::{Error, Result};
use crate::format::{self, Instances};
use crate::http::client::Client;
use crate::instance::Instance;
use crate::limits::Limits;
use crate::list;
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP client of the instance list.
#[derive(Debug)]
pub struct List {
    client: Client,
}

impl List {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        Self {
            client: Client::new(addr, limits),
        }
    }
}

impl list::List for List {
    async fn instances(&self) -> Result<Vec<Instance>> {
        let call = self.client.call(
            Method::GET,
            format::INSTANCES_PATH,
            Bytes::new(),
            Duration::ZERO,
        );
        let response = call.await?;
        let raw: Instances = format::decode_json(&response).map_err(Error::sent)?;
        let checked: std::result::Result<Vec<_>, _> =
            raw.instances.into_iter().map(Instance::try_from).collect();
        checked.map_err(Error::sent)
    }
}
