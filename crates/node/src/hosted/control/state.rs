//! State of control and its transitions on inputs and time.

mod contents;
mod engines;
mod exchange;
mod isolation;
mod peers;
mod placement;
mod view;

use super::assignment::Assignment;
use super::failures::Failures;
use super::input::{Input, InputSender};
use super::liveness::Liveness;
use super::loads::Loads;
use super::orders::Orders;
use super::polls::Lines;
use super::pulls::Pulls;
use super::reader;
use super::tables::Tables;
use super::throttle::Throttle;
use super::uploads::Uploads;
use super::{Control, STEP_INTERVAL};
use crate::hosted::settings::Settings;
use adapter::Platform;
use adapter::report::Control as Engine;
use adapter::store::Table;
use catalog::source::{self, Page};
use gate::metrics::Metrics;
use gate::view::SharedView;
use isolation::Isolation;
use journal::Journal;
use journal::event::Event as JournalEvent;
use member::action::Action;
use member::event::Event;
use member::group::Group;
use member::identity::Identity;
use member::item::Observation;
use memory::budget::Budget;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::crash::Ledger;
use steer::departures::Departures;
use steer::transition::Transition;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::peer::{Link, Reply};

/// Interval of requests to peers for their copies while the store can't be read.
const COPY_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after planning orders, as a multiple of the planning time.
const PLAN_REST_FACTOR: u32 = 9;
/// Upper bound of the pause after planning orders.
const MAX_PLAN_REST: Duration = Duration::from_secs(2);
/// Pause after publishing a view, as a multiple of the publishing time.
const VIEW_REST_FACTOR: u32 = 4;
/// Upper bound of the pause after publishing a view.
const MAX_VIEW_REST: Duration = Duration::from_millis(400);
/// Interval at which the metrics of the view are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an up-to-date copy of the operator's table after which a node reads the store
/// itself: about three pulls.
const OPERATOR_COPY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without an up-to-date copy of the endpoints' table after which a node reads the store
/// itself. Rows may take more than a second through the link of a reader.
const ENDPOINTS_COPY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after the start from which a node requests the catalog from its peers if it has got none
/// from the store.
const FIRST_CATALOG_TIMEOUT: Duration = Duration::from_millis(700);
/// Lifetime of a failure report: long enough for the endpoint to be retried a few times.
const FAILURE_REPORT_TTL: Duration = Duration::from_millis(2500);
/// Number of peers from which copies are requested at once: the store may refuse one of them too.
const PEERS_PER_COPY: usize = 2;

/// Handle for the response to a peer's request for a copy or for loads.
type CopyReply = Reply<Option<Vec<u8>>>;

/// Read status of one table of the store.
#[derive(Clone, Debug, Default)]
struct TableStatus {
    /// Since when the table can't be read; `None` if the last read succeeded.
    unreadable_since: Option<Instant>,
    /// When the copy of the table was last known to be up to date.
    current_at: Option<Instant>,
    /// When an up-to-date copy was last received from a peer.
    copy_received: Option<Instant>,
}

/// The state of control.
pub struct State {
    settings: Settings,
    incarnation: u64,
    platform: Arc<Platform>,
    shared_view: SharedView,
    /// Signals views with another set of ended runs to the worker.
    changes: watch::Sender<u64>,
    journal: Journal,
    link: Link,
    inputs: InputSender,
    leave: CancellationToken,
    start: Instant,
    group: Group,
    actions: Vec<Action>,
    tables: Tables,
    failures: Failures,
    /// Endpoints that announced to this node that they leave.
    departures: Departures,
    /// Contents under which endpoints crashed.
    crashes: Ledger,
    /// When it was last checked that the peers know them.
    crashes_checked: Instant,
    /// Services that this node is isolated from.
    isolated: BTreeMap<String, Isolation>,
    orders: Orders,
    operator: TableStatus,
    endpoints: TableStatus,
    /// Enables or suspends the tasks that read the store.
    reads: watch::Sender<bool>,
    assignment: Assignment,
    pulls: Pulls,
    uploads: Uploads<CopyReply>,
    loads: Loads,
    /// Which of the engines that this node polls are alive.
    liveness: Liveness,
    /// Connections to the engines whose liveness is watched.
    lines: Lines,
    /// The memory of what engines report.
    reports: Budget,
    /// Runs that any node found to have ended, as last published to the worker.
    ended: Arc<BTreeSet<String>>,
    /// Those of them whose end is confirmed.
    confirmed_ended: Arc<BTreeSet<String>>,
    /// Clients of the other engines that this node polls.
    engines: BTreeMap<SocketAddr, Arc<Engine>>,
    /// When copies were last requested because the store could not be read.
    last_copy_request: Instant,
    /// When the metrics of the view were last updated.
    metrics_updated: Instant,
    metrics: Metrics,
    leaving: bool,
    planning: Throttle,
    publishing: Throttle,
    /// Whether the view has changed since it was last published.
    dirty: bool,
    /// Whether a change must be published at once: a new catalog, or the node's own drain.
    urgent: bool,
    /// Whether loads changed. They are published once per step, since reports arrive one by one.
    loads_changed: bool,
}

