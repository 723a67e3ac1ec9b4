//! Requests that arrive at a claim table.

use super::Table;
use crate::claim::fold::Entry;
use crate::claim::record::Item;
use crate::claim::run::{Run, State, Waiter, Way};
use crate::claim::{Action, Ask, Form, Hash, Key, Shard, Ticket, Why, shard};
use crate::{Now, Outcome, RequestId};

/// Most requests that wait for a shard's stream to be read.
const MAX_PENDING: usize = 4096;

impl Table {
    pub(super) fn ask(&mut self, now: Now, ask: Ask, actions: &mut Vec<Action>) {
        self.counters.asks += 1;
        match ask.form {
            Form::Dated(key) => self.dated(now, ask, key, actions),
            Form::Ticket(ticket, hash) => self.ticket(now, ask, ticket, hash, actions),
        }
    }

    /// Refuses a request of which another node may have run an earlier send.
    pub(super) fn refuse(&mut self, request: RequestId, why: Why, actions: &mut Vec<Action>) {
        self.refuse_as(request, why, Outcome::Unknown, actions);
    }

    fn refuse_as(
        &mut self,
        request: RequestId,
        why: Why,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        self.counters.refused_log += u64::from(why == Why::Log);
        self.counters.refused_expired += u64::from(why == Why::Expired);
        actions.push(Action::Refuse {
            request,
            why,
            outcome,
        });
    }

    /// The caller is gone: nobody waits for the claim on its behalf, and a run that was asked for
    /// does not take place. Left unsaid, the key would run for ever and its resends wait for it.
    pub(super) fn left(&mut self, now: Now, request: RequestId, actions: &mut Vec<Action>) {
        if let Some(hash) = self.runs.running.get(&request).copied() {
            return self.ended(now, hash, Outcome::NotRun, 0, actions);
        }
        for part in self.shards.values_mut() {
            part.pending.retain(|ask| ask.request != request);
        }
        let found = self.waiting.keys().find(|(_, r)| *r == request).copied();
        if let Some(hash) = found.and_then(|at| self.waiting.remove(&at)) {
            self.unwait(now, hash, request);
        }
    }

    /// Asks again for what waited for the stream to be read.
    pub(super) fn resume(&mut self, now: Now, shard: Shard, actions: &mut Vec<Action>) {
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        for ask in std::mem::take(&mut part.pending) {
            match ask.form {
                Form::Dated(_) if now >= ask.deadline => {
                    self.refuse(ask.request, Why::Log, actions);
                }
                Form::Dated(key) => self.dated(now, ask, key, actions),
                Form::Ticket(..) => {}
            }
        }
    }

    fn dated(&mut self, now: Now, ask: Ask, key: Key, actions: &mut Vec<Action>) {
        if key.date > self.wall(now) + self.settings.skew {
            return self.refuse(ask.request, Why::Future, actions);
        }
        let shard = shard(key.hash, self.settings.shards);
        let caught_up = self.part(now, shard).fold.caught_up();
        if self.runs.keys.contains_key(&key.hash) {
            return self.join(ask, key.hash, actions);
        }
        match caught_up {
            true => self.claim(now, shard, ask, key, actions),
            false => self.pend(shard, ask, actions),
        }
    }

    fn pend(&mut self, shard: Shard, ask: Ask, actions: &mut Vec<Action>) {
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        if part.pending.len() >= MAX_PENDING {
            return self.refuse(ask.request, Why::Log, actions);
        }
        part.pending.push(ask);
    }

    /// Claims a free key; for any other says whose it is.
    fn claim(&mut self, now: Now, shard: Shard, ask: Ask, key: Key, actions: &mut Vec<Action>) {
        let Some(part) = self.shards.get(&shard) else {
            return;
        };
        let (full, floor) = (part.lane.full(), part.fold.floor());
        if let Some(entry) = part.fold.entry(key.hash).copied() {
            return self.owned(ask, entry, actions);
        }
        if key.date < floor {
            return self.refuse(ask.request, Why::Expired, actions);
        }
        if full {
            return self.refuse(ask.request, Why::Log, actions);
        }
        let waiter = Waiter {
            request: ask.request,
            deadline: ask.deadline,
        };
        self.waiting.insert((ask.deadline, ask.request), key.hash);
        self.write(now, shard, key, ask.fingerprint, vec![waiter]);
    }

