//! Simulated network: the groups of many nodes in one process, with virtual time and messages in a queue.
#![allow(dead_code)]

use member::Now;
use member::action::Action;
use member::event::{Event, TICK};
use member::group::Group;
use member::head::Head;
use member::identity::{Id, Identity};
use member::item::Item;
use member::message::Message;
use member::peer::{Entry, ListedState, State};
use member::settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns a duration of `n` milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A simulated node.
pub struct Node {
    /// The group of the node; `None` while its process is down.
    pub group: Option<Group>,
    /// Identity of the current or next run.
    pub identity: Identity,
    /// Time at which its process started.
    pub started: Now,
    /// Time until which its process is paused.
    pub paused_until: Now,
    /// Side of the partitioned network; messages pass only between nodes of the same side.
    pub side: u8,
    /// Whether the instance list holds the node.
    pub listed: bool,
    /// Messages that arrived while the process was paused.
    inbox: VecDeque<(SocketAddr, Message)>,
}

/// A change of the state of a peer that a node reported.
#[derive(Clone, Copy, Debug)]
pub struct StateChange {
    /// Time of the change.
    pub at: Now,
    /// Index of the node that reported it.
    pub by: usize,
    /// The peer.
    pub peer: Id,
    /// New state of the peer.
    pub state: State,
}

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of the messages that is lost.
    pub loss_ratio: f64,
    /// Fraction of the messages that is delivered twice, each with a delay of its own.
    pub duplicate_ratio: f64,
    /// Longest delay of a message.
    pub max_delay: Duration,
}

/// A network without loss or duplication, and with delays of up to 2 ms.
pub const NO_FAULTS: Faults = Faults {
    loss_ratio: 0.0,
    duplicate_ratio: 0.0,
    max_delay: ms(2),
};

/// A message in flight.
struct Envelope {
    to: usize,
    from: SocketAddr,
    message: Message,
}

/// A scheduled occurrence.
enum Scheduled {
    Tick(usize),
    Mail(Box<Envelope>),
    Fetched(usize, Head),
    List,
}

/// Counts and sizes of messages.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Number of messages sent by each node.
    pub messages: Vec<u64>,
    /// Bytes sent by each node, according to [`Net::message_bytes`].
    pub sent: Vec<u64>,
    /// Bytes received by each node.
    pub received: Vec<u64>,
    /// Number and bytes of messages by kind.
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
}

/// The simulated network.
pub struct Net {
    /// Current time.
    pub now: Now,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Current faults of the network.
    pub faults: Faults,
    /// State changes that nodes reported.
    pub state_changes: Vec<StateChange>,
    /// Items that nodes learned, with the time and the index of the node.
    pub learned: Vec<(Now, usize, Item)>,
    /// Time, index of the node and number of every head that a node put in force.
    pub heads: Vec<(Now, usize, u64)>,
    /// Traffic; counted while `message_bytes` is set.
    pub traffic: Traffic,
    /// Function that returns the size of a message on the wire in bytes.
    pub message_bytes: Option<fn(&Message) -> usize>,
    /// Time after which nodes read a change of the instance list.
    pub list_delay: Duration,
    settings: Settings,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    scheduled_count: u64,
    addrs: BTreeMap<SocketAddr, usize>,
    lists: VecDeque<(Now, Vec<Entry>)>,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

impl Net {
    /// Creates a network of `n` nodes in `zones` availability zones, three to a region. All nodes start at once.
    pub fn new(n: usize, zones: usize, seed: u64, settings: Settings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Self {
            now: Now::ZERO,
            nodes: Vec::new(),
            faults: NO_FAULTS,
            state_changes: Vec::new(),
            learned: Vec::new(),
            heads: Vec::new(),
            traffic: Traffic::default(),
            message_bytes: None,
            list_delay: ms(5_000),
            settings,
            rng,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            addrs: BTreeMap::new(),
            lists: VecDeque::new(),
        };
        for i in 0..n {
            let zone = i % zones;
            net.add(
                &format!("node-{i}"),
                &format!("z{zone}"),
                &format!("r{}", zone / 3),
            );
        }
        net.read_list();
        net.schedule(ms(1000), Scheduled::List);
        net
    }

    /// Adds a node and starts it.
    pub fn add(&mut self, name: &str, zone: &str, region: &str) -> usize {
        let index = self.nodes.len();
        let identity = Identity {
            name: name.into(),
            addr: addr(index),
            zone: zone.into(),
            region: region.into(),
            incarnation: 1,
        };
        self.addrs.insert(identity.addr, index);
        let node = Node {
            group: None,
            identity,
            started: self.now,
            paused_until: Now::ZERO,
            side: 0,
            listed: true,
            inbox: VecDeque::new(),
        };
        self.nodes.push(node);
        self.traffic.messages.push(0);
        self.traffic.sent.push(0);
        self.traffic.received.push(0);
        self.start(index);
        let offset = ms(self.rng.random_range(0..100));
        self.schedule(self.now + offset, Scheduled::Tick(index));
        index
    }

