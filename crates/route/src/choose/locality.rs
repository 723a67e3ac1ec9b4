//! Prefix locality: estimates which endpoints hold a prompt's prefix in their cache.
//!
//! A rendezvous hash of the prefix over the stages, weighted by flow, selects a few endpoints; all
//! routers select the same ones without communication. The key is the hash of the prompt's first
//! block. If a large fraction of all requests starts with that block, the key is the first block at
//! which they differ, so that a common preamble does not send all requests to a few endpoints.

use crate::plan::graph::Graph;
use bundle::id::EndpointId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A block is hot if more than one in this many requests starts with it.
const HOT_DIVISOR: u64 = 6;
/// Number of requests up to which a block is never hot.
const HOT_MIN_COUNT: u32 = 32;
/// Number of first stages that a prefix is sent to, and of later stages after each of these.
const HOME_STAGES: (usize, usize) = (2, 2);
/// As [`HOME_STAGES`], for requests whose home endpoints are full while these have spare capacity.
const SPARE_STAGES: (usize, usize) = (4, 2);

/// Bounded memory of prefixes; evicts the least recently used one.
#[derive(Clone, Debug)]
pub struct Locality {
    capacity: usize,
    clock: u64,
    /// Number of requests recorded.
    request_count: u64,
    seen: BTreeMap<u64, Seen>,
    ages: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug)]
struct Seen {
    age: u64,
    count: u32,
}

/// Endpoints that are likely to have a prompt's prefix in their cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Preference {
    /// Endpoints that get requests with this prefix first.
    pub home: Vec<EndpointId>,
    /// The home endpoints and the next ones in the order of the hash.
    pub spare: Vec<EndpointId>,
}

impl Locality {
    /// Creates a memory of at most `most` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            request_count: 0,
            seen: BTreeMap::new(),
            ages: BTreeMap::new(),
        }
    }

    /// Records a request with this prefix.
    pub fn record(&mut self, prefix: &[u64]) {
        self.request_count += 1;
        for &hash in prefix {
            self.clock += 1;
            let unseen = Seen {
                age: self.clock,
                count: 0,
            };
            let seen = self.seen.entry(hash).or_insert(unseen);
            self.ages.remove(&seen.age);
            seen.age = self.clock;
            seen.count = seen.count.saturating_add(1);
            self.ages.insert(self.clock, hash);
        }
        while self.seen.len() > self.capacity {
            let Some((_, hash)) = self.ages.pop_first() else {
                return;
            };
            self.seen.remove(&hash);
        }
    }

    /// Returns the endpoints that are likely to have the shared part of `prefix` in their cache.
    pub fn find(&self, prefix: &[u64], graph: &Graph) -> Preference {
        let key_block = prefix.iter().find(|h| !self.is_hot(**h));
        let Some(&key) = key_block.or(prefix.last()) else {
            return Preference::default();
        };
        Preference {
            home: rendezvous(graph, key, HOME_STAGES),
            spare: rendezvous(graph, key, SPARE_STAGES),
        }
    }

    /// Returns whether so many requests start with this block that a few endpoints could not serve
    /// them all.
    fn is_hot(&self, hash: u64) -> bool {
        let count = self.seen.get(&hash).map_or(0, |s| s.count);
        count > HOT_MIN_COUNT && u64::from(count) * HOT_DIVISOR > self.request_count
    }

    /// Returns the number of remembered prefixes.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

/// Returns the endpoints of the first chains in the order of a weighted rendezvous hash of `key`:
/// `first` first stages, and `later` stages after each of these.
fn rendezvous(graph: &Graph, key: u64, (first, later): (usize, usize)) -> Vec<EndpointId> {
    let mut found = Vec::new();
    let mut ports = vec![(Graph::START, first)];
    while let Some((port, count)) = ports.pop() {
        for stage in top_ranked(graph, port, key, count) {
            let row = &graph.stages[stage];
            found.push(row.endpoint);
            if row.to < graph.layers {
                ports.push((graph.port_after(row), later));
            }
        }
    }
    found
}

/// Returns the `most` successors of `port` with the lowest weighted hash.
fn top_ranked(graph: &Graph, port: usize, key: u64, count: usize) -> Vec<usize> {
    let mut before = 0.0;
    let ranked = graph.successors(port).iter().map(|next| {
        let flow = next.cumulative_flow - before;
        before = next.cumulative_flow;
        let hash = xxh3_64_with_seed(&graph.stages[next.stage].name_hash.to_le_bytes(), key);
        let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        (-unit.max(f64::MIN_POSITIVE).ln() / flow, next.stage)
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, stage)| stage)
        .collect()
}
