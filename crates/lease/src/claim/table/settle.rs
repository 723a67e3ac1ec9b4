//! Claims that were read back. A request with a dated key runs only from here.

use super::Table;
use crate::claim::record::Item;
use crate::claim::replay::{Change, Entry};
use crate::claim::run::{Grant, Run, Runs, State, Waiter};
use crate::claim::{Action, DatedKey, Hash, Number, Refusal, Shard};
use crate::{Now, Outcome, Owner, Page, WallTime};

/// Returns whether an item of a failed append must be sent again.
pub(super) fn should_resend(runs: &Runs, item: &Item) -> bool {
    match *item {
        Item::Claim { hash, number, .. } => runs.is_claiming(hash, number),
        Item::End { .. } => true,
    }
}

impl Table {
    pub(super) fn apply_page(
        &mut self,
        now: Now,
        shard: Shard,
        page: &Page,
        actions: &mut Vec<Action>,
    ) {
        let wall = self.wall(now);
        let Some(stream) = self.shards.get_mut(&shard) else {
            return;
        };
        let changes = stream
            .replay
            .apply(wall, page, &self.settings, &mut self.counters);
        stream.replay.expire(wall, self.settings.key_lifetime);
        self.complete_read(now, shard, !page.records.is_empty());
        for change in changes {
            match change {
                Change::Gap => self.handle_gap(now, shard, actions),
                Change::Claimed(hash, entry) => {
                    self.handle_claimed(now, shard, hash, entry, actions)
                }
                Change::Released(hash, owner, number) => {
                    self.handle_released(now, shard, hash, owner, number);
                }
            }
        }
        if self.stream_mut(now, shard).replay.caught_up() {
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
        self.stream_mut(now, shard).appends.push(now, item);
    }

    /// Handles records that the stream dropped before they were read. Claims and releases of this
    /// node that may have been among them can no longer be settled.
    fn handle_gap(&mut self, now: Now, shard: Shard, actions: &mut Vec<Action>) {
        let floor = self.floor(shard);
        let is_affected = |run: &Run| match (&run.state, run.grant) {
            (State::Claiming(..), Grant::Log(s, date)) => s == shard && date < floor,
            (State::Releasing(..), Grant::Log(s, _)) => s == shard,
            _ => false,
        };
        let hashes: Vec<Hash> = self
            .runs
            .keys
            .iter()
            .filter(|(_, run)| is_affected(run))
            .map(|(hash, _)| *hash)
            .collect();
        for hash in hashes {
            let Some(run) = self.runs.keys.remove(&hash) else {
                continue;
            };
            if let State::Claiming(number, _) = run.state {
                self.stream_mut(now, shard)
                    .appends
                    .remove_claim(hash, number);
            }
            for waiter in run.state.waiters() {
                self.waiting.remove(&(waiter.deadline, waiter.request));
                self.refuse(waiter.request, Refusal::Expired, actions);
            }
        }
    }

    /// Handles a key that has a new owner.
    fn handle_claimed(
        &mut self,
        now: Now,
        shard: Shard,
        hash: Hash,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        // A claim number that was never assigned belongs to another process that uses the same
        // owner id. Releasing its claim would free a key that the other process runs.
        if entry.owner != self.me || entry.number > self.last_claim {
            return self.claim_lost(hash, entry, actions);
        }
        if self.runs.is_claiming(hash, entry.number) {
            return self.claim_won(now, shard, hash, entry, actions);
        }
        self.release_late_claim(now, shard, hash, entry);
    }

    /// Releases an abandoned claim that took effect late. Without the release no node could ever
    /// run the key. Requests that wait for a newer claim of this node wait for the release instead.
    fn release_late_claim(&mut self, now: Now, shard: Shard, hash: Hash, entry: Entry) {
        let has_run = |run: &Run| matches!(run.state, State::Running(..) | State::Ended(..));
        if self.runs.keys.get(&hash).is_some_and(has_run) {
            return;
        }
        let run = self.runs.keys.remove(&hash);
        // Waiting requests keep the fingerprint of their own body, which may differ from that of
        // the old claim.
        let fingerprint = run
            .as_ref()
            .map_or(entry.fingerprint, |run| run.fingerprint);
        let waiters = match run.map(|run| run.state) {
            Some(State::Claiming(newer, waiters)) => {
                self.stream_mut(now, shard)
                    .appends
                    .remove_claim(hash, newer);
                waiters
            }
            Some(State::Releasing(_, waiters)) => waiters,
            _ => Vec::new(),
        };
        let grant = Grant::Log(shard, entry.date);
        let state = State::Releasing(entry.number, waiters);
        self.runs.keys.insert(
            hash,
            Run {
                fingerprint,
                grant,
                state,
            },
        );
        self.release(now, shard, hash, entry.number);
    }

    /// Handles a claim of this node that was read back as the first one of its key.
    fn claim_won(
        &mut self,
        now: Now,
        shard: Shard,
        hash: Hash,
        entry: Entry,
        actions: &mut Vec<Action>,
    ) {
        let expired = entry.date < self.floor(shard);
        let Some(State::Claiming(number, mut waiters)) = self.runs.state(hash).cloned() else {
            return;
        };
        for waiter in &waiters {
            self.waiting.remove(&(waiter.deadline, waiter.request));
        }
        // After a gap an older claim may have been dropped. After a pause of this process the
        // deadlines may have passed.
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
            self.set_state(hash, State::Releasing(number, Vec::new()));
            return self.release(now, shard, hash, number);
        };
        let running = first.request;
        self.set_state(hash, State::Running(number, running));
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

    /// Handles a claim of this node that lost to an earlier claim of another owner.
    fn claim_lost(&mut self, hash: Hash, entry: Entry, actions: &mut Vec<Action>) {
        let Some(State::Claiming(number, _)) = self.runs.state(hash) else {
            return;
        };
        let number = *number;
        let Some(run) = self.runs.keys.remove(&hash) else {
            return;
        };
        if let Grant::Log(shard, _) = run.grant
            && let Some(stream) = self.shards.get_mut(&shard)
        {
            stream.appends.remove_claim(hash, number);
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

    /// Handles a release that was read back. Requests that wait for it claim the key again.
    fn handle_released(
        &mut self,
        now: Now,
        shard: Shard,
        hash: Hash,
        owner: Owner,
        number: Number,
    ) {
        let Some(run) = self.runs.keys.get(&hash) else {
            return;
        };
        let State::Releasing(releasing, waiters) = &run.state else {
            return;
        };
        let Grant::Log(_, date) = run.grant else {
            return;
        };
        if owner != self.me || *releasing != number {
            return;
        }
        let (waiters, fingerprint) = (waiters.clone(), run.fingerprint);
        self.runs.keys.remove(&hash);
        if !waiters.is_empty() {
            self.write_claim(now, shard, DatedKey { hash, date }, fingerprint, waiters);
        }
    }

    fn set_state(&mut self, hash: Hash, state: State) {
        if let Some(old) = self.runs.state(hash) {
            *old = state;
        }
    }

    fn floor(&self, shard: Shard) -> WallTime {
        self.shards
            .get(&shard)
            .map_or(WallTime::MAX, |stream| stream.replay.floor())
    }
}
