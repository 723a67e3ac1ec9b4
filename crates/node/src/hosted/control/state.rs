//! What control believes, and what each input does to it.

mod peers;
mod share;

use super::accused::Accused;
use super::input::{Input, Inputs};
use super::loads::Loads;
use super::orders::Orders;
use super::pace::Pace;
use super::pulls::Pulls;
use super::reader;
use super::readers::Part;
use super::tables::Tables;
use super::{Control, STEP};
use crate::hosted::settings::Settings;
use adapter::Platform;
use adapter::report::Control as Engine;
use adapter::store::Table;
use catalog::Endpoint;
use catalog::source::Page;
use gate::metrics::Metrics;
use gate::view::{SharedView, View};
use journal::Journal;
use journal::event::Event as Told;
use member::action::Action;
use member::event::Event;
use member::group::Group;
use member::identity::Identity;
use member::item::Observation;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::Fleet;
use steer::transition::Transition;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::peer::Link;

/// How often a peer is asked for its copy while the store can't be read.
const COPY: Duration = Duration::from_millis(300);
/// Rest after planning orders, in lengths of the planning, and its bound.
const PLAN_RESTS: u32 = 9;
const PLAN_REST: Duration = Duration::from_secs(2);
/// Rest after publishing a view, in lengths of the publishing, and its bound.
const VIEW_RESTS: u32 = 4;
const VIEW_REST: Duration = Duration::from_millis(400);
/// How often the metrics of what is believed are set.
const MEASURE: Duration = Duration::from_secs(1);
/// Time without an up-to-date copy after which a node reads the store by itself: three pulls.
const UNHEARD: Duration = Duration::from_millis(1000);
/// Time from the start after which a node asks its peers for a catalog that the store has not given.
const UNANSWERED: Duration = Duration::from_millis(700);
/// How long a finding of one node counts: until the endpoint has been tried again a few times.
const ACCUSED: Duration = Duration::from_millis(2500);
/// How long it counts that an endpoint is about to give up its layers: until what it reports of its new
/// ones is with all nodes.
const MOVING: Duration = Duration::from_secs(3);
/// Endpoints for which a node that has just started takes another one to choose as well. Without it,
/// nodes that start together all take the cheapest chain, each as if it were alone.
const ENDPOINTS_FOR: usize = 2;
/// Peers that are asked at once: one of them may be turned away as well.
const ASKED: usize = 2;

/// How one table of the store can be read.
#[derive(Clone, Debug, Default)]
struct Reading {
    /// Since when it can't.
    lost: Option<Instant>,
    /// When it was last known to be up to date.
    known: Option<Instant>,
}

/// The state of control.
pub struct State {
    settings: Settings,
    incarnation: u64,
    platform: Arc<Platform>,
    board: SharedView,
    journal: Journal,
    link: Link,
    inputs: Inputs,
    leave: CancellationToken,
    start: Instant,
    group: Group,
    actions: Vec<Action>,
    tables: Tables,
    accused: Accused,
    orders: Orders,
    operator: Reading,
    endpoints: Reading,
    /// Whether the tasks that read the store do so.
    reads: watch::Sender<bool>,
    part: Part,
    pulls: Pulls,
    loads: Loads,
    /// Clients of engines that this node asks.
    engines: BTreeMap<SocketAddr, Arc<Engine>>,
    /// When a peer last gave a copy that was up to date.
    heard: Instant,
    copied: Instant,
    measured: Instant,
    metrics: Metrics,
    leaving: bool,
    planning: Pace,
    publishing: Pace,
    /// Whether something changed that the worker must know.
    dirty: bool,
    /// Whether the worker must know it at once: a catalog, or that the node leaves.
    urgent: bool,
    /// Whether loads changed; they are published by step, since reports come one by one.
    reported: bool,
}

