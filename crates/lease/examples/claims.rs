//! Cost of dated keys and of tickets, the two mechanisms for at-most-once execution.
//!
//! `cargo run --release -p wigeonshelf-lease --example claims`
//!
//! The log is simulated: messages take 2 ms each way, and the service accepts a limited number of
//! appends per second from all nodes together. Appends beyond the limit fail at once. Processor
//! time is measured. All other times are simulated.

use bytes::Bytes;
use hdr::Times;
use lease::claim::event::Request;
use lease::claim::{Action, Event, Key, Settings, Shard, Table, home};
use lease::{Now, Outcome, Owner, Page, Record};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const START: Duration = Duration::from_secs(1_764_700_000);
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
const LENGTH: Duration = Duration::from_secs(20);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

fn main() {
    println!("dated keys: claims at 8 nodes, the log accepts 300 appends per second");
    println!("shards pace  claims/s  appends/s  refused  p50      p99      bytes/claim  read KB/s");
    for (shards, pace) in [(16, 20), (16, 100), (4, 20), (4, 100)] {
        for rate in [10, 100, 400, 1000] {
            log(8, shards, pace, rate, 300, false);
        }
    }
    println!("dated keys, each request forwarded to the home of its shard first");
    for (shards, pace) in [(16, 20), (16, 100)] {
        for rate in [10, 100, 400, 1000] {
            log(8, shards, pace, rate, 300, true);
        }
    }
    println!("dated keys at 370 nodes, 64 shards, forwarded to the home");
    for rate in [100, 400, 1000] {
        log(370, 64, 200, rate, 300, true);
    }
    println!();
    cost();
}

/// Exact quantiles of times, computed from all recorded values.
mod hdr {
    use std::time::Duration;

    /// Recorded times.
    #[derive(Default)]
    pub struct Times(Vec<Duration>);

    impl Times {
        /// Records a time.
        pub fn add(&mut self, time: Duration) {
            self.0.push(time);
        }

        /// Returns the quantile at `share`, between 0 and 1.
        pub fn at(&mut self, share: f64) -> Duration {
            self.0.sort_unstable();
            let index = (self.0.len() as f64 * share) as usize;
            self.0
                .get(index.min(self.0.len().saturating_sub(1)))
                .copied()
                .unwrap_or_default()
        }
    }
}

enum Scheduled {
    Tick(usize),
    Deliver(usize, Event),
    Read(usize, Shard, u64, bool),
    Send,
}

struct Simulation {
    now: Now,
    seq: u64,
    schedule: BTreeMap<(Now, u64), Scheduled>,
    tables: Vec<Table>,
    streams: Vec<Vec<Bytes>>,
    /// Waiting reads by shard: the node and the offset to read from.
    pending_reads: Vec<Vec<(usize, u64)>>,
    tokens: f64,
    refilled_at: Now,
    limit: f64,
    requested_at: Vec<Now>,
    times: Times,
    appends: u64,
    refused: u64,
    read: u64,
}

