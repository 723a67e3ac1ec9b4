//! Claims read back: the only place where a dated key is run.

use super::Table;
use crate::claim::fold::{Change, Entry};
use crate::claim::record::Item;
use crate::claim::run::{Run, Runs, State, Waiter, Way};
use crate::claim::{Action, DatedKey, Hash, Number, Refusal, Shard};
use crate::{Now, Outcome, Owner, Page, WallTime};

/// Whether an item of a failed append is still worth sending.
pub(super) fn wanted(runs: &Runs, item: &Item) -> bool {
    match *item {
        Item::Claim { hash, number, .. } => runs.claims(hash, number),
        Item::End { .. } => true,
    }
}

impl Table {
    pub(super) fn page(&mut self, now: Now, shard: Shard, page: &Page, actions: &mut Vec<Action>) {
        let wall = self.wall(now);
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        let changes = part
            .fold
            .apply(wall, page, &self.settings, &mut self.counters);
        part.fold.expire(wall, self.settings.key_lifetime);
        self.read(now, shard, !page.records.is_empty());
        for change in changes {
            match change {
                Change::Gap => self.gap(now, shard, actions),
                Change::Taken(hash, entry) => self.taken(now, shard, hash, entry, actions),
                Change::Released(hash, owner, number) => {
                    self.released(now, shard, hash, owner, number);
                }
            }
        }
        if self.part(now, shard).fold.caught_up() {
            self.retry_pending(now, shard, actions);
        }
    }

    pub(super) fn release(&mut self, now: Now, shard: Shard, hash: Hash, number: Number) {
        self.counters.released += 1;
        let item = Item::End {
            hash,
            number,
            outcome: Outcome::NotRun,
        };
        self.part(now, shard).lane.push(now, item);
    }

    /// Records were dropped before they were read: claims and releases that may have been among
    /// them can't be judged any more.
    fn gap(&mut self, now: Now, shard: Shard, actions: &mut Vec<Action>) {
        let floor = self.floor(shard);
        let lost = |run: &Run| match (&run.state, run.way) {
            (State::Claiming(..), Way::Log(s, date)) => s == shard && date < floor,
            (State::Releasing(..), Way::Log(s, _)) => s == shard,
            _ => false,
        };
        let hashes: Vec<Hash> = self
            .runs
            .keys
            .iter()
            .filter(|(_, run)| lost(run))
            .map(|(hash, _)| *hash)
            .collect();
        for hash in hashes {
            let Some(run) = self.runs.keys.remove(&hash) else {
                continue;
            };
            if let State::Claiming(number, _) = run.state {
                self.part(now, shard).lane.forget(hash, number);
            }
            for waiter in run.state.waiters() {
                self.waiting.remove(&(waiter.deadline, waiter.request));
                self.refuse(waiter.request, Refusal::Expired, actions);
            }
        }
    }

    /// A key is owned now, by this node or another.
    fn taken(
        &mut self,
        now: Now,
        shard: Shard,
        hash: Hash,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        // A number that was never given out is another process's that passes for this one. To
        // release its claim would free a key that it runs.
        if entry.owner != self.me || entry.number > self.number {
            return self.lost(hash, entry, actions);
        }
        if self.runs.claims(hash, entry.number) {
            return self.won(now, shard, hash, entry, actions);
        }
        self.stray(now, shard, hash, entry);
    }

    /// A claim that was given up arrived late. Unless it is released nobody could ever run the
    /// key. Requests that wait for a newer claim of this node wait for the release instead.
    fn stray(&mut self, now: Now, shard: Shard, hash: Hash, entry: Entry) {
        let busy = |run: &Run| matches!(run.state, State::Running(..) | State::Ended(..));
        if self.runs.keys.get(&hash).is_some_and(busy) {
            return;
        }
        let run = self.runs.keys.remove(&hash);
        // What waits keeps its own body's fingerprint, which need not be the old claim's.
        let fingerprint = run
            .as_ref()
            .map_or(entry.fingerprint, |run| run.fingerprint);
        let waiters = match run.map(|run| run.state) {
            Some(State::Claiming(newer, waiters)) => {
                self.part(now, shard).lane.forget(hash, newer);
                waiters
            }
            Some(State::Releasing(_, waiters)) => waiters,
            _ => Vec::new(),
        };
        let way = Way::Log(shard, entry.date);
        let state = State::Releasing(entry.number, waiters);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint,
                way,
                state,
            },
        );
        self.release(now, shard, hash, entry.number);
    }

    /// The claim was read back as the first one.
    fn won(&mut self, now: Now, shard: Shard, hash: Hash, entry: Entry, actions: &mut Vec<Action>) {
        let expired = entry.date < self.floor(shard);
        let Some(State::Claiming(number, mut waiters)) = self.runs.state(hash).cloned() else {
            return;
        };
        for waiter in &waiters {
            self.waiting.remove(&(waiter.deadline, waiter.request));
        }
        // After a gap an older claim may be gone; after a pause the callers have given up.
        let late: Vec<Waiter> = waiters
            .extract_if(.., |w| expired || now >= w.deadline)
            .collect();
        for waiter in late {
            let reason = if expired {
                Refusal::Expired
            } else {
                Refusal::Unsettled
            };
            self.refuse(waiter.request, reason, actions);
        }
        let Some((first, rest)) = waiters.split_first() else {
            self.set(hash, State::Releasing(number, Vec::new()));
            return self.release(now, shard, hash, number);
        };
        let running = first.request;
        self.set(hash, State::Running(number, running));
        self.runs.running.insert(running, hash);
        self.counters.runs += 1;
        actions.push(Action::Run {
            request: running,
            hash,
        });
        actions.extend(rest.iter().map(|w| Action::Join {
            request: w.request,
            running,
        }));
    }

    /// Another node's claim came first.
    fn lost(&mut self, hash: Hash, entry: Entry, actions: &mut Vec<Action>) {
        let Some(State::Claiming(number, _)) = self.runs.state(hash) else {
            return;
        };
        let number = *number;
        let Some(run) = self.runs.keys.remove(&hash) else {
            return;
        };
        if let Way::Log(shard, _) = run.way
            && let Some(part) = self.shards.get_mut(&shard)
        {
            part.lane.forget(hash, number);
        }
        self.counters.lost += 1;
        for waiter in run.state.waiters() {
            self.waiting.remove(&(waiter.deadline, waiter.request));
            self.counters.redirected += 1;
            let (request, Entry { owner, outcome, .. }) = (waiter.request, entry);
            actions.push(Action::Redirect {
                request,
                owner,
                outcome,
            });
        }
    }

    /// A release was read back; requests that came meanwhile claim the key anew.
    fn released(&mut self, now: Now, shard: Shard, hash: Hash, owner: Owner, number: Number) {
        let Some(run) = self.runs.keys.get(&hash) else {
            return;
        };
        let State::Releasing(releasing, waiters) = &run.state else {
            return;
        };
        let Way::Log(_, date) = run.way else { return };
        if owner != self.me || *releasing != number {
            return;
        }
        let (waiters, fingerprint) = (waiters.clone(), run.fingerprint);
        self.runs.keys.remove(&hash);
        if !waiters.is_empty() {
            self.write_claim(now, shard, DatedKey { hash, date }, fingerprint, waiters);
        }
    }

    fn set(&mut self, hash: Hash, state: State) {
        if let Some(old) = self.runs.state(hash) {
            *old = state;
        }
    }

    fn floor(&self, shard: Shard) -> WallTime {
        self.shards
            .get(&shard)
            .map_or(WallTime::MAX, |part| part.fold.floor())
    }
}
