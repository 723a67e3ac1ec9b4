//! Claim table of a node.

mod end;
mod request;
mod settle;

use crate::backoff::Backoff;
use crate::claim::append::Queue;
use crate::claim::record::Batch as Body;
use crate::claim::replay::Replay;
use crate::claim::run::Runs;
use crate::claim::{
    Action, Batch, Counters, Event, Hash, Number, Request, Settings, Shard, Ticket,
};
use crate::{Now, Owner, RequestId, WallTime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Minimum time between two passes over all keys and shards.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Claims and tickets of a node.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Owner,
    pub(super) settings: Settings,
    pub(super) shards: BTreeMap<Shard, Stream>,
    pub(super) runs: Runs,
    /// Requests that wait for a claim, by deadline, with the hashes of their keys.
    pub(super) waiting: BTreeMap<(Now, RequestId), Hash>,
    pub(super) last_claim: Number,
    pub(super) tickets_issued: u64,
    batch: Batch,
    last_sweep: Now,
    /// First key whose invariants the next partial check covers.
    pub(super) check_cursor: Hash,
    random: ChaCha8Rng,
    pub(super) counters: Counters,
}

/// Stream of a shard that this node follows.
#[derive(Debug, Default)]
pub(super) struct Stream {
    pub(super) replay: Replay,
    pub(super) appends: Queue,
    /// Requests received before the stream was read to its end.
    pub(super) pending: Vec<Request>,
    /// Whether this node is the home of the shard.
    pub(super) home: bool,
    reading: bool,
    backoff: Backoff,
    pub(super) last_used: Now,
    /// Time at which a heartbeat record is due if no record is read before.
    heartbeat_due: Now,
}

impl Table {
    /// Returns an empty table. `me` must never have been used before as the owner of any claim.
    pub fn new(me: Owner, seed: u64, settings: Settings) -> Self {
        Self {
            me,
            settings,
            shards: BTreeMap::new(),
            runs: Runs::default(),
            waiting: BTreeMap::new(),
            last_claim: 0,
            tickets_issued: 0,
            batch: 0,
            last_sweep: Now::ZERO,
            check_cursor: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::HomeShards(shards) => self.set_home_shards(now, &shards),
            Event::Received(request) => self.receive(now, request, actions),
            Event::Cancelled(request) => self.cancel(now, request, actions),
            Event::Page(shard, page) => self.apply_page(now, shard, &page, actions),
            Event::ReadFailed(shard) => self.read_failed(now, shard),
            Event::Appended(batch) => self.appended(batch),
            Event::AppendFailed(batch) => self.append_failed(now, batch),
            Event::AppendUnsure(batch) => {
                self.counters.unsure += 1;
                self.append_failed(now, batch);
            }
            Event::Ended(hash, outcome, bytes) => self.end_run(now, hash, outcome, bytes, actions),
            Event::Clock(wall) => self.set_clock(now, wall),
            Event::Tick => self.tick(now, actions),
        }
        self.flush(now, actions);
        debug_assert!(self.check().is_empty(), "{:?}", self.check());
    }

