//! Counters of an engine, and the record of the layers that ran.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Counters since the engine was created; a restart does not reset them.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests admitted to a slot.
    pub opened: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Steps computed.
    pub steps: AtomicU64,
    /// Token positions computed through the layers of their request, prefill included.
    pub positions: AtomicU64,
    /// Requests that the caller ended normally after the last step.
    pub finished: AtomicU64,
    /// Admitted requests that ended by a reset, a protocol error or a crash.
    pub cancelled: AtomicU64,
    /// Orders that passed the fencing check.
    pub orders: AtomicU64,
    /// Orders refused for a stale fencing number.
    pub stale_fences: AtomicU64,
}

impl Counters {
    pub(super) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::SeqCst);
    }

    /// Reads a counter.
    pub fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::SeqCst)
    }
}

/// Number of times that each layer ran for each position in one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// First layer of the range.
    pub from: u16,
    /// Counts, indexed by layer of the range and then by position.
    pub counts: Vec<Vec<u32>>,
}

impl Runs {
    /// Returns whether each layer ran exactly once for each of the first `positions` positions and
    /// for no further position.
    pub fn is_once(&self, positions: usize) -> bool {
        let once = |layer: &Vec<u32>| layer.len() == positions && layer.iter().all(|n| *n == 1);
        self.counts.iter().all(once)
    }

    fn record(&mut self, layer: u16, position: u64) {
        let Some(layer) = self.counts.get_mut(usize::from(layer - self.from)) else {
            return;
        };
        let position = position as usize;
        if layer.len() <= position {
            layer.resize(position + 1, 0);
        }
        layer[position] += 1;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    request: u128,
    attempt: u32,
}

#[derive(Debug, Default)]
struct Records {
    runs: BTreeMap<Key, Runs>,
    /// Recorded attempts, oldest first.
    order: VecDeque<Key>,
}

/// Records the layer runs of the latest attempts, up to `size` attempts.
#[derive(Debug)]
pub(super) struct Ledger {
    size: usize,
    records: Mutex<Records>,
}

impl Ledger {
    pub(super) fn new(size: usize) -> Self {
        Self {
            size,
            records: Mutex::default(),
        }
    }

    /// Returns whether runs are recorded.
    pub(super) fn is_enabled(&self) -> bool {
        self.size > 0
    }

    /// Adds the layers that ran for one position of an attempt; a new attempt replaces
    /// the oldest one if the ledger is full.
    pub(super) fn record(
        &self,
        request: u128,
        attempt: u32,
        range: std::ops::Range<u16>,
        layers: &[u16],
        position: u64,
    ) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let key = Key { request, attempt };
        if !records.runs.contains_key(&key) {
            records.order.push_back(key);
            if records.order.len() > self.size {
                let oldest = records.order.pop_front();
                oldest.map(|oldest| records.runs.remove(&oldest));
            }
        }
        let runs = records.runs.entry(key).or_insert_with(|| Runs {
            from: range.start,
            counts: vec![Vec::new(); range.len()],
        });
        layers
            .iter()
            .for_each(|layer| runs.record(*layer, position));
    }

    pub(super) fn get(&self, request: u128, attempt: u32) -> Option<Runs> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.runs.get(&Key { request, attempt }).cloned()
    }
}