fn log(nodes: usize, shards: Shard, pace: u64, rate: u64, limit: u32, by_home: bool) {
    let settings = Settings {
        shards,
        started_at: START,
        append_interval: Duration::from_millis(pace),
        ..Settings::default()
    };
    let mut simulation = Simulation::new(nodes, settings, limit);
    let all: Vec<u64> = (0..nodes as u64).collect();
    for n in 0..nodes {
        let homes = match by_home {
            true => home::shards(n as u64, &all, shards),
            false => (0..shards).collect(),
        };
        simulation.deliver(n, Event::HomeShards(homes));
        simulation.schedule_at(Duration::from_micros(50 * n as u64), Scheduled::Tick(n));
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let gap = Duration::from_secs(1) / rate as u32;
    let mut at = Duration::from_secs(1);
    while at < LENGTH {
        simulation.schedule_at(at, Scheduled::Send);
        at += gap.mul_f64(random.random_range(0.0..2.0));
    }
    while let Some(((at, _), scheduled)) = simulation.schedule.pop_first() {
        if at > LENGTH + CLAIM_TIMEOUT {
            break;
        }
        simulation.now = at;
        simulation.process(scheduled, &mut random, by_home.then_some(&all), shards);
    }
    simulation.print(shards, pace, rate);
}

impl Simulation {
    fn new(nodes: usize, settings: Settings, limit: u32) -> Self {
        let table = |n| {
            Table::new(
                Owner {
                    node: n,
                    incarnation: 1,
                },
                n,
                settings,
            )
        };
        Self {
            now: Duration::ZERO,
            seq: 0,
            schedule: BTreeMap::new(),
            tables: (0..nodes as u64).map(table).collect(),
            streams: vec![Vec::new(); settings.shards.into()],
            pending_reads: vec![Vec::new(); settings.shards.into()],
            tokens: f64::from(limit),
            refilled_at: Duration::ZERO,
            limit: f64::from(limit),
            requested_at: Vec::new(),
            times: Times::default(),
            appends: 0,
            refused: 0,
            read: 0,
        }
    }

    fn process(
        &mut self,
        scheduled: Scheduled,
        random: &mut ChaCha8Rng,
        homes: Option<&Vec<u64>>,
        shards: Shard,
    ) {
        match scheduled {
            Scheduled::Tick(n) => {
                self.schedule_at(self.now + Duration::from_millis(20), Scheduled::Tick(n));
                self.deliver(n, Event::Tick);
            }
            Scheduled::Deliver(n, event) => self.deliver(n, event),
            Scheduled::Read(n, shard, from, wait) => self.read(n, shard, from, wait),
            Scheduled::Send => {
                let request = self.requested_at.len() as u128;
                let text = format!("{}-{request}", (START + self.now).as_secs());
                let Ok(form) = Key::parse("desk", &text) else {
                    return;
                };
                let shard = lease::claim::shard(form.hash(), shards);
                let home = homes.and_then(|all| home::home(shard, all));
                let any = random.random_range(0..self.tables.len());
                let n = home.map_or(any, |home| home as usize);
                // Forwarding to the home takes half a millisecond.
                let hop = Duration::from_micros(if homes.is_some() { 500 } else { 0 });
                self.requested_at.push(self.now);
                let deadline = self.now + CLAIM_TIMEOUT;
                let ask = Request {
                    id: request,
                    key: form,
                    fingerprint: 1,
                    deadline,
                };
                self.schedule_at(self.now + hop, Scheduled::Deliver(n, Event::Received(ask)));
            }
        }
    }

    fn deliver(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.tables[n].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Append { batch, shard, body } => self.append(n, batch, shard, body),
                Action::Read { shard, from, wait } => {
                    self.schedule_at(
                        self.now + ONE_WAY_DELAY,
                        Scheduled::Read(n, shard, from, wait),
                    );
                }
                Action::Run { request, hash } => {
                    self.times
                        .add(self.now - self.requested_at[request as usize]);
                    let ended = Event::Ended(hash, Outcome::Complete, 200);
                    let end = self.now + Duration::from_millis(500);
                    self.schedule_at(end, Scheduled::Deliver(n, ended));
                }
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn append(&mut self, n: usize, batch: u64, shard: Shard, body: Bytes) {
        let at = self.now + ONE_WAY_DELAY;
        self.tokens += (at.saturating_sub(self.refilled_at)).as_secs_f64() * self.limit;
        self.tokens = self.tokens.min(self.limit);
        self.refilled_at = at;
        let back = at + ONE_WAY_DELAY;
        if self.tokens < 1.0 {
            return self.schedule_at(back, Scheduled::Deliver(n, Event::AppendFailed(batch)));
        }
        self.tokens -= 1.0;
        self.appends += 1;
        // The append takes effect at once in the simulation. Readers see it after the one-way
        // delay.
        self.streams[usize::from(shard)].push(body);
        for (reader, from) in std::mem::take(&mut self.pending_reads[usize::from(shard)]) {
            self.schedule_at(at, Scheduled::Read(reader, shard, from, true));
        }
        self.schedule_at(back, Scheduled::Deliver(n, Event::Appended(batch)));
    }

    fn read(&mut self, n: usize, shard: Shard, from: u64, wait: bool) {
        let stream = &self.streams[usize::from(shard)];
        let bodies = stream.iter().skip(from as usize).cloned();
        let records: Vec<_> = (from..)
            .zip(bodies)
            .map(|(offset, body)| Record { offset, body })
            .collect();
        if records.is_empty() && wait {
            return self.pending_reads[usize::from(shard)].push((n, from));
        }
        self.read += records.iter().map(|r| r.body.len() as u64).sum::<u64>();
        let next = from + records.len() as u64;
        let page = Event::Page(
            shard,
            Page {
                first: 0,
                next,
                records,
            },
        );
        self.schedule_at(self.now + ONE_WAY_DELAY, Scheduled::Deliver(n, page));
    }

    fn schedule_at(&mut self, at: Now, scheduled: Scheduled) {
        self.seq += 1;
        self.schedule.insert((at, self.seq), scheduled);
    }

    fn print(&mut self, shards: Shard, pace: u64, rate: u64) {
        let seconds = LENGTH.as_secs() - 1;
        let bytes: usize = self.streams.iter().flatten().map(Bytes::len).sum();
        let claims = self.requested_at.len().max(1);
        let read = self.read / seconds / self.tables.len() as u64;
        let (half, most) = (self.times.at(0.5), self.times.at(0.99));
        println!(
            "{shards:6} {pace:2} ms  {rate:8}  {:9}  {:7}  {half:>7.1?}  {most:>7.1?}  {:11}  {:9.1}",
            self.appends / seconds,
            self.refused,
            bytes / claims,
            read as f64 / 1000.0
        );
    }
}

/// Prints the processor time and memory of both mechanisms.
fn cost() {
    let held = size_of::<lease::claim::replay::Entry>() + 2 * size_of::<u128>();
    let own = size_of::<lease::claim::run::Run>() + size_of::<u128>();
    println!(
        "bytes per key without overhead of the trees: {held} in a shard, {own} more if run on this node"
    );
    println!("processor time per request from arrival to end, batches of 64");
    println!("keys held   log, ns   ticket, ns");
    for keys in [1_000, 10_000, 60_000] {
        let log = spent(keys, false);
        let ticket = spent(keys, true);
        println!("{keys:9}  {log:8}  {ticket:11}");
    }
}

fn spent(keys: u64, tickets: bool) -> u128 {
    let settings = Settings {
        shards: 1,
        started_at: START,
        max_answer_bytes: usize::MAX,
        ..Settings::default()
    };
    let mut table = Table::new(
        Owner {
            node: 1,
            incarnation: 1,
        },
        1,
        settings,
    );
    let mut actions = Vec::new();
    let mut now = Duration::from_secs(1);
    table.handle(now, Event::HomeShards(vec![0]), &mut actions);
    let empty = Page {
        first: 0,
        next: 0,
        records: Vec::new(),
    };
    table.handle(now, Event::Page(0, empty), &mut actions);
    let mut offset = 0;
    for batch in 0..keys / 64 {
        now += Duration::from_millis(25);
        round(&mut table, now, batch * 64, tickets, &mut offset);
    }
    let start = Instant::now();
    for batch in 0..100 {
        now += Duration::from_millis(25);
        round(&mut table, now, keys + batch * 64, tickets, &mut offset);
    }
    start.elapsed().as_nanos() / 6400
}

/// Runs 64 requests from arrival to end, with their claims in one append.
fn round(table: &mut Table, now: Now, first: u64, tickets: bool, offset: &mut u64) {
    let mut actions = Vec::new();
    let mut forms = Vec::new();
    for n in first..first + 64 {
        let text = match tickets {
            true => table.issue_ticket(now).to_string(),
            false => format!("{}-{n}", START.as_secs()),
        };
        let Ok(form) = Key::parse("desk", &text) else {
            continue;
        };
        forms.push(form);
        let deadline = now + CLAIM_TIMEOUT;
        let ask = Request {
            id: n.into(),
            key: form,
            fingerprint: 1,
            deadline,
        };
        table.handle(now, Event::Received(ask), &mut actions);
    }
    settle(table, now, &mut actions, offset);
    for form in forms {
        let ended = Event::Ended(form.hash(), Outcome::Complete, 200);
        table.handle(now, ended, &mut actions);
    }
    let later = now + Duration::from_millis(20);
    table.handle(later, Event::Tick, &mut actions);
    settle(table, later, &mut actions, offset);
}

/// Lets the requested appends take effect at once and reads them back.
fn settle(table: &mut Table, now: Now, actions: &mut Vec<Action>, offset: &mut u64) {
    while let Some(at) = actions
        .iter()
        .position(|a| matches!(a, Action::Append { .. }))
    {
        let Action::Append { batch, body, .. } = actions.swap_remove(at) else {
            continue;
        };
        table.handle(now, Event::Appended(batch), actions);
        let records = vec![Record {
            offset: *offset,
            body,
        }];
        *offset += 1;
        table.handle(
            now,
            Event::Page(
                0,
                Page {
                    first: 0,
                    next: *offset,
                    records,
                },
            ),
            actions,
        );
    }
    actions.clear();
}
