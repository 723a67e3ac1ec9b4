//! Nodes that take copies from each other over slow links, with time passed in.

#[path = "spread/faults.rs"]
mod faults;
#[path = "spread/layout.rs"]
mod layout;

use super::report::report;
use adapter::store::Table as Kind;
use catalog::source::{Page, Table};
use faults::Leaving;
use layout::{asked, identity, part, record, run, whole};
use member::peer::Peer;
use node::hosted::control::copy::{self, Ask, CHUNK, Copy};
use node::hosted::control::loads::Loads;
use node::hosted::control::pulls::{Next, Pulls};
use node::hosted::control::readers::Part;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes a second of a small node's link, either way.
const LINK: f64 = 2.5e6;
/// Time on the way, and to decide.
const DELAY: Duration = ms(2);
/// How long a connection may leave a frame unconfirmed before it is sent over a new one.
const SILENT: Duration = ms(500);
/// How often a frame is sent at most.
const TRIES: u32 = 2;
/// How long an ask may take.
const ASK: Duration = ms(2000);
/// How long it takes until an ask to a node without power has failed.
const FAILS: Duration = ms(1000);
/// Bytes of an ask with its headers.
const ASK_BYTES: usize = 80;
/// How often control looks whether anything is due.
const STEP: Duration = ms(100);
/// How often a reader reads the endpoints' table.
const READ: Duration = ms(850);
/// How long it takes until a reader has a new catalog.
const TOLD: Duration = ms(60);
/// How often an engine is asked for its load.
const POLL: Duration = ms(1500);
/// Bytes of an endpoint's row, and of a catalog.
const ROW: usize = 200;
const CATALOG: usize = 20_000;
/// Until when rows come and change while a fleet is loaded.
pub const LOADED: Duration = ms(5000);

/// Milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Step(usize),
    Read(usize),
    Told(usize),
    Row(usize),
    /// Nodes find their parts anew.
    Divide,
    /// A node starts anew.
    Start(usize),
    /// A node that has started has read whole tables.
    Whole(usize),
    Ask {
        to: usize,
        by: usize,
        call: u64,
        ask: u8,
        from: u64,
    },
    Answer {
        to: usize,
        call: u64,
        bytes: Vec<u8>,
    },
    Again {
        by: usize,
        to: usize,
        tries: u32,
        message: Box<Due>,
    },
    Expire {
        by: usize,
        call: u64,
    },
}

struct Node {
    part: Part,
    pulls: Pulls,
    operator: Table,
    endpoints: Table,
    loads: Loads,
    calls: HashMap<u64, (Ask, SocketAddr)>,
    /// When the link is free to send, and to receive.
    up: Duration,
    down: Duration,
    sent: u64,
    engines: Vec<usize>,
    polled: Duration,
    /// Whether it no longer gets the operator's table from the store, and does not know.
    stuck: bool,
    /// Whether it runs.
    runs: bool,
    /// When it started.
    started: Duration,
    /// Whether it has read whole tables since it started.
    fresh: bool,
}

impl Node {
    /// Forgets what it knows, as a process that starts anew.
    fn forget(&mut self) {
        self.pulls = Pulls::default();
        (self.operator, self.endpoints) = (Table::default(), Table::default());
        self.loads = Loads::default();
        self.calls.clear();
    }
}

/// All nodes, the store, and what is on its way.
pub struct Fleet {
    now: Duration,
    start: Instant,
    peers: Vec<Peer>,
    nodes: Vec<Node>,
    /// Endpoints of all zones.
    engines: usize,
    operator: Table,
    endpoints: Table,
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    count: u64,
    unanswered: u64,
    published: Duration,
    reached: BTreeMap<usize, Duration>,
    leaving: Vec<Leaving>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// Nodes that know each other and nothing else, before endpoints whose rows come in the first
    /// seconds and change as layers are loaded.
    pub fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
        let peers: Vec<Peer> = (0..nodes)
            .map(|n| Peer::new(identity(n), Duration::ZERO))
            .collect();
        let node = |peer: &Peer| {
            let part = part(Duration::ZERO, peer, peers.iter(), endpoints);
            Node {
                engines: asked(&part, endpoints),
                part,
                pulls: Pulls::default(),
                operator: Table::default(),
                endpoints: Table::default(),
                loads: Loads::default(),
                calls: HashMap::new(),
                up: Duration::ZERO,
                down: Duration::ZERO,
                sent: 0,
                polled: Duration::ZERO,
                stuck: false,
                runs: true,
                started: Duration::ZERO,
                fresh: true,
            }
        };
        let mut fleet = Self {
            now: Duration::ZERO,
            start: Instant::now(),
            nodes: peers.iter().map(node).collect(),
            peers,
            engines: endpoints,
            operator: Table::default(),
            endpoints: Table::default(),
            due: BinaryHeap::new(),
            count: 0,
            unanswered: 0,
            published: Duration::ZERO,
            reached: BTreeMap::new(),
            leaving: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..nodes {
            let at = fleet.draw(STEP);
            fleet.later(at, Due::Step(number));
            if fleet.nodes[number].part.reads {
                let at = fleet.draw(READ);
                fleet.later(at, Due::Read(number));
            }
        }
        for number in 0..endpoints {
            for until in [ms(1200), LOADED] {
                let at = fleet.draw(until);
                fleet.later(at, Due::Row(number));
            }
        }
        fleet
    }

