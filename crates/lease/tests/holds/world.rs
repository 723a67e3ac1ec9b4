//! Simulation of six lease tables and a log service with faults, in simulated time.

use bytes::Bytes;
use lease::group_lease::{Action, Candidacy, Event, Fence, Group, Settings, Table};
use lease::{Now, Owner, Page, Record};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

pub const NODES: usize = 6;
pub const GROUPS: [Group; 2] = [11, 22];
const TICK: Duration = Duration::from_millis(50);

/// A deliberate defect, to show that violations of the invariants are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Holders get the permit some time before they send an order.
    EarlyPermit,
    /// One node uses three times the term.
    LongTerm,
    /// Successors use a fifth of the term, and so wait too briefly.
    ShortWait,
    /// A node treats the answer to an append as proof that its record is the first.
    TrustAppend,
}

/// Number of occurrences of each fault.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub outages: usize,
    pub deaths: usize,
    pub pauses: usize,
    pub trims: usize,
    pub leaves: usize,
    /// Percentage of appends that fail, take effect late, or whose answer is lost.
    pub lost: u32,
}

#[derive(Debug)]
enum Scheduled {
    Tick(usize, u64),
    Deliver(usize, u64, Event),
    Effect(Bytes),
    Read(usize, u64, u64, bool, u32),
    Order(usize, u64, Group, Option<Fence>),
    Outage(Duration),
    Death(usize),
    Pause(usize, Duration),
    Leave(usize),
    Trim,
}

