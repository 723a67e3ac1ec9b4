//! Fake endpoints at the router's interface: delays, faults and callers who check their answers.
//!
//! Time is a heap of events. A hop of a token is served first come first served at the speed of
//! its accelerator; activations between hops wait for the link. What a caller is told is checked
//! against what the fakes ran, apart from the router's own checks.
#![allow(dead_code)]

use super::host::{Cost, Host};
use bundle::Bundle;
use bundle::id::{EndpointId, Layer, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::action::{Action, Hop, Observation};
use route::event::{Event, TICK};
use route::failure::{Cause, Failure};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::{Id, Request, Target};
use route::router::Router;
use route::view::View;
use route::{Attempt, Now};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// What decides: the router, a baseline, or a broken variant.
pub trait Brain {
    /// As [`Router::handle`].
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>);
    /// Everything found wrong so far.
    fn verify(&self) -> Vec<String> {
        Vec::new()
    }
}

impl Brain for Router {
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }

    fn verify(&self) -> Vec<String> {
        Router::verify(self).iter().map(|f| f.to_string()).collect()
    }
}

/// One node with one worker.
pub struct Node<B> {
    pub brain: B,
    pub view: View,
    /// By endpoint of its bundle: the host.
    pub hosts: Vec<usize>,
}

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process dies; connections break.
    Die(usize),
    /// It starts again, with nothing in its cache.
    Back(usize),
    /// It answers nothing any more, and no connection breaks.
    Mute(usize),
    /// Open connections to it go silent for good; new ones work.
    Hush(usize),
    /// It answers that it cannot compute.
    Sick(usize),
    /// It computes this many times slower.
    Slow(usize, f64),
    /// It leaves: refuses new work; the list tells it a second later.
    Leave(usize),
    /// All in a zone die.
    Lose(ZoneId),
    /// All in a zone start again.
    Regain(ZoneId),
    /// A new bundle that lists the endpoints in another order.
    Publish,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Request,
    pub node: usize,
    pub arrived: Now,
    /// When its first attempt was sent.
    pub started: Option<Now>,
    pub first: Option<Now>,
    pub ended: Option<Now>,
    pub outcome: Option<Outcome>,
    pub refusal: Option<Refusal>,
    pub tokens: u32,
    /// Attempts of which a byte left for an endpoint.
    pub began: u32,
    /// Attempts sent, whether anything began or not.
    pub sent: u32,
    /// Longest time between two tokens.
    pub gap: Duration,
    pub latest: Now,
}

type Key = (usize, Id, Attempt);

#[derive(Clone, Debug)]
struct Stream {
    hops: Vec<Hop>,
    hosts: Vec<usize>,
    hop: usize,
    /// Layer that the current token has reached.
    layer: Layer,
    left: u32,
    first: bool,
    open: bool,
    silent: bool,
}

enum What {
    Deliver(usize, Box<Event>),
    Loaded(usize, usize, route::load::Report),
    Probed(usize, usize, bool),
    Open(Key),
    Step(Key, usize),
    Tick(usize),
    Report,
    Arrive(usize, Box<Request>),
    Depart(Id),
    Fault(Fault),
    Listed(usize, bool),
    Tell(usize, Told),
}

#[derive(Clone, Copy)]
enum Told {
    Ejected(usize),
    Restored(usize),
    Suspect(u64),
    Pending(u64),
    /// A verdict is awaited no longer.
    Lapsed(u64),
    Condemned(u64),
}

/// The fakes, the callers and the nodes.
pub struct World<B> {
    pub now: Now,
    pub bundle: Arc<Bundle>,
    pub nodes: Vec<Node<B>>,
    pub hosts: Vec<Host>,
    pub calls: BTreeMap<Id, Call>,
    pub rng: ChaCha8Rng,
    /// Age of load reports when they come.
    pub lag: Duration,
    /// Fingerprints that crash the endpoints that run them.
    pub crashers: Vec<u64>,
    /// Time until a crashed endpoint is back.
    pub restart: Duration,
    /// Endpoints lost to crashers, and tokens made.
    pub crashes: u64,
    pub made: u64,
    /// What a caller or an endpoint saw that must not be.
    pub wrong: Vec<String>,
    /// Text of every event and action, if wanted.
    pub trace: Option<Vec<String>>,
    streams: BTreeMap<Key, Stream>,
    links: BTreeMap<(ZoneId, ZoneId), Now>,
    heap: BinaryHeap<Reverse<(Now, u64)>>,
    whats: BTreeMap<u64, What>,
    seq: u64,
}

