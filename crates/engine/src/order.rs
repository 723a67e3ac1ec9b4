//! Orders to an engine: `POST /orders`, JSON.

use crate::pool::{Error, Pool, Result};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fence: u64,
    /// What to do; doing it twice is doing it once.
    #[serde(rename = "what")]
    pub command: Command,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Hold this range of a model's layers.
    Load {
        /// Model.
        model: String,
        /// Version of its weights.
        version: String,
        /// Layers of the whole model.
        layers: u16,
        /// Adapters.
        adapters: Vec<String>,
        /// First layer.
        from: u16,
        /// One past the last layer.
        to: u16,
    },
    /// Hold no layers of this version.
    Unload {
        /// Model.
        model: String,
        /// Version of its weights.
        version: String,
    },
    /// Take new requests, or none.
    Serve(bool),
}

/// What an engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Done, or under way and seen in the load report when done.
    Done,
    /// Refused: it carried out an order with a higher fencing number.
    OldFence,
    /// Refused: it can't do this.
    Refused,
}

/// Gives an engine an order. An error leaves open whether it was carried out.
pub async fn send(pool: &Pool, addr: SocketAddr, order: Order) -> Result<Answer> {
    let body = serde_json::to_vec(&order).map_err(|_| Error::Format)?;
    let answer = pool
        .call(Method::POST, addr, "/orders", Bytes::from(body))
        .await?;
    if answer.status() != StatusCode::OK {
        return Err(Error::Status(answer.status()));
    }
    serde_json::from_slice(answer.body()).map_err(|_| Error::Format)
}