    /// The operator writes a new catalog.
    pub fn publish(&mut self) {
        let offset = self.operator.next_offset();
        self.operator
            .apply(record("catalog".to_owned(), CATALOG, offset));
        self.published = self.now;
        self.reached.clear();
        let readers = (0..self.nodes.len()).filter(|&n| self.nodes[n].part.reads);
        for reader in readers.collect::<Vec<_>>() {
            self.later(TOLD, Due::Told(reader));
        }
    }

    /// How long the newest catalog took to be in force on all nodes.
    pub fn in_force(&self) -> Duration {
        if self.reached.len() < self.nodes.len() {
            return Duration::MAX;
        }
        let last = self.reached.values().max().copied().unwrap_or_default();
        last - self.published
    }

    /// Nodes that lack rows of the endpoints' table.
    pub fn behind(&self) -> usize {
        let rows = self.endpoints.iter().count();
        let lacks = |n: &&Node| n.endpoints.iter().count() < rows;
        self.nodes.iter().filter(lacks).count()
    }

    /// What was sent so far.
    pub fn traffic(&self) -> String {
        let seconds = self.now.as_secs_f64();
        let rate = |n: &Node| n.sent as f64 / seconds / 1e6;
        let busiest = self.nodes.iter().map(rate).fold(0.0, f64::max);
        format!(
            "busiest node {busiest:.2} MB/s, {} asks without an answer",
            self.unanswered
        )
    }

