//! Requests received by a claim table.

use super::Table;
use crate::claim::record::Item;
use crate::claim::replay::Entry;
use crate::claim::run::{Grant, Run, State, Waiter};
use crate::claim::{Action, DatedKey, Hash, Key, Refusal, Request, Shard, Ticket, shard};
use crate::{Now, Outcome, RequestId};

/// Maximum number of requests per shard that wait until its stream has been read to its end.
const MAX_PENDING: usize = 4096;

impl Table {
    pub(super) fn receive(&mut self, now: Now, request: Request, actions: &mut Vec<Action>) {
        self.counters.requests += 1;
        match request.key {
            Key::Dated(key) => self.receive_dated(now, request, key, actions),
            Key::Ticket(ticket, hash) => self.receive_ticket(now, request, ticket, hash, actions),
        }
    }

    /// Refuses a request. The outcome is unknown, since another node may have run an earlier
    /// attempt.
    pub(super) fn refuse(&mut self, id: RequestId, reason: Refusal, actions: &mut Vec<Action>) {
        self.refuse_as(id, reason, Outcome::Unknown, actions);
    }

    fn refuse_as(
        &mut self,
        id: RequestId,
        reason: Refusal,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        self.counters.refused_log += u64::from(reason == Refusal::Unsettled);
        self.counters.refused_expired += u64::from(reason == Refusal::Expired);
        actions.push(Action::Refuse {
            request: id,
            reason,
            outcome,
        });
    }

    /// Handles a caller that disconnected before its request started to run. Ends the run if
    /// [`Action::Run`] was already returned: otherwise the key would stay in the running state, and
    /// retries with the same key would wait forever.
    pub(super) fn cancel(&mut self, now: Now, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(hash) = self.runs.running.get(&id).copied() {
            return self.end_run(now, hash, Outcome::NotRun, 0, actions);
        }
        for stream in self.shards.values_mut() {
            stream.pending.retain(|request| request.id != id);
        }
        let found = self.waiting.keys().find(|(_, r)| *r == id).copied();
        if let Some(hash) = found.and_then(|at| self.waiting.remove(&at)) {
            self.remove_waiter(now, hash, id);
        }
    }

    /// Handles the requests that waited until the stream was read to its end.
    pub(super) fn retry_pending(&mut self, now: Now, shard: Shard, actions: &mut Vec<Action>) {
        let Some(stream) = self.shards.get_mut(&shard) else {
            return;
        };
        for request in std::mem::take(&mut stream.pending) {
            match request.key {
                Key::Dated(_) if now >= request.deadline => {
                    self.refuse(request.id, Refusal::Unsettled, actions);
                }
                Key::Dated(key) => self.receive_dated(now, request, key, actions),
                Key::Ticket(..) => {}
            }
        }
    }

    fn receive_dated(
        &mut self,
        now: Now,
        request: Request,
        key: DatedKey,
        actions: &mut Vec<Action>,
    ) {
        if key.date > self.wall(now) + self.settings.max_clock_error {
            return self.refuse(request.id, Refusal::Future, actions);
        }
        let shard = shard(key.hash, self.settings.shards);
        let caught_up = self.stream_mut(now, shard).replay.caught_up();
        if self.runs.keys.contains_key(&key.hash) {
            return self.join(request, key.hash, actions);
        }
        match caught_up {
            true => self.claim(now, shard, request, key, actions),
            false => self.defer(shard, request, actions),
        }
    }

    fn defer(&mut self, shard: Shard, request: Request, actions: &mut Vec<Action>) {
        let Some(stream) = self.shards.get_mut(&shard) else {
            return;
        };
        if stream.pending.len() >= MAX_PENDING {
            return self.refuse(request.id, Refusal::Unsettled, actions);
        }
        stream.pending.push(request);
    }

    /// Claims the key if it is free. Otherwise answers the request according to the owner.
    fn claim(
        &mut self,
        now: Now,
        shard: Shard,
        request: Request,
        key: DatedKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(stream) = self.shards.get(&shard) else {
            return;
        };
        let (full, floor) = (stream.appends.is_full(), stream.replay.floor());
        if let Some(entry) = stream.replay.entry(key.hash).copied() {
            return self.answer_owned(request, entry, actions);
        }
        if key.date < floor {
            return self.refuse(request.id, Refusal::Expired, actions);
        }
        if full {
            return self.refuse(request.id, Refusal::Unsettled, actions);
        }
        let waiter = Waiter {
            request: request.id,
            deadline: request.deadline,
        };
        self.waiting
            .insert((request.deadline, request.id), key.hash);
        self.write_claim(now, shard, key, request.fingerprint, vec![waiter]);
    }

