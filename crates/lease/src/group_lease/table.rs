//! Lease table of a node.

mod read;

use crate::backoff::Backoff;
use crate::group_lease::record::{Item, MAX_ITEMS, Record};
use crate::group_lease::state::{Attempt, State};
use crate::group_lease::{
    Action, Batch, Candidacy, Counters, Event, Fence, Group, Number, Settings,
};
use crate::{Now, Offset, Owner};
use bundle::id;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Leases of a node.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Owner,
    pub(super) settings: Settings,
    pub(super) groups: BTreeMap<Group, State>,
    pub(super) next: Offset,
    pub(super) start: Option<Offset>,
    /// Time from which a group without any record is free to acquire.
    free_at: Now,
    caught_up: bool,
    reading: bool,
    in_flight: Option<Batch>,
    /// Groups to release, with the time of the release.
    pending_releases: Vec<(Now, Group)>,
    pub(super) attempts: VecDeque<Attempt>,
    pub(super) number: Number,
    batch: Batch,
    read_backoff: Backoff,
    append_backoff: Backoff,
    random: ChaCha8Rng,
    pub(super) counters: Counters,
}

impl Table {
    /// Returns an empty table. `me` must never have been used before as the owner of any lease.
    pub fn new(me: Owner, seed: u64, settings: Settings) -> Self {
        Self {
            me,
            settings,
            groups: BTreeMap::new(),
            next: 0,
            start: None,
            free_at: Now::ZERO,
            caught_up: false,
            reading: false,
            in_flight: None,
            pending_releases: Vec::new(),
            attempts: VecDeque::new(),
            number: 0,
            batch: 0,
            read_backoff: Backoff::default(),
            append_backoff: Backoff::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        self.expire_tenures(now, actions);
        match event {
            Event::Candidacies(candidacies) => self.set_candidacies(now, &candidacies, actions),
            Event::RollStopped(group, number) => self.stop_roll(now, group, number),
            Event::Page(page) => self.apply_page(now, &page, actions),
            Event::ReadFailed => self.read_failed(now),
            Event::Appended(batch) => drop(self.in_flight.take_if(|b| *b == batch)),
            Event::AppendFailed(batch) => self.append_failed(now, batch),
            Event::AppendUnsure(batch) => {
                self.counters.unsure += 1;
                self.append_failed(now, batch);
            }
            Event::Tick => {}
        }
        self.flush(now, actions);
        let findings = self.check(now);
        self.counters.broken += findings.len() as u64;
        debug_assert!(findings.is_empty(), "{findings:?}");
    }

    /// Returns the fencing number for an order to the group, if the order may be sent now.
    ///
    /// Must be called right before the order is sent, with the current time. If the process is
    /// paused between an earlier permit and the sending, it sends orders while its successor does
    /// so too.
    pub fn permit(&self, now: Now, group: Group) -> Option<Fence> {
        let tenure = self
            .groups
            .get(&group)?
            .tenure_at(now + self.settings.clock_margin)?;
        Some(tenure.fence)
    }

    /// Returns the highest number of a bundle whose roll was stopped in the group, or 0.
    pub fn stopped_bundle(&self, group: Group) -> id::Number {
        self.groups
            .get(&group)
            .map_or(0, |state| state.stopped_bundle)
    }

    /// Returns the owner of the group's lease, as far as this node knows. The lease may have
    /// expired.
    pub fn holder(&self, group: Group) -> Option<Owner> {
        self.groups.get(&group)?.owner
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn set_candidacies(&mut self, now: Now, candidacies: &[Candidacy], actions: &mut Vec<Action>) {
        for (group, state) in &mut self.groups {
            state.rank = None;
            let wanted = candidacies
                .iter()
                .any(|candidacy| candidacy.group == *group);
            let Some(tenure) = state.tenure.take_if(|_| !wanted) else {
                continue;
            };
            self.counters.lost += 1;
            actions.push(Action::Lost(*group));
            if now < tenure.expiry {
                // The last order may still be in flight.
                let due = now + self.settings.max_order_time + self.settings.clock_margin;
                self.pending_releases.push((due, *group));
            }
        }
        for candidacy in candidacies {
            self.group_mut(candidacy.group).rank = Some(candidacy.rank);
        }
    }

    fn group_mut(&mut self, group: Group) -> &mut State {
        let free_at = self.free_at;
        let new_state = || {
            let mut state = State::default();
            state.reset(free_at);
            state
        };
        self.groups.entry(group).or_insert_with(new_state)
    }

    fn stop_roll(&mut self, now: Now, group: Group, number: id::Number) {
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        if state.tenure_at(now).is_some() && number > state.stopped_bundle {
            state.stopped_bundle = number;
            state.urgent = true;
        }
    }

    /// Drops expired leases, regardless of the state of the log.
    fn expire_tenures(&mut self, now: Now, actions: &mut Vec<Action>) {
        for (group, state) in &mut self.groups {
            if state
                .tenure
                .take_if(|tenure| now >= tenure.expiry)
                .is_some()
            {
                self.counters.lost += 1;
                actions.push(Action::Lost(*group));
            }
        }
    }

    fn read_failed(&mut self, now: Now) {
        self.counters.failed += 1;
        self.reading = false;
        let Settings {
            min_backoff,
            max_backoff,
            ..
        } = self.settings;
        self.read_backoff
            .record_failure(now, min_backoff, max_backoff, &mut self.random);
    }

    fn append_failed(&mut self, now: Now, batch: Batch) {
        self.counters.failed += 1;
        if self.in_flight.take_if(|b| *b == batch).is_none() {
            return;
        }
        self.groups
            .values_mut()
            .for_each(|state| state.unconfirmed_since = None);
        let Settings {
            min_backoff,
            max_backoff,
            ..
        } = self.settings;
        self.append_backoff
            .record_failure(now, min_backoff, max_backoff, &mut self.random);
    }

    fn flush(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.in_flight.is_none() && self.caught_up && self.append_backoff.is_ready(now) {
            self.append_due(now, actions);
        }
        if !self.reading && self.read_backoff.is_ready(now) {
            self.reading = true;
            actions.push(Action::Read {
                from: self.next,
                wait: self.caught_up,
            });
        }
    }

    /// Returns releases of groups whose last order must have ended. Skips groups that this node has
    /// become a candidate for again.
    fn due_releases(&mut self, now: Now) -> Vec<Item> {
        let due: Vec<_> = self
            .pending_releases
            .extract_if(.., |(due, _)| now >= *due)
            .collect();
        let wanted = |group| {
            self.groups
                .get(group)
                .is_some_and(|state| state.rank.is_some())
        };
        let free = due.iter().filter(|(_, group)| !wanted(group));
        free.map(|(_, group)| Item::Release {
            group: *group,
            number: self.number,
        })
        .collect()
    }

    /// Appends one record for all groups that are due. Each attempt has its own numbers and time,
    /// so that a record that takes effect late gives only the rest of its term.
    fn append_due(&mut self, now: Now, actions: &mut Vec<Action>) {
        let mut items = self.due_releases(now);
        for (group, state) in &mut self.groups {
            if items.len() >= MAX_ITEMS || !state.is_due(now, &self.settings) {
                continue;
            }
            self.number += 1;
            state.urgent = false;
            state.unconfirmed_since = Some(now);
            self.attempts.push_back(Attempt {
                number: self.number,
                at: now,
            });
            let (group, number, upto) = (*group, self.number, self.next);
            items.push(Item::Acquire {
                group,
                number,
                upto,
                stop: state.stopped_bundle,
            });
        }
        if items.is_empty() {
            return;
        }
        let term = self.settings.term;
        while self
            .attempts
            .front()
            .is_some_and(|attempt| attempt.at + term < now)
        {
            self.attempts.pop_front();
        }
        let body = Record {
            owner: self.me,
            items,
        }
        .encode();
        actions.push(Action::Append {
            batch: self.batch,
            body,
        });
        self.in_flight = Some(self.batch);
        self.batch += 1;
        self.counters.appends += 1;
        self.append_backoff
            .record_success(now + self.settings.min_backoff);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "leases of {}: {}", self.me, self.counters)?;
        for (group, state) in &self.groups {
            write!(f, "group {group:x}")?;
            if let Some(owner) = state.owner {
                write!(f, " holder {owner}")?;
            }
            if let Some(tenure) = state.tenure {
                write!(f, " held fence {} until {:?}", tenure.fence, tenure.expiry)?;
            }
            match state.stopped_bundle {
                0 => writeln!(f)?,
                stop => writeln!(f, " stopped {stop}")?,
            }
        }
        Ok(())
    }
}
