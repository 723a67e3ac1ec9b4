//! Peers: nodes as seen by this node, itself included.

use crate::Now;
use crate::identity::{Id, Identity};
use crate::item::Version;
use std::fmt;
use std::net::SocketAddr;

/// Number of suspicions that a node has refuted in one run; orders statements about that run.
pub type Refutations = u32;

/// State of a peer as seen by this node. Each node judges by itself whether a peer is `Dead` or
/// `Parted`; only suspicions and refutations are disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The peer answers.
    Up,
    /// The peer did not answer a probe of some node and may still refute the suspicion.
    Suspect,
    /// The peer is unreachable together with most of its availability zone or of the group, as in a
    /// network partition. It still counts as an existing node.
    Parted,
    /// The peer did not answer and did not refute the suspicion, while its availability zone answers.
    Dead,
    /// The peer announced its exit, or is neither listed nor reachable, and was removed.
    Left,
}

/// State of an instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Address that peers connect to.
    pub addr: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// State of the instance in the list.
    pub state: ListedState,
}

/// A node in the roster.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Hash of the node's name.
    pub id: Id,
    /// Name, address, location and run.
    pub identity: Identity,
    /// Number of refutations known of its run.
    pub refutations: Refutations,
    /// State as seen by this node.
    pub state: State,
    /// Time at which the peer entered its state, or at which the state was last confirmed.
    pub state_since: Now,
    /// Time at which the peer last ceased to be up. Losses of several peers within a short time are
    /// taken to have one cause.
    pub lost_at: Now,
    /// Time of the last message from the peer or other proof that it is alive; `None` if it is known only
    /// through other nodes.
    pub heard_at: Option<Now>,
    /// Time at which this node's own probe of the peer last failed.
    pub probe_failed_at: Option<Now>,
    /// Time since which, after the loss of the peer, its availability zone is known to answer.
    pub zone_alive_since: Option<Now>,
    /// State in the instance list; `None` if the list does not name the peer.
    pub listed: Option<ListedState>,
    /// Version up to which all publications of the peer are stored.
    pub version: Version,
    /// Whether the peer announced that it accepts no new requests.
    pub leaving: bool,
}

impl Peer {
    /// Creates a peer that is up.
    pub fn new(identity: Identity, now: Now) -> Self {
        Self {
            id: identity.id(),
            identity,
            refutations: 0,
            state: State::Up,
            state_since: now,
            lost_at: now,
            heard_at: None,
            probe_failed_at: None,
            zone_alive_since: None,
            listed: None,
            version: 0,
            leaving: false,
        }
    }

    /// Returns whether requests may be sent to the peer.
    pub fn accepts_work(&self) -> bool {
        let live = self.listed != Some(ListedState::Leaving);
        self.state == State::Up && !self.leaving && live
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            identity,
            refutations: turn,
            state,
            state_since: since,
            version,
            leaving,
            ..
        } = self;
        write!(
            f,
            "{identity} {state:?} since {since:?} turn {turn} v{version}"
        )?;
        let standing = self.listed;
        write!(f, " list {standing:?} leaving={leaving}")
    }
}
