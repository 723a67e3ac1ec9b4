//! Cost of the two ways to run a request at most once.
//!
//! `cargo run --release -p wigeonshelf-lease --example claims`
//!
//! The log is modelled: an append takes 2 ms there and 2 ms back, and the service takes a bounded
//! number of appends a second over all nodes, each over it failing at once. Processor time is
//! measured, everything else is counted in passed-in time.

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
const WAY: Duration = Duration::from_millis(2);
const LENGTH: Duration = Duration::from_secs(20);
const PATIENCE: Duration = Duration::from_secs(3);

fn main() {
    println!("way (a), log: claims at 8 nodes, the log takes 300 appends a second");
    println!("shards pace  claims/s  appends/s  refused  p50      p99      bytes/claim  read KB/s");
    for (shards, pace) in [(16, 20), (16, 100), (4, 20), (4, 100)] {
        for rate in [10, 100, 400, 1000] {
            log(8, shards, pace, rate, 300, false);
        }
    }
    println!("the same, each request handed to its shard's home first");
    for (shards, pace) in [(16, 20), (16, 100)] {
        for rate in [10, 100, 400, 1000] {
            log(8, shards, pace, rate, 300, true);
        }
    }
    println!("370 nodes, 64 shards, by home");
    for rate in [100, 400, 1000] {
        log(370, 64, 200, rate, 300, true);
    }
    println!();
    cost();
}

/// A small table of waits, since every one is kept.
mod hdr {
    use std::time::Duration;

    /// Waits.
    #[derive(Default)]
    pub struct Times(Vec<Duration>);

    impl Times {
        /// Adds one.
        pub fn add(&mut self, time: Duration) {
            self.0.push(time);
        }

        /// The wait that this share stays within.
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

enum Happening {
    Tick(usize),
    Deliver(usize, Event),
    Read(usize, Shard, u64, bool),
    Send,
}

struct World {
    now: Now,
    seq: u64,
    agenda: BTreeMap<(Now, u64), Happening>,
    tables: Vec<Table>,
    streams: Vec<Vec<Bytes>>,
    /// Reads that wait, by shard.
    waits: Vec<Vec<(usize, u64)>>,
    tokens: f64,
    filled: Now,
    limit: f64,
    asked: Vec<Now>,
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
    let mut world = World::new(nodes, settings, limit);
    let all: Vec<u64> = (0..nodes as u64).collect();
    for n in 0..nodes {
        let homes = match by_home {
            true => home::shards(n as u64, &all, shards),
            false => (0..shards).collect(),
        };
        world.give(n, Event::HomeShards(homes));
        world.plan(Duration::from_micros(50 * n as u64), Happening::Tick(n));
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let gap = Duration::from_secs(1) / rate as u32;
    let mut at = Duration::from_secs(1);
    while at < LENGTH {
        world.plan(at, Happening::Send);
        at += gap.mul_f64(random.random_range(0.0..2.0));
    }
    while let Some(((at, _), happening)) = world.agenda.pop_first() {
        if at > LENGTH + PATIENCE {
            break;
        }
        world.now = at;
        world.happen(happening, &mut random, by_home.then_some(&all), shards);
    }
    world.print(shards, pace, rate);
}

impl World {
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
            agenda: BTreeMap::new(),
            tables: (0..nodes as u64).map(table).collect(),
            streams: vec![Vec::new(); settings.shards.into()],
            waits: vec![Vec::new(); settings.shards.into()],
            tokens: f64::from(limit),
            filled: Duration::ZERO,
            limit: f64::from(limit),
            asked: Vec::new(),
            times: Times::default(),
            appends: 0,
            refused: 0,
            read: 0,
        }
    }

