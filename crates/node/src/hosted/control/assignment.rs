//! Assigns the duties that nodes perform for each other: reading the store, polling engines, giving
//! orders.
//!
//! Every node computes the assignment by itself from the list of live nodes, ordered by id.
//!
//! - The first nodes of each availability zone, one in sixteen but at least two, are readers of the
//!   store; the other nodes of the zone copy its tables from them. The number of calls to the store
//!   then grows more slowly than the number of nodes. A node that joins a running fleet reads only
//!   for itself at first: it has no tables to serve until it has read them completely, and nodes
//!   that switched to it from another reader would get no updates meanwhile.
//! - The first nodes of each zone that are not readers are pollers: they poll the engines of the zone
//!   for their loads, each a bounded number. A reader sends tables to the other nodes, which can fill
//!   its link for 100 ms; polls then seem unanswered. In a zone with too few nodes, readers poll.
//! - The first nodes of the fleet give orders to endpoints, each to a bounded number.

use catalog::endpoint::{Run, Span};
use member::Now;
use member::identity::Id;
use member::peer::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of readers in a zone: one of them may be cut off or stopped.
const MIN_READERS: usize = 2;
/// Number of nodes of a zone per reader.
const NODES_PER_READER: usize = 16;
/// Time for which a node is not a reader after it has joined a running fleet or was suspected of
/// failure.
const READER_WARMUP: Duration = Duration::from_secs(3);
/// Time after its own start within which this node discovers the nodes that are already running or
/// started together with it.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);
/// Number of engines of a zone per poller.
pub const ENGINES_PER_POLLER: usize = 48;

/// Number of endpoints per node that gives orders.
pub const ENDPOINTS_PER_ORDERER: usize = 256;

/// Number of engines by availability zone.
pub type EngineCounts<'a> = BTreeMap<&'a str, usize>;

/// One of `count` shards of about equal size into which endpoints are split by a hash of their ids.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Shard {
    index: usize,
    count: usize,
}

impl Shard {
    fn contains(&self, run: &Run) -> bool {
        let hash = xxh3_64(run.id.as_bytes());
        hash % self.count as u64 == self.index as u64
    }
}

/// The duties of this node, and the nodes that have duties for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Whether this node reads the store.
    pub reads: bool,
    /// The other readers of this node's zone, in order of preference. The order is rotated by the
    /// position of the node in its zone, which spreads the nodes evenly over the readers.
    pub readers: Vec<SocketAddr>,
    /// The other nodes that poll engines, in all zones.
    pub pollers: Vec<SocketAddr>,
    /// This node's shards of the engines to poll, by zone.
    poll_shards: BTreeMap<String, Shard>,
    /// Whether this node is the first of the fleet. Only the first node orders moves of endpoints
    /// that hold layers: two nodes could each move one of the last two copies of a layer.
    pub first: bool,
    /// This node's shard of the endpoints without layers to give orders to.
    order_shard: Option<Shard>,
}

