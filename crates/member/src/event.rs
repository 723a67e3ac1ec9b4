//! What happens to a group.

use crate::head::Head;
use crate::identity::Id;
use crate::item::Observation;
use crate::message::Message;
use crate::peer::Entry;
use std::net::SocketAddr;

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; comes at least every [`TICK`].
    Tick,
    /// A peer sent a message.
    Received {
        /// Where that peer listens.
        from: SocketAddr,
        /// What it sent.
        message: Message,
    },
    /// The instance list was read; all its nodes.
    Listed(Vec<Entry>),
    /// This node has a bundle in force. Publish a head only when its record is at hand, since
    /// peers that learn of it ask this node for the record.
    Head(Head),
    /// This node observed something. All of one event are spread together.
    Publish(Vec<Observation>),
    /// A new connection to a peer failed.
    ConnectFailed(Id),
    /// This node is about to exit, with nothing in flight.
    Quit,
}

/// Longest time between two ticks.
pub const TICK: std::time::Duration = std::time::Duration::from_millis(100);