const ROUND_TRIP: Duration = Duration::from_micros(300);
const MUTE: Duration = Duration::from_secs(1);
const SPREAD: Duration = Duration::from_millis(300);
/// Time that nodes hold back a request on which another node awaits a verdict.
const HELD: Duration = Duration::from_secs(4);
const REPORTS: Duration = Duration::from_millis(100);

impl<B: Brain> World<B> {
    pub fn new(bundle: Bundle, nodes: usize, seed: u64, brain: impl Fn(u64) -> B) -> Self {
        let bundle = Arc::new(bundle);
        let hosts = bundle
            .endpoints
            .iter()
            .map(|e| Host::new(&bundle, e))
            .collect();
        let mut world = Self {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            hosts,
            calls: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            lag: Duration::from_millis(500),
            crashers: Vec::new(),
            restart: Duration::from_secs(2),
            crashes: 0,
            made: 0,
            wrong: Vec::new(),
            trace: None,
            streams: BTreeMap::new(),
            links: BTreeMap::new(),
            heap: BinaryHeap::new(),
            whats: BTreeMap::new(),
            seq: 0,
            bundle,
        };
        for node in 0..nodes {
            let zone = (node % world.bundle.zones.len()) as ZoneId;
            let view = super::fixture::view(&world.bundle, zone);
            let hosts = (0..world.hosts.len()).collect();
            world.nodes.push(Node {
                brain: brain(seed + node as u64),
                view,
                hosts,
            });
            world.show(node);
            world.after(TICK, What::Tick(node));
        }
        world.after(REPORTS, What::Report);
        world
    }

