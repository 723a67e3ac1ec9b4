//! Ends of runs, deadlines of waiting requests, and expiry.

use super::Table;
use crate::claim::record::Item;
use crate::claim::run::{Grant, State};
use crate::claim::{Action, Hash, Refusal};
use crate::{Now, Outcome, RequestId};

impl Table {
    pub(super) fn end_run(
        &mut self,
        now: Now,
        hash: Hash,
        outcome: Outcome,
        bytes: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.keys.get_mut(&hash) else {
            return;
        };
        let State::Running(number, request) = run.state else {
            return;
        };
        self.runs.running.remove(&request);
        let grant = run.grant;
        match (outcome, grant) {
            (Outcome::NotRun, Grant::Ticket(_)) => {
                self.runs.keys.remove(&hash);
                self.runs.tickets.retain(|h| *h != hash);
            }
            (Outcome::NotRun, Grant::Log(shard, _)) => {
                run.state = State::Releasing(number, Vec::new());
                self.release(now, shard, hash, number);
            }
            (Outcome::Complete | Outcome::Unknown, _) => {
                run.state = State::Ended(number, Some(request), outcome);
                self.runs.cache_answer(hash, bytes);
                if let Grant::Log(shard, _) = grant {
                    self.stream_mut(now, shard).appends.push(
                        now,
                        Item::End {
                            hash,
                            number,
                            outcome,
                        },
                    );
                }
                self.evict(actions);
            }
        }
    }

    /// Refuses requests that have waited until their deadlines.
    pub(super) fn refuse_overdue(&mut self, now: Now, actions: &mut Vec<Action>) {
        while let Some(first) = self.waiting.first_entry() {
            let (deadline, request) = *first.key();
            if deadline > now {
                break;
            }
            let hash = first.remove();
            self.remove_waiter(now, hash, request);
            self.refuse(request, Refusal::Unsettled, actions);
        }
        let mut late = Vec::new();
        for stream in self.shards.values_mut() {
            late.extend(
                stream
                    .pending
                    .extract_if(.., |request| now >= request.deadline),
            );
        }
        for request in late {
            self.refuse(request.id, Refusal::Unsettled, actions);
        }
    }

    /// Removes a waiting request. Abandons the claim if no other request waits for it.
    pub(super) fn remove_waiter(&mut self, now: Now, hash: Hash, request: RequestId) {
        let Some(run) = self.runs.keys.get_mut(&hash) else {
            return;
        };
        let Some(waiters) = run.state.waiters_mut() else {
            return;
        };
        waiters.retain(|waiter| waiter.request != request);
        if let (State::Claiming(number, waiters), Grant::Log(shard, _)) = (&run.state, run.grant)
            && waiters.is_empty()
        {
            let number = *number;
            self.runs.keys.remove(&hash);
            self.stream_mut(now, shard)
                .appends
                .remove_claim(hash, number);
        }
    }

    /// Drops answers and tickets that are older than the lifetime of keys.
    pub(super) fn expire(&mut self, now: Now, actions: &mut Vec<Action>) {
        while let Some(cached) = self.runs.answers.front() {
            let grant = self.runs.keys.get(&cached.hash).map(|run| run.grant);
            if grant.is_some_and(|grant| !self.is_expired(now, grant)) {
                break;
            }
            self.evict_one(actions);
        }
        while let Some(hash) = self.runs.tickets.front() {
            let run = self.runs.keys.get(hash);
            let running = run.is_some_and(|run| matches!(run.state, State::Running(..)));
            if running || run.is_some_and(|run| !self.is_expired(now, run.grant)) {
                break;
            }
            if let Some(hash) = self.runs.tickets.pop_front() {
                self.runs.keys.remove(&hash);
            }
        }
    }

    /// Drops releases that were never read back and whose keys have expired. Retries with such keys
    /// are refused as expired.
    pub(super) fn sweep(&mut self, now: Now) {
        let wall = self.wall(now);
        let window = self.settings.key_lifetime;
        self.runs
            .keys
            .retain(|_, run| match (&run.state, run.grant) {
                (State::Releasing(_, waiters), Grant::Log(_, date)) => {
                    !waiters.is_empty() || date.saturating_add(window) >= wall
                }
                _ => true,
            });
    }

    fn evict(&mut self, actions: &mut Vec<Action>) {
        while self.runs.answer_bytes > self.settings.max_answer_bytes {
            self.evict_one(actions);
        }
    }

    /// Drops the oldest cached answer. The outcome of its key remains known.
    fn evict_one(&mut self, actions: &mut Vec<Action>) {
        let Some(hash) = self.runs.pop_oldest_answer() else {
            return;
        };
        let Some(run) = self.runs.keys.get_mut(&hash) else {
            return;
        };
        let State::Ended(number, request, outcome) = &mut run.state else {
            return;
        };
        let (number, outcome) = (*number, *outcome);
        actions.extend(request.take().map(Action::DropAnswer));
        if let Grant::Log(shard, _) = run.grant {
            self.runs.keys.remove(&hash);
            if let Some(stream) = self.shards.get_mut(&shard) {
                stream.replay.record_outcome(hash, self.me, number, outcome);
            }
        }
    }

    fn is_expired(&self, now: Now, grant: Grant) -> bool {
        let window = self.settings.key_lifetime;
        match grant {
            Grant::Log(_, date) => date.saturating_add(window) < self.wall(now),
            Grant::Ticket(issued) => issued.saturating_add(window) <= now,
        }
    }
}
