//! Prefix locality: where the cache of a prompt's prefix is likely to be.
//!
//! A rendezvous hash of the prefix over the stages, weighted by flow, names a few endpoints, and
//! all routers name the same ones without a word. The key is the first block of the prompt;
//! where a large part of all requests begin with that block, it is the first block at which they
//! part, so that a common preamble does not send everything to a few endpoints.

use crate::plan::graph::Graph;
use bundle::id::EndpointId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One in this many requests that begin with a block make it hot.
const HOT_DIVISOR: u64 = 6;
/// Requests with a block below which it is not hot.
const HOT_MIN_COUNT: u32 = 32;
/// First stages, and later ones after each of these, that a prefix is sent to.
const HOME_STAGES: (usize, usize) = (2, 2);
/// As many when those are full and these are not.
const SPARE_STAGES: (usize, usize) = (4, 2);

/// Memory of prefixes, bounded; the least lately used ones are forgotten.
#[derive(Clone, Debug)]
pub struct Locality {
    capacity: usize,
    clock: u64,
    /// Requests counted.
    request_count: u64,
    seen: BTreeMap<u64, Seen>,
    ages: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug)]
struct Seen {
    age: u64,
    count: u32,
}

/// Where a prompt's prefix is likely to be cached.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Preference {
    /// Endpoints that it is sent to.
    pub home: Vec<EndpointId>,
    /// These, and the next ones.
    pub spare: Vec<EndpointId>,
}

impl Locality {
    /// A memory of at most `most` prefixes.
    pub fn new(most: usize) -> Self {
        Self {
            capacity: most,
            clock: 0,
            request_count: 0,
            seen: BTreeMap::new(),
            ages: BTreeMap::new(),
        }
    }

    /// Counts a request with this prefix.
    pub fn record(&mut self, prefix: &[u64]) {
        self.request_count += 1;
        for &hash in prefix {
            self.clock += 1;
            let fresh = Seen {
                age: self.clock,
                count: 0,
            };
            let seen = self.seen.entry(hash).or_insert(fresh);
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

    /// Where the shared part of `prefix` is likely to be cached.
    pub fn find(&self, prefix: &[u64], graph: &Graph) -> Preference {
        let cool = prefix.iter().find(|h| !self.is_hot(**h));
        let Some(&key) = cool.or(prefix.last()) else {
            return Preference::default();
        };
        Preference {
            home: rendezvous(graph, key, HOME_STAGES),
            spare: rendezvous(graph, key, SPARE_STAGES),
        }
    }

    /// Whether so many requests begin with this that a few endpoints could not serve them.
    fn is_hot(&self, hash: u64) -> bool {
        let count = self.seen.get(&hash).map_or(0, |s| s.count);
        count > HOT_MIN_COUNT && u64::from(count) * HOT_DIVISOR > self.request_count
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

/// The endpoints of the first chains in the order of a weighted rendezvous hash of `key`: so many
/// first stages, and so many later ones after each of these.
fn rendezvous(graph: &Graph, key: u64, (first, later): (usize, usize)) -> Vec<EndpointId> {
    let mut found = Vec::new();
    let mut ports = vec![(Graph::START, first)];
    while let Some((port, most)) = ports.pop() {
        for stage in top_ranked(graph, port, key, most) {
            let row = &graph.stages[stage];
            found.push(row.endpoint);
            if row.to < graph.layers {
                ports.push((graph.port_after(row), later));
            }
        }
    }
    found
}

/// The `most` stages after `port` with the least weighted hash.
fn top_ranked(graph: &Graph, port: usize, key: u64, most: usize) -> Vec<usize> {
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
        .take(most)
        .map(|(_, stage)| stage)
        .collect()
}