impl Assignment {
    /// Computes the assignment of the node `me` in `zone` at `now`, among the nodes that accept new
    /// work. The nodes in `isolated` reach no endpoints: they only read the store.
    pub fn of<'a>(
        now: Now,
        me: Id,
        zone: &str,
        accepting: impl Iterator<Item = &'a Peer>,
        isolated: &BTreeSet<Id>,
        engines: &EngineCounts<'_>,
    ) -> Self {
        let mut accepting: Vec<&Peer> = accepting.collect();
        accepting.sort_by_key(|p| p.id);
        let others = |peers: &[&Peer]| -> Vec<SocketAddr> {
            let others = peers.iter().filter(|p| p.id != me);
            others.map(|p| p.identity.addr).collect()
        };
        let local = first_in_zone(&accepting, zone, usize::MAX);
        let local_readers = select_readers(now, &local);
        let position = local.iter().position(|p| p.id == me).unwrap_or_default();
        accepting.retain(|p| !isolated.contains(&p.id));
        let mut pollers: Vec<&Peer> = Vec::new();
        let mut poll_shards = BTreeMap::new();
        for (&zone, &engine_count) in engines {
            let limit = engine_count.div_ceil(ENGINES_PER_POLLER).max(1);
            let mut zone_pollers = pollers_in_zone(&accepting, zone, limit);
            if zone_pollers.is_empty() {
                // The zone has no node: the first node of the fleet polls its engines.
                zone_pollers = accepting.first().copied().into_iter().collect();
            }
            if let Some(index) = zone_pollers.iter().position(|p| p.id == me) {
                let count = zone_pollers.len();
                poll_shards.insert(zone.to_owned(), Shard { index, count });
            }
            pollers.extend(zone_pollers);
        }
        pollers.sort_by_key(|p| p.id);
        pollers.dedup_by_key(|p| p.id);
        Self {
            reads: local_readers.iter().any(|p| p.id == me) || local_readers.is_empty(),
            readers: rotate_readers(others(&local_readers), position),
            pollers: others(&pollers),
            poll_shards,
            first: accepting.first().is_some_and(|p| p.id == me),
            order_shard: order_shard(me, &accepting, engines),
        }
    }

    /// Returns whether this node polls an engine of `zone`.
    pub fn polls(&self, zone: &str, run: &Run) -> bool {
        let Some(shard) = self.poll_shards.get(zone) else {
            return false;
        };
        shard.contains(run)
    }

    /// Returns whether this node gives orders to any endpoint.
    pub fn gives_orders(&self) -> bool {
        self.first || self.order_shard.is_some()
    }

    /// Returns whether this node gives orders to an endpoint that holds the layers `held`.
    pub fn may_order(&self, run: &Run, held: Span) -> bool {
        match held.is_empty() {
            true => self
                .order_shard
                .as_ref()
                .is_some_and(|shard| shard.contains(run)),
            false => self.first,
        }
    }
}

/// Selects the readers of a zone: the first of the nodes that have not recently started, or of all
/// nodes if all have.
fn select_readers<'a>(now: Now, local: &[&'a Peer]) -> Vec<&'a Peer> {
    let limit = reader_count(local.len());
    let is_starting = |p: &Peer| {
        p.state_since > DISCOVERY_TIME && now.saturating_sub(p.state_since) < READER_WARMUP
    };
    let (starting, ready): (Vec<&Peer>, Vec<&Peer>) = local.iter().partition(|p| is_starting(p));
    let readers = if ready.is_empty() { starting } else { ready };
    readers.into_iter().take(limit).collect()
}

/// Returns the number of readers in a zone with this number of nodes.
fn reader_count(nodes: usize) -> usize {
    nodes.div_ceil(NODES_PER_READER).max(MIN_READERS)
}

/// Selects at most `limit` pollers of a zone: the nodes after its readers if there are enough.
fn pollers_in_zone<'a>(accepting: &[&'a Peer], zone: &str, limit: usize) -> Vec<&'a Peer> {
    let mut local = first_in_zone(accepting, zone, usize::MAX);
    let readers = reader_count(local.len());
    if local.len() >= readers + limit {
        local.drain(..readers);
    }
    local.truncate(limit);
    local
}

/// Computes the shard of a node among the endpoints without layers, if it gives orders at all.
fn order_shard(me: Id, accepting: &[&Peer], engines: &EngineCounts<'_>) -> Option<Shard> {
    let endpoints: usize = engines.values().sum();
    let count = endpoints
        .div_ceil(ENDPOINTS_PER_ORDERER)
        .clamp(1, accepting.len().max(1));
    let index = accepting.iter().take(count).position(|p| p.id == me)?;
    Some(Shard { index, count })
}

/// Rotates the readers into the order of preference of the node at `position` in its zone.
fn rotate_readers(mut readers: Vec<SocketAddr>, position: usize) -> Vec<SocketAddr> {
    if !readers.is_empty() {
        let first = position % readers.len();
        readers.rotate_left(first);
    }
    readers
}

/// Returns the first nodes of a zone, at most `limit`.
fn first_in_zone<'a>(accepting: &[&'a Peer], zone: &str, limit: usize) -> Vec<&'a Peer> {
    let own = accepting
        .iter()
        .copied()
        .filter(|p| p.identity.zone == zone);
    own.take(limit).collect()
}
