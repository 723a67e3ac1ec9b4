//! The state of control and what each input does to it.

mod answer;
mod bundles;
mod keys;
mod orders;
mod peers;

use super::claims::{Claims, Told};
use super::demand::{self, Table};
use super::endpoints;
use super::input::{Input, Inputs};
use super::listed::Listed;
use super::rolls::Rolls;
use super::view::Source;
use crate::settings::Settings;
use bundle::checkpoint::{self, Policy};
use bundle::fold::Fold;
use entry::admin::ControlRequest;
use entry::core::{ControlEvent, WorkerEvent};
use entry::ring;
use entry::snapshot::SharedSnapshot;
use lease::Owner;
use member::action::Action;
use member::event::Event;
use member::group::Group;
use member::identity::Identity;
use member::item::Observation;
use member::level::Level;
use member::team::Teams;
use platform::Offset;
use platform::instance::Instance;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::peer::Link;

/// How long other nodes count an ejection: longer than the back-off between two probes of it.
const EJECTED_TIME: Duration = Duration::from_secs(15);
/// How long a fingerprint counts as suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// How long a verdict is awaited: the window of the verdict and the time that it takes to spread.
const PENDING_TIME: Duration = Duration::from_secs(4);
/// How long a fingerprint counts as condemned.
const CONDEMNED_TIME: Duration = Duration::from_secs(3600);
/// Versions after which a checkpoint is written whatever its age.
const CHECKPOINT_VERSIONS: u64 = 1000;
/// How often shares of limits are computed.
const STEP_PERIOD: Duration = Duration::from_secs(1);

/// What the state is made of.
pub struct Parts {
    /// Settings of the node.
    pub settings: Settings,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// Number of this run.
    pub incarnation: u64,
    /// Seed of the group.
    pub seed: u64,
    /// Where snapshots go, by worker.
    pub boards: Vec<SharedSnapshot>,
    /// The link to peers.
    pub link: Link,
    /// Where tasks put what they find.
    pub inputs: Inputs,
    /// Rings to the workers.
    pub notices: Vec<ring::Sender<ControlEvent>>,
    /// Set when the node begins to leave.
    pub leave: CancellationToken,
}

/// The state of control.
pub struct State {
    settings: Settings,
    /// The callers' listener as others reach it.
    callers: SocketAddr,
    incarnation: u64,
    boards: Vec<SharedSnapshot>,
    link: Link,
    inputs: Inputs,
    notices: Vec<ring::Sender<ControlEvent>>,
    leave: CancellationToken,
    start: Instant,
    fold: Fold,
    policy: Policy,
    /// First offset that the log retains.
    first: Offset,
    seed: u64,
    group: Group,
    teams: Teams,
    listed: Listed,
    /// The list's newest answer, read again when a bundle tells which instances are endpoints'.
    instances: Vec<Instance>,
    demand: Table,
    endpoints: endpoints::Table,
    rolls: Rolls,
    claims: Claims,
    /// Verdicts on claims that workers have not been told yet.
    verdicts: VecDeque<Told>,
    actions: Vec<Action>,
    /// Whether this node has told its peers that it leaves.
    leaving: bool,
    /// When the log was last read to its end.
    read: Option<Instant>,
    log_error: Option<String>,
    stepped: Instant,
    load: Level,
    /// Whether something changed that the workers must know.
    dirty: bool,
}

