//! A node's lease table.

mod read;

use crate::backoff::Backoff;
use crate::hold::record::{Item, MAX_ITEMS, Record};
use crate::hold::seat::{Seat, Sent};
use crate::hold::{Action, Batch, Counters, Event, Fence, Group, Number, Settings, Want};
use crate::{Now, Offset, Owner};
use bundle::id;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// A node's state of leases.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Owner,
    pub(super) settings: Settings,
    pub(super) seats: BTreeMap<Group, Seat>,
    pub(super) next: Offset,
    pub(super) start: Option<Offset>,
    /// When a group of which nothing was read is free to take.
    free: Now,
    caught_up: bool,
    reading: bool,
    flight: Option<Batch>,
    /// Groups to give back, and when.
    gives: Vec<(Now, Group)>,
    pub(super) sent: VecDeque<Sent>,
    pub(super) number: Number,
    batch: Batch,
    read_backoff: Backoff,
    append_backoff: Backoff,
    random: ChaCha8Rng,
    pub(super) counters: Counters,
}

impl Table {
    /// An empty table. `me` must never have been the owner of anything before.
    pub fn new(me: Owner, seed: u64, settings: Settings) -> Self {
        Self {
            me,
            settings,
            seats: BTreeMap::new(),
            next: 0,
            start: None,
            free: Now::ZERO,
            caught_up: false,
            reading: false,
            flight: None,
            gives: Vec::new(),
            sent: VecDeque::new(),
            number: 0,
            batch: 0,
            read_backoff: Backoff::default(),
            append_backoff: Backoff::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Takes in an event and adds what is to be done.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        self.lapse(now, actions);
        match event {
            Event::Want(wants) => self.want(now, &wants, actions),
            Event::Stop(group, number) => self.stop(now, group, number),
            Event::Page(page) => self.page(now, &page, actions),
            Event::ReadFailed => self.read_failed(now),
            Event::Appended(batch) => drop(self.flight.take_if(|b| *b == batch)),
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

    /// The fencing number for an order to the group, if it may be sent at this very moment.
    ///
    /// To be asked right before the bytes leave, with the clock read just then: a holder that was
    /// paused since an earlier answer would give orders beside its successor.
    pub fn permit(&self, now: Now, group: Group) -> Option<Fence> {
        let mine = self.seats.get(&group)?.held(now + self.settings.margin)?;
        Some(mine.fence)
    }

    /// Number of the bundle whose roll was last stopped in this group; 0 for none.
    pub fn stopped(&self, group: Group) -> id::Number {
        self.seats.get(&group).map_or(0, |seat| seat.stop)
    }

    /// Who holds the group, as far as this node knows.
    pub fn holder(&self, group: Group) -> Option<Owner> {
        self.seats.get(&group)?.owner
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn want(&mut self, now: Now, wants: &[Want], actions: &mut Vec<Action>) {
        for (group, seat) in &mut self.seats {
            seat.rank = None;
            let wanted = wants.iter().any(|want| want.group == *group);
            let Some(mine) = seat.mine.take_if(|_| !wanted) else {
                continue;
            };
            self.counters.lost += 1;
            actions.push(Action::Lost(*group));
            if now < mine.expiry {
                // Its last order may still be under way.
                let due = now + self.settings.longest + self.settings.margin;
                self.gives.push((due, *group));
            }
        }
        for want in wants {
            self.seat(want.group).rank = Some(want.rank);
        }
    }

    fn seat(&mut self, group: Group) -> &mut Seat {
        let free = self.free;
        let fresh = || {
            let mut seat = Seat::default();
            seat.begin(free);
            seat
        };
        self.seats.entry(group).or_insert_with(fresh)
    }

    fn stop(&mut self, now: Now, group: Group, number: id::Number) {
        let Some(seat) = self.seats.get_mut(&group) else {
            return;
        };
        if seat.held(now).is_some() && number > seat.stop {
            seat.stop = number;
            seat.urgent = true;
        }
    }

    /// Leases that lapsed are lost at once, whatever the log does.
    fn lapse(&mut self, now: Now, actions: &mut Vec<Action>) {
        for (group, seat) in &mut self.seats {
            if seat.mine.take_if(|mine| now >= mine.expiry).is_some() {
                self.counters.lost += 1;
                actions.push(Action::Lost(*group));
            }
        }
    }

    fn read_failed(&mut self, now: Now) {
        self.counters.failed += 1;
        self.reading = false;
        let Settings {
            retry, retry_most, ..
        } = self.settings;
        self.read_backoff
            .record_failure(now, retry, retry_most, &mut self.random);
    }

    fn append_failed(&mut self, now: Now, batch: Batch) {
        self.counters.failed += 1;
        if self.flight.take_if(|b| *b == batch).is_none() {
            return;
        }
        self.seats.values_mut().for_each(|seat| seat.tried = None);
        let Settings {
            retry, retry_most, ..
        } = self.settings;
        self.append_backoff
            .record_failure(now, retry, retry_most, &mut self.random);
    }

    fn flush(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.flight.is_none() && self.caught_up && self.append_backoff.is_ready(now) {
            self.append(now, actions);
        }
        if !self.reading && self.read_backoff.is_ready(now) {
            self.reading = true;
            actions.push(Action::Read {
                from: self.next,
                wait: self.caught_up,
            });
        }
    }

    /// Groups whose last order has ended. One that is wanted again by then is not given back.
    fn give(&mut self, now: Now) -> Vec<Item> {
        let due: Vec<_> = self.gives.extract_if(.., |(due, _)| now >= *due).collect();
        let wanted = |group| {
            self.seats
                .get(group)
                .is_some_and(|seat| seat.rank.is_some())
        };
        let free = due.iter().filter(|(_, group)| !wanted(group));
        free.map(|(_, group)| Item::Give {
            group: *group,
            number: self.number,
        })
        .collect()
    }

    /// One record for all groups that are due. Each try has numbers and a time of its own: a late
    /// one that counts gives the term that is left of it, no more.
    fn append(&mut self, now: Now, actions: &mut Vec<Action>) {
        let mut items = self.give(now);
        for (group, seat) in &mut self.seats {
            if items.len() >= MAX_ITEMS || !seat.due(now, &self.settings) {
                continue;
            }
            self.number += 1;
            seat.urgent = false;
            seat.tried = Some(now);
            self.sent.push_back(Sent {
                number: self.number,
                at: now,
            });
            let (group, number, upto) = (*group, self.number, self.next);
            items.push(Item::Take {
                group,
                number,
                upto,
                stop: seat.stop,
            });
        }
        if items.is_empty() {
            return;
        }
        let term = self.settings.term;
        while self.sent.front().is_some_and(|sent| sent.at + term < now) {
            self.sent.pop_front();
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
        self.flight = Some(self.batch);
        self.batch += 1;
        self.counters.appends += 1;
        self.append_backoff
            .record_success(now + self.settings.retry);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "leases of {}: {}", self.me, self.counters)?;
        for (group, seat) in &self.seats {
            write!(f, "group {group:x}")?;
            if let Some(owner) = seat.owner {
                write!(f, " holder {owner}")?;
            }
            if let Some(mine) = seat.mine {
                write!(f, " held fence {} until {:?}", mine.fence, mine.expiry)?;
            }
            match seat.stop {
                0 => writeln!(f)?,
                stop => writeln!(f, " stopped {stop}")?,
            }
        }
        Ok(())
    }
}
