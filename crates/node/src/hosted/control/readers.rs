//! Which nodes read the store and ask the engines, for themselves and for the others.
//!
//! The first nodes of each availability zone read the store, one for sixteen and at least two; the
//! others of the zone take copies from them. Calls to the store then grow slower than the nodes.
//! A node that starts beside others reads only for itself at first: until it has read whole tables it
//! has nothing to give, and those that took copies from the reader before it would learn nothing new.
//! The engines of a zone are asked for their loads by its first nodes, each for a bounded number.
//! The first nodes of all give orders to endpoints, each to a bounded number.

use catalog::endpoint::{Run, Span};
use member::Now;
use member::identity::Id;
use member::peer::Peer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Nodes of a zone that read the store, at the least: one may be cut off or stopped.
const READERS: usize = 2;
/// Nodes of a zone for which one reads.
const READS_FOR: usize = 16;
/// How long a node that has started beside others, or was suspected, does not read for them.
const STARTING: Duration = Duration::from_secs(3);
/// Time from this node's own start in which it finds the nodes that were there before it or started
/// with it.
const FINDING: Duration = Duration::from_millis(2500);
/// Engines that one node asks before another one shares in it.
pub const ASKED: usize = 48;

/// Endpoints for which one node gives orders before another one shares in it.
pub const ORDERS_FOR: usize = 256;

/// Engines by availability zone.
pub type Engines<'a> = BTreeMap<&'a str, usize>;

/// One of `of` equal parts of some endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Share {
    number: usize,
    of: usize,
}

impl Share {
    fn holds(&self, run: &Run) -> bool {
        let hash = xxh3_64(run.id.as_bytes());
        hash % self.of as u64 == self.number as u64
    }
}

/// This node's part, and whom it asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Whether it reads the store.
    pub reads: bool,
    /// Readers of its zone, itself left out, in the order in which it prefers them. The others of the
    /// zone begin with each reader in turn, so that all have as many askers, or one more.
    pub readers: Vec<SocketAddr>,
    /// The nodes that ask the engines, itself left out.
    pub pollers: Vec<SocketAddr>,
    /// Its shares in asking the engines of zones.
    shares: BTreeMap<String, Share>,
    /// Whether it is the first node of all, which alone moves endpoints that hold layers: two nodes
    /// that do so could each move one of the last two copies of a layer.
    pub first: bool,
    /// Its share in giving orders to endpoints that hold nothing.
    orders: Option<Share>,
}

impl Part {
    /// The part of the node `me` in `zone` at `now`, among the nodes that take new work.
    pub fn of<'a>(
        now: Now,
        me: Id,
        zone: &str,
        open: impl Iterator<Item = &'a Peer>,
        engines: &Engines<'_>,
    ) -> Self {
        let mut open: Vec<&Peer> = open.collect();
        open.sort_by_key(|p| p.id);
        let others = |peers: &[&Peer]| -> Vec<SocketAddr> {
            let others = peers.iter().filter(|p| p.id != me);
            others.map(|p| p.identity.addr).collect()
        };
        let near = of_zone(&open, zone, usize::MAX);
        let own = reading(now, &near);
        let place = near.iter().position(|p| p.id == me).unwrap_or_default();
        let mut pollers: Vec<&Peer> = Vec::new();
        let mut shares = BTreeMap::new();
        for (&zone, &count) in engines {
            let most = count.div_ceil(ASKED).max(1);
            let mut asking = of_zone(&open, zone, most);
            if asking.is_empty() {
                // No node is near them: the first of all asks.
                asking = open.first().copied().into_iter().collect();
            }
            if let Some(number) = asking.iter().position(|p| p.id == me) {
                let of = asking.len();
                shares.insert(zone.to_owned(), Share { number, of });
            }
            pollers.extend(asking);
        }
        pollers.sort_by_key(|p| p.id);
        pollers.dedup_by_key(|p| p.id);
        Self {
            reads: own.iter().any(|p| p.id == me) || own.is_empty(),
            readers: preferred(others(&own), place),
            pollers: others(&pollers),
            shares,
            first: open.first().is_some_and(|p| p.id == me),
            orders: ordering(me, &open, engines),
        }
    }

    /// Whether it asks an engine of `zone`.
    pub fn asks(&self, zone: &str, run: &Run) -> bool {
        let Some(share) = self.shares.get(zone) else {
            return false;
        };
        share.holds(run)
    }

    /// Whether it gives orders to any endpoint.
    pub fn orders(&self) -> bool {
        self.first || self.orders.is_some()
    }

    /// Whether it gives an order to an endpoint that holds these layers.
    pub fn orders_to(&self, run: &Run, held: Span) -> bool {
        match held.is_empty() {
            true => self.orders.as_ref().is_some_and(|share| share.holds(run)),
            false => self.first,
        }
    }
}

/// The nodes of a zone that read the store: the first of those that have not just started, or of all if
/// there is no other.
fn reading<'a>(now: Now, near: &[&'a Peer]) -> Vec<&'a Peer> {
    let most = near.len().div_ceil(READS_FOR).max(READERS);
    let starts = |p: &Peer| p.state_since > FINDING && now.saturating_sub(p.state_since) < STARTING;
    let (starting, ready): (Vec<&Peer>, Vec<&Peer>) = near.iter().partition(|p| starts(p));
    let readers = if ready.is_empty() { starting } else { ready };
    readers.into_iter().take(most).collect()
}

/// The share of a node in giving orders.
fn ordering(me: Id, open: &[&Peer], engines: &Engines<'_>) -> Option<Share> {
    let endpoints: usize = engines.values().sum();
    let of = endpoints.div_ceil(ORDERS_FOR).clamp(1, open.len().max(1));
    let number = open.iter().take(of).position(|p| p.id == me)?;
    Some(Share { number, of })
}

/// The readers in the order of the node at a place of its zone.
fn preferred(mut readers: Vec<SocketAddr>, place: usize) -> Vec<SocketAddr> {
    if !readers.is_empty() {
        let first = place % readers.len();
        readers.rotate_left(first);
    }
    readers
}

/// The first nodes of a zone, `most` at the most.
fn of_zone<'a>(open: &[&'a Peer], zone: &str, most: usize) -> Vec<&'a Peer> {
    let own = open.iter().copied().filter(|p| p.identity.zone == zone);
    own.take(most).collect()
}
