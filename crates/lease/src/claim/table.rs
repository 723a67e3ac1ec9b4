//! A node's claim table.

mod end;
mod request;
mod settle;

use crate::backoff::Backoff;
use crate::claim::fold::Fold;
use crate::claim::lane::Lane;
use crate::claim::record::Batch as Body;
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

/// Time between two passes over all keys and shards.
const SWEEP: Duration = Duration::from_secs(5);

/// A node's state of claims and tickets.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Owner,
    pub(super) settings: Settings,
    pub(super) shards: BTreeMap<Shard, Part>,
    pub(super) runs: Runs,
    /// By deadline: requests that wait for a claim, with their keys.
    pub(super) waiting: BTreeMap<(Now, RequestId), Hash>,
    pub(super) number: Number,
    pub(super) issued: u64,
    batch: Batch,
    swept: Now,
    /// DatedKey up to which the invariants were last checked.
    pub(super) checked: Hash,
    random: ChaCha8Rng,
    pub(super) counters: Counters,
}

/// One shard, as long as this node follows it.
#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) fold: Fold,
    pub(super) lane: Lane,
    /// Requests that came before the stream was read to its end.
    pub(super) pending: Vec<Request>,
    /// Whether this node is the shard's home.
    pub(super) home: bool,
    reading: bool,
    backoff: Backoff,
    pub(super) used: Now,
    /// When a mark is due if no record comes before.
    mark: Now,
}

impl Table {
    /// An empty table. `me` must never have been the owner of anything before.
    pub fn new(me: Owner, seed: u64, settings: Settings) -> Self {
        Self {
            me,
            settings,
            shards: BTreeMap::new(),
            runs: Runs::default(),
            waiting: BTreeMap::new(),
            number: 0,
            issued: 0,
            batch: 0,
            swept: Now::ZERO,
            checked: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Takes in an event and adds what is to be done.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::HomeShards(shards) => self.follow(now, &shards),
            Event::Received(request) => self.receive(now, request, actions),
            Event::Cancelled(request) => self.cancel(now, request, actions),
            Event::Page(shard, page) => self.page(now, shard, &page, actions),
            Event::ReadFailed(shard) => self.read_failed(now, shard),
            Event::Appended(batch) => self.appended(batch),
            Event::AppendFailed(batch) => self.append_failed(now, batch),
            Event::AppendUnsure(batch) => {
                self.counters.unsure += 1;
                self.append_failed(now, batch);
            }
            Event::Ended(hash, outcome, bytes) => self.ended(now, hash, outcome, bytes, actions),
            Event::Clock(wall) => self.clock(now, wall),
            Event::Tick => self.tick(now, actions),
        }
        self.flush(now, actions);
        debug_assert!(self.check().is_empty(), "{:?}", self.check());
    }

