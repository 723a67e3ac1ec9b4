//! Simulation of eight claim tables and a log service with faults, in simulated time.

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

/// A deliberate defect, to show that violations of the invariants are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// A restarted node uses its previous incarnation.
    SameIncarnation,
    /// The log hides that it dropped records and returns empty records instead.
    HiddenTrim,
    /// A node treats the answer to an append as proof that its claim is the first.
    TrustAppend,
    /// Nodes with odd numbers read each pair of adjacent records in the opposite order.
    OtherOrder,
    /// Clocks have larger errors than the settings allow.
    Clocks,
    /// A node reports that a request was not run after it was sent to an endpoint.
    FalseNotRun,
}

/// Number of occurrences of each fault.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub outages: usize,
    pub deaths: usize,
    pub pauses: usize,
    pub trims: usize,
    /// Percentage of appends that fail, take effect late, or whose answer is lost.
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
enum Scheduled {
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
    run: u64,
    paused_until: Now,
    started_at: Now,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug)]
struct KeyLog {
    key: Key,
    /// Body of each request with this key that was sent to an endpoint.
    sent: Vec<u64>,
}

/// A request that a caller sent.
#[derive(Clone, Copy, Debug)]
struct Send {
    key: usize,
    body: u64,
    /// Whether a node forwarded it to another one.
    forwarded: bool,
}

/// Counts of the replies to callers and of the tables' counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub sends: u32,
    pub runs: u32,
    pub complete: u32,
    pub unknown: u32,
    pub not_run: u32,
    pub redirected: u32,
    pub expired: u32,
    pub gaps: u64,
    pub released: u64,
    pub unsure: u64,
}

pub struct Simulation {
    now: Now,
    seq: u64,
    random: ChaCha8Rng,
    defect: Defect,
    lost: u32,
    outage_until: Now,
    schedule: BTreeMap<(Now, u64), Scheduled>,
    streams: BTreeMap<Shard, Stream>,
    nodes: Vec<Node>,
    keys: Vec<KeyLog>,

    sends_by_request: BTreeMap<RequestId, Send>,
    request: RequestId,
    pub totals: Totals,
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
            streams: (0..SHARDS)
                .map(|shard| (shard, Stream::default()))
                .collect(),
            nodes: Vec::new(),
            keys: Vec::new(),

