//! Appends of one shard: one at a time, in batches.

use crate::Now;
use crate::backoff::Backoff;
use crate::claim::record::{Item, MAX_ITEMS};
use crate::claim::{Batch, Hash, Number, Settings};
use crate::outcome::Outcome;
use rand_chacha::ChaCha8Rng;

/// Most items that wait in a lane.
pub const MAX_QUEUED_ITEMS: usize = 16 * MAX_ITEMS;

/// Items on their way to the log.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: Vec<Item>,
    in_flight: Option<InFlight>,
    backoff: Backoff,
    heartbeat: bool,
    /// When the oldest waiting item came.
    oldest_at: Now,
}

#[derive(Clone, Debug)]
struct InFlight {
    batch: Batch,
    items: Vec<Item>,
}

impl Queue {
    /// Whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.in_flight.is_none() && !self.heartbeat
    }

    /// Whether no more claims are taken.
    pub fn is_full(&self) -> bool {
        self.items.len() >= MAX_QUEUED_ITEMS
    }

    /// Number of items that wait.
    pub fn queued(&self) -> usize {
        self.items.len()
    }

    /// The append in flight.
    pub fn in_flight(&self) -> Option<Batch> {
        self.in_flight.as_ref().map(|f| f.batch)
    }

    /// Failures of appends in a row.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Adds an item.
    pub fn push(&mut self, now: Now, item: Item) {
        if self.items.is_empty() {
            self.oldest_at = now;
        }
        self.items.push(item);
    }

    /// Asks for a record without items.
    pub fn request_heartbeat(&mut self) {
        self.heartbeat = true;
    }

    /// Drops a claim that has not been sent; one that may have been sent is released when it is
    /// read back.
    pub fn remove_claim(&mut self, hash: Hash, number: Number) {
        self.items.retain(|item| !is_claim(item, hash, number));
    }

    /// Takes the items of the next append, if one is due.
    pub fn take_due(&mut self, now: Now, batch: Batch, settings: &Settings) -> Option<Vec<Item>> {
        if !self.is_due(now, settings) {
            return None;
        }
        let count = self.items.len().min(MAX_ITEMS);
        let items: Vec<Item> = self.items.drain(..count).collect();
        self.in_flight = Some(InFlight {
            batch,
            items: items.clone(),
        });
        self.heartbeat = false;
        self.backoff.record_success(now + settings.append_interval);
        Some(items)
    }

    /// The append took effect.
    pub fn complete(&mut self, batch: Batch) {
        self.in_flight.take_if(|f| f.batch == batch);
    }

    /// The append failed, or may have: all its items are sent again. Records are told apart by
    /// their numbers, so that one that arrives twice counts once.
    pub fn requeue(
        &mut self,
        now: Now,
        batch: Batch,
        settings: &Settings,
        random: &mut ChaCha8Rng,
        should_resend: impl Fn(&Item) -> bool,
    ) {
        let Some(append) = self.in_flight.take_if(|f| f.batch == batch) else {
            return;
        };
        self.heartbeat |= append.items.is_empty();
        let queued = std::mem::take(&mut self.items);
        self.items = append
            .items
            .into_iter()
            .filter(should_resend)
            .chain(queued)
            .collect();
        self.backoff
            .record_failure(now, settings.min_backoff, settings.max_backoff, random);
    }

    fn is_due(&self, now: Now, settings: &Settings) -> bool {
        if self.in_flight.is_some() || !self.backoff.is_ready(now) {
            return false;
        }
        let lingered = !self.items.is_empty() && now >= self.oldest_at + settings.linger;
        self.heartbeat || lingered || self.items.iter().any(is_urgent)
    }
}

/// A caller waits for a claim, and for the release of a key it may send again elsewhere.
fn is_urgent(item: &Item) -> bool {
    match item {
        Item::Claim { .. } => true,
        Item::End { outcome, .. } => *outcome == Outcome::NotRun,
    }
}

fn is_claim(item: &Item, claim_hash: Hash, claim_number: Number) -> bool {
    matches!(item, Item::Claim { hash, number, .. } if *hash == claim_hash && *number == claim_number)
}