    /// Issues a ticket that only this table will run.
    pub fn issue(&mut self, now: Now) -> Ticket {
        let issued = Duration::from_millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        let ticket = Ticket {
            owner: self.me,
            issued,
            number: self.issued,
        };
        self.issued += 1;
        self.counters.tickets += 1;
        ticket
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Keys remembered from the log, over all shards followed.
    pub fn keys(&self) -> usize {
        self.shards.values().map(|part| part.fold.len()).sum()
    }

    /// Whether appends or reads of any shard fail at present.
    pub fn log_out(&self) -> bool {
        let failing = |part: &Part| part.lane.failures() > 1 || part.backoff.failures() > 1;
        self.shards.values().any(failing)
    }

    pub(super) fn wall(&self, now: Now) -> WallTime {
        self.settings.started_at + now
    }

    /// The shard's part, followed from now on.
    pub(super) fn part(&mut self, now: Now, shard: Shard) -> &mut Part {
        let part = self.shards.entry(shard).or_default();
        part.used = now;
        part
    }

    fn follow(&mut self, now: Now, homes: &[Shard]) {
        let shards = self.settings.shards;
        for shard in homes.iter().filter(|shard| **shard < shards) {
            self.part(now, *shard);
        }
        for (shard, part) in &mut self.shards {
            part.home = homes.contains(shard);
        }
    }

    fn clock(&mut self, now: Now, wall: WallTime) {
        let off = wall.abs_diff(self.wall(now));
        self.counters.stepped += u64::from(off > self.settings.max_clock_error);
        self.settings.started_at = wall.saturating_sub(now);
    }

    fn read_failed(&mut self, now: Now, shard: Shard) {
        self.counters.failed += 1;
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        let Settings {
            min_backoff,
            max_backoff,
            ..
        } = self.settings;
        part.reading = false;
        part.backoff
            .record_failure(now, min_backoff, max_backoff, &mut self.random);
    }

    fn appended(&mut self, batch: Batch) {
        self.shards
            .values_mut()
            .for_each(|part| part.lane.done(batch));
    }

    fn append_failed(&mut self, now: Now, batch: Batch) {
        self.counters.failed += 1;
        let runs = &self.runs;
        let part = self
            .shards
            .values_mut()
            .find(|part| part.lane.flight() == Some(batch));
        let Some(part) = part else { return };
        let wanted = |item: &_| settle::wanted(runs, item);
        part.lane
            .failed(now, batch, &self.settings, &mut self.random, wanted);
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.refuse_late(now, actions);
        self.expire(now, actions);
        let wall = self.wall(now);
        for part in self.shards.values_mut() {
            part.fold.expire(wall, self.settings.key_lifetime);
            if part.home && part.fold.next() > 0 && part.fold.caught_up() && now >= part.mark {
                part.lane.mark();
                part.mark = now + self.settings.heartbeat_interval;
            }
        }
        self.drop_idle(now);
    }

    /// Lets go of shards that are neither this node's own nor in use.
    fn drop_idle(&mut self, now: Now) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.sweep(now);
        self.counters.broken += self.check_next().len() as u64;
        let idle = self.settings.idle_timeout;
        let runs = &self.runs;
        self.shards.retain(|shard, part| {
            let fresh = part.home || now < part.used + idle;
            fresh || !part.lane.idle() || !part.pending.is_empty() || runs.uses(*shard)
        });
    }

    /// Asks for the appends and reads that are due.
    fn flush(&mut self, now: Now, actions: &mut Vec<Action>) {
        for (shard, part) in &mut self.shards {
            if let Some(items) = part.lane.take(now, self.batch, &self.settings) {
                let (upto, at) = (part.fold.next(), part.fold.read_at());
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
            if !part.reading && part.backoff.is_ready(now) {
                part.reading = true;
                let (from, wait) = (part.fold.next(), part.fold.caught_up());
                actions.push(Action::Read {
                    shard: *shard,
                    from,
                    wait,
                });
            }
        }
    }

    /// A read came back.
    pub(super) fn read(&mut self, now: Now, shard: Shard, news: bool) {
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        part.reading = false;
        part.backoff.record_success(now);
        if news {
            // Spread over a quarter of the time, so that the first node's mark spares the others.
            let share = rand::RngExt::random_range(&mut self.random, 1.0..=1.25);
            part.mark = now + self.settings.heartbeat_interval.mul_f64(share);
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "claims of {}: {}", self.me, self.counters)?;
        let (keys, bytes) = (self.runs.keys.len(), self.runs.bytes);
        writeln!(
            f,
            "own keys {keys} waiting {} answers {bytes} bytes",
            self.waiting.len()
        )?;
        for (shard, part) in &self.shards {
            let home = if part.home { " home" } else { "" };
            let (next, floor) = (part.fold.next(), part.fold.floor().as_secs());
            write!(
                f,
                "shard {shard}{home} next {next} keys {}",
                part.fold.len()
            )?;
            write!(f, " floor {floor} queue {}", part.lane.waiting())?;
            writeln!(
                f,
                " pending {} failures {}",
                part.pending.len(),
                part.lane.failures()
            )?;
        }
        Ok(())
    }
}
