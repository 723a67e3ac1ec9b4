//! Events that drive a group.

use crate::head::Head;
use crate::identity::Id;
use crate::item::Observation;
use crate::message::Message;
use crate::peer::Entry;
use std::net::SocketAddr;

/// An event that a group handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Must occur at least once per [`TICK`].
    Tick,
    /// A message of a peer arrived.
    Received {
        /// Address that the peer listens on.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The instance list was read; holds every node that it names.
    Listed(Vec<Entry>),
    /// This node has a bundle in force. Raise this only once the bundle's record can be served,
    /// since peers that learn of the head request the record from this node.
    Head(Head),
    /// This node made observations. Those of one event spread as one publication.
    Publish(Vec<Observation>),
    /// A new connection to a peer failed.
    ConnectFailed(Id),
    /// This node is about to exit and has no request in flight.
    Quit,
}

/// Longest time between two [`Event::Tick`]s.
pub const TICK: std::time::Duration = std::time::Duration::from_millis(100);
