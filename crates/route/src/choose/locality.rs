//! Prefix locality: which endpoints served a prompt's prefix lately.

use bundle::id::EndpointId;
use std::collections::BTreeMap;

/// Endpoints remembered for one prefix at most; the oldest goes first.
const ENDPOINTS: usize = 12;

/// Memory of prefixes, bounded; the least lately used ones are forgotten.
#[derive(Clone, Debug)]
pub struct Locality {
    most: usize,
    clock: u64,
    seen: BTreeMap<u64, Seen>,
    ages: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug)]
struct Seen {
    age: u64,
    endpoints: Vec<EndpointId>,
}

impl Locality {
    /// A memory of at most `most` prefixes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            clock: 0,
            seen: BTreeMap::new(),
            ages: BTreeMap::new(),
        }
    }

    /// Endpoints that served the longest known prefix, and which part of the prompt it is.
    pub fn find(&self, prefix: &[u64]) -> (&[EndpointId], f64) {
        let known = prefix.iter().enumerate().rev();
        let found = known
            .filter_map(|(i, h)| self.seen.get(h).map(|s| (i, s)))
            .next();
        found.map_or((&[], 0.0), |(i, s)| {
            (s.endpoints.as_slice(), (i + 1) as f64 / prefix.len() as f64)
        })
    }

    /// Remembers that `chain` serves `prefix`.
    pub fn learn(&mut self, prefix: &[u64], chain: impl Iterator<Item = EndpointId> + Clone) {
        for &hash in prefix {
            self.clock += 1;
            let fresh = Seen {
                age: self.clock,
                endpoints: Vec::new(),
            };
            let seen = self.seen.entry(hash).or_insert(fresh);
            self.ages.remove(&seen.age);
            seen.age = self.clock;
            self.ages.insert(self.clock, hash);
            for endpoint in chain.clone() {
                seen.endpoints.retain(|&e| e != endpoint);
                seen.endpoints.push(endpoint);
            }
            let over = seen.endpoints.len().saturating_sub(ENDPOINTS);
            seen.endpoints.drain(..over);
        }
        while self.seen.len() > self.most {
            let Some((_, hash)) = self.ages.pop_first() else {
                return;
            };
            self.seen.remove(&hash);
        }
    }

    /// Renames endpoints after a new bundle, and forgets those that are gone.
    pub fn follow(&mut self, moved: &[Option<EndpointId>]) {
        for seen in self.seen.values_mut() {
            let kept = seen
                .endpoints
                .iter()
                .filter_map(|&e| moved.get(e as usize).copied()?);
            seen.endpoints = kept.collect();
        }
    }

    /// Forgets an endpoint that restarted or died: its cache is gone.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.seen
            .values_mut()
            .for_each(|s| s.endpoints.retain(|&e| e != endpoint));
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
