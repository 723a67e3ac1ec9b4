//! Prefix cache: the prompt blocks that an engine holds, and the events that report changes.

use engine::load::CacheEvent;
use std::collections::{HashMap, VecDeque};

/// Maximum number of events in a load report.
const MAX_EVENTS: usize = 128;

/// A cache of bounded size with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct Cache {
    size: usize,
    /// Every n-th event is dropped; 0 drops none.
    loss_interval: u64,
    /// Value of `clock` at the last use, by block.
    last_used: HashMap<u64, u64>,
    /// Number of block uses so far.
    clock: u64,
    /// Number of the last event.
    number: u64,
    events: VecDeque<CacheEvent>,
}

impl Cache {
    pub(super) fn new(size: usize, loss_interval: u64) -> Self {
        let (last_used, events) = (HashMap::new(), VecDeque::new());
        Self {
            size,
            loss_interval,
            last_used,
            clock: 0,
            number: 0,
            events,
        }
    }

    /// Returns the number of leading blocks of `prefix` that were cached, and caches the prefix up
    /// to the capacity.
    pub(super) fn touch(&mut self, prefix: &[u64]) -> usize {
        let hits = prefix
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count();
        for block in prefix.iter().take(self.size) {
            self.clock += 1;
            if self.last_used.insert(*block, self.clock).is_none() {
                self.record_event(*block, true);
            }
        }
        self.evict();
        hits
    }

    /// The most recent events, oldest first.
    pub(super) fn events(&self) -> Vec<CacheEvent> {
        self.events.iter().copied().collect()
    }

    /// Removes all blocks and events, as after a restart. Event numbers continue.
    pub(super) fn clear(&mut self) {
        self.last_used.clear();
        self.events.clear();
    }

    /// Evicts the least recently used blocks beyond the capacity.
    fn evict(&mut self) {
        let excess = self.last_used.len().saturating_sub(self.size);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<_> = self
            .last_used
            .iter()
            .map(|(block, used)| (*used, *block))
            .collect();
        oldest.sort_unstable();
        for (_, block) in oldest.into_iter().take(excess) {
            self.last_used.remove(&block);
            self.record_event(block, false);
        }
    }

    /// Records an event, unless it is one that `loss_interval` drops.
    fn record_event(&mut self, block: u64, stored: bool) {
        self.number += 1;
        if self.loss_interval > 0 && self.number.is_multiple_of(self.loss_interval) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            number: self.number,
            block,
            stored,
        });
    }
}
