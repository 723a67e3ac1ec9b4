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
const MIN_READERS: usize = 2;
/// Nodes of a zone for which one reads.
const NODES_PER_READER: usize = 16;
/// How long a node that has started beside others, or was suspected, does not read for them.
const READER_WARMUP: Duration = Duration::from_secs(3);
/// Time from this node's own start in which it finds the nodes that were there before it or started
/// with it.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);
/// Engines that one node asks before another one shares in it.
pub const ENGINES_PER_POLLER: usize = 48;

/// Endpoints for which one node gives orders before another one shares in it.
pub const ENDPOINTS_PER_ORDERER: usize = 256;

/// Engines by availability zone.
pub type EngineCounts<'a> = BTreeMap<&'a str, usize>;

/// One of `of` equal parts of some endpoints.
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

/// This node's part, and whom it asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Whether it reads the store.
    pub reads: bool,
    /// Readers of its zone, itself left out, in the order in which it prefers them. The others of the
    /// zone begin with each reader in turn, so that all have as many askers, or one more.
    pub readers: Vec<SocketAddr>,
    /// The nodes that ask the engines, itself left out.
    pub pollers: Vec<SocketAddr>,
    /// Its shares in asking the engines of zones.
    poll_shards: BTreeMap<String, Shard>,
    /// Whether it is the first node of all, which alone moves endpoints that hold layers: two nodes
    /// that do so could each move one of the last two copies of a layer.
    pub first: bool,
    /// Its share in giving orders to endpoints that hold nothing.
    order_shard: Option<Shard>,
}

impl Assignment {
    /// The part of the node `me` in `zone` at `now`, among the nodes that take new work.
    pub fn of<'a>(
        now: Now,
        me: Id,
        zone: &str,
        open: impl Iterator<Item = &'a Peer>,
        engines: &EngineCounts<'_>,
    ) -> Self {
        let mut open: Vec<&Peer> = open.collect();
        open.sort_by_key(|p| p.id);
        let others = |peers: &[&Peer]| -> Vec<SocketAddr> {
            let others = peers.iter().filter(|p| p.id != me);
            others.map(|p| p.identity.addr).collect()
        };
        let local = first_in_zone(&open, zone, usize::MAX);
        let local_readers = select_readers(now, &local);
        let position = local.iter().position(|p| p.id == me).unwrap_or_default();
        let mut pollers: Vec<&Peer> = Vec::new();
        let mut poll_shards = BTreeMap::new();
        for (&zone, &engine_count) in engines {
            let limit = engine_count.div_ceil(ENGINES_PER_POLLER).max(1);
            let mut zone_pollers = first_in_zone(&open, zone, limit);
            if zone_pollers.is_empty() {
                // No node is near them: the first of all asks.
                zone_pollers = open.first().copied().into_iter().collect();
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
            first: open.first().is_some_and(|p| p.id == me),
            order_shard: order_shard(me, &open, engines),
        }
    }

    /// Whether it asks an engine of `zone`.
    pub fn polls(&self, zone: &str, run: &Run) -> bool {
        let Some(shard) = self.poll_shards.get(zone) else {
            return false;
        };
        shard.contains(run)
    }

    /// Whether it gives orders to any endpoint.
    pub fn gives_orders(&self) -> bool {
        self.first || self.order_shard.is_some()
    }

    /// Whether it gives an order to an endpoint that holds these layers.
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

/// The nodes of a zone that read the store: the first of those that have not just started, or of all if
/// there is no other.
fn select_readers<'a>(now: Now, local: &[&'a Peer]) -> Vec<&'a Peer> {
    let limit = local.len().div_ceil(NODES_PER_READER).max(MIN_READERS);
    let is_starting = |p: &Peer| {
        p.state_since > DISCOVERY_TIME && now.saturating_sub(p.state_since) < READER_WARMUP
    };
    let (starting, ready): (Vec<&Peer>, Vec<&Peer>) = local.iter().partition(|p| is_starting(p));
    let readers = if ready.is_empty() { starting } else { ready };
    readers.into_iter().take(limit).collect()
}

/// The share of a node in giving orders.
fn order_shard(me: Id, open: &[&Peer], engines: &EngineCounts<'_>) -> Option<Shard> {
    let endpoints: usize = engines.values().sum();
    let count = endpoints
        .div_ceil(ENDPOINTS_PER_ORDERER)
        .clamp(1, open.len().max(1));
    let index = open.iter().take(count).position(|p| p.id == me)?;
    Some(Shard { index, count })
}

/// The readers in the order of the node at a place of its zone.
fn rotate_readers(mut readers: Vec<SocketAddr>, position: usize) -> Vec<SocketAddr> {
    if !readers.is_empty() {
        let first = position % readers.len();
        readers.rotate_left(first);
    }
    readers
}

/// The first nodes of a zone, `most` at the most.
fn first_in_zone<'a>(open: &[&'a Peer], zone: &str, limit: usize) -> Vec<&'a Peer> {
    let own = open.iter().copied().filter(|p| p.identity.zone == zone);
    own.take(limit).collect()
}
