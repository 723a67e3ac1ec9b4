//! What a group asks for.

use crate::head::Head;
use crate::identity::Id;
use crate::item::Item;
use crate::message::Message;
use crate::peer::State;
use std::net::SocketAddr;

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send {
        /// The peer; its id is not known to be right when it was only listed.
        peer: Id,
        /// Where it listens.
        to: SocketAddr,
        /// What to send.
        message: Message,
    },
    /// A peer is in another state, or was first heard of.
    StateChanged {
        /// The peer.
        peer: Id,
        /// Its state.
        state: State,
        /// Whether this is another run of it than before.
        restarted: bool,
    },
    /// An item is new here.
    Learned(Item),
    /// A peer has a bundle in force that is newer than the one here; ask it for the record.
    FetchHead {
        /// What it has.
        head: Head,
        /// The peer.
        peer: Id,
        /// Where it listens.
        addr: SocketAddr,
    },
}