impl State {
    /// The state before any input.
    pub fn new(parts: Parts) -> Self {
        let node = &parts.settings.node;
        let me = Identity {
            name: node.name.clone(),
            addr: parts.link.addr(),
            zone: node.zone.clone(),
            region: node.region.clone(),
            incarnation: parts.incarnation,
        };
        let owner = Owner {
            node: me.id(),
            incarnation: parts.incarnation,
        };
        let claims = Claims::new(
            owner,
            parts.seed,
            wall(),
            &parts.settings.platform,
            parts.inputs.clone(),
        );
        let rolls = Rolls::new(owner, parts.seed, &parts.settings, parts.inputs.clone());
        let mut state = Self {
            endpoints: endpoints::Table::default(),
            rolls,
            claims,
            verdicts: VecDeque::new(),
            fold: Fold::new(parts.settings.trust.clone()),
            policy: Policy::new(checkpoints(&parts.settings), parts.seed),
            first: 0,
            seed: parts.seed,
            group: Group::new(me, parts.seed, member::settings::Settings::default()),
            teams: Teams::new(member::team::Settings::default()),
            callers: advertised(&parts.settings, parts.callers),
            settings: parts.settings,
            incarnation: parts.incarnation,
            demand: Table::new(parts.boards.len()),
            boards: parts.boards,
            link: parts.link,
            inputs: parts.inputs,
            notices: parts.notices,
            leave: parts.leave,
            start: Instant::now(),
            listed: Listed::default(),
            instances: Vec::new(),
            actions: Vec::new(),
            leaving: false,
            read: None,
            log_error: None,
            stepped: Instant::now(),
            load: Level::default(),
            dirty: false,
        };
        state.publish_callers();
        state
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Takes an input.
    pub fn input(&mut self, input: Input) {
        match input {
            Input::Page(page, reply) => {
                let next = self.page(page);
                let _ = reply.send(next);
            }
            Input::LogOut(error) => self.log_out(&error),
            Input::Listed(instances) => self.list(instances),
            Input::Peer(inbound) => self.inbound(inbound),
            Input::Records(body) => self.records(body),
            Input::Note(worker, note) => self.note(worker, note),
            Input::Claim(event) => self.claim(event),
            Input::Lease(event) => self.lease(event),
            Input::Ordered(ordered) => {
                let now = self.now();
                self.rolls.ordered(now, &ordered);
            }
            Input::Rate(rate) => self.rolls.allow(lease::roll::Rate {
                per_minute: rate.per_minute,
                at_once: rate.at_once,
            }),
            Input::Load(name, report) => self.load(&name, report),
        }
        self.publish();
    }

    /// Takes a question of the admin listener.
    pub fn question(&mut self, question: ControlRequest) {
        match question {
            ControlRequest::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ControlRequest::History(reply) => {
                let _ = reply.send(self.history());
            }
            ControlRequest::Fleet(reply) => self.fleet(reply),
            ControlRequest::Head(reply) => {
                let _ = reply.send(self.fold.full());
            }
            ControlRequest::Publish(body, reply) => self.submit(body, reply),
            ControlRequest::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Time passed.
    pub fn tick(&mut self) {
        if self.leave.is_cancelled() && !self.leaving {
            self.begin_to_leave();
        }
        self.handle(Event::Tick);
        self.lease(lease::hold::Event::Tick);
        if self.stepped.elapsed() >= STEP_PERIOD {
            self.stepped = Instant::now();
            self.step();
            self.follow_claims();
            self.roll();
            self.checkpoint();
        }
        self.publish();
    }

    /// Tells peers that this node is gone.
    pub fn quit(&mut self) {
        self.handle(Event::Quit);
    }

    fn begin_to_leave(&mut self) {
        log::info!("node {} leaves", self.settings.node.name);
        self.leaving = true;
        self.dirty = true;
        self.handle(Event::Publish(vec![Observation::Leaving]));
    }

    /// Computes the shares of team limits, and tells peers this node's demand and load.
    fn step(&mut self) {
        let Some(bundle) = self.fold.head().cloned() else {
            return;
        };
        let limits = demand::limits(&bundle);
        let demands = self.demand.node(&bundle);
        let now = self.now();
        let step = self.teams.step(now, &self.group, &limits, &demands);
        let mut items = step.publish;
        items.extend(self.load_item(&bundle));
        if !items.is_empty() {
            self.handle(Event::Publish(items));
        }
        self.dirty = true;
    }

    /// The node's load as requests in flight over its part of the fleet's slots, if it changed.
    fn load_item(&mut self, bundle: &bundle::Bundle) -> Option<Observation> {
        let slots: u32 = bundle.endpoints.iter().map(|e| e.slots).sum();
        let nodes = self.group.node_count().max(1) as f64;
        let flying: f64 = self.demand.node(bundle).iter().map(|d| d.in_flight).sum();
        let load = Level::of(flying * nodes / f64::from(slots.max(1)));
        if load == self.load {
            return None;
        }
        self.load = load;
        Some(Observation::Load(load))
    }

    fn note(&mut self, worker: usize, note: WorkerEvent) {
        let item = match note {
            WorkerEvent::Demand(bundle, teams) => {
                let now = self.now();
                return self.demand.take(now, worker, bundle, &teams);
            }
            WorkerEvent::Claim(ask) => return self.ask_claim(worker, ask),
            WorkerEvent::ClaimAbandoned(id) => return self.unclaim(id),
            WorkerEvent::Ended(ended) => return self.end_claim(ended),
            WorkerEvent::Ticket(reply) => {
                let now = self.now();
                let _ = reply.send(self.claims.ticket(now));
                return;
            }
            WorkerEvent::Ejected(name) => ejection(&name, true),
            WorkerEvent::Restored(name) => ejection(&name, false),
            WorkerEvent::Suspect(fingerprint) => Observation::Suspect {
                fingerprint,
                ttl: SUSPECT_TIME,
            },
            WorkerEvent::Pending(fingerprint) => Observation::Pending {
                fingerprint,
                ttl: PENDING_TIME,
            },
            WorkerEvent::Condemned(fingerprint) => {
                log::warn!("requests with fingerprint {fingerprint:016x} crash endpoints");
                Observation::Condemned {
                    fingerprint,
                    ttl: CONDEMNED_TIME,
                }
            }
        };
        self.dirty = true;
        self.handle(Event::Publish(vec![item]));
    }

    fn list(&mut self, instances: Vec<Instance>) {
        if self.listed.update(&instances) {
            self.dirty = true;
        }
        self.instances = instances;
        self.list_nodes();
    }

    /// Publishes a snapshot to each worker if anything changed.
    fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let Some(bundle) = self.fold.head() else {
            return;
        };
        let source = Source {
            settings: &self.settings,
            callers: self.callers,
            bundle,
            listed: &self.listed,
            group: &self.group,
            shares: self.teams.shares(),
            demand: &self.demand,
            endpoints: &self.endpoints,
            leaving: self.leaving,
        };
        let snapshots = source.snapshots(self.boards.len());
        for (board, snapshot) in self.boards.iter().zip(snapshots) {
            board.store(Some(Arc::new(snapshot)));
        }
    }
}

/// Time since the Unix epoch.
fn wall() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

fn checkpoints(settings: &Settings) -> checkpoint::Settings {
    checkpoint::Settings {
        retention: settings.platform.retention,
        versions: CHECKPOINT_VERSIONS,
    }
}

fn ejection(name: &Arc<str>, ejected: bool) -> Observation {
    let word = if ejected {
        "taken out of use"
    } else {
        "back in use"
    };
    log::info!("endpoint {name} is {word}");
    Observation::Endpoint {
        name: name.to_string(),
        ejected,
        ttl: EJECTED_TIME,
    }
}

/// The callers' listener as others reach it: the settings' address with the port that was bound.
fn advertised(settings: &Settings, bound: SocketAddr) -> SocketAddr {
    let advertise = settings.callers.advertise;
    if advertise.port() == 0 {
        return SocketAddr::new(advertise.ip(), bound.port());
    }
    advertise
}