    fn after(&mut self, time: Duration, what: What) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + time, self.seq)));
        self.whats.insert(self.seq, what);
    }

    /// Lets a request arrive at a node after a time.
    pub fn arrive(&mut self, time: Duration, node: usize, request: Request) {
        self.after(time, What::Arrive(node, Box::new(request)));
    }

    /// Lets the caller of a request go away after a time.
    pub fn depart(&mut self, time: Duration, id: Id) {
        self.after(time, What::Depart(id));
    }

    /// Lets a fault happen after a time.
    pub fn fault(&mut self, time: Duration, fault: Fault) {
        self.after(time, What::Fault(fault));
    }

    /// Gives a node its view again after a change.
    pub fn show(&mut self, node: usize) {
        let view = Arc::new(self.nodes[node].view.clone());
        self.event(node, Event::View(view));
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Now) {
        while let Some(&Reverse((at, seq))) = self.heap.peek() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = at;
            let what = self.whats.remove(&seq).expect("scheduled once");
            self.happen(what);
        }
        self.now = end;
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Deliver(node, event) => self.deliver(node, *event),
            What::Loaded(node, host, report) => {
                if let Some(id) = self.id(node, host) {
                    self.event(node, Event::Load(id, report));
                }
            }
            What::Probed(node, host, alive) => {
                if let Some(id) = self.id(node, host) {
                    self.event(node, Event::Probed(id, alive));
                }
            }
            What::Open(key) => self.open(key),
            What::Step(key, hop) => self.step(key, hop),
            What::Tick(node) => {
                self.event(node, Event::Tick);
                self.after(TICK, What::Tick(node));
            }
            What::Report => self.report(),
            What::Arrive(node, request) => self.arrived(node, *request),
            What::Depart(id) => self.leave(id),
            What::Fault(fault) => self.strike(fault),
            What::Listed(host, open) => self.listed(host, open),
            What::Tell(node, told) => self.told(node, told),
        }
    }

    fn id(&self, node: usize, host: usize) -> Option<EndpointId> {
        let found = self.nodes[node].hosts.iter().position(|&h| h == host);
        found.map(|id| id as EndpointId)
    }

    fn arrived(&mut self, node: usize, request: Request) {
        let call = Call {
            node,
            arrived: self.now,
            started: None,
            first: None,
            ended: None,
            outcome: None,
            refusal: None,
            tokens: 0,
            began: 0,
            sent: 0,
            gap: Duration::ZERO,
            latest: self.now,
            request: request.clone(),
        };
        self.calls.insert(request.id, call);
        self.event(node, Event::Arrive(request));
    }

    /// The caller of `id` goes away.
    fn leave(&mut self, id: Id) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.ended.is_none()) else {
            return;
        };
        call.ended = Some(self.now);
        let node = call.node;
        self.event(node, Event::Left(id));
    }

    /// Events of streams that were cancelled meanwhile are still told to the router, but their
    /// tokens do not reach the caller.
    fn deliver(&mut self, node: usize, event: Event) {
        let key = match &event {
            Event::Token(id, attempt) | Event::Finished(id, attempt) => Some((node, *id, *attempt)),
            _ => None,
        };
        let live = key.filter(|k| self.streams.contains_key(k));
        if let (Some(key), Event::Token(..)) = (live, &event) {
            self.token(key.1);
        }
        if let (Some(key), Event::Finished(..)) = (key, &event) {
            self.streams.remove(&key);
        }
        self.event(node, event);
    }

    fn token(&mut self, id: Id) {
        let now = self.now;
        let call = self.calls.get_mut(&id).expect("known");
        call.tokens += 1;
        if call.first.is_some() {
            call.gap = call.gap.max(now - call.latest);
        }
        call.latest = now;
        call.first.get_or_insert(now);
        if call.tokens > call.request.max_tokens {
            self.wrong.push(format!("{id:x}: a token twice"));
        }
    }

    fn event(&mut self, node: usize, event: Event) {
        if let Some(trace) = &mut self.trace {
            let plain = !matches!(event, Event::Tick | Event::View(_) | Event::Load(..));
            plain.then(|| trace.push(format!("{:?} n{node} <- {event:?}", self.now)));
        }
        let mut out = Vec::new();
        self.nodes[node].brain.handle(self.now, event, &mut out);
        for action in out {
            if let Some(trace) = &mut self.trace {
                trace.push(format!("{:?} n{node} -> {action:?}", self.now));
            }
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Start(id, attempt, hops) => self.start(node, id, attempt, hops),
            Action::Cancel(id, attempt) => self.drop_stream((node, id, attempt)),
            Action::Refuse(id, refusal) => self.end(id, Outcome::NotRun, Some(refusal)),
            Action::Finish(id, outcome) => self.end(id, outcome, None),
            Action::Probe(endpoint) => {
                let at = self.nodes[node].hosts[endpoint as usize];
                let host = &self.hosts[at];
                let time = if host.mute && host.alive {
                    MUTE
                } else {
                    ROUND_TRIP
                };
                let alive = host.alive && !host.mute;
                self.after(time, What::Probed(node, at, alive));
            }
            Action::Disconnect(_) => {}
            Action::Observe(observation) => self.observed(node, observation),
        }
    }

    fn observed(&mut self, node: usize, observation: Observation) {
        let hosts = &self.nodes[node].hosts;
        let told = match observation {
            Observation::Ejected(e) => Told::Ejected(hosts[e as usize]),
            Observation::Restored(e) => Told::Restored(hosts[e as usize]),
            Observation::Suspect(print) => Told::Suspect(print),
            Observation::Pending(print) => Told::Pending(print),
            Observation::Condemned(print) => Told::Condemned(print),
        };
        for other in (0..self.nodes.len()).filter(|&n| n != node) {
            self.after(SPREAD, What::Tell(other, told));
            if let Told::Pending(print) = told {
                self.after(HELD, What::Tell(other, Told::Lapsed(print)));
            }
        }
    }

    fn told(&mut self, node: usize, told: Told) {
        let id = match told {
            Told::Ejected(host) | Told::Restored(host) => self.id(node, host),
            _ => None,
        };
        let view = &mut self.nodes[node].view;
        match told {
            Told::Ejected(_) => view.ejected.extend(id),
            Told::Restored(_) => view.ejected.retain(|e| Some(*e) != id),
            Told::Suspect(print) => view.suspects.push(print),
            Told::Pending(print) => view.pending.push(print),
            Told::Lapsed(print) => view.pending.retain(|p| *p != print),
            Told::Condemned(print) => view.condemned.push(print),
        }
        self.show(node);
    }

    fn end(&mut self, id: Id, outcome: Outcome, refusal: Option<Refusal>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return self
                .wrong
                .push(format!("{id:x}: answered though it never came"));
        };
        if call.ended.replace(now).is_some() {
            self.wrong.push(format!("{id:x}: ended twice"));
        }
        let call = self.calls.get_mut(&id).expect("known");
        call.outcome = Some(outcome);
        call.refusal = refusal;
        let whole = call.tokens == call.request.max_tokens;
        let service = matches!(call.request.target, Target::Service(_));
        if outcome == Outcome::Complete && !whole && !service {
            self.wrong
                .push(format!("{id:x}: complete without its last token"));
        } else if outcome == Outcome::NotRun && call.began > 0 {
            self.wrong
                .push(format!("{id:x}: called not run, but an endpoint ran it"));
        }
    }

    fn start(&mut self, node: usize, id: Id, attempt: Attempt, hops: Vec<Hop>) {
        let hosts = hops
            .iter()
            .map(|h| self.nodes[node].hosts[h.endpoint as usize])
            .collect();
        let call = self.calls.get_mut(&id).expect("known");
        call.sent += 1;
        call.started.get_or_insert(self.now);
        if call.ended.is_some() {
            self.wrong.push(format!("{id:x}: started after its end"));
        }
        let left = call.request.max_tokens.saturating_sub(call.tokens);
        let stream = Stream {
            hops,
            hosts,
            hop: 0,
            layer: 0,
            left,
            first: true,
            open: false,
            silent: false,
        };
        self.streams.insert((node, id, attempt), stream);
        self.after(ROUND_TRIP, What::Open((node, id, attempt)));
    }

    fn open(&mut self, key: Key) {
        let Some(stream) = self.streams.get(&key) else {
            return;
        };
        let refusal = stream
            .hosts
            .iter()
            .zip(&stream.hops)
            .find_map(|(&at, hop)| {
                let host = &self.hosts[at];
                let cause = match () {
                    () if !host.alive => Cause::Connect,
                    () if host.mute => Cause::Connect,
                    () if host.leaving => Cause::Leaving,
                    () if host.running.len() >= host.slots => Cause::Busy,
                    () => return None,
                };
                Some((cause, hop.endpoint, host.mute && host.alive))
            });
        if let Some((cause, endpoint, slow)) = refusal {
            let time = if slow { MUTE } else { ROUND_TRIP };
            return self.fail(time, key, endpoint, cause, false);
        }
        let stream = self.streams.get_mut(&key).expect("just seen");
        stream.open = true;
        for &host in &stream.hosts {
            self.hosts[host].running.insert(key);
        }
        let call = self.calls.get_mut(&key.1).expect("known");
        call.began += 1;
        if call.began > 1 && !call.request.repeatable {
            self.wrong.push(format!("{:x}: run twice", key.1));
        }
        self.hop(key);
    }

    fn fail(&mut self, time: Duration, key: Key, endpoint: EndpointId, cause: Cause, sent: bool) {
        let failure = Failure {
            endpoint,
            cause,
            sent,
            retry_after: None,
        };
        let event = Event::Failed(key.1, key.2, failure);
        self.drop_stream(key);
        self.after(time, What::Deliver(key.0, Box::new(event)));
    }

    fn drop_stream(&mut self, key: Key) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        stream.hosts.iter().for_each(|&h| {
            self.hosts[h].running.remove(&key);
        });
    }

    /// Activations wait for the link, then for the host.
    fn hop(&mut self, key: Key) {
        let stream = &self.streams[&key];
        let at = stream.hosts[stream.hop];
        let hop = stream.hops[stream.hop];
        let first = stream.first;
        let zone = self.hosts[at].zone;
        let before = stream
            .hop
            .checked_sub(1)
            .map(|h| self.hosts[stream.hosts[h]].zone);
        // Only activations load a link; the token itself, sent to the first hop, does not.
        let ready = match before {
            Some(before) => self.cross(before, zone),
            None => self.now + ROUND_TRIP / 2,
        };
        let call = &self.calls[&key.1];
        let cost = Cost {
            layers: hop.to - hop.from,
            prompt: if first {
                call.request.prompt_tokens + call.tokens
            } else {
                0
            },
            prefix: if first { &call.request.prefix } else { &[] },
        };
        let done = self.hosts[at].serve(ready, &cost);
        let hop = stream_hop(&self.streams, key);
        self.after(done - self.now, What::Step(key, hop));
    }

    /// When activations sent now have crossed a link.
    fn cross(&mut self, from: ZoneId, to: ZoneId) -> Now {
        let pair = (from.min(to), from.max(to));
        let link = self.bundle.links.iter().find(|l| (l.a, l.b) == pair);
        let Some(link) = link else { return self.now };
        let busy = self.links.entry(pair).or_default();
        let start = self.now.max(*busy);
        *busy = start + Duration::from_secs_f64(1.0 / link.tokens_per_second);
        *busy + link.latency
    }

    fn step(&mut self, key: Key, hop: usize) {
        let Some(stream) = self.streams.get_mut(&key).filter(|s| !s.silent) else {
            return;
        };
        let at = stream.hosts[hop];
        if !self.hosts[at].alive || self.hosts[at].mute {
            return;
        }
        if self.hosts[at].sick {
            let endpoint = stream.hops[hop].endpoint;
            return self.fail(ROUND_TRIP, key, endpoint, Cause::Internal, true);
        }
        let print = self.calls[&key.1].request.fingerprint;
        if self.crashers.contains(&print) && hop + 1 == stream.hops.len() {
            self.crashes += 1;
            let back = self.restart;
            self.strike(Fault::Die(at));
            return self.fault(back, Fault::Back(at));
        }
        if stream.layer != stream.hops[hop].from {
            self.wrong
                .push(format!("{:x}: layer {} out of order", key.1, stream.layer));
        }
        let stream = self.streams.get_mut(&key).expect("just seen");
        stream.layer = stream.hops[hop].to;
        let last = hop + 1 == stream.hops.len();
        stream.hop = if last { hop } else { hop + 1 };
        let progress = Event::Progress(key.1, key.2, hop as u8);
        self.after(Duration::ZERO, What::Deliver(key.0, Box::new(progress)));
        if last {
            return self.tokened(key);
        }
        self.hop(key);
    }

    fn tokened(&mut self, key: Key) {
        self.made += 1;
        let stream = self.streams.get_mut(&key).expect("known");
        let service = stream.hops[0].to == 0;
        if !service && stream.layer != super::fixture::LAYERS {
            self.wrong
                .push(format!("{:x}: token after layer {}", key.1, stream.layer));
        }
        stream.layer = 0;
        stream.hop = 0;
        stream.first = false;
        stream.left = stream.left.saturating_sub(1);
        let more = stream.left > 0 && !service;
        if !service {
            let token = Event::Token(key.1, key.2);
            self.after(Duration::ZERO, What::Deliver(key.0, Box::new(token)));
        }
        if more {
            return self.hop(key);
        }
        let hosts = self.streams[&key].hosts.clone();
        for host in hosts {
            self.hosts[host].running.remove(&key);
        }
        let finished = Event::Finished(key.1, key.2);
        self.after(Duration::ZERO, What::Deliver(key.0, Box::new(finished)));
    }

    fn report(&mut self) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].alive || self.hosts[host].mute {
                continue;
            }
            let report = self.hosts[host].report(self.lag);
            for node in 0..self.nodes.len() {
                self.after(self.lag, What::Loaded(node, host, report));
            }
        }
        self.after(REPORTS, What::Report);
    }

    /// A fault happens now.
    pub fn strike(&mut self, fault: Fault) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:?} {fault:?}", self.now));
        }
        match fault {
            Fault::Die(host) => self.die(host),
            Fault::Back(host) => self.hosts[host].restart(self.now),
            Fault::Mute(host) => self.hosts[host].mute = true,
            Fault::Sick(host) => self.hosts[host].sick = true,
            Fault::Hush(host) => {
                let keys: Vec<_> = self.hosts[host].running.iter().copied().collect();
                for key in keys {
                    self.streams
                        .get_mut(&key)
                        .into_iter()
                        .for_each(|s| s.silent = true);
                }
            }
            Fault::Slow(host, factor) => self.hosts[host].slow = factor,
            Fault::Leave(host) => {
                self.hosts[host].leaving = true;
                self.after(Duration::from_secs(1), What::Listed(host, false));
            }
            Fault::Lose(zone) => self.zone(zone).into_iter().for_each(|h| self.die(h)),
            Fault::Regain(zone) => {
                for host in self.zone(zone) {
                    self.hosts[host].restart(self.now);
                }
            }
            Fault::Publish => self.publish(),
        }
    }

    fn zone(&self, zone: ZoneId) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|&h| self.hosts[h].zone == zone)
            .collect()
    }

    fn die(&mut self, host: usize) {
        self.hosts[host].alive = false;
        let keys: Vec<_> = self.hosts[host].running.iter().copied().collect();
        for key in keys {
            let stream = &self.streams[&key];
            if stream.silent {
                continue;
            }
            let at = stream
                .hosts
                .iter()
                .position(|&h| h == host)
                .expect("runs there");
            let endpoint = stream.hops[at].endpoint;
            self.fail(ROUND_TRIP, key, endpoint, Cause::Reset, true);
        }
    }

    fn listed(&mut self, host: usize, open: bool) {
        for node in 0..self.nodes.len() {
            if let Some(id) = self.id(node, host) {
                self.nodes[node].view.available[id as usize] = open;
                self.show(node);
            }
        }
    }

    /// Rotates the endpoints, so that every id changes.
    fn publish(&mut self) {
        for node in 0..self.nodes.len() {
            let view = &mut self.nodes[node].view;
            let mut bundle = (*view.bundle).clone();
            let len = bundle.endpoints.len();
            bundle.number += 1;
            bundle.endpoints.rotate_left(1);
            bundle.teams.rotate_left(1);
            view.available.rotate_left(1);
            view.shares.rotate_left(1);
            let ids = view
                .ejected
                .iter()
                .map(|&e| ((e as usize + len - 1) % len) as EndpointId);
            view.ejected = ids.collect();
            view.bundle = Arc::new(bundle);
            self.nodes[node].hosts.rotate_left(1);
            self.show(node);
        }
    }

    /// Everything wrong: what callers and endpoints saw, and what the routers found.
    pub fn faults(&self) -> Vec<String> {
        let found = self.nodes.iter().flat_map(|n| n.brain.verify());
        self.wrong.iter().cloned().chain(found).collect()
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.values().filter(|c| c.ended.is_none()).count()
    }

    /// Calls refused for a reason.
    pub fn refused(&self, reason: Reason) -> usize {
        self.calls
            .values()
            .filter(|c| c.refusal.is_some_and(|r| r.reason == reason))
            .count()
    }

    /// A random time below `most`.
    pub fn any(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }
}

fn stream_hop(streams: &BTreeMap<Key, Stream>, key: Key) -> usize {
    streams[&key].hop
}