    /// Issues a ticket that only this table accepts.
    pub fn issue_ticket(&mut self, now: Now) -> Ticket {
        let issued = Duration::from_millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        let ticket = Ticket {
            owner: self.me,
            issued,
            number: self.tickets_issued,
        };
        self.tickets_issued += 1;
        self.counters.tickets += 1;
        ticket
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of keys with an owner in all followed shards.
    pub fn key_count(&self) -> usize {
        self.shards.values().map(|stream| stream.replay.len()).sum()
    }

    /// Returns whether appends or reads of any shard have failed more than once in a row.
    pub fn is_log_failing(&self) -> bool {
        let failing =
            |stream: &Stream| stream.appends.failures() > 1 || stream.backoff.failures() > 1;
        self.shards.values().any(failing)
    }

    pub(super) fn wall(&self, now: Now) -> WallTime {
        self.settings.started_at + now
    }

    /// Returns the shard's stream and starts to follow it if necessary.
    pub(super) fn stream_mut(&mut self, now: Now, shard: Shard) -> &mut Stream {
        let stream = self.shards.entry(shard).or_default();
        stream.last_used = now;
        stream
    }

    fn set_home_shards(&mut self, now: Now, homes: &[Shard]) {
        let shards = self.settings.shards;
        for shard in homes.iter().filter(|shard| **shard < shards) {
            self.stream_mut(now, *shard);
        }
        for (shard, stream) in &mut self.shards {
            stream.home = homes.contains(shard);
        }
    }

    fn set_clock(&mut self, now: Now, wall: WallTime) {
        let error = wall.abs_diff(self.wall(now));
        self.counters.stepped += u64::from(error > self.settings.max_clock_error);
        self.settings.started_at = wall.saturating_sub(now);
    }

    fn read_failed(&mut self, now: Now, shard: Shard) {
        self.counters.failed += 1;
        let Some(stream) = self.shards.get_mut(&shard) else {
            return;
        };
        let Settings {
            min_backoff,
            max_backoff,
            ..
        } = self.settings;
        stream.reading = false;
        stream
            .backoff
            .record_failure(now, min_backoff, max_backoff, &mut self.random);
    }

    fn appended(&mut self, batch: Batch) {
        self.shards
            .values_mut()
            .for_each(|stream| stream.appends.complete(batch));
    }

    fn append_failed(&mut self, now: Now, batch: Batch) {
        self.counters.failed += 1;
        let runs = &self.runs;
        let stream = self
            .shards
            .values_mut()
            .find(|stream| stream.appends.in_flight() == Some(batch));
        let Some(stream) = stream else { return };
        let should_resend = |item: &_| settle::should_resend(runs, item);
        stream
            .appends
            .requeue(now, batch, &self.settings, &mut self.random, should_resend);
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.refuse_overdue(now, actions);
        self.expire(now, actions);
        let wall = self.wall(now);
        for stream in self.shards.values_mut() {
            stream.replay.expire(wall, self.settings.key_lifetime);
            if stream.home
                && stream.replay.next() > 0
                && stream.replay.caught_up()
                && now >= stream.heartbeat_due
            {
                stream.appends.request_heartbeat();
                stream.heartbeat_due = now + self.settings.heartbeat_interval;
            }
        }
        self.drop_idle(now);
    }

    /// Stops following shards that are unused and that this node is not the home of. Also drops old
    /// releases and checks invariants of some keys.
    fn drop_idle(&mut self, now: Now) {
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.sweep(now);
        self.counters.broken += self.check_next().len() as u64;
        let idle = self.settings.idle_timeout;
        let runs = &self.runs;
        self.shards.retain(|shard, stream| {
            let in_use = stream.home || now < stream.last_used + idle;
            in_use
                || !stream.appends.is_idle()
                || !stream.pending.is_empty()
                || runs.uses_shard(*shard)
        });
    }

    /// Requests the appends and reads that are due.
    fn flush(&mut self, now: Now, actions: &mut Vec<Action>) {
        for (shard, stream) in &mut self.shards {
            if let Some(items) = stream.appends.take_due(now, self.batch, &self.settings) {
                let (upto, at) = (stream.replay.next(), stream.replay.last_read_at());
                let body = Body {
                    owner: self.me,
                    upto,
                    at,
                    items,
                }
                .encode();
                actions.push(Action::Append {
                    batch: self.batch,
                    shard: *shard,
                    body,
                });
                self.batch += 1;
                self.counters.appends += 1;
            }
            if !stream.reading && stream.backoff.is_ready(now) {
                stream.reading = true;
                let (from, wait) = (stream.replay.next(), stream.replay.caught_up());
                actions.push(Action::Read {
                    shard: *shard,
                    from,
                    wait,
                });
            }
        }
    }

    /// Handles a successful read.
    pub(super) fn complete_read(&mut self, now: Now, shard: Shard, has_records: bool) {
        let Some(stream) = self.shards.get_mut(&shard) else {
            return;
        };
        stream.reading = false;
        stream.backoff.record_success(now);
        if has_records {
            // Jitter of up to a quarter of the interval: the heartbeat of the first node postpones
            // those of the others.
            let share = rand::RngExt::random_range(&mut self.random, 1.0..=1.25);
            stream.heartbeat_due = now + self.settings.heartbeat_interval.mul_f64(share);
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "claims of {}: {}", self.me, self.counters)?;
        let (keys, bytes) = (self.runs.keys.len(), self.runs.answer_bytes);
        writeln!(
            f,
            "own keys {keys} waiting {} answers {bytes} bytes",
            self.waiting.len()
        )?;
        for (shard, stream) in &self.shards {
            let home = if stream.home { " home" } else { "" };
            let (next, floor) = (stream.replay.next(), stream.replay.floor().as_secs());
            write!(
                f,
                "shard {shard}{home} next {next} keys {}",
                stream.replay.len()
            )?;
            write!(f, " floor {floor} queue {}", stream.appends.queued())?;
            writeln!(
                f,
                " pending {} failures {}",
                stream.pending.len(),
                stream.appends.failures()
            )?;
        }
        Ok(())
    }
}
