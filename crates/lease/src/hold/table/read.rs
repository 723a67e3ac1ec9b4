//! Records read by a lease table.

use super::Table;
use crate::hold::record::{Item, Record};
use crate::hold::seat::Verdict;
use crate::hold::{Action, Group, Number};
use crate::{Now, Offset, Owner, Page};

impl Table {
    pub(super) fn page(&mut self, now: Now, page: &Page, actions: &mut Vec<Action>) {
        self.reading = false;
        self.read_backoff.record_success(now);
        let next = self.next;
        let fresh = page.records.iter().filter(|r| r.offset >= next);
        let reached = next.max(page.first);
        let follows = fresh
            .clone()
            .next()
            .map_or(page.next == reached, |r| r.offset == reached);
        if !follows {
            return;
        }
        self.begin(now, page.first);
        for record in fresh {
            self.next = record.offset + 1;
            match Record::decode(&record.body) {
                Ok(body) => self.record(now, record.offset, &body, actions),
                Err(_) => self.counters.bad += 1,
            }
        }
        self.caught_up |= page.records.is_empty();
    }

    /// Starts at the first record held, or starts over when retention was faster than this reader.
    fn begin(&mut self, now: Now, first: Offset) {
        let begun = self.start.is_some();
        if begun && first <= self.next {
            return;
        }
        self.counters.gaps += u64::from(begun);
        self.caught_up = false;
        self.start = Some(first);
        self.next = first;
        // A lease taken by a record that is gone may still run.
        let wait = if first > 0 {
            self.settings.wait()
        } else {
            Now::ZERO
        };
        self.free = now + wait;
        self.seats
            .values_mut()
            .for_each(|seat| seat.begin(now + wait));
    }

    fn record(&mut self, now: Now, offset: Offset, record: &Record, actions: &mut Vec<Action>) {
        let owner = record.owner;
        for item in &record.items {
            match *item {
                Item::Take {
                    group,
                    number,
                    upto,
                    stop,
                } => {
                    let start = self.start.unwrap_or_default();
                    let seat = self.seat(group);
                    seat.stop = seat.stop.max(stop);
                    let verdict = seat.judge(offset, upto, start);
                    self.judged(
                        now,
                        Taken {
                            offset,
                            owner,
                            group,
                            number,
                            verdict,
                        },
                        actions,
                    );
                }
                Item::Give { group, number } => self.seat(group).vacate(now, owner, number),
            }
        }
    }

    fn judged(&mut self, now: Now, taken: Taken, actions: &mut Vec<Action>) {
        let Taken {
            owner,
            group,
            number,
            verdict,
            ..
        } = taken;
        // A number that was never given out is another process's that passes for this one.
        if owner == self.me && number <= self.number {
            return self.own(now, taken, actions);
        }
        let Some(seat) = self.seats.get_mut(&group) else {
            return;
        };
        if verdict == Verdict::Fails {
            return;
        }
        seat.occupy(now, owner, number, &self.settings);
        if verdict == Verdict::Counts && seat.mine.take().is_some() {
            self.counters.lost += 1;
            actions.push(Action::Lost(group));
        }
    }

    /// A record of this node was read back.
    fn own(&mut self, now: Now, taken: Taken, actions: &mut Vec<Action>) {
        let Taken {
            offset,
            group,
            number,
            verdict,
            ..
        } = taken;
        let found = self.sent.iter().find(|sent| sent.number == number).copied();
        let (Some(sent), Some(seat)) = (found, self.seats.get_mut(&group)) else {
            return;
        };
        seat.tried = None;
        if verdict != Verdict::Counts {
            self.counters.beaten += 1;
            return;
        }
        let held = seat.held(now).is_some();
        // Read back after its own term, or no longer wanted: others wait it out.
        if now >= sent.at + self.settings.term || seat.rank.is_none() {
            return;
        }
        seat.win(now, offset, self.me, sent.at, &self.settings);
        if let (false, Some(mine)) = (held, seat.mine) {
            self.counters.gained += 1;
            actions.push(Action::Gained(group, mine.fence));
        }
    }
}

/// A judged record that takes a group.
#[derive(Clone, Copy)]
struct Taken {
    offset: Offset,
    owner: Owner,
    group: Group,
    number: Number,
    verdict: Verdict,
}