    /// Says whose the key is. Unless its run has ended, whether it stands for another body is for
    /// its owner to say: this node may not have read yet that the key was released and claimed for
    /// this very body.
    fn owned(&mut self, ask: Ask, entry: Entry, actions: &mut Vec<Action>) {
        let request = ask.request;
        let mismatch = entry.fingerprint != ask.fingerprint;
        let Entry { owner, outcome, .. } = entry;
        if mismatch && outcome.is_some() {
            return self.refuse_as(request, Why::Mismatch, Outcome::NotRun, actions);
        }
        if owner != self.me {
            self.counters.pointed += 1;
            return actions.push(Action::Point {
                request,
                owner,
                outcome,
            });
        }
        if mismatch {
            return self.refuse(request, Why::Mismatch, actions);
        }
        // Its answer is kept no longer, or a gap took the record of its release.
        let outcome = outcome.unwrap_or(Outcome::Unknown);
        self.counters.joined += 1;
        actions.push(Action::Answer {
            request,
            outcome,
            of: None,
        });
    }

    /// Writes a claim with a number of its own.
    pub(super) fn write(
        &mut self,
        now: Now,
        shard: Shard,
        key: Key,
        fingerprint: u64,
        waiters: Vec<Waiter>,
    ) {
        self.number += 1;
        self.counters.claims += 1;
        let Key { hash, date } = key;
        let state = State::Claiming(self.number, waiters);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint,
                way: Way::Log(shard, date),
                state,
            },
        );
        let item = Item::Claim {
            hash,
            date,
            fingerprint,
            number: self.number,
        };
        self.part(now, shard).lane.push(now, item);
    }

    /// Gives a request the answer of its key's run on this node, or lets it wait for the claim.
    fn join(&mut self, ask: Ask, hash: Hash, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.keys.get_mut(&hash) else {
            return;
        };
        let Ask {
            request, deadline, ..
        } = ask;
        if matches!(&run.state, State::Releasing(_, waiters) if waiters.is_empty()) {
            run.fingerprint = ask.fingerprint;
        }
        if run.fingerprint != ask.fingerprint {
            // Whoever ran or runs the key owns it for good, so no other body of it ever ran.
            let outcome = match run.state {
                State::Running(..) | State::Ended(..) => Outcome::NotRun,
                State::Claiming(..) | State::Releasing(..) => Outcome::Unknown,
            };
            return self.refuse_as(request, Why::Mismatch, outcome, actions);
        }
        self.counters.joined += 1;
        match &mut run.state {
            State::Claiming(_, waiters) | State::Releasing(_, waiters) => {
                waiters.push(Waiter { request, deadline });
                self.waiting.insert((deadline, request), hash);
            }
            State::Running(_, of) => actions.push(Action::Follow { request, of: *of }),
            State::Ended(_, of, outcome) => {
                actions.push(Action::Answer {
                    request,
                    outcome: *outcome,
                    of: *of,
                });
            }
        }
    }

    /// A ticket needs no log: only this incarnation runs it, and it remembers what it ran.
    fn ticket(
        &mut self,
        now: Now,
        ask: Ask,
        ticket: Ticket,
        hash: Hash,
        actions: &mut Vec<Action>,
    ) {
        let request = ask.request;
        if ticket.owner != self.me {
            self.counters.pointed += 1;
            let owner = ticket.owner;
            return actions.push(Action::Point {
                request,
                owner,
                outcome: None,
            });
        }
        if ticket.number >= self.issued || ticket.issued > now {
            return self.refuse_as(request, Why::Unissued, Outcome::NotRun, actions);
        }
        if now >= ticket.issued.saturating_add(self.settings.window) {
            return self.refuse(request, Why::Expired, actions);
        }
        if self.runs.keys.contains_key(&hash) {
            return self.join(ask, hash, actions);
        }
        self.counters.runs += 1;
        let state = State::Running(0, request);
        let way = Way::Ticket(ticket.issued);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint: ask.fingerprint,
                way,
                state,
            },
        );
        self.runs.tickets.push_back(hash);
        self.runs.running.insert(request, hash);
        actions.push(Action::Run { request, hash });
    }
}