    /// Answers a request whose key has an owner.
    ///
    /// Unless the run has ended, only the owner may refuse the request because the key was used
    /// with another body: the key may have been released and claimed again for this body in records
    /// that this node has not read yet.
    fn answer_owned(&mut self, request: Request, entry: Entry, actions: &mut Vec<Action>) {
        let id = request.id;
        let mismatch = entry.fingerprint != request.fingerprint;
        let Entry { owner, outcome, .. } = entry;
        if mismatch && outcome.is_some() {
            return self.refuse_as(id, Refusal::Mismatch, Outcome::NotRun, actions);
        }
        if owner != self.me {
            self.counters.redirected += 1;
            return actions.push(Action::Redirect {
                request: id,
                owner,
                outcome,
            });
        }
        if mismatch {
            return self.refuse(id, Refusal::Mismatch, actions);
        }
        // The answer was dropped, or the record that released the key was lost in a gap.
        let outcome = outcome.unwrap_or(Outcome::Unknown);
        self.counters.joined += 1;
        actions.push(Action::Answer {
            request: id,
            outcome,
            source: None,
        });
    }

    /// Queues a claim with a new number.
    pub(super) fn write_claim(
        &mut self,
        now: Now,
        shard: Shard,
        key: DatedKey,
        fingerprint: u64,
        waiters: Vec<Waiter>,
    ) {
        self.last_claim += 1;
        self.counters.claims += 1;
        let DatedKey { hash, date } = key;
        let state = State::Claiming(self.last_claim, waiters);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint,
                grant: Grant::Log(shard, date),
                state,
            },
        );
        let item = Item::Claim {
            hash,
            date,
            fingerprint,
            number: self.last_claim,
        };
        self.stream_mut(now, shard).appends.push(now, item);
    }

    /// Joins a request to its key on this node: the request gets the answer of the run or waits for
    /// the claim.
    fn join(&mut self, request: Request, hash: Hash, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.keys.get_mut(&hash) else {
            return;
        };
        let Request { id, deadline, .. } = request;
        if matches!(&run.state, State::Releasing(_, waiters) if waiters.is_empty()) {
            run.fingerprint = request.fingerprint;
        }
        if run.fingerprint != request.fingerprint {
            // Once a key runs, its owner never changes, so no other body has run under the key.
            let outcome = match run.state {
                State::Running(..) | State::Ended(..) => Outcome::NotRun,
                State::Claiming(..) | State::Releasing(..) => Outcome::Unknown,
            };
            return self.refuse_as(id, Refusal::Mismatch, outcome, actions);
        }
        self.counters.joined += 1;
        match &mut run.state {
            State::Claiming(_, waiters) | State::Releasing(_, waiters) => {
                waiters.push(Waiter {
                    request: id,
                    deadline,
                });
                self.waiting.insert((deadline, id), hash);
            }
            State::Running(_, running) => actions.push(Action::Join {
                request: id,
                running: *running,
            }),
            State::Ended(_, source, outcome) => {
                actions.push(Action::Answer {
                    request: id,
                    outcome: *outcome,
                    source: *source,
                });
            }
        }
    }

    /// Handles a ticket without the log: only the incarnation that issued it runs it, and this
    /// table records which tickets it has run.
    fn receive_ticket(
        &mut self,
        now: Now,
        request: Request,
        ticket: Ticket,
        hash: Hash,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        if ticket.owner != self.me {
            self.counters.redirected += 1;
            let owner = ticket.owner;
            return actions.push(Action::Redirect {
                request: id,
                owner,
                outcome: None,
            });
        }
        if ticket.number >= self.tickets_issued || ticket.issued > now {
            return self.refuse_as(id, Refusal::Unissued, Outcome::NotRun, actions);
        }
        if now >= ticket.issued.saturating_add(self.settings.key_lifetime) {
            return self.refuse(id, Refusal::Expired, actions);
        }
        if self.runs.keys.contains_key(&hash) {
            return self.join(request, hash, actions);
        }
        self.counters.runs += 1;
        let state = State::Running(0, id);
        let grant = Grant::Ticket(ticket.issued);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint: request.fingerprint,
                grant,
                state,
            },
        );
        self.runs.tickets.push_back(hash);
        self.runs.running.insert(id, hash);
        actions.push(Action::Run { request: id, hash });
    }
}