impl State {
    /// Creates the initial state, announces the address for callers and contacts the seeds.
    pub fn new(
        control: Control,
        platform: Arc<Platform>,
        link: Link,
        inputs: InputSender,
        reads: watch::Sender<bool>,
    ) -> Self {
        let settings = control.settings;
        let me = Identity {
            name: settings.name.clone(),
            addr: link.addr(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: control.incarnation,
        };
        let group = Group::new(me, control.seed, member::settings::Settings::default());
        let mut state = Self {
            incarnation: control.incarnation,
            platform,
            shared_view: control.shared_view,
            changes: control.changes,
            link,
            leave: control.leave,
            start: Instant::now(),
            group,
            actions: Vec::new(),
            tables: Tables::new(control.journal.clone()),
            failures: Failures::default(),
            departures: Departures::default(),
            crashes: Ledger::new(control.seed),
            crashes_checked: Instant::now(),
            isolated: BTreeMap::new(),
            orders: Orders::new(
                control.journal.clone(),
                inputs.clone(),
                settings.heartbeat,
                control.reports.clone(),
            ),
            inputs,
            journal: control.journal,
            operator: TableStatus::default(),
            endpoints: TableStatus::default(),
            reads,
            assignment: Assignment::default(),
            pulls: Pulls::default(),
            uploads: Uploads::default(),
            loads: Loads::default(),
            liveness: Liveness::default(),
            lines: Lines::new(control.reports.clone()),
            reports: control.reports,
            ended: Arc::default(),
            confirmed_ended: Arc::default(),
            engines: BTreeMap::new(),
            last_copy_request: Instant::now(),
            metrics_updated: Instant::now(),
            metrics: control.metrics,
            leaving: false,
            planning: Throttle::new(PLAN_REST_FACTOR, MAX_PLAN_REST),
            publishing: Throttle::new(VIEW_REST_FACTOR, MAX_VIEW_REST),
            dirty: false,
            urgent: false,
            loads_changed: false,
            settings,
        };
        let callers = Observation::Callers {
            addr: state.settings.callers,
            tls: false,
        };
        state.handle_event(Event::Publish(vec![callers]));
        let seeds = state.seeds();
        state.handle_event(Event::Listed(seeds));
        state
    }

    /// Handles an input.
    pub fn handle_input(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Read(table, page) => self.apply_read(now, table, page),
            Input::ReadFailed(table, began, reason) => {
                self.record_read_failure(now, table, began, &reason)
            }
            Input::Response(request, peer, bytes) => {
                self.handle_response(now, request, peer, &bytes)
            }
            Input::RequestFailed(request, peer, reason) => {
                self.handle_request_failure(now, request, peer, reason)
            }
            Input::Delivered(id) => {
                self.uploads.finish(id);
                self.serve_waiting(now);
            }
            Input::Report(run, report) => self.handle_report(now, run, report),
            Input::Engine(found) => self.handle_found(now, found),
            Input::Transition(transition) => self.publish_transition(transition),
            Input::Peer(inbound) => self.handle_inbound(inbound),
            Input::OrderEnded(order, attempt) => self.orders.finish(now, order, &attempt),
        }
        self.publish();
    }

    /// Does the periodic work; called every `STEP_INTERVAL`.
    pub fn step(&mut self) {
        let now = Instant::now();
        if self.leave.is_cancelled() && !self.leaving {
            self.leaving = true;
            self.urgent = true;
            self.handle_event(Event::Publish(vec![Observation::Leaving]));
        }
        self.handle_event(Event::Tick);
        self.dirty |= self.tables.expire(now);
        let tables = &self.tables;
        self.departures
            .expire(self.start.elapsed(), |run| tables.contains(run));
        self.dirty |= self.update_failures(now);
        self.check_contents(now);
        self.expire_isolation(now);
        self.update_assignment(now);
        self.pull(now);
        self.serve_waiting(now);
        self.update_metrics(now);
        self.copy_from_peers(now);
        self.poll_engines(now);
        self.refresh_ended(now);
        self.give_orders(now);
        self.dirty |= std::mem::take(&mut self.loads_changed);
        self.publish();
        self.metrics.record_control_run("step", now.elapsed());
    }

    /// Returns control's section of the dump.
    pub fn dump(&self) -> String {
        let version = self.tables.catalog().map_or(0, |c| c.version);
        let mut text = format!("catalog {version}\nassignment {:?}\n", self.assignment);
        for table in [Table::Operator, Table::Endpoints] {
            let (name, next) = (reader::label(table), self.tables.next_offset(table));
            let (era, next) = (source::era(next), source::number(next));
            text.push_str(&format!("table {name} known up to {next} in era {era}\n"));
        }
        for peer in self.group.roster().iter() {
            text.push_str(&format!("node {peer}\n"));
        }
        for (id, services) in self.group.isolated(self.start.elapsed()) {
            let peer = self.group.roster().get(id);
            let name = peer.map_or("?", |peer| peer.identity.name.as_str());
            let services = Vec::from_iter(services).join(" ");
            text.push_str(&format!("isolated {name} from {services}\n"));
        }
        for run in self.failures.current().iter() {
            text.push_str(&format!("failing {run}\n"));
        }
        for run in self.ended.iter() {
            text.push_str(&format!("ended {run}\n"));
        }
        text.push_str(&self.liveness.to_string());
        text.push_str(&self.dump_contents());
        text.push_str(&format!(
            "uploads waiting {}, in flight {} bytes\n",
            self.uploads.waiting(),
            self.uploads.bytes_in_flight()
        ));
        text.push_str(&format!("link {}\n", self.link.counters()));
        text
    }

