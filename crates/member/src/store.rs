//! Store of the items that nodes published, by origin.

use crate::Now;
use crate::identity::Id;
use crate::item::{Key, Observation, Version};
use crate::level::Level;
use std::collections::BTreeMap;
use std::time::Duration;

/// A stored item.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Version of its publication.
    pub version: Version,
    /// Time at which the item expires; `None` if it is valid until its origin leaves.
    pub expires_at: Option<Now>,
    /// The observation.
    pub body: Observation,
    /// For a demand, the smallest value before its last change, and the time of that change.
    pub previous_min: Option<PreviousMin>,
}

/// The smallest value of a demand before its last change.
#[derive(Clone, Copy, Debug)]
pub struct PreviousMin {
    rate: Level,
    in_flight: Level,
    changed_at: Now,
}

impl Slot {
    /// Returns a lower bound of this demand within the last `time`. Changes that follow each other within
    /// that time are treated as one, so the result may be less than the demand ever was.
    pub fn min_demand(&self, now: Now, time: Duration) -> (Level, Level) {
        let Observation::Demand {
            rate, in_flight, ..
        } = &self.body
        else {
            return Default::default();
        };
        match self.previous_min {
            Some(previous) if now.saturating_sub(previous.changed_at) < time => {
                (previous.rate.min(*rate), previous.in_flight.min(*in_flight))
            }
            _ => (*rate, *in_flight),
        }
    }

    /// Initializes the history of a demand that is stored for the first time: it was zero before.
    fn init_previous_min(&mut self, now: Now) {
        let none = Level::default();
        self.previous_min =
            matches!(self.body, Observation::Demand { .. }).then_some(PreviousMin {
                rate: none,
                in_flight: none,
                changed_at: now,
            });
    }

    /// Continues the history of the demand that this item replaces.
    fn update_previous_min(&mut self, old: &Slot, now: Now) {
        if matches!(old.body, Observation::Demand { .. }) {
            let (rate, in_flight) = old.min_demand(now, MIN_DEMAND_RETENTION);
            self.previous_min = Some(PreviousMin {
                rate,
                in_flight,
                changed_at: now,
            });
        }
    }

    /// Returns the observation with its remaining time to live.
    pub fn with_remaining_ttl(&self, now: Now) -> Observation {
        let remaining = self.expires_at.map(|u| u.saturating_sub(now));
        match remaining {
            Some(ttl) => self.body.clone().with_ttl(ttl),
            None => self.body.clone(),
        }
    }
}

/// Items by origin and key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    origins: BTreeMap<Id, BTreeMap<Key, Slot>>,
}

/// Time for which the smallest previous value of a demand is remembered.
pub const MIN_DEMAND_RETENTION: Duration = Duration::from_secs(30);
/// Longest time to live of an item. A longer one received from a peer is reduced to this.
pub const MAX_TTL: Duration = Duration::from_secs(24 * 3600);

impl Store {
    /// Stores an item, unless it or a later one of the same key is stored, or the origin already has
    /// `max_items` items.
    pub(crate) fn put(
        &mut self,
        origin: Id,
        version: Version,
        body: Observation,
        now: Now,
        max_items: usize,
    ) -> PutOutcome {
        let slots = self.origins.entry(origin).or_default();
        let key = body.key();
        let until = body.ttl().map(|ttl| now + ttl.min(MAX_TTL));
        let mut slot = Slot {
            version,
            expires_at: until,
            body,
            previous_min: None,
        };
        let full = slots.len() >= max_items;
        match slots.get_mut(&key) {
            Some(old) if old.version >= version => return PutOutcome::Known,
            Some(old) => {
                slot.update_previous_min(old, now);
                *old = slot;
            }
            None if full => return PutOutcome::Full,
            None => {
                // A demand that was never announced counts as zero.
                slot.init_previous_min(now);
                slots.insert(key, slot);
            }
        }
        PutOutcome::New
    }

    /// Removes all items of an origin.
    pub(crate) fn forget(&mut self, origin: Id) {
        self.origins.remove(&origin);
    }

    /// Removes expired items.
    pub(crate) fn expire(&mut self, now: Now) {
        for slots in self.origins.values_mut() {
            slots.retain(|_, slot| slot.expires_at.is_none_or(|u| u > now));
        }
    }

    /// Iterates over the items of one origin in order of their keys.
    pub fn items(&self, origin: Id) -> impl Iterator<Item = (&Key, &Slot)> {
        self.origins.get(&origin).into_iter().flatten()
    }

    /// Returns the item of an origin and key.
    pub fn get(&self, origin: Id, key: &Key) -> Option<&Slot> {
        self.origins.get(&origin)?.get(key)
    }

    /// Iterates over the origins.
    pub fn origins(&self) -> impl Iterator<Item = Id> {
        self.origins.keys().copied()
    }
}

/// Outcome of storing an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The item was stored.
    New,
    /// The item, or a later one of its key, was already stored.
    Known,
    /// The origin already has the maximum number of items.
    Full,
}
