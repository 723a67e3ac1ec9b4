//! Eight claim tables and a log service with faults, in passed-in time.

use bytes::Bytes;
use lease::claim::event::Request;
use lease::claim::home;
use lease::claim::{Action, Event, Hash, Key, Settings, Shard, Table};
use lease::{Now, Outcome, Owner, Page, Record, RequestId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

pub const NODES: usize = 8;
pub const SHARDS: Shard = 2;
const EPOCH: Duration = Duration::from_secs(1_764_700_000);
const TICK: Duration = Duration::from_millis(20);
const SKEW: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(40);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
const TEAM: &str = "desk";

/// What is broken on purpose, to show that the invariants bite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Nothing.
    None,
    /// A restarted node goes on under its old incarnation.
    SameIncarnation,
    /// The log hides what it dropped: it gives blanks in place of it.
    HiddenTrim,
    /// A node takes the append's answer for its claim being the first.
    TrustAppend,
    /// Nodes of odd number see the claims of each pair of neighbours in another order.
    OtherOrder,
    /// Clocks err more than the settings allow for.
    Clocks,
    /// The node says that a request was not run after it was sent.
    FalseNotRun,
}

/// How many times each fault comes.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub outages: usize,
    pub deaths: usize,
    pub pauses: usize,
    pub trims: usize,
    /// Appends in a hundred whose answer is lost, or that fail, or that arrive late.
    pub lost: u32,
}

pub const ALL: Faults = Faults {
    outages: 3,
    deaths: 6,
    pauses: 6,
    trims: 6,
    lost: 20,
};

#[derive(Debug)]
enum Happening {
    Tick(usize),
    Deliver(usize, u64, Event),
    Effect(Shard, Bytes),
    Read(usize, u64, Shard, u64, bool, u32),
    Send(usize, usize),
    Forward(usize, u64, Request),
    Ended(usize, u64, Hash, Outcome),
    Issue(usize),
    Outage(Duration),
    Death(usize),
    Pause(usize, Duration),
    Trim,
}

#[derive(Debug)]
struct Node {
    table: Table,
    owner: Owner,
    life: u64,
    paused: Now,
    born: Now,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug)]
struct KeyLog {
    key: Key,
    /// Bodies that were sent to an endpoint under it, each time.
    sent: Vec<u64>,
}

/// One send of a caller.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: usize,
    body: u64,
    /// Whether a node handed it to another.
    hopped: bool,
}

/// What callers were told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub sends: u32,
    pub runs: u32,
    pub complete: u32,
    pub unknown: u32,
    pub not_run: u32,
    pub pointed: u32,
    pub expired: u32,
    pub gaps: u64,
    pub released: u64,
    pub unsure: u64,
}

pub struct World {
    now: Now,
    seq: u64,
    random: ChaCha8Rng,
    broken: Break,
    lost: u32,
    out_until: Now,
    agenda: BTreeMap<(Now, u64), Happening>,
    streams: BTreeMap<Shard, Stream>,
    nodes: Vec<Node>,
    keys: Vec<KeyLog>,

    asks: BTreeMap<RequestId, Sent>,
    request: RequestId,
    pub tally: Tally,
    /// What does not hold, with its time.
    pub findings: Vec<String>,
}

impl World {
    pub fn new(seed: u64, broken: Break) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            broken,
            lost: 0,
            out_until: Duration::ZERO,
            agenda: BTreeMap::new(),
            streams: (0..SHARDS)
                .map(|shard| (shard, Stream::default()))
                .collect(),
            nodes: Vec::new(),
            keys: Vec::new(),

