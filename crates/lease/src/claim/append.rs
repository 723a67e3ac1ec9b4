//! Queue of items to append to a shard's stream, in batches and one append at a time.

use crate::Now;
use crate::backoff::Backoff;
use crate::claim::record::{Item, MAX_ITEMS};
use crate::claim::{Batch, Hash, Number, Settings};
use crate::outcome::Outcome;
use rand_chacha::ChaCha8Rng;

/// Number of queued items at which the queue accepts no more claims.
pub const MAX_QUEUED_ITEMS: usize = 16 * MAX_ITEMS;

/// Queue of the items that one shard has to append.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: Vec<Item>,
    in_flight: Option<InFlight>,
    backoff: Backoff,
    heartbeat: bool,
    /// Time at which the oldest queued item was added.
    oldest_at: Now,
}

#[derive(Clone, Debug)]
struct InFlight {
    batch: Batch,
    items: Vec<Item>,
}

impl Queue {
    /// Returns whether nothing is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.in_flight.is_none() && !self.heartbeat
    }

    /// Returns whether the queue accepts no more claims.
    pub fn is_full(&self) -> bool {
        self.items.len() >= MAX_QUEUED_ITEMS
    }

    /// Number of queued items.
    pub fn queued(&self) -> usize {
        self.items.len()
    }

    /// Number of the append in flight, if any.
    pub fn in_flight(&self) -> Option<Batch> {
        self.in_flight.as_ref().map(|f| f.batch)
    }

    /// Number of consecutive failed appends.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Adds an item to the queue.
    pub fn push(&mut self, now: Now, item: Item) {
        if self.items.is_empty() {
            self.oldest_at = now;
        }
        self.items.push(item);
    }

    /// Requests the append of a record even if no items are queued.
    pub fn request_heartbeat(&mut self) {
        self.heartbeat = true;
    }

    /// Removes a claim that has not been sent. A claim that may have been sent is released when it
    /// is read back.
    pub fn remove_claim(&mut self, hash: Hash, number: Number) {
        self.items.retain(|item| !is_claim(item, hash, number));
    }

    /// Returns the items of the next append, numbered `batch`, if one is due.
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

    /// Handles an append that took effect.
    pub fn complete(&mut self, batch: Batch) {
        self.in_flight.take_if(|f| f.batch == batch);
    }

    /// Handles an append that failed or has an unknown outcome: its items are queued again, except
    /// those that `should_resend` rejects. Items are identified by their numbers, so one that is
    /// appended twice has no further effect.
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

/// Returns whether the item must not linger. Callers wait for claims, and for releases of keys that
/// they may send again to another node.
fn is_urgent(item: &Item) -> bool {
    match item {
        Item::Claim { .. } => true,
        Item::End { outcome, .. } => *outcome == Outcome::NotRun,
    }
}

fn is_claim(item: &Item, claim_hash: Hash, claim_number: Number) -> bool {
    matches!(item, Item::Claim { hash, number, .. } if *hash == claim_hash && *number == claim_number)
}