    /// Plays on until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, _, _))) = self.due.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.due.pop() else {
                return;
            };
            self.now = at;
            self.play(due);
        }
        self.now = until;
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Step(number) => self.step(number),
            Due::Read(number) => {
                if !self.nodes[number].runs || !self.nodes[number].part.reads {
                    return;
                }
                let page = self
                    .endpoints
                    .since(self.nodes[number].endpoints.next_offset());
                self.take(number, Kind::Endpoints, page);
                self.later(READ, Due::Read(number));
            }
            Due::Divide => self.divide(),
            Due::Start(number) => self.start(number),
            Due::Whole(number) => {
                let (operator, endpoints) = (whole(&self.operator), whole(&self.endpoints));
                self.nodes[number].fresh = true;
                self.take(number, Kind::Operator, operator);
                self.take(number, Kind::Endpoints, endpoints);
                self.later(READ, Due::Read(number));
            }
            Due::Told(number) if self.nodes[number].stuck => {}
            Due::Told(number) => {
                let page = self
                    .operator
                    .since(self.nodes[number].operator.next_offset());
                self.take(number, Kind::Operator, page);
            }
            Due::Row(number) => {
                let offset = self.endpoints.next_offset();
                self.endpoints.apply(record(run(number).id, ROW, offset));
            }
            Due::Ask {
                to,
                by,
                call,
                ask,
                from,
            } => {
                if !self.nodes[to].runs {
                    return;
                }
                let bytes = self.give(to, ask, from);
                self.send(
                    to,
                    by,
                    Due::Answer {
                        to: by,
                        call,
                        bytes,
                    },
                    0,
                );
            }
            Due::Answer { to, call, bytes } => {
                if let Some((ask, peer)) = self.nodes[to].calls.remove(&call) {
                    self.answered(to, ask, peer, &bytes);
                }
            }
            Due::Again {
                by,
                to,
                tries,
                message,
            } => self.send(by, to, *message, tries),
            Due::Expire { by, call } => {
                let now = self.start + self.now;
                let node = &mut self.nodes[by];
                if let Some((ask, peer)) = node.calls.remove(&call) {
                    node.pulls.ended(ask, peer, false);
                    node.pulls.failed(now, peer);
                    self.unanswered += 1;
                }
            }
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.start + self.now;
        let node = &mut self.nodes[number];
        if !node.runs {
            return;
        }
        if self.now >= node.polled + POLL {
            node.polled = self.now;
            for &engine in &node.engines {
                let used = self.random.random_range(0.0..900.0);
                node.loads
                    .reported(now, &run(engine).to_string(), &report(used));
            }
        }
        node.loads.expire(now);
        for (ask, peer) in node.pulls.due(now, &node.part) {
            self.ask(number, ask, peer, None);
        }
        self.later(STEP, Due::Step(number));
    }

    fn ask(&mut self, by: usize, ask: Ask, peer: SocketAddr, from: Option<u64>) {
        let to = self.peers.iter().position(|p| p.identity.addr == peer);
        let to = to.expect("a peer");
        self.count += 1;
        let call = self.count;
        let node = &mut self.nodes[by];
        node.calls.insert(call, (ask, peer));
        let from = from.unwrap_or_else(|| match ask {
            Ask::Changes(Kind::Operator) | Ask::Keys(Kind::Operator) => node.operator.next_offset(),
            Ask::Changes(Kind::Endpoints) | Ask::Keys(Kind::Endpoints) => {
                node.endpoints.next_offset()
            }
            Ask::Loads(scope) => node.loads.heard(peer, scope),
        });
        let ask = ask.into();
        let message = Due::Ask {
            to,
            by,
            call,
            ask,
            from,
        };
        let limit = if self.nodes[to].runs { ASK } else { FAILS };
        self.later(limit, Due::Expire { by, call });
        self.send(by, to, message, 0);
    }

    /// What a node gives, as `State::offer` does.
    fn give(&mut self, by: usize, ask: u8, from: u64) -> Vec<u8> {
        let now = self.start + self.now;
        let node = &self.nodes[by];
        let table = |kind| match kind {
            Kind::Operator => &node.operator,
            Kind::Endpoints => &node.endpoints,
        };
        let chunk = match Ask::try_from(ask).expect("an ask") {
            Ask::Changes(kind) => table(kind).changes(from, CHUNK),
            Ask::Keys(kind) => table(kind).keys(from, CHUNK),
            Ask::Loads(scope) => return node.loads.encode(now, scope, from).expect("encodes"),
        };
        let copy = Copy {
            page: chunk.page,
            fresh: node.part.reads && node.fresh,
            more: chunk.more,
        };
        copy::encode(&copy).expect("encodes")
    }

    fn answered(&mut self, by: usize, ask: Ask, peer: SocketAddr, bytes: &[u8]) {
        let now = self.start + self.now;
        let node = &mut self.nodes[by];
        node.pulls.ended(ask, peer, true);
        let kind = match ask {
            Ask::Changes(kind) | Ask::Keys(kind) => kind,
            Ask::Loads(scope) => {
                node.loads.take(now, peer, scope, bytes).expect("decodes");
                return;
            }
        };
        let copy = copy::decode(bytes).expect("decodes");
        if !copy.fresh {
            node.pulls.failed(now, peer);
        }
        let (page, more) = match node.pulls.gather(peer, kind, copy) {
            Next::Take(page) => (Some(page), None),
            Next::TakeAndAsk(page) => (Some(page), Some((Ask::Changes(kind), None))),
            Next::Gather(from) => (None, Some((Ask::Keys(kind), Some(from)))),
        };
        if let Some(page) = page {
            self.take(by, kind, page);
        }
        if let Some((ask, from)) = more
            && self.nodes[by].pulls.begin(ask, peer, 1)
        {
            self.ask(by, ask, peer, from);
        }
    }

    fn take(&mut self, number: usize, kind: Kind, page: Page) {
        let node = &mut self.nodes[number];
        match kind {
            Kind::Endpoints => {
                node.endpoints.apply(page);
                let next = node.endpoints.next_offset();
                for leaving in self.leaving.iter_mut().filter(|l| l.offset < next) {
                    leaving.known.entry(number).or_insert(self.now);
                }
            }
            Kind::Operator => {
                node.operator.apply(page);
                if node.operator.next_offset() == self.operator.next_offset() {
                    self.reached.entry(number).or_insert(self.now);
                }
            }
        }
    }

    /// Sends over the links of both ends, one frame after another.
    fn send(&mut self, by: usize, to: usize, message: Due, tries: u32) {
        let bytes = match &message {
            Due::Answer { bytes, .. } => bytes.len() + ASK_BYTES,
            _ => ASK_BYTES,
        };
        let time = Duration::from_secs_f64(bytes as f64 / LINK);
        let left = self.nodes[by].up.max(self.now) + time;
        self.nodes[by].up = left;
        self.nodes[by].sent += bytes as u64;
        let came = self.nodes[to].down.max(left + DELAY) + time;
        self.nodes[to].down = came;
        if came - self.now <= SILENT {
            return self.later(came - self.now, message);
        }
        if tries + 1 < TRIES {
            let message = Box::new(message);
            let tries = tries + 1;
            self.later(
                SILENT,
                Due::Again {
                    by,
                    to,
                    tries,
                    message,
                },
            );
        }
    }

    fn later(&mut self, after: Duration, due: Due) {
        self.count += 1;
        self.due.push(Reverse((self.now + after, self.count, due)));
    }

    fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.random.random_range(0.0..1.0))
    }
}
