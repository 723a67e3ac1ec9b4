//! Orders to an engine: `POST /orders`, JSON.

use crate::pool::{Error, Pool, Result};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender's lease. Engines refuse a number lower than the highest one
    /// they have executed.
    pub fence: u64,
    /// The command, which is idempotent.
    #[serde(rename = "what")]
    pub command: Command,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Loads a range of a model's layers.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the model's weights.
        version: String,
        /// Number of layers of the complete model.
        layers: u16,
        /// Names of the adapters.
        adapters: Vec<String>,
        /// First layer.
        from: u16,
        /// One past the last layer.
        to: u16,
    },
    /// Releases all layers of a version.
    Unload {
        /// Name of the model.
        model: String,
        /// Version of the model's weights.
        version: String,
    },
    /// Starts (`true`) or stops (`false`) accepting new requests.
    Serve(bool),
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The order is complete, or in progress; the load report then shows its completion.
    Done,
    /// Refused: the engine has executed an order with a higher fencing number.
    OldFence,
    /// Refused: the engine can't execute the order.
    Refused,
}

/// Sends an order to the engine at `addr`. After an error it is unknown whether the engine
/// executed the order.
pub async fn send(pool: &Pool, addr: SocketAddr, order: Order) -> Result<Answer> {
    let body = serde_json::to_vec(&order).map_err(|_| Error::Format)?;
    let response = pool
        .call(Method::POST, addr, "/orders", Bytes::from(body))
        .await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    serde_json::from_slice(response.body()).map_err(|_| Error::Format)
}