            asks: BTreeMap::new(),
            request: 0,
            tally: Tally::default(),
            findings: Vec::new(),
        };
        for n in 0..NODES {
            let node = world.node(n, 1);
            world.nodes.push(node);
        }
        for n in 0..NODES {
            world.begin(n);
        }
        world
    }

    /// Keys each sent a few times, in parallel and later, while the faults come.
    pub fn run(&mut self, keys: usize, length: Duration, faults: Faults) {
        self.lost = faults.lost;
        for _ in 0..faults.outages {
            let time = self.millis(200, 8000);
            self.plan_within(length, Happening::Outage(time));
        }
        for _ in 0..faults.deaths {
            let n = self.random.random_range(0..NODES);
            self.plan_within(length, Happening::Death(n));
        }
        for _ in 0..faults.pauses {
            let (n, time) = (self.random.random_range(0..NODES), self.millis(100, 9000));
            self.plan_within(length, Happening::Pause(n, time));
        }
        (0..faults.trims).for_each(|_| self.plan_within(length, Happening::Trim));
        (0..keys).for_each(|_| self.plan_key(length));
        while let Some(((at, _), happening)) = self.agenda.pop_first() {
            if at > length + WINDOW + CLAIM_TIMEOUT {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
        self.count();
    }

    /// A fourth of the keys are tickets.
    fn plan_key(&mut self, length: Duration) {
        let at = self.within(length);
        let n = self.random.random_range(0..NODES);
        if self.random.random_range(0..4) == 0 {
            return self.plan(at, Happening::Issue(n));
        }
        let date = EPOCH + at - self.millis(0, SKEW.as_millis() as u64) / 2;
        let text = format!("{}-{}", date.as_secs(), self.keys.len());
        self.plan_sends(at, n, Key::parse(TEAM, &text).unwrap());
    }

    fn issue(&mut self, n: usize) {
        let now = self.local(n);
        let text = self.nodes[n].table.issue(now).to_string();
        self.plan_sends(self.now, n, Key::parse(TEAM, &text).unwrap());
    }

    /// Sends in parallel, soon after and late, to one node or any.
    fn plan_sends(&mut self, at: Now, home: usize, form: Key) {
        let key = self.keys.len();

        self.keys.push(KeyLog {
            key: form,
            sent: Vec::new(),
        });
        for _ in 0..self.random.random_range(1..7) {
            let delay = match self.random.random_range(0..10) {
                0..5 => self.millis(0, 20),
                5..8 => self.millis(0, 5000),
                _ => self.millis(0, 60_000),
            };
            let same = self.random.random_range(0..3) == 0;
            let n = if same {
                home
            } else {
                self.random.random_range(0..NODES)
            };
            self.plan(at + delay, Happening::Send(key, n));
        }
    }

    fn node(&mut self, n: usize, life: u64) -> Node {
        let start = match self.broken {
            Break::Clocks => EPOCH + self.now - self.millis(0, 60_000),
            _ => EPOCH + self.now + self.millis(0, SKEW.as_millis() as u64),
        };
        let incarnation = if self.broken == Break::SameIncarnation {
            1
        } else {
            life
        };
        let owner = Owner {
            node: n as u64,
            incarnation,
        };
        let settings = Settings {
            shards: SHARDS,
            started_at: start,
            max_clock_error: SKEW,
            key_lifetime: WINDOW,
            max_answer_bytes: 2000,
            heartbeat_interval: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(10),
            ..Settings::default()
        };
        let table = Table::new(owner, self.random.random(), settings);
        Node {
            table,
            owner,
            life,
            paused: self.now,
            born: self.now,
        }
    }

    /// Half of the nodes follow only what they are home of, and read the rest when asked.
    fn begin(&mut self, n: usize) {
        let nodes: Vec<u64> = (0..NODES as u64).collect();
        let all: Vec<Shard> = (0..SHARDS).collect();
        let homes = if n.is_multiple_of(2) {
            all
        } else {
            home::shards(n as u64, &nodes, SHARDS)
        };
        self.give(n, Event::HomeShards(homes));
        let first = self.now + self.millis(0, 20);
        self.plan(first, Happening::Tick(n));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(n) => {
                self.plan(
                    self.now.max(self.nodes[n].paused) + TICK,
                    Happening::Tick(n),
                );
                self.give(n, Event::Tick);
            }
            Happening::Deliver(n, life, event) => {
                if let Some(until) = self.paused(n) {
                    return self.plan(until, Happening::Deliver(n, life, event));
                }
                if self.nodes[n].life == life {
                    self.give(n, event);
                }
            }
            Happening::Effect(shard, body) => self.effect(shard, body),
            Happening::Read(n, life, shard, from, wait, polls) => {
                self.read(n, life, shard, from, wait, polls);
            }
            Happening::Send(key, n) => self.send(key, n),
            Happening::Forward(n, life, ask) => {
                if let Some(until) = self.paused(n) {
                    return self.plan(until, Happening::Forward(n, life, ask));
                }
                if self.nodes[n].life == life {
                    let deadline = self.local(n) + CLAIM_TIMEOUT;
                    self.give(n, Event::Received(Request { deadline, ..ask }));
                }
            }
            Happening::Ended(n, life, hash, outcome) => self.ended(n, life, hash, outcome),
            Happening::Issue(n) => self.issue(n),
            Happening::Outage(time) => self.out_until = self.now + time,
            Happening::Death(n) => self.death(n),
            Happening::Pause(n, time) => self.nodes[n].paused = self.now + time,
            Happening::Trim => self.trim(),
        }
    }

    fn paused(&self, n: usize) -> Option<Now> {
        Some(self.nodes[n].paused).filter(|until| *until > self.now)
    }

    fn local(&self, n: usize) -> Now {
        self.now - self.nodes[n].born
    }

    fn give(&mut self, n: usize, event: Event) {
        if self.paused(n).is_some() {
            let life = self.nodes[n].life;
            return match event {
                Event::Tick => {}
                event => self.plan(self.nodes[n].paused, Happening::Deliver(n, life, event)),
            };
        }
        let now = self.local(n);
        let mut actions = Vec::new();
        self.nodes[n].table.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(n, action));
    }

    fn act(&mut self, n: usize, action: Action) {
        let life = self.nodes[n].life;
        match action {
            Action::Append { batch, shard, body } => self.append(n, batch, shard, body),
            Action::Read { shard, from, wait } => {
                let at = self.now + self.millis(1, 10);
                self.plan(at, Happening::Read(n, life, shard, from, wait, 0));
            }
            Action::Run { request, hash } => self.start(n, request, hash),
            Action::Redirect {
                request,
                owner,
                outcome,
            } => self.point(request, owner, outcome),
            Action::Refuse {
                request, outcome, ..
            } => self.told(request, outcome),
            Action::Answer {
                request, outcome, ..
            } => self.told(request, outcome),
            Action::Join { .. } | Action::DropAnswer(_) => {}
        }
    }

    fn append(&mut self, n: usize, batch: u64, shard: Shard, body: Bytes) {
        let life = self.nodes[n].life;
        let (there, back) = (self.now + self.millis(1, 8), self.now + self.millis(9, 20));
        let out = self.now < self.out_until;
        let bad = self.random.random_range(0..100) < self.lost;
        let mut answer = Event::Appended(batch);
        if out || bad {
            answer = match self.random.random_range(0..3) {
                0 => Event::AppendFailed(batch),
                _ => Event::AppendUnsure(batch),
            };
        }
        let effect = match answer {
            Event::Appended(_) => Some(there),
            Event::AppendUnsure(_) if self.random.random() => Some(there + self.millis(0, 4000)),
            _ => None,
        };
        if let Some(at) = effect {
            self.plan(at, Happening::Effect(shard, body.clone()));
        }
        if self.broken == Break::TrustAppend && matches!(answer, Event::Appended(_)) {
            let stream = &self.streams[&shard];
            let offset = stream.first + stream.records.len() as u64;
            let records = vec![Record { offset, body }];
            let page = Page {
                first: stream.first,
                next: offset + 1,
                records,
            };
            self.plan(back, Happening::Deliver(n, life, Event::Page(shard, page)));
        }
        self.plan(back, Happening::Deliver(n, life, answer));
    }

    fn effect(&mut self, shard: Shard, body: Bytes) {
        if let Some(stream) = self.streams.get_mut(&shard) {
            stream.records.push(body);
        }
    }

    fn read(&mut self, n: usize, life: u64, shard: Shard, from: u64, wait: bool, polls: u32) {
        let back = self.now + self.millis(1, 10);
        if self.now < self.out_until || self.random.random_range(0..100) < self.lost / 4 {
            return self.plan(back, Happening::Deliver(n, life, Event::ReadFailed(shard)));
        }
        let page = self.page(n, shard, from);
        if wait && polls < 20 && page.records.is_empty() && page.first <= from {
            let later = self.now + Duration::from_millis(30);
            return self.plan(
                later,
                Happening::Read(n, life, shard, from, wait, polls + 1),
            );
        }
        self.plan(back, Happening::Deliver(n, life, Event::Page(shard, page)));
    }

    fn page(&mut self, n: usize, shard: Shard, from: u64) -> Page {
        let most = self.random.random_range(1..30);
        let stream = &self.streams[&shard];
        let hidden = self.broken == Break::HiddenTrim;
        let first = if hidden { 0 } else { stream.first };
        let start = from.max(first);
        let end = stream.first + stream.records.len() as u64;
        let record = |offset: u64| {
            let swap = self.broken == Break::OtherOrder && n % 2 == 1 && (offset ^ 1) < end;
            let at = if swap { offset ^ 1 } else { offset };
            let body = at
                .checked_sub(stream.first)
                .map(|i| stream.records[i as usize].clone());
            Record {
                offset,
                body: body.unwrap_or_default(),
            }
        };
        let records: Vec<_> = (start..end).take(most).map(record).collect();
        Page {
            first,
            next: start + records.len() as u64,
            records,
        }
    }

    fn send(&mut self, key: usize, n: usize) {
        self.request += 1;
        self.tally.sends += 1;
        // Now and then a caller uses its key for another body by mistake.
        let body = u64::from(self.random.random_range(0..20) == 0);
        self.asks.insert(
            self.request,
            Sent {
                key,
                body,
                hopped: false,
            },
        );

        self.ask(n, self.request);
    }

    fn ask(&mut self, n: usize, request: RequestId) {
        let Sent { key, body, .. } = self.asks[&request];
        let form = self.keys[key].key;
        let ask = Request {
            id: request,
            key: form,
            fingerprint: body,
            deadline: Duration::ZERO,
        };
        let life = self.nodes[n].life;
        self.plan(self.now, Happening::Forward(n, life, ask));
    }

    /// The router refuses some requests unrun; the others leave for an endpoint at once.
    fn start(&mut self, n: usize, request: RequestId, hash: Hash) {
        self.tally.runs += 1;
        let fate = self.random.random_range(0..16);
        if fate == 0 {
            // The caller left while the word to run was on its way.
            let at = self.now + self.millis(0, 20);
            let life = self.nodes[n].life;
            return self.plan(at, Happening::Deliver(n, life, Event::Cancelled(request)));
        }
        let refused = fate < 5;
        let life = self.nodes[n].life;
        let end = self.now + self.millis(1, 2000);
        if refused {
            self.not_run(request);
            return self.plan(end, Happening::Ended(n, life, hash, Outcome::NotRun));
        }
        let Sent { key, body, .. } = self.asks[&request];
        let sent = &mut self.keys[key].sent;
        sent.push(body);
        if sent.len() > 1 {
            let text = format!(
                "{:?}: {hash:x} sent {} times, by node {n}",
                self.now,
                sent.len()
            );
            self.findings.push(text);
        }

        let outcome = match self.random.random_range(0..4) {
            0 if self.broken == Break::FalseNotRun => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Complete,
        };
        self.plan(end, Happening::Ended(n, life, hash, outcome));
    }

    fn ended(&mut self, n: usize, life: u64, hash: Hash, outcome: Outcome) {
        if let Some(until) = self.paused(n) {
            return self.plan(until, Happening::Ended(n, life, hash, outcome));
        }
        if self.nodes[n].life == life {
            self.give(n, Event::Ended(hash, outcome, 100));
        }
    }

    /// One hop to the owner; with the owner dead or the hop spent, what is known is told.
    fn point(&mut self, request: RequestId, owner: Owner, outcome: Option<Outcome>) {
        self.tally.pointed += 1;
        let Some(sent) = self.asks.get_mut(&request) else {
            return;
        };
        let n = owner.node as usize;
        if sent.hopped || self.nodes[n].owner != owner {
            return self.told(request, outcome.unwrap_or(Outcome::Unknown));
        }
        sent.hopped = true;
        self.ask(n, request);
    }

    fn told(&mut self, request: RequestId, outcome: Outcome) {
        let Sent { key, body, .. } = self.asks[&request];

        match outcome {
            Outcome::Complete => {
                self.tally.complete += 1;
                if self.keys[key].sent != [body] {
                    self.findings
                        .push(format!("{:?}: {request} complete, not sent", self.now));
                }
            }
            Outcome::Unknown => self.tally.unknown += 1,
            Outcome::NotRun => self.not_run(request),
        }
    }

    fn not_run(&mut self, request: RequestId) {
        self.tally.not_run += 1;
        let Sent { key, body, .. } = self.asks[&request];
        if self.keys[key].sent.contains(&body) {
            self.findings
                .push(format!("{:?}: {request} told not run, was sent", self.now));
        }
    }

    fn death(&mut self, n: usize) {
        self.gather(n);
        let life = self.nodes[n].life + 1;
        self.nodes[n] = self.node(n, life);
        self.begin_again(n);
    }

    fn begin_again(&mut self, n: usize) {
        let stale = |h: &Happening| matches!(h, Happening::Tick(m) if *m == n);
        self.agenda.retain(|_, h| !stale(h));
        self.begin(n);
    }

    fn trim(&mut self) {
        for stream in self.streams.values_mut() {
            let count = stream.records.len();
            let drop = self.random.random_range(0..=count);
            stream.records.drain(..drop);
            stream.first += drop as u64;
        }
    }

    fn gather(&mut self, n: usize) {
        let counters = *self.nodes[n].table.counters();
        self.tally.gaps += counters.gaps;
        self.tally.released += counters.released;
        self.tally.unsure += counters.unsure;
        self.tally.expired += counters.refused_expired as u32;
        let findings = self.nodes[n].table.check();
        self.findings.extend(
            findings
                .iter()
                .map(|f| format!("{:?}: node {n}: {f}", self.now)),
        );
    }

    fn count(&mut self) {
        (0..NODES).for_each(|n| self.gather(n));
    }

    fn plan(&mut self, at: Now, happening: Happening) {
        self.seq += 1;
        self.agenda.insert((at.max(self.now), self.seq), happening);
    }

    fn plan_within(&mut self, length: Duration, happening: Happening) {
        let at = self.within(length);
        self.plan(at, happening);
    }

    fn within(&mut self, length: Duration) -> Now {
        self.millis(1000, length.as_millis() as u64)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }
}
