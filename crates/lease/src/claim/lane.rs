//! Appends of one shard: one at a time, in batches.

use crate::Now;
use crate::backoff::Backoff;
use crate::claim::record::{Item, MAX_ITEMS};
use crate::claim::{Batch, Hash, Number, Settings};
use crate::outcome::Outcome;
use rand_chacha::ChaCha8Rng;

/// Most items that wait in a lane.
pub const MAX_QUEUE: usize = 16 * MAX_ITEMS;

/// Items on their way to the log.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    queue: Vec<Item>,
    flight: Option<Flight>,
    backoff: Backoff,
    mark: bool,
    /// When the oldest waiting item came.
    since: Now,
}

#[derive(Clone, Debug)]
struct Flight {
    batch: Batch,
    items: Vec<Item>,
}

impl Lane {
    /// Whether nothing waits and nothing is in flight.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none() && !self.mark
    }

    /// Whether no more claims are taken.
    pub fn full(&self) -> bool {
        self.queue.len() >= MAX_QUEUE
    }

    /// Number of items that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The append in flight.
    pub fn flight(&self) -> Option<Batch> {
        self.flight.as_ref().map(|f| f.batch)
    }

    /// Failures of appends in a row.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Adds an item.
    pub fn push(&mut self, now: Now, item: Item) {
        if self.queue.is_empty() {
            self.since = now;
        }
        self.queue.push(item);
    }

    /// Asks for a record without items.
    pub fn mark(&mut self) {
        self.mark = true;
    }

    /// Drops a claim that has not been sent; one that may have been sent is released when it is
    /// read back.
    pub fn forget(&mut self, hash: Hash, number: Number) {
        self.queue.retain(|item| !is_claim(item, hash, number));
    }

    /// Takes the items of the next append, if one is due.
    pub fn take(&mut self, now: Now, batch: Batch, settings: &Settings) -> Option<Vec<Item>> {
        if !self.due(now, settings) {
            return None;
        }
        let count = self.queue.len().min(MAX_ITEMS);
        let items: Vec<Item> = self.queue.drain(..count).collect();
        self.flight = Some(Flight {
            batch,
            items: items.clone(),
        });
        self.mark = false;
        self.backoff.record_success(now + settings.append_interval);
        Some(items)
    }

    /// The append took effect.
    pub fn done(&mut self, batch: Batch) {
        self.flight.take_if(|f| f.batch == batch);
    }

    /// The append failed, or may have: all its items are sent again. Records are told apart by
    /// their numbers, so that one that arrives twice counts once.
    pub fn failed(
        &mut self,
        now: Now,
        batch: Batch,
        settings: &Settings,
        random: &mut ChaCha8Rng,
        wanted: impl Fn(&Item) -> bool,
    ) {
        let Some(flight) = self.flight.take_if(|f| f.batch == batch) else {
            return;
        };
        self.mark |= flight.items.is_empty();
        let rest = std::mem::take(&mut self.queue);
        self.queue = flight
            .items
            .into_iter()
            .filter(wanted)
            .chain(rest)
            .collect();
        self.backoff
            .record_failure(now, settings.min_backoff, settings.max_backoff, random);
    }

    fn due(&self, now: Now, settings: &Settings) -> bool {
        if self.flight.is_some() || !self.backoff.is_ready(now) {
            return false;
        }
        let waited = !self.queue.is_empty() && now >= self.since + settings.linger;
        self.mark || waited || self.queue.iter().any(urgent)
    }
}

/// A caller waits for a claim, and for the release of a key it may send again elsewhere.
fn urgent(item: &Item) -> bool {
    match item {
        Item::Claim { .. } => true,
        Item::End { outcome, .. } => *outcome == Outcome::NotRun,
    }
}

fn is_claim(item: &Item, wanted: Hash, claim: Number) -> bool {
    matches!(item, Item::Claim { hash, number, .. } if *hash == wanted && *number == claim)
}
