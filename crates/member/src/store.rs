//! Items by origin.

use crate::Now;
use crate::identity::Id;
use crate::item::{Key, Observation, Version};
use crate::level::Level;
use std::collections::BTreeMap;
use std::time::Duration;

/// An item as stored.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Its publication.
    pub version: Version,
    /// When it stops to count.
    pub expires_at: Option<Now>,
    /// The observation.
    pub body: Observation,
    /// What a demand was before, if that was less, and when it last changed.
    pub previous_min: Option<PreviousMin>,
}

/// The least of a demand before its last change.
#[derive(Clone, Copy, Debug)]
pub struct PreviousMin {
    rate: Level,
    in_flight: Level,
    changed_at: Now,
}

impl Slot {
    /// The least that this demand was within `time`, or less: changes that follow each other
    /// within that time are taken as one.
    pub fn min_demand(&self, now: Now, time: Duration) -> (Level, Level) {
        let Observation::Demand {
            rate, in_flight, ..
        } = &self.body
        else {
            return Default::default();
        };
        match self.previous_min {
            Some(low) if now.saturating_sub(low.changed_at) < time => {
                (low.rate.min(*rate), low.in_flight.min(*in_flight))
            }
            _ => (*rate, *in_flight),
        }
    }

    fn init_previous_min(&mut self, now: Now) {
        let none = Level::default();
        self.previous_min =
            matches!(self.body, Observation::Demand { .. }).then_some(PreviousMin {
                rate: none,
                in_flight: none,
                changed_at: now,
            });
    }

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

    /// The observation with the time that it still counts.
    pub fn with_remaining_ttl(&self, now: Now) -> Observation {
        let left = self.expires_at.map(|u| u.saturating_sub(now));
        match left {
            Some(left) => self.body.clone().with_ttl(left),
            None => self.body.clone(),
        }
    }
}

/// Items by origin and key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    origins: BTreeMap<Id, BTreeMap<Key, Slot>>,
}

/// How long the least of a demand is remembered.
pub const MIN_DEMAND_RETENTION: Duration = Duration::from_secs(30);
/// The longest an item may count; a peer's larger value is cut.
pub const MAX_TTL: Duration = Duration::from_secs(24 * 3600);

impl Store {
    /// Stores an item unless a later one of its key is there, or the origin has `most` items.
    pub(crate) fn put(
        &mut self,
        origin: Id,
        version: Version,
        body: Observation,
        now: Now,
        most: usize,
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
        let full = slots.len() >= most;
        match slots.get_mut(&key) {
            Some(old) if old.version >= version => return PutOutcome::Known,
            Some(old) => {
                slot.update_previous_min(old, now);
                *old = slot;
            }
            None if full => return PutOutcome::Full,
            None => {
                // Nothing announced counts as none.
                slot.init_previous_min(now);
                slots.insert(key, slot);
            }
        }
        PutOutcome::New
    }

    /// Drops all items of an origin.
    pub(crate) fn forget(&mut self, origin: Id) {
        self.origins.remove(&origin);
    }

    /// Drops what no longer counts.
    pub(crate) fn expire(&mut self, now: Now) {
        for slots in self.origins.values_mut() {
            slots.retain(|_, slot| slot.expires_at.is_none_or(|u| u > now));
        }
    }

    /// Items of one origin, by key.
    pub fn items(&self, origin: Id) -> impl Iterator<Item = (&Key, &Slot)> {
        self.origins.get(&origin).into_iter().flatten()
    }

    /// One item.
    pub fn get(&self, origin: Id, key: &Key) -> Option<&Slot> {
        self.origins.get(&origin)?.get(key)
    }

    /// All origins with items.
    pub fn origins(&self) -> impl Iterator<Item = Id> {
        self.origins.keys().copied()
    }
}

/// What became of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It is stored.
    New,
    /// It, or a later one, was known.
    Known,
    /// There was no room.
    Full,
}