#[derive(Debug)]
struct Node {
    table: Table,
    owner: Owner,
    run: u64,
    paused_until: Now,
    started_at: Now,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct Order {
    at: Now,
    owner: Owner,
    fence: Fence,
}

pub struct Simulation {
    now: Now,
    seq: u64,
    random: ChaCha8Rng,
    defect: Defect,
    lost: u32,
    outage_until: Now,
    schedule: BTreeMap<(Now, u64), Scheduled>,
    first: u64,
    records: Vec<Bytes>,
    nodes: Vec<Node>,
    last: BTreeMap<Group, Order>,
    /// Number of orders sent.
    pub orders: u32,
    /// Number of changes of the holder.
    pub changes: u32,
    /// Violated invariants, with the time of each.
    pub findings: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64, defect: Defect) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            seq: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            defect,
            lost: 0,
            outage_until: Duration::ZERO,
            schedule: BTreeMap::new(),
            first: 0,
            records: Vec::new(),
            nodes: Vec::new(),
            last: BTreeMap::new(),
            orders: 0,
            changes: 0,
            findings: Vec::new(),
        };
        for n in 0..NODES {
            let node = simulation.node(n, 1);
            simulation.nodes.push(node);
        }
        (0..NODES).for_each(|n| simulation.start_node(n));
        simulation
    }

    pub fn run(&mut self, length: Duration, faults: Faults) {
        self.lost = faults.lost;
        for _ in 0..faults.outages {
            let time = self.millis(1000, 40_000);
            self.schedule_within(length, Scheduled::Outage(time));
        }
        for _ in 0..faults.pauses {
            let (n, time) = (self.random.random_range(0..NODES), self.millis(500, 60_000));
            self.schedule_within(length, Scheduled::Pause(n, time));
        }
        for _ in 0..faults.deaths {
            let n = self.random.random_range(0..NODES);
            self.schedule_within(length, Scheduled::Death(n));
        }
        for _ in 0..faults.leaves {
            let n = self.random.random_range(0..NODES);
            self.schedule_within(length, Scheduled::Leave(n));
        }
        (0..faults.trims).for_each(|_| self.schedule_within(length, Scheduled::Trim));
        while let Some(((at, _), scheduled)) = self.schedule.pop_first() {
            if at > length {
                break;
            }
            self.now = at;
            self.process(scheduled);
        }
    }

    fn settings(&self, n: usize) -> Settings {
        let usual = Settings::default();
        match self.defect {
            Defect::LongTerm if n == 0 => Settings {
                term: usual.term * 3,
                ..usual
            },
            Defect::ShortWait => {
                let short = usual.term / 5;
                // Node 0 keeps its term: only the wait of the successors is cut.
                let (term, max_order_time) = if n == 0 {
                    (usual.term, short)
                } else {
                    (short, short)
                };
                Settings {
                    term,
                    max_order_time,
                    renew_interval: term / 3,
                    ..usual
                }
            }
            _ => usual,
        }
    }

    fn node(&mut self, n: usize, run: u64) -> Node {
        let owner = Owner {
            node: n as u64,
            incarnation: run,
        };
        let table = Table::new(owner, self.random.random(), self.settings(n));
        Node {
            table,
            owner,
            run,
            paused_until: self.now,
            started_at: self.now,
        }
    }

    fn start_node(&mut self, n: usize) {
        let want = |(g, group): (usize, &Group)| Candidacy {
            group: *group,
            rank: ((n + 3 * g) % NODES) as u32,
        };
        self.deliver(
            n,
            Event::Candidacies(GROUPS.iter().enumerate().map(want).collect()),
        );
        let (at, run) = (self.now + self.millis(0, 50), self.nodes[n].run);
        self.schedule_at(at, Scheduled::Tick(n, run));
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(n, run) if self.nodes[n].run == run => self.tick(n),
            Scheduled::Tick(..) => {}
            Scheduled::Deliver(n, run, event) if self.nodes[n].run == run => {
                self.deliver(n, event);
            }
            Scheduled::Deliver(..) => {}
            Scheduled::Effect(body) => self.records.push(body),
            Scheduled::Read(n, run, from, wait, polls) => self.read(n, run, from, wait, polls),
            Scheduled::Order(n, run, group, early) => self.order(n, run, group, early),
            Scheduled::Outage(time) => self.outage_until = self.now + time,
            Scheduled::Death(n) => {
                let run = self.nodes[n].run + 1;
                self.nodes[n] = self.node(n, run);
                self.start_node(n);
            }
            Scheduled::Pause(n, time) => self.nodes[n].paused_until = self.now + time,
            Scheduled::Leave(n) => self.deliver(n, Event::Candidacies(Vec::new())),
            Scheduled::Trim => {
                let drop = self.random.random_range(0..=self.records.len());
                self.records.drain(..drop);
                self.first += drop as u64;
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let (run, paused_until) = (self.nodes[n].run, self.nodes[n].paused_until);
        if paused_until > self.now {
            return self.schedule_at(paused_until, Scheduled::Tick(n, run));
        }
        self.schedule_at(self.now + TICK, Scheduled::Tick(n, run));
        self.deliver(n, Event::Tick);
        for group in GROUPS {
            if self.random.random_range(0..6) > 0 {
                continue;
            }
            let early = self.nodes[n].table.permit(self.local(n), group);
            let at = self.now + self.millis(1, 40);
            self.schedule_at(at, Scheduled::Order(n, run, group, early));
        }
    }

    /// Sends an order, now or, if the node is paused, when it resumes.
    fn order(&mut self, n: usize, run: u64, group: Group, early: Option<Fence>) {
        if self.nodes[n].paused_until > self.now {
            let until = self.nodes[n].paused_until;
            return self.schedule_at(until, Scheduled::Order(n, run, group, early));
        }
        if self.nodes[n].run != run {
            return;
        }
        let permit = self.nodes[n].table.permit(self.local(n), group);
        let permit = if self.defect == Defect::EarlyPermit {
            early
        } else {
            permit
        };
        let Some(fence) = permit else { return };
        let order = Order {
            at: self.now,
            owner: self.nodes[n].owner,
            fence,
        };
        self.orders += 1;
        let Some(last) = self.last.insert(group, order) else {
            return;
        };
        let longest = Settings::default().max_order_time;
        let same = last.owner == order.owner;
        self.changes += u32::from(!same);
        if !same && order.at < last.at + longest {
            self.findings
                .push(format!("group {group}: {order:?} beside {last:?}"));
        }
        if order.fence < last.fence || !same && order.fence == last.fence {
            self.findings
                .push(format!("group {group}: {order:?} not above {last:?}"));
        }
    }

    fn local(&self, n: usize) -> Now {
        self.now - self.nodes[n].started_at
    }

    fn deliver(&mut self, n: usize, event: Event) {
        let (run, paused_until) = (self.nodes[n].run, self.nodes[n].paused_until);
        if paused_until > self.now {
            return self.schedule_at(paused_until, Scheduled::Deliver(n, run, event));
        }
        let now = self.local(n);
        let mut actions = Vec::new();
        self.nodes[n].table.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Append { batch, body } => self.append(n, batch, body),
                Action::Read { from, wait } => {
                    let at = self.now + self.millis(1, 10);
                    self.schedule_at(at, Scheduled::Read(n, run, from, wait, 0));
                }
                Action::Gained(..) | Action::Lost(_) => {}
            }
        }
    }

    fn append(&mut self, n: usize, batch: u64, body: Bytes) {
        let run = self.nodes[n].run;
        let (there, back) = (self.now + self.millis(1, 8), self.now + self.millis(9, 20));
        let bad = self.now < self.outage_until || self.random.random_range(0..100) < self.lost;
        let late = self.millis(0, 20_000);
        let (answer, effect) = match (bad, self.random.random_range(0..3)) {
            (false, _) => (Event::Appended(batch), Some(there)),
            (true, 0) => (Event::AppendFailed(batch), None),
            (true, 1) => (Event::AppendUnsure(batch), None),
            (true, _) => (Event::AppendUnsure(batch), Some(there + late)),
        };
        if let Some(at) = effect {
            self.schedule_at(at, Scheduled::Effect(body.clone()));
        }
        if self.defect == Defect::TrustAppend && matches!(answer, Event::Appended(_)) {
            let offset = self.first + self.records.len() as u64;
            let records = vec![Record { offset, body }];
            let page = Page {
                first: self.first,
                next: offset + 1,
                records,
            };
            self.schedule_at(there, Scheduled::Deliver(n, run, Event::Page(page)));
        }
        self.schedule_at(back, Scheduled::Deliver(n, run, answer));
    }

    fn read(&mut self, n: usize, run: u64, from: u64, wait: bool, polls: u32) {
        let back = self.now + self.millis(1, 10);
        if self.now < self.outage_until || self.random.random_range(0..100) < self.lost / 4 {
            return self.schedule_at(back, Scheduled::Deliver(n, run, Event::ReadFailed));
        }
        let start = from.max(self.first);
        let skip = (start - self.first) as usize;
        let bodies = self.records.iter().skip(skip).take(20).cloned();
        let records: Vec<_> = (start..)
            .zip(bodies)
            .map(|(offset, body)| Record { offset, body })
            .collect();
        if wait && polls < 30 && records.is_empty() && self.first <= from {
            let later = self.now + Duration::from_millis(30);
            return self.schedule_at(later, Scheduled::Read(n, run, from, wait, polls + 1));
        }
        let next = start + records.len() as u64;
        let page = Page {
            first: self.first,
            next,
            records,
        };
        self.schedule_at(back, Scheduled::Deliver(n, run, Event::Page(page)));
    }

    fn schedule_at(&mut self, at: Now, scheduled: Scheduled) {
        self.seq += 1;
        self.schedule
            .insert((at.max(self.now), self.seq), scheduled);
    }

    fn schedule_within(&mut self, length: Duration, scheduled: Scheduled) {
        let at = self.millis(1000, length.as_millis() as u64);
        self.schedule_at(at, scheduled);
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }
}