impl State {
    /// The state before any input.
    pub fn new(
        control: Control,
        platform: Arc<Platform>,
        link: Link,
        inputs: Inputs,
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
            board: control.board,
            link,
            leave: control.leave,
            start: Instant::now(),
            group,
            actions: Vec::new(),
            tables: Tables::new(control.journal.clone()),
            accused: Accused::default(),
            orders: Orders::new(control.journal.clone(), inputs.clone(), settings.heartbeat),
            inputs,
            journal: control.journal,
            operator: Reading::default(),
            endpoints: Reading::default(),
            reads,
            part: Part::default(),
            pulls: Pulls::default(),
            loads: Loads::default(),
            engines: BTreeMap::new(),
            heard: Instant::now(),
            copied: Instant::now(),
            measured: Instant::now(),
            metrics: control.metrics,
            leaving: false,
            planning: Pace::new(PLAN_RESTS, PLAN_REST),
            publishing: Pace::new(VIEW_RESTS, VIEW_REST),
            dirty: false,
            urgent: false,
            reported: false,
            settings,
        };
        let callers = Observation::Callers {
            addr: state.settings.callers,
            tls: false,
        };
        state.handle(Event::Publish(vec![callers]));
        let seeds = state.seeds();
        state.handle(Event::Listed(seeds));
        state
    }

    /// Takes an input.
    pub fn input(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Page(table, page) => self.page(now, table, page),
            Input::Unread(table, why) => self.unread(now, table, &why),
            Input::Answered(ask, peer, bytes) => self.answered(now, ask, peer, &bytes),
            Input::Unanswered(ask, peer, why) => self.unanswered(now, ask, peer, why),
            Input::Report(run, report) => self.take_report(now, run, report),
            Input::Note(note) => self.note(note),
            Input::Peer(inbound) => self.inbound(inbound),
            Input::Ordered(order, ordered) => self.orders.ordered(now, order, &ordered),
        }
        self.publish();
    }

    /// Time passed.
    pub fn step(&mut self) {
        let now = Instant::now();
        if self.leave.is_cancelled() && !self.leaving {
            self.leaving = true;
            self.urgent = true;
            self.handle(Event::Publish(vec![Observation::Leaving]));
        }
        self.handle(Event::Tick);
        self.dirty |= self.tables.expire(now);
        self.dirty |= self.accuse(now);
        self.share(now);
        self.pull(now);
        self.measure(now);
        self.copy(now);
        self.poll(now);
        self.order(now);
        self.dirty |= std::mem::take(&mut self.reported);
        self.publish();
    }

    /// The text for the dump.
    pub fn dump(&self) -> String {
        let version = self.tables.catalog().map_or(0, |c| c.version);
        let mut text = format!("catalog {version}\npart {:?}\n", self.part);
        for table in [Table::Operator, Table::Endpoints] {
            let (name, next) = (reader::name(table), self.tables.next(table));
            text.push_str(&format!("table {name} known up to {next}\n"));
        }
        for peer in self.group.roster().iter() {
            text.push_str(&format!("node {peer}\n"));
        }
        for run in self.accused.now().iter() {
            text.push_str(&format!("accused {run}\n"));
        }
        text.push_str(&format!("link {}\n", self.link.counters()));
        text
    }

    /// Tells peers that this node is gone.
    pub fn quit(&mut self) {
        self.handle(Event::Quit);
    }

    /// Finds the accused anew; whether they are different now.
    fn accuse(&mut self, now: Instant) -> bool {
        let silent = self.loads.silent();
        let elapsed = self.start.elapsed();
        self.accused.update(now, elapsed, &self.group, &silent)
    }

    /// Tells the other nodes what the worker found out.
    fn note(&mut self, note: Transition) {
        let (run, ejected) = match &note {
            Transition::Down(run) => (run, true),
            Transition::Up(run) => (run, false),
        };
        self.journal.record(Told::Endpoint {
            run: run.to_string(),
            state: if ejected {
                "fails here"
            } else {
                "does well here"
            }
            .to_owned(),
            offset: self.tables.next(Table::Endpoints),
        });
        let body = Observation::Endpoint {
            name: run.to_string(),
            ejected,
            ttl: ACCUSED,
        };
        self.handle(Event::Publish(vec![body]));
        self.dirty = true;
    }

    fn page(&mut self, now: Instant, table: Table, page: Page) {
        let reading = self.reading(table);
        let lost = reading.lost.take();
        let first = reading.known.replace(now).is_none();
        if table == Table::Endpoints {
            self.tables.read(now);
        }
        if lost.is_some() || first {
            let away = lost.map_or(Duration::ZERO, |at| now - at);
            self.journal.record(Told::Dependency {
                name: table_name(table),
                up: true,
                detail: format!("away for {} ms", away.as_millis()),
            });
        }
        self.take_page(table, page, "store");
    }

    /// Takes changes of a table in.
    fn take_page(&mut self, table: Table, page: Page, source: &'static str) {
        let changed = self.tables.take(&self.platform, table, page, source);
        match table {
            Table::Operator => self.urgent |= changed,
            Table::Endpoints => self.dirty |= changed,
        }
    }

    /// Tells the metrics what is believed and how old that is.
    fn measure(&mut self, now: Instant) {
        if now < self.measured + MEASURE {
            return;
        }
        self.measured = now;
        let version = self.tables.catalog().map_or(0, |c| c.version);
        let endpoints = self.tables.endpoints().count() as u64;
        for table in [Table::Operator, Table::Endpoints] {
            let known = self.reading(table).known;
            let age = known.map_or(self.start.elapsed(), |at| now - at);
            self.metrics
                .record_view(version, endpoints, reader::name(table), age);
        }
    }

    fn unread(&mut self, now: Instant, table: Table, why: &str) {
        if table == Table::Endpoints {
            self.tables.unread(now);
        }
        let reading = self.reading(table);
        if reading.lost.is_some() {
            return;
        }
        reading.lost = Some(now);
        self.journal.record(Told::Dependency {
            name: table_name(table),
            up: false,
            detail: why.to_owned(),
        });
    }

    fn reading(&mut self, table: Table) -> &mut Reading {
        match table {
            Table::Operator => &mut self.operator,
            Table::Endpoints => &mut self.endpoints,
        }
    }

    /// Whether this node's part among the others is known: it has not just started beside them.
    fn settled(&self) -> bool {
        self.group.is_settled(self.start.elapsed())
    }

    /// Gives orders if that is this node's part.
    fn order(&mut self, now: Instant) {
        if self.leaving || !self.settled() || !self.part.orders() {
            return;
        }
        if !self.planning.due(now) {
            return self.orders.give_planned(now);
        }
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let accused = &self.accused;
        let living = self.tables.endpoints();
        let living = living.filter(|e| !accused.lost(now, &e.run.to_string()));
        let living: Vec<Endpoint> = living.map(|e| self.loads.overlay(now, e)).collect();
        self.orders.step(now, &self.part, catalog, living.iter());
        self.planning.ran(now, Instant::now());
        self.announce();
    }

    /// Tells the other nodes which endpoints are about to give up layers.
    fn announce(&mut self) {
        let moving = self.orders.take_moving().into_iter();
        let moving = moving.map(|run| Observation::Releasing {
            name: run.to_string(),
            ttl: MOVING,
        });
        let moving: Vec<Observation> = moving.collect();
        if !moving.is_empty() {
            self.handle(Event::Publish(moving));
            self.dirty = true;
        }
    }

    /// Publishes a view if anything changed; what is not urgent may wait for a later step.
    fn publish(&mut self) {
        let now = Instant::now();
        let due = self.dirty && self.publishing.due(now);
        if !due && !self.urgent {
            return;
        }
        (self.dirty, self.urgent) = (false, false);
        self.accuse(now);
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let nodes = self.nodes();
        let endpoints = self.tables.endpoints();
        let endpoints: Vec<Endpoint> = endpoints.map(|e| self.loads.overlay(now, e)).collect();
        let selecting_nodes = match self.settled() {
            true => nodes.len(),
            false => endpoints.len() / ENDPOINTS_FOR,
        };
        let view = View {
            fleet: Fleet {
                catalog: catalog.clone(),
                endpoints: Arc::new(endpoints),
                loads: Arc::new(self.loads.view(now, self.start)),
                reported_failed: self.accused.now(),
                releasing: Arc::new(self.group.releasing(self.start.elapsed())),
                nodes: nodes.len().max(1),
                selecting_nodes,
                budget_nodes: self.sharers(),
            },
            nodes,
            leaving: self.leaving,
        };
        self.board.store(Some(Arc::new(view)));
        self.publishing.ran(now, Instant::now());
    }
}

fn table_name(table: Table) -> String {
    format!("store, table {}", reader::name(table))
}

const _: () = assert!(STEP.as_millis() <= member::event::TICK.as_millis());
