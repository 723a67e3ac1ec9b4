//! Cost of leases by the number of groups: appends, bytes read, processor time, and time to take
//! over.
//!
//! `cargo run --release -p wigeonshelf-lease --example holds`
//!
//! Eight nodes and a log without faults, in simulated time. Appends and reads are answered in the
//! node's next step, 100 ms later.

use bytes::Bytes;
use lease::group_lease::{Action, Candidacy, Event, Group, Settings, Table};
use lease::{Now, Owner, Page, Record};
use std::time::{Duration, Instant};

const NODES: u64 = 8;
const SECONDS: u32 = 600;
const STEP: Duration = Duration::from_millis(100);

fn main() {
    println!("groups  appends/s  bytes read/s a node  us/s a node  takeover, s");
    for groups in [1, 8, 64, 256] {
        measure(groups);
    }
}

struct Simulation {
    tables: Vec<Table>,
    events: Vec<Vec<Event>>,
    records: Vec<Bytes>,
    appends: u64,
    read: u64,
    spent: Duration,
}

fn measure(groups: Group) {
    let table = |n| {
        Table::new(
            Owner {
                node: n,
                incarnation: 1,
            },
            n,
            Settings::default(),
        )
    };
    let want = |n: u64| {
        let rank = |group| ((group + n) % NODES) as u32;
        (0..groups)
            .map(|group| Candidacy {
                group,
                rank: rank(group),
            })
            .collect()
    };
    let mut simulation = Simulation {
        tables: (0..NODES).map(table).collect(),
        events: (0..NODES)
            .map(|n| vec![Event::Candidacies(want(n))])
            .collect(),
        records: Vec::new(),
        appends: 0,
        read: 0,
        spent: Duration::ZERO,
    };
    let mut now = Duration::ZERO;
    for _ in 0..SECONDS * 10 {
        now += STEP;
        (0..NODES as usize).for_each(|n| simulation.step(n, now));
    }
    let (appends, read) = (simulation.appends, simulation.read);
    let spent = simulation.spent;
    let takeover = simulation.takeover(now);
    let seconds = f64::from(SECONDS);
    let nodes = NODES as f64;
    println!(
        "{groups:6}  {:9.2}  {:19.0}  {:11.1}  {:11.1}",
        appends as f64 / seconds,
        read as f64 / seconds / nodes,
        spent.as_secs_f64() * 1e6 / seconds / nodes,
        takeover.as_secs_f64()
    );
}

impl Simulation {
    fn step(&mut self, n: usize, now: Now) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events[n]);
        let start = Instant::now();
        for event in events.into_iter().chain([Event::Tick]) {
            self.tables[n].handle(now, event, &mut actions);
        }
        self.spent += start.elapsed();
        for action in actions {
            match action {
                Action::Append { batch, body } => {
                    self.records.push(body);
                    self.appends += 1;
                    self.events[n].push(Event::Appended(batch));
                }
                Action::Read { from, .. } => {
                    let page = self.page(from);
                    self.events[n].push(Event::Page(page));
                }
                Action::Gained(..) | Action::Lost(_) => {}
            }
        }
    }

    fn page(&mut self, from: u64) -> Page {
        let bodies = self.records.iter().skip(from as usize).cloned();
        let records: Vec<_> = (from..)
            .zip(bodies)
            .map(|(offset, body)| Record { offset, body })
            .collect();
        self.read += records.iter().map(|r| r.body.len() as u64).sum::<u64>();
        Page {
            first: 0,
            next: from + records.len() as u64,
            records,
        }
    }

    /// Stops the holder of group 0 and returns the time until another node gets a permit.
    fn takeover(&mut self, from: Now) -> Duration {
        let holds = |table: &Table, now| table.permit(now, 0).is_some();
        let Some(dead) = self.tables.iter().position(|table| holds(table, from)) else {
            return Duration::ZERO;
        };
        let mut now = from;
        while now < from + Duration::from_secs(120) {
            now += STEP;
            for n in (0..NODES as usize).filter(|n| *n != dead) {
                self.step(n, now);
                if holds(&self.tables[n], now) {
                    return now - from;
                }
            }
        }
        Duration::MAX
    }
}
