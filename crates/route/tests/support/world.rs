//! Simulation of endpoints and callers around routers, with delays and faults.
//!
//! Time advances over a heap of scheduled tasks. A hop of a token is served first come, first
//! served at the speed of its accelerator; activations between hops wait for the link. The outcome
//! that a caller gets is compared with what the endpoints ran, independent of the router's checks.
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

/// Handler of events: the router, a baseline or a defective variant.
pub trait Handler {
    /// Handles one event like [`Router::handle`].
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>);
    /// Returns all violations found so far.
    fn verify(&self) -> Vec<String> {
        Vec::new()
    }
}

impl Handler for Router {
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }

    fn verify(&self) -> Vec<String> {
        Router::verify(self).iter().map(|f| f.to_string()).collect()
    }
}

/// Node with one worker.
pub struct Node<B> {
    pub handler: B,
    pub view: View,
    /// Index in [`World::hosts`], by endpoint id of the node's bundle.
    pub hosts: Vec<usize>,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process dies and its connections break.
    Die(usize),
    /// The process starts again with an empty cache and no other fault.
    Restart(usize),
    /// The endpoint answers nothing, but no connection breaks.
    Unresponsive(usize),
    /// Open connections to the endpoint stay silent; new ones work.
    SilenceConnections(usize),
    /// The endpoint answers that it cannot compute.
    ComputeError(usize),
    /// The endpoint computes this many times slower.
    Slow(usize, f64),
    /// The endpoint leaves and refuses new work; the views reflect this one second later.
    Leave(usize),
    /// All endpoints of a zone die.
    LoseZone(ZoneId),
    /// All endpoints of a zone start again.
    RestartZone(ZoneId),
    /// A new bundle lists the endpoints in another order.
    Publish,
}

/// Request as seen by its caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Request,
    pub node: usize,
    pub arrived: Now,
    /// Time at which the first attempt was sent.
    pub started: Option<Now>,
    pub first_token: Option<Now>,
    pub ended: Option<Now>,
    pub outcome: Option<Outcome>,
    pub refusal: Option<Refusal>,
    pub tokens: u32,
    /// Number of attempts that an endpoint began to run.
    pub begun_attempts: u32,
    /// Number of attempts sent, whether any endpoint began them or not.
    pub sent_attempts: u32,
    /// Longest time between two tokens.
    pub max_gap: Duration,
    pub latest_token: Now,
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

enum Task {
    Deliver(usize, Box<Event>),
    Load(usize, usize, route::load::Report),
    Probed(usize, usize, bool),
    Open(Key),
    Step(Key, usize),
    Tick(usize),
    Report,
    Arrive(usize, Box<Request>),
    Disconnect(Id),
    Fault(Fault),
    SetAvailable(usize, bool),
    Publish(usize, Update),
}

#[derive(Clone, Copy)]
enum Update {
    Ejected(usize),
    Restored(usize),
    Suspect(u64),
    Pending(u64),
    /// The verdict is no longer pending.
    Lapsed(u64),
    Condemned(u64),
}

/// Simulated endpoints, callers and nodes.
pub struct World<B> {
    pub now: Now,
    pub bundle: Arc<Bundle>,
    pub nodes: Vec<Node<B>>,
    pub hosts: Vec<Host>,
    pub calls: BTreeMap<Id, Call>,
    pub rng: ChaCha8Rng,
    /// Age of load reports on arrival.
    pub report_delay: Duration,
    /// Fingerprints of requests that crash the endpoints that run them.
    pub crashers: Vec<u64>,
    /// Time until a crashed endpoint restarts.
    pub restart_delay: Duration,
    /// Number of endpoint crashes caused by such requests, and number of tokens generated.
    pub crashes: u64,
    pub tokens: u64,
    /// Violations seen by callers or endpoints.
    pub violations: Vec<String>,
    /// Trace of all events and actions, if enabled.
    pub trace: Option<Vec<String>>,
    streams: BTreeMap<Key, Stream>,
    links: BTreeMap<(ZoneId, ZoneId), Now>,
    heap: BinaryHeap<Reverse<(Now, u64)>>,
    tasks: BTreeMap<u64, Task>,
    seq: u64,
}

