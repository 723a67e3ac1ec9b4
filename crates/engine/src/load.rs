//! Load report of an engine: `GET /load`, JSON.

use crate::pool::{Error, Pool, Result};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Load report of an engine. It may be stale, and cache events may be missing from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of steps that wait to be computed.
    pub waiting: u32,
    /// Maximum number of requests that hold a slot at the same time.
    pub slots: u32,
    /// Time between two tokens of one stream (inter-token latency).
    pub inter_token: Duration,
    /// Age of the report when it was sent.
    pub age: Duration,
    /// Layer ranges that are loaded or being loaded.
    pub models: Vec<Loaded>,
    /// The engine's most recent cache events, oldest first. A gap in their numbers means that
    /// events were lost.
    pub cache: Vec<CacheEvent>,
    /// Highest fencing number of the orders that the engine has executed.
    pub fence: u64,
}

/// A range of layers that an engine holds or loads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Whether the layers can run.
    pub ready: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, one more than that of the previous event.
    pub number: u64,
    /// Hash of the block, computed by [`crate::prefix::block_hashes`].
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Requests the load report of the engine at `addr`.
pub async fn fetch(pool: &Pool, addr: SocketAddr) -> Result<Report> {
    let response = pool.call(Method::GET, addr, "/load", Bytes::new()).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    serde_json::from_slice(response.body()).map_err(|_| Error::Format)
}