            sends_by_request: BTreeMap::new(),
            request: 0,
            totals: Totals::default(),
            findings: Vec::new(),
        };
        for n in 0..NODES {
            let node = simulation.node(n, 1);
            simulation.nodes.push(node);
        }
        for n in 0..NODES {
            simulation.start_node(n);
        }
        simulation
    }

    /// Sends each of `keys` keys a few times, in parallel and later, while the faults occur.
    pub fn run(&mut self, keys: usize, length: Duration, faults: Faults) {
        self.lost = faults.lost;
        for _ in 0..faults.outages {
            let time = self.millis(200, 8000);
            self.schedule_within(length, Scheduled::Outage(time));
        }
        for _ in 0..faults.deaths {
            let n = self.random.random_range(0..NODES);
            self.schedule_within(length, Scheduled::Death(n));
        }
        for _ in 0..faults.pauses {
            let (n, time) = (self.random.random_range(0..NODES), self.millis(100, 9000));
            self.schedule_within(length, Scheduled::Pause(n, time));
        }
        (0..faults.trims).for_each(|_| self.schedule_within(length, Scheduled::Trim));
        (0..keys).for_each(|_| self.schedule_key(length));
        while let Some(((at, _), scheduled)) = self.schedule.pop_first() {
            if at > length + WINDOW + CLAIM_TIMEOUT {
                break;
            }
            self.now = at;
            self.process(scheduled);
        }
        self.collect_all();
    }

    /// Schedules the sends of one key. A quarter of the keys are tickets.
    fn schedule_key(&mut self, length: Duration) {
        let at = self.within(length);
        let n = self.random.random_range(0..NODES);
        if self.random.random_range(0..4) == 0 {
            return self.schedule_at(at, Scheduled::Issue(n));
        }
        let date = EPOCH + at - self.millis(0, SKEW.as_millis() as u64) / 2;
        let text = format!("{}-{}", date.as_secs(), self.keys.len());
        self.schedule_sends(at, n, Key::parse(TEAM, &text).unwrap());
    }

    fn issue(&mut self, n: usize) {
        let now = self.local(n);
        let text = self.nodes[n].table.issue_ticket(now).to_string();
        self.schedule_sends(self.now, n, Key::parse(TEAM, &text).unwrap());
    }

    /// Schedules sends in parallel, soon after and late, to one node or to any.
    fn schedule_sends(&mut self, at: Now, home: usize, parsed_key: Key) {
        let key = self.keys.len();

        self.keys.push(KeyLog {
            key: parsed_key,
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
            self.schedule_at(at + delay, Scheduled::Send(key, n));
        }
    }

    fn node(&mut self, n: usize, run: u64) -> Node {
        let start = match self.defect {
            Defect::Clocks => EPOCH + self.now - self.millis(0, 60_000),
            _ => EPOCH + self.now + self.millis(0, SKEW.as_millis() as u64),
        };
        let incarnation = if self.defect == Defect::SameIncarnation {
            1
        } else {
            run
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
            run,
            paused_until: self.now,
            started_at: self.now,
        }
    }

    /// Starts a node. Nodes with odd numbers follow only the shards that they are the home of, and
    /// the others when they get a request.
    fn start_node(&mut self, n: usize) {
        let nodes: Vec<u64> = (0..NODES as u64).collect();
        let all: Vec<Shard> = (0..SHARDS).collect();
        let homes = if n.is_multiple_of(2) {
            all
        } else {
            home::shards(n as u64, &nodes, SHARDS)
        };
        self.deliver(n, Event::HomeShards(homes));
        let first = self.now + self.millis(0, 20);
        self.schedule_at(first, Scheduled::Tick(n));
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(n) => {
                self.schedule_at(
                    self.now.max(self.nodes[n].paused_until) + TICK,
                    Scheduled::Tick(n),
                );
                self.deliver(n, Event::Tick);
            }
            Scheduled::Deliver(n, run, event) => {
                if let Some(until) = self.paused_until(n) {
                    return self.schedule_at(until, Scheduled::Deliver(n, run, event));
                }
                if self.nodes[n].run == run {
                    self.deliver(n, event);
                }
            }
            Scheduled::Effect(shard, body) => self.effect(shard, body),
            Scheduled::Read(n, run, shard, from, wait, polls) => {
                self.read(n, run, shard, from, wait, polls);
            }
            Scheduled::Send(key, n) => self.send(key, n),
            Scheduled::Forward(n, run, claim_request) => {
                if let Some(until) = self.paused_until(n) {
                    return self.schedule_at(until, Scheduled::Forward(n, run, claim_request));
                }
                if self.nodes[n].run == run {
                    let deadline = self.local(n) + CLAIM_TIMEOUT;
                    self.deliver(
                        n,
                        Event::Received(Request {
                            deadline,
                            ..claim_request
                        }),
                    );
                }
            }
            Scheduled::Ended(n, run, hash, outcome) => self.ended(n, run, hash, outcome),
            Scheduled::Issue(n) => self.issue(n),
            Scheduled::Outage(time) => self.outage_until = self.now + time,
            Scheduled::Death(n) => self.death(n),
            Scheduled::Pause(n, time) => self.nodes[n].paused_until = self.now + time,
            Scheduled::Trim => self.trim(),
        }
    }

    fn paused_until(&self, n: usize) -> Option<Now> {
        Some(self.nodes[n].paused_until).filter(|until| *until > self.now)
    }

    fn local(&self, n: usize) -> Now {
        self.now - self.nodes[n].started_at
    }

    fn deliver(&mut self, n: usize, event: Event) {
        if self.paused_until(n).is_some() {
            let run = self.nodes[n].run;
            return match event {
                Event::Tick => {}
                event => self.schedule_at(
                    self.nodes[n].paused_until,
                    Scheduled::Deliver(n, run, event),
                ),
            };
        }
        let now = self.local(n);
        let mut actions = Vec::new();
        self.nodes[n].table.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(n, action));
    }

    fn act(&mut self, n: usize, action: Action) {
        let run = self.nodes[n].run;
        match action {
            Action::Append { batch, shard, body } => self.append(n, batch, shard, body),
            Action::Read { shard, from, wait } => {
                let at = self.now + self.millis(1, 10);
                self.schedule_at(at, Scheduled::Read(n, run, shard, from, wait, 0));
            }
            Action::Run { request, hash } => self.start(n, request, hash),
            Action::Redirect {
                request,
                owner,
                outcome,
            } => self.redirect(request, owner, outcome),
            Action::Refuse {
                request, outcome, ..
            } => self.record_reply(request, outcome),
            Action::Answer {
                request, outcome, ..
            } => self.record_reply(request, outcome),
            Action::Join { .. } | Action::DropAnswer(_) => {}
        }
    }

    fn append(&mut self, n: usize, batch: u64, shard: Shard, body: Bytes) {
        let run = self.nodes[n].run;
        let (there, back) = (self.now + self.millis(1, 8), self.now + self.millis(9, 20));
        let out = self.now < self.outage_until;
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
            self.schedule_at(at, Scheduled::Effect(shard, body.clone()));
        }
        if self.defect == Defect::TrustAppend && matches!(answer, Event::Appended(_)) {
            let stream = &self.streams[&shard];
            let offset = stream.first + stream.records.len() as u64;
            let records = vec![Record { offset, body }];
            let page = Page {
                first: stream.first,
                next: offset + 1,
                records,
            };
            self.schedule_at(back, Scheduled::Deliver(n, run, Event::Page(shard, page)));
        }
        self.schedule_at(back, Scheduled::Deliver(n, run, answer));
    }

    fn effect(&mut self, shard: Shard, body: Bytes) {
        if let Some(stream) = self.streams.get_mut(&shard) {
            stream.records.push(body);
        }
    }

    fn read(&mut self, n: usize, run: u64, shard: Shard, from: u64, wait: bool, polls: u32) {
        let back = self.now + self.millis(1, 10);
        if self.now < self.outage_until || self.random.random_range(0..100) < self.lost / 4 {
            return self.schedule_at(back, Scheduled::Deliver(n, run, Event::ReadFailed(shard)));
        }
        let page = self.page(n, shard, from);
        if wait && polls < 20 && page.records.is_empty() && page.first <= from {
            let later = self.now + Duration::from_millis(30);
            return self.schedule_at(later, Scheduled::Read(n, run, shard, from, wait, polls + 1));
        }
        self.schedule_at(back, Scheduled::Deliver(n, run, Event::Page(shard, page)));
    }

    fn page(&mut self, n: usize, shard: Shard, from: u64) -> Page {
        let most = self.random.random_range(1..30);
        let stream = &self.streams[&shard];
        let hidden = self.defect == Defect::HiddenTrim;
        let first = if hidden { 0 } else { stream.first };
        let start = from.max(first);
        let end = stream.first + stream.records.len() as u64;
        let record = |offset: u64| {
            let swap = self.defect == Defect::OtherOrder && n % 2 == 1 && (offset ^ 1) < end;
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
        self.totals.sends += 1;
        // One send in 20 uses the key with another body, like a caller that reuses a key by
        // mistake.
        let body = u64::from(self.random.random_range(0..20) == 0);
        self.sends_by_request.insert(
            self.request,
            Send {
                key,
                body,
                forwarded: false,
            },
        );

        self.forward(n, self.request);
    }

    fn forward(&mut self, n: usize, request: RequestId) {
        let Send { key, body, .. } = self.sends_by_request[&request];
        let parsed_key = self.keys[key].key;
        let claim_request = Request {
            id: request,
            key: parsed_key,
            fingerprint: body,
            deadline: Duration::ZERO,
        };
        let run = self.nodes[n].run;
        self.schedule_at(self.now, Scheduled::Forward(n, run, claim_request));
    }

    /// Starts a request. The router refuses some requests without running them. The others are sent
    /// to an endpoint at once.
    fn start(&mut self, n: usize, request: RequestId, hash: Hash) {
        self.totals.runs += 1;
        let choice = self.random.random_range(0..16);
        if choice == 0 {
            // The caller disconnects before the node handles the action to run the request.
            let at = self.now + self.millis(0, 20);
            let run = self.nodes[n].run;
            return self.schedule_at(at, Scheduled::Deliver(n, run, Event::Cancelled(request)));
        }
        let refused = choice < 5;
        let run = self.nodes[n].run;
        let end = self.now + self.millis(1, 2000);
        if refused {
            self.not_run(request);
            return self.schedule_at(end, Scheduled::Ended(n, run, hash, Outcome::NotRun));
        }
        let Send { key, body, .. } = self.sends_by_request[&request];
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
            0 if self.defect == Defect::FalseNotRun => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Complete,
        };
        self.schedule_at(end, Scheduled::Ended(n, run, hash, outcome));
    }

    fn ended(&mut self, n: usize, run: u64, hash: Hash, outcome: Outcome) {
        if let Some(until) = self.paused_until(n) {
            return self.schedule_at(until, Scheduled::Ended(n, run, hash, outcome));
        }
        if self.nodes[n].run == run {
            self.deliver(n, Event::Ended(hash, outcome, 100));
        }
    }

    /// Forwards the request to the owner once. If the owner is dead or the request was already
    /// forwarded, replies with the known outcome.
    fn redirect(&mut self, request: RequestId, owner: Owner, outcome: Option<Outcome>) {
        self.totals.redirected += 1;
        let Some(sent) = self.sends_by_request.get_mut(&request) else {
            return;
        };
        let n = owner.node as usize;
        if sent.forwarded || self.nodes[n].owner != owner {
            return self.record_reply(request, outcome.unwrap_or(Outcome::Unknown));
        }
        sent.forwarded = true;
        self.forward(n, request);
    }

    fn record_reply(&mut self, request: RequestId, outcome: Outcome) {
        let Send { key, body, .. } = self.sends_by_request[&request];

        match outcome {
            Outcome::Complete => {
                self.totals.complete += 1;
                if self.keys[key].sent != [body] {
                    self.findings.push(format!(
                        "{:?}: {request} reported complete but not sent once with its body",
                        self.now
                    ));
                }
            }
            Outcome::Unknown => self.totals.unknown += 1,
            Outcome::NotRun => self.not_run(request),
        }
    }

    fn not_run(&mut self, request: RequestId) {
        self.totals.not_run += 1;
        let Send { key, body, .. } = self.sends_by_request[&request];
        if self.keys[key].sent.contains(&body) {
            self.findings.push(format!(
                "{:?}: {request} reported not run but was sent",
                self.now
            ));
        }
    }

    fn death(&mut self, n: usize) {
        self.collect_node(n);
        let run = self.nodes[n].run + 1;
        self.nodes[n] = self.node(n, run);
        self.restart_node(n);
    }

    fn restart_node(&mut self, n: usize) {
        let stale = |h: &Scheduled| matches!(h, Scheduled::Tick(m) if *m == n);
        self.schedule.retain(|_, h| !stale(h));
        self.start_node(n);
    }

    fn trim(&mut self) {
        for stream in self.streams.values_mut() {
            let count = stream.records.len();
            let drop = self.random.random_range(0..=count);
            stream.records.drain(..drop);
            stream.first += drop as u64;
        }
    }

    fn collect_node(&mut self, n: usize) {
        let counters = *self.nodes[n].table.counters();
        self.totals.gaps += counters.gaps;
        self.totals.released += counters.released;
        self.totals.unsure += counters.unsure;
        self.totals.expired += counters.refused_expired as u32;
        let findings = self.nodes[n].table.check();
        self.findings.extend(
            findings
                .iter()
                .map(|f| format!("{:?}: node {n}: {f}", self.now)),
        );
    }

    fn collect_all(&mut self) {
        (0..NODES).for_each(|n| self.collect_node(n));
    }

    fn schedule_at(&mut self, at: Now, scheduled: Scheduled) {
        self.seq += 1;
        self.schedule
            .insert((at.max(self.now), self.seq), scheduled);
    }

    fn schedule_within(&mut self, length: Duration, scheduled: Scheduled) {
        let at = self.within(length);
        self.schedule_at(at, scheduled);
    }

    fn within(&mut self, length: Duration) -> Now {
        self.millis(1000, length.as_millis() as u64)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }
}
