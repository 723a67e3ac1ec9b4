//! Peers as this node sees them.

use crate::Now;
use crate::identity::{Id, Identity};
use crate::item::Version;
use std::fmt;
use std::net::SocketAddr;

/// How often a node has refuted a suspicion in one run.
pub type Refutations = u32;

/// What this node thinks of a peer. `Dead` and `Parted` are each node's own judgement; only
/// suspicion and its refutation are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Up,
    /// It did not answer somebody, and may still refute that.
    Suspect,
    /// It is out of reach together with most of its availability zone, or with most of the
    /// group; it counts as existing.
    Parted,
    /// It alone did not answer and did not refute.
    Dead,
    /// It left by itself, or nobody lists or reaches it any longer.
    Left,
}

/// What the instance list says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
}

/// One line of the instance list.
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
    /// What the list says of it.
    pub state: ListedState,
}

/// A peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Hash of its name.
    pub id: Id,
    /// Name, place and run.
    pub identity: Identity,
    /// Its last known refutation.
    pub refutations: Refutations,
    /// What this node thinks of it.
    pub state: State,
    /// Since when.
    pub state_since: Now,
    /// When it was last no longer up; what followed has one cause with what other peers lost
    /// then.
    pub lost_at: Now,
    /// When something last came from it or proved that it lives; nothing if it is only known from
    /// others.
    pub heard_at: Option<Now>,
    /// When this node's own probe of it last failed.
    pub probe_failed_at: Option<Now>,
    /// Since when, after it was lost, its availability zone is known to answer.
    pub zone_alive_since: Option<Now>,
    /// What the list says; nothing if it does not name the peer.
    pub listed: Option<ListedState>,
    /// All its publications up to this one are stored.
    pub version: Version,
    /// Whether it said that it takes no new work.
    pub leaving: bool,
}

impl Peer {
    /// A peer that is up.
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

    /// Whether work may be sent to it.
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