const ROUND_TRIP: Duration = Duration::from_micros(300);
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(1);
const PUBLISH_DELAY: Duration = Duration::from_millis(300);
/// Time for which nodes hold back a request with a verdict pending at another node.
const PENDING_TTL: Duration = Duration::from_secs(4);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl<B: Handler> World<B> {
    pub fn new(bundle: Bundle, nodes: usize, seed: u64, handler: impl Fn(u64) -> B) -> Self {
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
            report_delay: Duration::from_millis(500),
            crashers: Vec::new(),
            restart_delay: Duration::from_secs(2),
            crashes: 0,
            tokens: 0,
            violations: Vec::new(),
            trace: None,
            streams: BTreeMap::new(),
            links: BTreeMap::new(),
            heap: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            seq: 0,
            bundle,
        };
        for node in 0..nodes {
            let zone = (node % world.bundle.zones.len()) as ZoneId;
            let view = super::fixture::view(&world.bundle, zone);
            let hosts = (0..world.hosts.len()).collect();
            world.nodes.push(Node {
                handler: handler(seed + node as u64),
                view,
                hosts,
            });
            world.publish_view(node);
            world.schedule(TICK, Task::Tick(node));
        }
        world.schedule(REPORT_INTERVAL, Task::Report);
        world
    }

    fn schedule(&mut self, time: Duration, task: Task) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + time, self.seq)));
        self.tasks.insert(self.seq, task);
    }

    /// Schedules the arrival of a request at a node.
    pub fn arrive(&mut self, time: Duration, node: usize, request: Request) {
        self.schedule(time, Task::Arrive(node, Box::new(request)));
    }

    /// Schedules the disconnect of a request's caller.
    pub fn depart(&mut self, time: Duration, id: Id) {
        self.schedule(time, Task::Disconnect(id));
    }

    /// Schedules a fault.
    pub fn fault(&mut self, time: Duration, fault: Fault) {
        self.schedule(time, Task::Fault(fault));
    }

    /// Passes a node its changed view.
    pub fn publish_view(&mut self, node: usize) {
        let view = Arc::new(self.nodes[node].view.clone());
        self.event(node, Event::View(view));
    }

    /// Runs the simulation until `end`.
    pub fn run(&mut self, end: Now) {
        while let Some(&Reverse((at, seq))) = self.heap.peek() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = at;
            let task = self.tasks.remove(&seq).expect("scheduled once");
            self.run_task(task);
        }
        self.now = end;
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Deliver(node, event) => self.deliver(node, *event),
            Task::Load(node, host, report) => {
                if let Some(id) = self.id(node, host) {
                    self.event(node, Event::Load(id, report));
                }
            }
            Task::Probed(node, host, alive) => {
                if let Some(id) = self.id(node, host) {
                    self.event(node, Event::Probed(id, alive));
                }
            }
            Task::Open(key) => self.open(key),
            Task::Step(key, hop) => self.complete_hop(key, hop),
            Task::Tick(node) => {
                self.event(node, Event::Tick);
                self.schedule(TICK, Task::Tick(node));
            }
            Task::Report => self.report(),
            Task::Arrive(node, request) => self.arrived(node, *request),
            Task::Disconnect(id) => self.disconnect(id),
            Task::Fault(fault) => self.inject(fault),
            Task::SetAvailable(host, open) => self.set_available(host, open),
            Task::Publish(node, update) => self.apply_update(node, update),
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
            first_token: None,
            ended: None,
            outcome: None,
            refusal: None,
            tokens: 0,
            begun_attempts: 0,
            sent_attempts: 0,
            max_gap: Duration::ZERO,
            latest_token: self.now,
            request: request.clone(),
        };
        self.calls.insert(request.id, call);
        self.event(node, Event::Arrive(request));
    }

    /// Disconnects the caller of `id`.
    fn disconnect(&mut self, id: Id) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.ended.is_none()) else {
            return;
        };
        call.ended = Some(self.now);
        let node = call.node;
        self.event(node, Event::Left(id));
    }

    /// Delivers an event to a node. Events of streams that were cancelled meanwhile still reach the
    /// router, but their tokens do not reach the caller.
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
        if call.first_token.is_some() {
            call.max_gap = call.max_gap.max(now - call.latest_token);
        }
        call.latest_token = now;
        call.first_token.get_or_insert(now);
        if call.tokens > call.request.max_tokens {
            self.violations
                .push(format!("{id:x}: token delivered twice"));
        }
    }

    fn event(&mut self, node: usize, event: Event) {
        if let Some(trace) = &mut self.trace {
            let plain = !matches!(event, Event::Tick | Event::View(_) | Event::Load(..));
            plain.then(|| trace.push(format!("{:?} n{node} <- {event:?}", self.now)));
        }
        let mut out = Vec::new();
        self.nodes[node].handler.handle(self.now, event, &mut out);
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
                let time = if host.unresponsive && host.alive {
                    UNRESPONSIVE_TIMEOUT
                } else {
                    ROUND_TRIP
                };
                let alive = host.alive && !host.unresponsive;
                self.schedule(time, Task::Probed(node, at, alive));
            }
            Action::Disconnect(_) => {}
            Action::Observe(observation) => self.publish_observation(node, observation),
        }
    }

    fn publish_observation(&mut self, node: usize, observation: Observation) {
        let hosts = &self.nodes[node].hosts;
        let update = match observation {
            Observation::Ejected(e) => Update::Ejected(hosts[e as usize]),
            Observation::Restored(e) => Update::Restored(hosts[e as usize]),
            Observation::Suspect(fingerprint) => Update::Suspect(fingerprint),
            Observation::Pending(fingerprint) => Update::Pending(fingerprint),
            Observation::Condemned(fingerprint) => Update::Condemned(fingerprint),
        };
        for other in (0..self.nodes.len()).filter(|&n| n != node) {
            self.schedule(PUBLISH_DELAY, Task::Publish(other, update));
            if let Update::Pending(fingerprint) = update {
                self.schedule(
                    PENDING_TTL,
                    Task::Publish(other, Update::Lapsed(fingerprint)),
                );
            }
        }
    }

    fn apply_update(&mut self, node: usize, update: Update) {
        let id = match update {
            Update::Ejected(host) | Update::Restored(host) => self.id(node, host),
            _ => None,
        };
        let view = &mut self.nodes[node].view;
        match update {
            Update::Ejected(_) => view.ejected.extend(id),
            Update::Restored(_) => view.ejected.retain(|e| Some(*e) != id),
            Update::Suspect(fingerprint) => view.suspects.push(fingerprint),
            Update::Pending(fingerprint) => view.pending.push(fingerprint),
            Update::Lapsed(fingerprint) => view.pending.retain(|p| *p != fingerprint),
            Update::Condemned(fingerprint) => view.condemned.push(fingerprint),
        }
        self.publish_view(node);
    }

    fn end(&mut self, id: Id, outcome: Outcome, refusal: Option<Refusal>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return self
                .violations
                .push(format!("{id:x}: answered although it never arrived"));
        };
        if call.ended.replace(now).is_some() {
            self.violations.push(format!("{id:x}: ended twice"));
        }
        let call = self.calls.get_mut(&id).expect("known");
        call.outcome = Some(outcome);
        call.refusal = refusal;
        let complete = call.tokens == call.request.max_tokens;
        let service = matches!(call.request.target, Target::Service(_));
        if outcome == Outcome::Complete && !complete && !service {
            self.violations
                .push(format!("{id:x}: complete without its last token"));
        } else if outcome == Outcome::NotRun && call.begun_attempts > 0 {
            self.violations.push(format!(
                "{id:x}: reported as not run, but an endpoint ran it"
            ));
        }
    }

    fn start(&mut self, node: usize, id: Id, attempt: Attempt, hops: Vec<Hop>) {
        let hosts = hops
            .iter()
            .map(|h| self.nodes[node].hosts[h.endpoint as usize])
            .collect();
        let call = self.calls.get_mut(&id).expect("known");
        call.sent_attempts += 1;
        call.started.get_or_insert(self.now);
        if call.ended.is_some() {
            self.violations
                .push(format!("{id:x}: started after its end"));
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
        self.schedule(ROUND_TRIP, Task::Open((node, id, attempt)));
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
                    () if host.unresponsive => Cause::Connect,
                    () if host.leaving => Cause::Leaving,
                    () if host.running.len() >= host.slots => Cause::Busy,
                    () => return None,
                };
                Some((cause, hop.endpoint, host.unresponsive && host.alive))
            });
        if let Some((cause, endpoint, slow)) = refusal {
            let time = if slow {
                UNRESPONSIVE_TIMEOUT
            } else {
                ROUND_TRIP
            };
            return self.fail(time, key, endpoint, cause, false);
        }
        let stream = self.streams.get_mut(&key).expect("just seen");
        stream.open = true;
        for &host in &stream.hosts {
            self.hosts[host].running.insert(key);
        }
        let call = self.calls.get_mut(&key.1).expect("known");
        call.begun_attempts += 1;
        if call.begun_attempts > 1 && !call.request.repeatable {
            self.violations.push(format!("{:x}: run twice", key.1));
        }
        self.run_hop(key);
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
        self.schedule(time, Task::Deliver(key.0, Box::new(event)));
    }

    fn drop_stream(&mut self, key: Key) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        stream.hosts.iter().for_each(|&h| {
            self.hosts[h].running.remove(&key);
        });
    }

    /// Sends a stream to its current hop: activations wait for the link, then for the host.
    fn run_hop(&mut self, key: Key) {
        let stream = &self.streams[&key];
        let at = stream.hosts[stream.hop];
        let hop = stream.hops[stream.hop];
        let first = stream.first;
        let zone = self.hosts[at].zone;
        let before = stream
            .hop
            .checked_sub(1)
            .map(|h| self.hosts[stream.hosts[h]].zone);
        // Only activations load a link. The first hop receives a token, which is negligible.
        let ready = match before {
            Some(before) => self.cross_link(before, zone),
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
        self.schedule(done - self.now, Task::Step(key, hop));
    }

    /// Returns the time at which activations sent now have crossed a link.
    fn cross_link(&mut self, from: ZoneId, to: ZoneId) -> Now {
        let pair = (from.min(to), from.max(to));
        let link = self.bundle.links.iter().find(|l| (l.a, l.b) == pair);
        let Some(link) = link else { return self.now };
        let busy = self.links.entry(pair).or_default();
        let start = self.now.max(*busy);
        *busy = start + Duration::from_secs_f64(1.0 / link.tokens_per_second);
        *busy + link.latency
    }

    fn complete_hop(&mut self, key: Key, hop: usize) {
        let Some(stream) = self.streams.get_mut(&key).filter(|s| !s.silent) else {
            return;
        };
        let at = stream.hosts[hop];
        if !self.hosts[at].alive || self.hosts[at].unresponsive {
            return;
        }
        if self.hosts[at].compute_error {
            let endpoint = stream.hops[hop].endpoint;
            return self.fail(ROUND_TRIP, key, endpoint, Cause::Internal, true);
        }
        let fingerprint = self.calls[&key.1].request.fingerprint;
        if self.crashers.contains(&fingerprint) && hop + 1 == stream.hops.len() {
            self.crashes += 1;
            let back = self.restart_delay;
            self.inject(Fault::Die(at));
            return self.fault(back, Fault::Restart(at));
        }
        if stream.layer != stream.hops[hop].from {
            self.violations
                .push(format!("{:x}: layer {} out of order", key.1, stream.layer));
        }
        let stream = self.streams.get_mut(&key).expect("just seen");
        stream.layer = stream.hops[hop].to;
        let last = hop + 1 == stream.hops.len();
        stream.hop = if last { hop } else { hop + 1 };
        let progress = Event::Progress(key.1, key.2, hop as u8);
        self.schedule(Duration::ZERO, Task::Deliver(key.0, Box::new(progress)));
        if last {
            return self.complete_token(key);
        }
        self.run_hop(key);
    }

    fn complete_token(&mut self, key: Key) {
        self.tokens += 1;
        let stream = self.streams.get_mut(&key).expect("known");
        let service = stream.hops[0].to == 0;
        if !service && stream.layer != super::fixture::LAYERS {
            self.violations
                .push(format!("{:x}: token after layer {}", key.1, stream.layer));
        }
        stream.layer = 0;
        stream.hop = 0;
        stream.first = false;
        stream.left = stream.left.saturating_sub(1);
        let more = stream.left > 0 && !service;
        if !service {
            let token = Event::Token(key.1, key.2);
            self.schedule(Duration::ZERO, Task::Deliver(key.0, Box::new(token)));
        }
        if more {
            return self.run_hop(key);
        }
        let hosts = self.streams[&key].hosts.clone();
        for host in hosts {
            self.hosts[host].running.remove(&key);
        }
        let finished = Event::Finished(key.1, key.2);
        self.schedule(Duration::ZERO, Task::Deliver(key.0, Box::new(finished)));
    }

    fn report(&mut self) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].alive || self.hosts[host].unresponsive {
                continue;
            }
            let report = self.hosts[host].report(self.report_delay);
            for node in 0..self.nodes.len() {
                self.schedule(self.report_delay, Task::Load(node, host, report));
            }
        }
        self.schedule(REPORT_INTERVAL, Task::Report);
    }

    /// Applies a fault now.
    pub fn inject(&mut self, fault: Fault) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:?} {fault:?}", self.now));
        }
        match fault {
            Fault::Die(host) => self.die(host),
            Fault::Restart(host) => self.hosts[host].restart(self.now),
            Fault::Unresponsive(host) => self.hosts[host].unresponsive = true,
            Fault::ComputeError(host) => self.hosts[host].compute_error = true,
            Fault::SilenceConnections(host) => {
                let keys: Vec<_> = self.hosts[host].running.iter().copied().collect();
                for key in keys {
                    self.streams
                        .get_mut(&key)
                        .into_iter()
                        .for_each(|s| s.silent = true);
                }
            }
            Fault::Slow(host, factor) => self.hosts[host].slowdown = factor,
            Fault::Leave(host) => {
                self.hosts[host].leaving = true;
                self.schedule(Duration::from_secs(1), Task::SetAvailable(host, false));
            }
            Fault::LoseZone(zone) => self.zone(zone).into_iter().for_each(|h| self.die(h)),
            Fault::RestartZone(zone) => {
                for host in self.zone(zone) {
                    self.hosts[host].restart(self.now);
                }
            }
            Fault::Publish => self.publish_bundle(),
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

    fn set_available(&mut self, host: usize, open: bool) {
        for node in 0..self.nodes.len() {
            if let Some(id) = self.id(node, host) {
                self.nodes[node].view.available[id as usize] = open;
                self.publish_view(node);
            }
        }
    }

    /// Publishes a bundle with rotated endpoints, so that every id changes.
    fn publish_bundle(&mut self) {
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
            self.publish_view(node);
        }
    }

    /// Returns all violations: those seen by callers and endpoints, and those found by the routers.
    pub fn all_violations(&self) -> Vec<String> {
        let found = self.nodes.iter().flat_map(|n| n.handler.verify());
        self.violations.iter().cloned().chain(found).collect()
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.values().filter(|c| c.ended.is_none()).count()
    }

    /// Returns the number of calls refused for a reason.
    pub fn refused(&self, reason: Reason) -> usize {
        self.calls
            .values()
            .filter(|c| c.refusal.is_some_and(|r| r.reason == reason))
            .count()
    }

    /// Returns a random time below `most`.
    pub fn random_time(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }
}

fn stream_hop(streams: &BTreeMap<Key, Stream>, key: Key) -> usize {
    streams[&key].hop
}
