//! Handling of the records that a lease table reads.

use super::Table;
use crate::group_lease::record::{Item, Record};
use crate::group_lease::state::Verdict;
use crate::group_lease::{Action, Group, Number};
use crate::{Now, Offset, Owner, Page};

impl Table {
    pub(super) fn apply_page(&mut self, now: Now, page: &Page, actions: &mut Vec<Action>) {
        self.reading = false;
        self.read_backoff.record_success(now);
        let next = self.next;
        let unread = page.records.iter().filter(|r| r.offset >= next);
        let reached = next.max(page.first);
        let contiguous = unread
            .clone()
            .next()
            .map_or(page.next == reached, |r| r.offset == reached);
        if !contiguous {
            return;
        }
        self.reset_if_gap(now, page.first);
        for record in unread {
            self.next = record.offset + 1;
            match Record::decode(&record.body) {
                Ok(body) => self.apply_record(now, record.offset, &body, actions),
                Err(_) => self.counters.undecodable += 1,
            }
        }
        self.caught_up |= page.records.is_empty();
    }

    /// Starts at the first retained record, or restarts there if the stream dropped records before
    /// this node read them.
    fn reset_if_gap(&mut self, now: Now, first: Offset) {
        let started = self.start.is_some();
        if started && first <= self.next {
            return;
        }
        self.counters.gaps += u64::from(started);
        self.caught_up = false;
        self.start = Some(first);
        self.next = first;
        // A lease acquired by a dropped record may still be in force.
        let wait = if first > 0 {
            self.settings.takeover_delay()
        } else {
            Now::ZERO
        };
        self.free_at = now + wait;
        self.groups
            .values_mut()
            .for_each(|state| state.reset(now + wait));
    }

    fn apply_record(
        &mut self,
        now: Now,
        offset: Offset,
        record: &Record,
        actions: &mut Vec<Action>,
    ) {
        let owner = record.owner;
        for item in &record.items {
            match *item {
                Item::Acquire {
                    group,
                    number,
                    upto,
                    stop,
                } => {
                    let start = self.start.unwrap_or_default();
                    let state = self.group_mut(group);
                    state.stopped_bundle = state.stopped_bundle.max(stop);
                    let verdict = state.validate(offset, upto, start);
                    self.apply_acquisition(
                        now,
                        Acquisition {
                            offset,
                            owner,
                            group,
                            number,
                            verdict,
                        },
                        actions,
                    );
                }
                Item::Release { group, number } => {
                    self.group_mut(group).release(now, owner, number)
                }
            }
        }
    }

    fn apply_acquisition(&mut self, now: Now, acquisition: Acquisition, actions: &mut Vec<Action>) {
        let Acquisition {
            owner,
            group,
            number,
            verdict,
            ..
        } = acquisition;
        // A number that was never assigned belongs to another process with the same owner id.
        if owner == self.me && number <= self.number {
            return self.confirm_own(now, acquisition, actions);
        }
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        if verdict == Verdict::Invalid {
            return;
        }
        state.record_holder(now, owner, number, &self.settings);
        if verdict == Verdict::Valid && state.tenure.take().is_some() {
            self.counters.lost += 1;
            actions.push(Action::Lost(group));
        }
    }

    /// Handles a record of this node that was read back.
    fn confirm_own(&mut self, now: Now, acquisition: Acquisition, actions: &mut Vec<Action>) {
        let Acquisition {
            offset,
            group,
            number,
            verdict,
            ..
        } = acquisition;
        let found = self
            .attempts
            .iter()
            .find(|attempt| attempt.number == number)
            .copied();
        let (Some(attempt), Some(state)) = (found, self.groups.get_mut(&group)) else {
            return;
        };
        state.unconfirmed_since = None;
        if verdict != Verdict::Valid {
            self.counters.beaten += 1;
            return;
        }
        let held = state.tenure_at(now).is_some();
        // The term has already ended, or this node is no longer a candidate. Other nodes wait until
        // the takeover delay has passed.
        if now >= attempt.at + self.settings.term || state.rank.is_none() {
            return;
        }
        state.acquire(now, offset, self.me, attempt.at, &self.settings);
        if let (false, Some(tenure)) = (held, state.tenure) {
            self.counters.gained += 1;
            actions.push(Action::Gained(group, tenure.fence));
        }
    }
}

/// An item that acquires or renews the lease of a group, with its validity.
#[derive(Clone, Copy)]
struct Acquisition {
    offset: Offset,
    owner: Owner,
    group: Group,
    number: Number,
    verdict: Verdict,
}
