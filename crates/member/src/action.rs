//! Actions that a group asks its caller to perform.

use crate::head::Head;
use crate::identity::Id;
use crate::item::Item;
use crate::message::Message;
use crate::peer::State;
use std::net::SocketAddr;

/// An action that results from an event.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Id of the receiver. Not verified if the receiver is known from the instance list only.
        peer: Id,
        /// Address that the receiver listens on.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The state of a peer changed, or the peer was entered into the roster.
    StateChanged {
        /// The peer.
        peer: Id,
        /// Its new state.
        state: State,
        /// Whether the peer runs with another incarnation than before.
        restarted: bool,
    },
    /// An item of a peer was stored that this node did not have.
    Learned(Item),
    /// A peer has a newer bundle in force than this node: fetch its record from that peer.
    FetchHead {
        /// Head of the peer's bundle.
        head: Head,
        /// The peer.
        peer: Id,
        /// Address that the peer listens on.
        addr: SocketAddr,
    },
}