    /// Starts the process of a node with its next incarnation.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.identity.incarnation += 1;
        node.started = self.now;
        node.inbox.clear();
        node.group = Some(Group::new(
            node.identity.clone(),
            seed,
            self.settings.clone(),
        ));
        if !self.lists.is_empty() {
            let list = self
                .lists
                .front()
                .map(|(_, l)| l.clone())
                .unwrap_or_default();
            self.event(index, Event::Listed(list));
        }
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].group = None;
    }

    /// Pauses the process of a node for `time`. Messages to it wait unread.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    /// Moves the nodes that `test` selects to another side of the network.
    pub fn partition(&mut self, side: u8, test: impl Fn(&Identity) -> bool) {
        self.nodes
            .iter_mut()
            .filter(|n| test(&n.identity))
            .for_each(|n| n.side = side);
    }

    /// Ends the partition of the network.
    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.side = 0);
    }

    /// Passes an event to a node and performs the resulting actions.
    pub fn event(&mut self, index: usize, event: Event) {
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        let now = self.now.saturating_sub(node.started);
        let Some(group) = node.group.as_mut() else {
            return;
        };
        group.handle(now, event, &mut out);
        out.into_iter().for_each(|a| self.perform(index, a));
    }

    /// Runs the simulation until `to`.
    pub fn run(&mut self, to: Now) {
        self.run_with(to, |_, _| {});
    }

    /// Runs the simulation until `to` and calls `each` after every tick of a node.
    pub fn run_with(&mut self, to: Now, mut each: impl FnMut(&mut Self, usize)) {
        while let Some(Reverse((at, _))) = self.queue.peek().copied() {
            if at > to {
                break;
            }
            let Some(Reverse((at, number))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            let Some(due) = self.scheduled.remove(&number) else {
                continue;
            };
            if let Some(index) = self.step(due) {
                each(self, index);
            }
        }
        self.now = to;
    }

    fn step(&mut self, due: Scheduled) -> Option<usize> {
        match due {
            Scheduled::Tick(index) => return self.tick(index),
            Scheduled::Mail(mail) => self.receive(*mail),
            Scheduled::Fetched(index, head) => self.set_head(index, head),
            Scheduled::List => self.read_list(),
        }
        None
    }

    /// Puts a head in force on a node, as its control thread does once it has the record.
    pub fn set_head(&mut self, index: usize, head: Head) {
        let before = self.head(index);
        self.event(index, Event::Head(head));
        if before < head.number {
            self.heads.push((self.now, index, head.number));
        }
    }

    /// Returns the number of the head of a node; 0 for none.
    pub fn head(&self, index: usize) -> u64 {
        self.group(index)
            .and_then(Group::head)
            .map_or(0, |h| h.number)
    }

    /// Returns the group of a node.
    pub fn group(&self, index: usize) -> Option<&Group> {
        self.nodes[index].group.as_ref()
    }

    /// Returns the id of a node.
    pub fn id(&self, index: usize) -> Id {
        self.nodes[index].identity.id()
    }

    /// Returns the state of node `of` as seen by node `by`.
    pub fn state(&self, by: usize, of: usize) -> Option<State> {
        self.group(by)?.roster().get(self.id(of)).map(|p| p.state)
    }

    /// Returns whether all running nodes see each other up.
    pub fn all_up(&self) -> bool {
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.group(*i).is_some())
            .collect();
        live.iter().all(|by| {
            live.iter()
                .all(|of| self.state(*by, *of) == Some(State::Up))
        })
    }

    fn tick(&mut self, index: usize) -> Option<usize> {
        let paused = self.nodes[index].paused_until;
        if paused > self.now {
            self.schedule(paused, Scheduled::Tick(index));
            return None;
        }
        self.schedule(self.now + TICK, Scheduled::Tick(index));
        self.event(index, Event::Tick);
        while let Some((from, message)) = self.nodes[index].inbox.pop_front() {
            self.event(index, Event::Received { from, message });
        }
        Some(index)
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send(index, to, message),
            Action::StateChanged { peer, state, .. } => {
                self.state_changes.push(StateChange {
                    at: self.now,
                    by: index,
                    peer,
                    state,
                });
            }
            Action::Learned(item) => self.learned.push((self.now, index, item)),
            Action::FetchHead { head, addr, .. } => {
                let Some(from) = self.addrs.get(&addr).copied() else {
                    return;
                };
                let reach = self.reaches(index, from) && self.head(from) >= head.number;
                if reach {
                    // Time of a round trip for the record and of its verification.
                    self.schedule(self.now + ms(8), Scheduled::Fetched(index, head));
                }
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[from].side == self.nodes[to].side && self.nodes[to].group.is_some()
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: Message) {
        let Some(target) = self.addrs.get(&to).copied() else {
            return;
        };
        self.count_traffic(index, target, &message);
        if !self.reaches(index, target) || self.rng.random_bool(self.faults.loss_ratio) {
            return;
        }
        let from = self.nodes[index].identity.addr;
        let max_delay = self.faults.max_delay.as_micros() as u64;
        let duplicate = self.rng.random_bool(self.faults.duplicate_ratio);
        for _ in 0..1 + usize::from(duplicate) {
            let delay = Duration::from_micros(self.rng.random_range(500..max_delay.max(501)));
            let mail = Envelope {
                to: target,
                from,
                message: message.clone(),
            };
            self.schedule(self.now + delay, Scheduled::Mail(Box::new(mail)));
        }
    }

    fn count_traffic(&mut self, from: usize, to: usize, message: &Message) {
        let Some(weigh) = self.message_bytes else {
            return;
        };
        let bytes = weigh(message) as u64;
        self.traffic.messages[from] += 1;
        self.traffic.sent[from] += bytes;
        self.traffic.received[to] += bytes;
        let kind = self.traffic.kinds.entry(kind(message)).or_default();
        *kind = (kind.0 + 1, kind.1 + bytes);
    }

    fn receive(&mut self, mail: Envelope) {
        let Envelope { to, from, message } = mail;
        if self.nodes[to].paused_until > self.now {
            self.nodes[to].inbox.push_back((from, message));
            return;
        }
        self.event(to, Event::Received { from, message });
    }

    /// Records the current instance list, and passes every running node the one of [`Net::list_delay`] ago.
    fn read_list(&mut self) {
        let entry = |n: &Node| Entry {
            name: n.identity.name.clone(),
            addr: n.identity.addr,
            zone: n.identity.zone.clone(),
            region: n.identity.region.clone(),
            state: ListedState::Live,
        };
        let entries: Vec<Entry> = self.nodes.iter().filter(|n| n.listed).map(entry).collect();
        self.lists.push_back((self.now, entries));
        while self.lists.len() > 1 && self.lists[1].0 + self.list_delay <= self.now {
            self.lists.pop_front();
        }
        let shown = self
            .lists
            .front()
            .map(|(_, l)| l.clone())
            .unwrap_or_default();
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until <= self.now {
                self.event(index, Event::Listed(shown.clone()));
            }
        }
        self.schedule(self.now + ms(4_000), Scheduled::List);
    }

    fn schedule(&mut self, time: Now, occurrence: Scheduled) {
        self.scheduled_count += 1;
        self.queue.push(Reverse((time, self.scheduled_count)));
        self.scheduled.insert(self.scheduled_count, occurrence);
    }

    /// Panics unless the invariants of every group hold.
    pub fn verify(&self) {
        for node in &self.nodes {
            let errors = node.group.as_ref().map(Group::verify).unwrap_or_default();
            assert!(
                errors.is_empty(),
                "{} at {:?}: {errors:?}",
                node.identity,
                self.now
            );
        }
    }

    /// Returns the peers that were reported in `state` since `from`, each with the nodes that reported it.
    pub fn reported(&self, state: State, from: Now) -> BTreeMap<Id, BTreeSet<usize>> {
        let mut by: BTreeMap<Id, BTreeSet<usize>> = BTreeMap::new();
        for change in self
            .state_changes
            .iter()
            .filter(|c| c.state == state && c.at >= from)
        {
            by.entry(change.peer).or_default().insert(change.by);
        }
        by
    }
}

fn kind(message: &Message) -> &'static str {
    use member::message::Body;
    match message.body {
        Body::Ping { .. } => "ping",
        Body::Ack { .. } => "ack",
        Body::IndirectPing { .. } => "indirect ping",
        Body::Identify => "identify",
        Body::Rows(_) => "rows",
        Body::Empty => "empty",
        Body::Items(_) => "items",
        Body::Digest(_) => "digest",
        Body::Delta(_) => "delta",
    }
}

/// Runs jobs on a few threads and prints their results in the order of the jobs.
pub fn run_and_print(jobs: Vec<Box<dyn FnOnce() -> String + Send>>) {
    const THREADS: usize = 3;
    let mut jobs: VecDeque<_> = jobs.into();
    while !jobs.is_empty() {
        let batch: Vec<_> = jobs.drain(..THREADS.min(jobs.len())).collect();
        let threads: Vec<_> = batch.into_iter().map(std::thread::spawn).collect();
        threads
            .into_iter()
            .for_each(|t| println!("{}", t.join().expect("row")));
    }
}