    fn happen(
        &mut self,
        happening: Happening,
        random: &mut ChaCha8Rng,
        homes: Option<&Vec<u64>>,
        shards: Shard,
    ) {
        match happening {
            Happening::Tick(n) => {
                self.plan(self.now + Duration::from_millis(20), Happening::Tick(n));
                self.give(n, Event::Tick);
            }
            Happening::Deliver(n, event) => self.give(n, event),
            Happening::Read(n, shard, from, wait) => self.read(n, shard, from, wait),
            Happening::Send => {
                let request = self.asked.len() as u128;
                let text = format!("{}-{request}", (START + self.now).as_secs());
                let Ok(form) = Key::parse("desk", &text) else {
                    return;
                };
                let shard = lease::claim::shard(form.hash(), shards);
                let home = homes.and_then(|all| home::home(shard, all));
                let any = random.random_range(0..self.tables.len());
                let n = home.map_or(any, |home| home as usize);
                // A request that is handed on comes half a millisecond later.
                let hop = Duration::from_micros(if homes.is_some() { 500 } else { 0 });
                self.asked.push(self.now);
                let deadline = self.now + PATIENCE;
                let ask = Request {
                    id: request,
                    key: form,
                    fingerprint: 1,
                    deadline,
                };
                self.plan(self.now + hop, Happening::Deliver(n, Event::Received(ask)));
            }
        }
    }

    fn give(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.tables[n].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Append { batch, shard, body } => self.append(n, batch, shard, body),
                Action::Read { shard, from, wait } => {
                    self.plan(self.now + WAY, Happening::Read(n, shard, from, wait));
                }
                Action::Run { request, hash } => {
                    self.times.add(self.now - self.asked[request as usize]);
                    let ended = Event::Ended(hash, Outcome::Complete, 200);
                    let end = self.now + Duration::from_millis(500);
                    self.plan(end, Happening::Deliver(n, ended));
                }
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn append(&mut self, n: usize, batch: u64, shard: Shard, body: Bytes) {
        let at = self.now + WAY;
        self.tokens += (at.saturating_sub(self.filled)).as_secs_f64() * self.limit;
        self.tokens = self.tokens.min(self.limit);
        self.filled = at;
        let back = at + WAY;
        if self.tokens < 1.0 {
            return self.plan(back, Happening::Deliver(n, Event::AppendFailed(batch)));
        }
        self.tokens -= 1.0;
        self.appends += 1;
        // The append takes effect now for the model's purposes; readers see it after the way.
        self.streams[usize::from(shard)].push(body);
        for (reader, from) in std::mem::take(&mut self.waits[usize::from(shard)]) {
            self.plan(at, Happening::Read(reader, shard, from, true));
        }
        self.plan(back, Happening::Deliver(n, Event::Appended(batch)));
    }

    fn read(&mut self, n: usize, shard: Shard, from: u64, wait: bool) {
        let stream = &self.streams[usize::from(shard)];
        let bodies = stream.iter().skip(from as usize).cloned();
        let records: Vec<_> = (from..)
            .zip(bodies)
            .map(|(offset, body)| Record { offset, body })
            .collect();
        if records.is_empty() && wait {
            return self.waits[usize::from(shard)].push((n, from));
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
        self.plan(self.now + WAY, Happening::Deliver(n, page));
    }

    fn plan(&mut self, at: Now, happening: Happening) {
        self.seq += 1;
        self.agenda.insert((at, self.seq), happening);
    }

    fn print(&mut self, shards: Shard, pace: u64, rate: u64) {
        let seconds = LENGTH.as_secs() - 1;
        let bytes: usize = self.streams.iter().flatten().map(Bytes::len).sum();
        let claims = self.asked.len().max(1);
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

/// Processor time and memory of each way.
fn cost() {
    let held = size_of::<lease::claim::replay::Entry>() + 2 * size_of::<u128>();
    let own = size_of::<lease::claim::run::Run>() + size_of::<u128>();
    println!("bytes of one key, without the trees' own: {held} remembered, {own} more if run here");
    println!("processor time of one request, from ask to end, batches of 64");
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

/// Sixty-four requests from ask to end; their claims in one append.
fn round(table: &mut Table, now: Now, first: u64, tickets: bool, offset: &mut u64) {
    let mut actions = Vec::new();
    let mut forms = Vec::new();
    for n in first..first + 64 {
        let text = match tickets {
            true => table.issue(now).to_string(),
            false => format!("{}-{n}", START.as_secs()),
        };
        let Ok(form) = Key::parse("desk", &text) else {
            continue;
        };
        forms.push(form);
        let deadline = now + PATIENCE;
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

/// Lets appends take effect at once and reads them back.
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
