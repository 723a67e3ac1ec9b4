//! Cost of claims of idempotency keys in the log.

use crate::clock;
use crate::slope::Slope;
use bytes::Bytes;
use lease::claim::event::Request;
use lease::claim::{Action, Event, Key, Settings, Table};
use lease::{Now, Outcome, Owner, Page, Record};
use std::time::Duration;

/// Time since the Unix epoch at which the simulated clock starts.
const START: Duration = Duration::from_secs(1_764_700_000);
/// Time from the receipt of a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of claims in one append.
const BATCH: u64 = 64;
/// Number of keys that a node holds: 400 claims per second for an hour, over 370 nodes.
const KEYS_PER_NODE: f64 = 400.0 * 3600.0 / 370.0;

/// Measures processor time, memory and log bytes of claims.
pub fn slopes() -> Vec<Slope> {
    let mut spent = Slope::new("claim, from ask to end", "us", "keys held", KEYS_PER_NODE);
    let mut memory = Slope::new("memory of the table", "KB", "keys held", KEYS_PER_NODE);
    for keys in [1_000, 10_000, 60_000] {
        let x = keys as f64;
        let copies = (100_000 / keys).clamp(2, 20) as usize;
        memory.add(x, clock::memory(copies, || World::new(keys)));
        let mut world = World::new(keys);
        let each = clock::mean(|| world.round()) / BATCH as f64;
        spent.add(x, each);
    }
    vec![spent, memory, bytes()]
}

/// Measures the log bytes of an append and of its claims' ends, by the number of claims.
fn bytes() -> Slope {
    let mut slope = Slope::new(
        "record of claims and their ends",
        "bytes",
        "claims",
        BATCH as f64,
    );
    for batch in [1, 8, 64] {
        let mut world = World::new(64);
        world.bytes = 0;
        (0..10).for_each(|_| world.run_batch(batch));
        slope.add(batch as f64, world.bytes as f64 / 10.0);
    }
    slope
}

/// One claim table and a log that stores appends and returns pages immediately.
struct World {
    table: Table,
    now: Now,
    next: u64,
    offset: u64,
    bytes: usize,
}

impl World {
    fn new(keys: u64) -> Self {
        let settings = Settings {
            shards: 1,
            started_at: START,
            ..Settings::default()
        };
        let owner = Owner {
            node: 1,
            incarnation: 1,
        };
        let mut world = Self {
            table: Table::new(owner, 1, settings),
            now: Duration::from_secs(1),
            next: 0,
            offset: 0,
            bytes: 0,
        };
        let mut actions = Vec::new();
        world
            .table
            .handle(world.now, Event::HomeShards(vec![0]), &mut actions);
        world.deliver_page(Vec::new(), &mut actions);
        (0..keys / BATCH).for_each(|_| world.round());
        world
    }

    fn round(&mut self) {
        self.run_batch(BATCH);
    }

    /// Runs `count` requests from receipt to end, with all their claims in one append.
    fn run_batch(&mut self, count: u64) {
        self.now += Duration::from_millis(700);
        let mut actions = Vec::new();
        let mut keys = Vec::new();
        for n in self.next..self.next + count {
            let text = format!("{}-{n}", (START + self.now).as_secs());
            let key = Key::parse("desk", &text).expect("a key");
            keys.push(key);
            let request = Request {
                id: n.into(),
                key,
                fingerprint: 1,
                deadline: self.now + REQUEST_TIMEOUT,
            };
            self.table
                .handle(self.now, Event::Received(request), &mut actions);
        }
        self.next += count;
        self.serve_appends(&mut actions);
        for key in keys {
            let ended = Event::Ended(key.hash(), Outcome::Complete, 200);
            self.table.handle(self.now, ended, &mut actions);
        }
        self.now += Duration::from_millis(700);
        self.table.handle(self.now, Event::Tick, &mut actions);
        self.serve_appends(&mut actions);
    }

    /// Serves all appends among `actions`, and those that follow from them.
    fn serve_appends(&mut self, actions: &mut Vec<Action>) {
        let append = |a: &Action| matches!(a, Action::Append { .. });
        while let Some(at) = actions.iter().position(append) {
            let Action::Append { batch, body, .. } = actions.swap_remove(at) else {
                return;
            };
            self.bytes += body.len();
            self.table.handle(self.now, Event::Appended(batch), actions);
            self.deliver_page(vec![body], actions);
        }
        actions.clear();
    }

    /// Delivers `bodies` to the table as the next page of the log.
    fn deliver_page(&mut self, bodies: Vec<Bytes>, actions: &mut Vec<Action>) {
        let records = (self.offset..).zip(bodies);
        let records: Vec<_> = records
            .map(|(offset, body)| Record { offset, body })
            .collect();
        self.offset += records.len() as u64;
        let page = Page {
            first: 0,
            next: self.offset,
            records,
        };
        self.table.handle(self.now, Event::Page(0, page), actions);
    }
}
