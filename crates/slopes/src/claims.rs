//! Claims of idempotency keys in the log.

use crate::clock;
use crate::slope::Slope;
use bytes::Bytes;
use lease::claim::event::Request;
use lease::claim::{Action, Event, Key, Settings, Table};
use lease::{Now, Outcome, Owner, Page, Record};
use std::time::Duration;

const START: Duration = Duration::from_secs(1_764_700_000);
const PATIENCE: Duration = Duration::from_secs(3);
/// Claims of one append.
const BATCH: u64 = 64;
/// Keys of a node: 400 claims a second for an hour, over 370 nodes.
const KEYS: f64 = 400.0 * 3600.0 / 370.0;

/// All slopes of claims.
pub fn slopes() -> Vec<Slope> {
    let mut spent = Slope::new("claim, from ask to end", "us", "keys held", KEYS);
    let mut memory = Slope::new("memory of the table", "KB", "keys held", KEYS);
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

/// Bytes of a claim in the log, by claims of one append.
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
        (0..10).for_each(|_| world.batch(batch));
        slope.add(batch as f64, world.bytes as f64 / 10.0);
    }
    slope
}

/// One table, and a log that takes and gives everything at once.
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
        world.page(Vec::new(), &mut actions);
        (0..keys / BATCH).for_each(|_| world.round());
        world
    }

    fn round(&mut self) {
        self.batch(BATCH);
    }

    /// Requests from ask to end; their claims in one append.
    fn batch(&mut self, count: u64) {
        self.now += Duration::from_millis(700);
        let mut actions = Vec::new();
        let mut forms = Vec::new();
        for n in self.next..self.next + count {
            let text = format!("{}-{n}", (START + self.now).as_secs());
            let form = Key::parse("desk", &text).expect("a key");
            forms.push(form);
            let ask = Request {
                id: n.into(),
                key: form,
                fingerprint: 1,
                deadline: self.now + PATIENCE,
            };
            self.table
                .handle(self.now, Event::Received(ask), &mut actions);
        }
        self.next += count;
        self.settle(&mut actions);
        for form in forms {
            let ended = Event::Ended(form.hash(), Outcome::Complete, 200);
            self.table.handle(self.now, ended, &mut actions);
        }
        self.now += Duration::from_millis(700);
        self.table.handle(self.now, Event::Tick, &mut actions);
        self.settle(&mut actions);
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        let append = |a: &Action| matches!(a, Action::Append { .. });
        while let Some(at) = actions.iter().position(append) {
            let Action::Append { batch, body, .. } = actions.swap_remove(at) else {
                return;
            };
            self.bytes += body.len();
            self.table.handle(self.now, Event::Appended(batch), actions);
            self.page(vec![body], actions);
        }
        actions.clear();
    }

    fn page(&mut self, bodies: Vec<Bytes>, actions: &mut Vec<Action>) {
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
