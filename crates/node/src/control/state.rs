//! The state of control and its changes by each input.

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

/// Time for which other nodes apply an ejection. It is longer than the backoff between two probes
/// of an ejected endpoint.
const EJECTION_TTL: Duration = Duration::from_secs(15);
/// Time for which a fingerprint stays suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Time for which a verdict may be pending: the time window of the verdict plus the time in which
/// it spreads to all nodes.
const PENDING_TTL: Duration = Duration::from_secs(4);
/// Time for which a fingerprint stays condemned.
const CONDEMNED_TTL: Duration = Duration::from_secs(3600);
/// Number of versions after which a new checkpoint is written whatever the age of the last one.
const CHECKPOINT_VERSION_INTERVAL: u64 = 1000;
/// Interval of the periodic work: shares of limits, claims, rolls and checkpoints.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Parts from which the state is created.
pub struct Parts {
    /// Settings of the node.
    pub settings: Settings,
    /// Bound address of the callers' listener.
    pub callers: SocketAddr,
    /// Number that identifies this run of the node.
    pub incarnation: u64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Snapshots to publish, by worker.
    pub shared_snapshots: Vec<SharedSnapshot>,
    /// Link to the peers.
    pub link: Link,
    /// Sender of inputs, for the tasks that the state starts.
    pub inputs: Inputs,
    /// Rings of events to the workers.
    pub control_events: Vec<ring::Sender<ControlEvent>>,
    /// Cancelled when the node begins to leave.
    pub leave: CancellationToken,
}

/// The state of control.
pub struct State {
    settings: Settings,
    /// Address at which callers reach this node.
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
    /// First offset of the bundle stream that the log still retains.
    first_offset: Offset,
    seed: u64,
    group: Group,
    teams: Teams,
    instance_list: InstanceList,
    /// Instances of the last list. They are evaluated again with each new bundle, which defines the
    /// instances that belong to endpoints.
    instances: Vec<Instance>,
    demand: Table,
    endpoints: EndpointTable,
    rolls: Rolls,
    claims: Claims,
    /// Verdicts on claims that are not yet delivered to the workers.
    replies: VecDeque<Reply>,
    actions: Vec<Action>,
    /// Whether this node has notified its peers that it is leaving.
    leaving: bool,
    /// Time at which the log was last read to its end.
    log_read_at: Option<Instant>,
    log_error: Option<String>,
    last_step: Instant,
    published_load: Level,
    /// Whether a new snapshot must be published.
    dirty: bool,
}

impl State {
    /// Creates the state and publishes the address for callers to the peers.
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

    /// Handles an input, and publishes new snapshots if it changed the view.
    pub fn handle_input(&mut self, input: Input) {
        match input {
            Input::BundlePage(page, reply) => {
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

    /// Answers a request of the admin listener.
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
                let _ = reply.send(self.fold.encode_head());
            }
            ControlRequest::Publish(body, reply) => self.publish_version(body, reply),
            ControlRequest::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Advances all timers, and does the periodic work when it is due.
    pub fn tick(&mut self) {
        if self.leave.is_cancelled() && !self.leaving {
            self.begin_to_leave();
        }
        self.handle_group_event(Event::Tick);
        self.handle_lease_event(lease::group_lease::Event::Tick);
        if self.last_step.elapsed() >= STEP_INTERVAL {
            self.last_step = Instant::now();
            self.step_teams();
            self.follow_claim_shards();
            self.step_rolls();
            self.checkpoint_if_due();
        }
        self.publish_snapshots();
    }

    /// Notifies the peers that this node has ended.
    pub fn quit(&mut self) {
        self.handle_group_event(Event::Quit);
    }

    fn begin_to_leave(&mut self) {
        log::info!("node {} is leaving", self.settings.node.name);
        self.leaving = true;
        self.dirty = true;
        self.handle_group_event(Event::Publish(vec![Observation::Leaving]));
    }

    /// Computes this node's shares of the teams' limits, and publishes its demand and load to the
    /// peers.
    fn step_teams(&mut self) {
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

    /// Returns this node's load if it has changed. The load is the number of requests in flight
    /// divided by the node's even share of the fleet's slots.
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

    /// Handles an event from a worker.
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

    /// Replaces the list of instances.
    fn update_instances(&mut self, instances: Vec<Instance>) {
        if self.instance_list.update(&instances) {
            self.dirty = true;
        }
        self.instances = instances;
        self.update_listed_nodes();
    }

    /// Publishes a new snapshot to each worker if the view has changed.
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

/// Returns the time since the Unix epoch.
fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

fn checkpoint_settings(settings: &Settings) -> checkpoint::Settings {
    checkpoint::Settings {
        retention: settings.platform.retention,
        max_versions: CHECKPOINT_VERSION_INTERVAL,
    }
}

/// Logs a change of an endpoint's ejection and returns the observation to publish.
fn ejection_observation(name: &Arc<str>, ejected: bool) -> Observation {
    let state = if ejected {
        "ejected"
    } else {
        "available again"
    };
    log::info!("endpoint {name} is {state}");
    Observation::Endpoint {
        name: name.to_string(),
        ejected,
        ttl: EJECTION_TTL,
    }
}

/// Returns the address at which callers reach this node. If the setting has port 0, the bound port
/// is used.
fn advertised_address(settings: &Settings, bound: SocketAddr) -> SocketAddr {
    let advertise = settings.callers.advertise;
    if advertise.port() == 0 {
        return SocketAddr::new(advertise.ip(), bound.port());
    }
    advertise
}
