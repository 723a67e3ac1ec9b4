//! Load as an engine reports it: `GET /load`, JSON.

use crate::pool::{Error, Pool, Result};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What an engine says of itself; it may be old and miss cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that hold a slot.
    pub running: u32,
    /// Steps that wait to be computed.
    pub waiting: u32,
    /// Requests that can hold a slot at once.
    pub slots: u32,
    /// Time between two tokens of one stream.
    pub inter_token: Duration,
    /// How old the report was when it was sent.
    pub age: Duration,
    /// What it has loaded or is loading.
    pub models: Vec<Loaded>,
    /// Its last cache events, oldest first. A number missing from the sequence was lost.
    pub cache: Vec<CacheEvent>,
    /// Highest fencing number of an order it carried out.
    pub fence: u64,
}

/// A range of layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Whether it can run.
    pub ready: bool,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number, one more than the event before.
    pub number: u64,
    /// The block, named as by [`crate::prefix::block_hashes`].
    pub block: u64,
    /// Whether the block came in; otherwise it went out.
    pub stored: bool,
}

/// Asks an engine for its load.
pub async fn fetch(pool: &Pool, addr: SocketAddr) -> Result<Report> {
    let answer = pool.call(Method::GET, addr, "/load", Bytes::new()).await?;
    if answer.status() != StatusCode::OK {
        return Err(Error::Status(answer.status()));
    }
    serde_json::from_slice(answer.body()).map_err(|_| Error::Format)
}