    /// Announces to the peers that this node has left.
    pub fn announce_exit(&mut self) {
        self.handle_event(Event::Quit);
    }

    /// Recomputes the endpoints that count as failing. Returns whether they changed.
    fn update_failures(&mut self, now: Instant) -> bool {
        let unresponsive = self.loads.unresponsive();
        let elapsed = self.start.elapsed();
        self.failures
            .update(now, elapsed, &self.group, &unresponsive)
    }

    /// Records a transition of an endpoint, as found by the worker, and publishes a change of its
    /// health to the other nodes. That an endpoint leaves, the others learn from its responses to
    /// them, or from its row.
    fn publish_transition(&mut self, transition: Transition) {
        let (run, state, ejected) = match &transition {
            Transition::Down(run) => (run, "fails here", Some(true)),
            Transition::Up(run) => (run, "does well here", Some(false)),
            Transition::Leaving { run, .. } => {
                self.departures.record(self.start.elapsed(), run);
                (run, "announced that it leaves", None)
            }
            Transition::Isolation { service, isolated } => {
                return self.publish_isolation(Instant::now(), service.clone(), *isolated);
            }
            Transition::Content(content, finding) => {
                return self.publish_finding(*content, *finding);
            }
        };
        self.record_endpoint(&run.to_string(), state);
        let Some(ejected) = ejected else {
            return;
        };
        let observation = Observation::Endpoint {
            name: run.to_string(),
            ejected,
            ttl: FAILURE_REPORT_TTL,
        };
        self.handle_event(Event::Publish(vec![observation]));
        self.dirty = true;
    }

    /// Writes a decision line about an endpoint.
    fn record_endpoint(&self, run: &str, state: &str) {
        let next = self.tables.next_offset(Table::Endpoints);
        self.journal.record(JournalEvent::Endpoint {
            run: run.to_owned(),
            state: state.to_owned(),
            offset: source::number(next),
            era: source::era(next),
        });
    }

    fn apply_read(&mut self, now: Instant, table: Table, page: Page) {
        let status = self.status(table);
        let unreadable_since = status.unreadable_since.take();
        let first = status.current_at.replace(now).is_none();
        if table == Table::Endpoints {
            self.tables.record_read();
        }
        if unreadable_since.is_some() || first {
            let outage = unreadable_since.map_or(Duration::ZERO, |at| now - at);
            self.journal.record(JournalEvent::Dependency {
                name: dependency_name(table),
                up: true,
                detail: format!("away for {} ms", outage.as_millis()),
            });
        }
        self.apply_page(table, page, "store");
    }

    /// Applies changes of a table.
    fn apply_page(&mut self, table: Table, page: Page, source: &'static str) {
        let changed = self.tables.apply(&self.platform, table, page, source);
        match table {
            Table::Operator if changed => {
                self.urgent = true;
                self.announce_catalog();
            }
            Table::Operator => {}
            Table::Endpoints => self.dirty |= changed,
        }
    }

    /// Updates the metrics of the view: catalog version, number of endpoints, and age of each
    /// table.
    fn update_metrics(&mut self, now: Instant) {
        if now < self.metrics_updated + METRICS_INTERVAL {
            return;
        }
        self.metrics_updated = now;
        let version = self.tables.catalog().map_or(0, |c| c.version);
        let endpoints = self.tables.endpoints().count() as u64;
        for table in [Table::Operator, Table::Endpoints] {
            let current_at = self.status(table).current_at;
            let age = current_at.map_or(self.start.elapsed(), |at| now - at);
            self.metrics
                .record_view(version, endpoints, reader::label(table), age);
        }
    }

    fn record_read_failure(&mut self, now: Instant, table: Table, began: Instant, reason: &str) {
        if table == Table::Endpoints {
            self.tables.record_read_failure(began);
        }
        let status = self.status(table);
        if status.unreadable_since.is_some() {
            return;
        }
        status.unreadable_since = Some(now);
        self.journal.record(JournalEvent::Dependency {
            name: dependency_name(table),
            up: false,
            detail: reason.to_owned(),
        });
    }

    fn status(&mut self, table: Table) -> &mut TableStatus {
        match table {
            Table::Operator => &mut self.operator,
            Table::Endpoints => &mut self.endpoints,
        }
    }

    /// Returns whether membership has settled since this node started, so that its assignment is
    /// reliable.
    fn settled(&self) -> bool {
        self.group.is_settled(self.start.elapsed())
    }
}

fn dependency_name(table: Table) -> String {
    format!("store, table {}", reader::label(table))
}

const _: () = assert!(STEP_INTERVAL.as_millis() <= member::event::TICK.as_millis());
