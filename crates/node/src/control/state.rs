//! The state of control and what each input does to it.

mod admin;
mod bundles;
mod claims;
mod endpoints;
mod peers;

use super::claims::{Claims, Reply};
use super::demand::{self, Table};
use super::endpoints::Table as EndpointTable;
use super::input::{Input, Inputs};
use super::instance_list::InstanceList;
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
const EJECTION_TTL: Duration = Duration::from_secs(15);
/// How long a fingerprint counts as suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// How long a verdict is awaited: the window of the verdict and the time that it takes to spread.
const PENDING_TTL: Duration = Duration::from_secs(4);
/// How long a fingerprint counts as condemned.
const CONDEMNED_TTL: Duration = Duration::from_secs(3600);
/// Versions after which a checkpoint is written whatever its age.
const CHECKPOINT_VERSION_INTERVAL: u64 = 1000;
/// How often shares of limits are computed.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

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
    pub shared_snapshots: Vec<SharedSnapshot>,
    /// The link to peers.
    pub link: Link,
    /// Where tasks put what they find.
    pub inputs: Inputs,
    /// Rings to the workers.
    pub control_events: Vec<ring::Sender<ControlEvent>>,
    /// Set when the node begins to leave.
    pub leave: CancellationToken,
}

/// The state of control.
pub struct State {
    settings: Settings,
    /// The callers' listener as others reach it.
    callers: SocketAddr,
    incarnation: u64,
    shared_snapshots: Vec<SharedSnapshot>,
    link: Link,
    inputs: Inputs,
    control_events: Vec<ring::Sender<ControlEvent>>,
    leave: CancellationToken,
    start: Instant,
    fold: Fold,
    policy: Policy,
    /// First offset that the log retains.
    first_offset: Offset,
    seed: u64,
    group: Group,
    teams: Teams,
    instance_list: InstanceList,
    /// The list's newest answer, read again when a bundle tells which instances are endpoints'.
    instances: Vec<Instance>,
    demand: Table,
    endpoints: EndpointTable,
    rolls: Rolls,
    claims: Claims,
    /// Verdicts on claims that workers have not been told yet.
    replies: VecDeque<Reply>,
    actions: Vec<Action>,
    /// Whether this node has told its peers that it leaves.
    leaving: bool,
    /// When the log was last read to its end.
    log_read_at: Option<Instant>,
    log_error: Option<String>,
    last_step: Instant,
    published_load: Level,
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
            unix_time(),
            &parts.settings.platform,
            parts.inputs.clone(),
        );
        let rolls = Rolls::new(owner, parts.seed, &parts.settings, parts.inputs.clone());
        let mut state = Self {
            endpoints: EndpointTable::default(),
            rolls,
            claims,
            replies: VecDeque::new(),
            fold: Fold::new(parts.settings.trust.clone()),
            policy: Policy::new(checkpoint_settings(&parts.settings), parts.seed),
            first_offset: 0,
            seed: parts.seed,
            group: Group::new(me, parts.seed, member::settings::Settings::default()),
            teams: Teams::new(member::team::Settings::default()),
            callers: advertised_address(&parts.settings, parts.callers),
            settings: parts.settings,
            incarnation: parts.incarnation,
            demand: Table::new(parts.shared_snapshots.len()),
            shared_snapshots: parts.shared_snapshots,
            link: parts.link,
            inputs: parts.inputs,
            control_events: parts.control_events,
            leave: parts.leave,
            start: Instant::now(),
            instance_list: InstanceList::default(),
            instances: Vec::new(),
            actions: Vec::new(),
            leaving: false,
            log_read_at: None,
            log_error: None,
            last_step: Instant::now(),
            published_load: Level::default(),
            dirty: false,
        };
        state.publish_callers();
        state
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Takes an input.
    pub fn handle_input(&mut self, input: Input) {
        match input {
            Input::Page(page, reply) => {
                let next = self.fold_page(page);
                let _ = reply.send(next);
            }
            Input::LogReadFailed(error) => self.log_read_failed(&error),
            Input::Instances(instances) => self.update_instances(instances),
            Input::Peer(inbound) => self.handle_inbound(inbound),
            Input::Records(body) => self.adopt_records(body),
            Input::WorkerEvent(worker, event) => self.handle_worker_event(worker, event),
            Input::Claim(event) => self.handle_claim_event(event),
            Input::Lease(event) => self.handle_lease_event(event),
            Input::OrderEnded(result) => {
                let now = self.now();
                self.rolls.record_result(now, &result);
            }
            Input::Rate(rate) => self.rolls.set_rate(lease::roll::Rate {
                per_minute: rate.per_minute,
                at_once: rate.at_once,
            }),
            Input::LoadReport(name, report) => self.handle_load_report(&name, report),
        }
        self.publish_snapshots();
    }

    /// Takes a question of the admin listener.
    pub fn handle_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ControlRequest::History(reply) => {
                let _ = reply.send(self.history());
            }
            ControlRequest::Fleet(reply) => self.collect_fleet(reply),
            ControlRequest::Head(reply) => {
                let _ = reply.send(self.fold.full());
            }
            ControlRequest::Publish(body, reply) => self.publish_version(body, reply),
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
        self.handle_group_event(Event::Tick);
        self.handle_lease_event(lease::hold::Event::Tick);
        if self.last_step.elapsed() >= STEP_INTERVAL {
            self.last_step = Instant::now();
            self.step();
            self.follow_claims();
            self.step_rolls();
            self.checkpoint_if_due();
        }
        self.publish_snapshots();
    }

    /// Tells peers that this node is gone.
    pub fn quit(&mut self) {
        self.handle_group_event(Event::Quit);
    }

    fn begin_to_leave(&mut self) {
        log::info!("node {} leaves", self.settings.node.name);
        self.leaving = true;
        self.dirty = true;
        self.handle_group_event(Event::Publish(vec![Observation::Leaving]));
    }

    /// Computes the shares of team limits, and tells peers this node's demand and load.
    fn step(&mut self) {
        let Some(bundle) = self.fold.head().cloned() else {
            return;
        };
        let limits = demand::team_limits(&bundle);
        let demands = self.demand.node_demand(&bundle);
        let now = self.now();
        let step = self.teams.step(now, &self.group, &limits, &demands);
        let mut items = step.publish;
        items.extend(self.load_observation(&bundle));
        if !items.is_empty() {
            self.handle_group_event(Event::Publish(items));
        }
        self.dirty = true;
    }

    /// The node's load as requests in flight over its part of the fleet's slots, if it changed.
    fn load_observation(&mut self, bundle: &bundle::Bundle) -> Option<Observation> {
        let slots: u32 = bundle.endpoints.iter().map(|e| e.slots).sum();
        let nodes = self.group.node_count().max(1) as f64;
        let in_flight: f64 = self
            .demand
            .node_demand(bundle)
            .iter()
            .map(|d| d.in_flight)
            .sum();
        let load = Level::of(in_flight * nodes / f64::from(slots.max(1)));
        if load == self.published_load {
            return None;
        }
        self.published_load = load;
        Some(Observation::Load(load))
    }

    fn handle_worker_event(&mut self, worker: usize, event: WorkerEvent) {
        let item = match event {
            WorkerEvent::Demand(bundle, teams) => {
                let now = self.now();
                return self.demand.update(now, worker, bundle, &teams);
            }
            WorkerEvent::Claim(request) => return self.request_claim(worker, request),
            WorkerEvent::ClaimAbandoned(id) => return self.cancel_claim(id),
            WorkerEvent::Ended(ended) => return self.finish_claim(ended),
            WorkerEvent::Ticket(reply) => {
                let now = self.now();
                let _ = reply.send(self.claims.issue_ticket(now));
                return;
            }
            WorkerEvent::Ejected(name) => ejection_observation(&name, true),
            WorkerEvent::Restored(name) => ejection_observation(&name, false),
            WorkerEvent::Suspect(fingerprint) => Observation::Suspect {
                fingerprint,
                ttl: SUSPECT_TTL,
            },
            WorkerEvent::Pending(fingerprint) => Observation::Pending {
                fingerprint,
                ttl: PENDING_TTL,
            },
            WorkerEvent::Condemned(fingerprint) => {
                log::warn!("requests with fingerprint {fingerprint:016x} crash endpoints");
                Observation::Condemned {
                    fingerprint,
                    ttl: CONDEMNED_TTL,
                }
            }
        };
        self.dirty = true;
        self.handle_group_event(Event::Publish(vec![item]));
    }

    fn update_instances(&mut self, instances: Vec<Instance>) {
        if self.instance_list.update(&instances) {
            self.dirty = true;
        }
        self.instances = instances;
        self.update_listed_nodes();
    }

    /// Publishes a snapshot to each worker if anything changed.
    fn publish_snapshots(&mut self) {
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
            instance_list: &self.instance_list,
            group: &self.group,
            shares: self.teams.shares(),
            demand: &self.demand,
            endpoints: &self.endpoints,
            leaving: self.leaving,
        };
        let snapshots = source.snapshots(self.shared_snapshots.len());
        for (shared, snapshot) in self.shared_snapshots.iter().zip(snapshots) {
            shared.store(Some(Arc::new(snapshot)));
        }
    }
}

/// Time since the Unix epoch.
fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

fn checkpoint_settings(settings: &Settings) -> checkpoint::Settings {
    checkpoint::Settings {
        retention: settings.platform.retention,
        versions: CHECKPOINT_VERSION_INTERVAL,
    }
}

fn ejection_observation(name: &Arc<str>, ejected: bool) -> Observation {
    let state = if ejected {
        "taken out of use"
    } else {
        "back in use"
    };
    log::info!("endpoint {name} is {state}");
    Observation::Endpoint {
        name: name.to_string(),
        ejected,
        ttl: EJECTION_TTL,
    }
}

/// The callers' listener as others reach it: the settings' address with the port that was bound.
fn advertised_address(settings: &Settings, bound: SocketAddr) -> SocketAddr {
    let advertise = settings.callers.advertise;
    if advertise.port() == 0 {
        return SocketAddr::new(advertise.ip(), bound.port());
    }
    advertise
}
