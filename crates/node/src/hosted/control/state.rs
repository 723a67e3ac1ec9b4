//! What control believes, and what each input does to it.

use super::accused::Accused;
use super::copy::{self, Copy};
use super::input::{Input, Inputs};
use super::loads::Loads;
use super::orders::Orders;
use super::reader;
use super::readers::Part;
use super::tables::Tables;
use super::{Control, STEP};
use crate::hosted::settings::Settings;
use adapter::Platform;
use adapter::report::{Control as Engine, Report};
use adapter::store::Table;
use catalog::Endpoint;
use catalog::endpoint::Run;
use catalog::source::Page;
use gate::metrics::Metrics;
use gate::view::{Board, View};
use journal::Journal;
use journal::event::Event as Told;
use member::action::Action;
use member::event::Event;
use member::group::Group;
use member::identity::Identity;
use member::item::{Body, Key};
use member::peer::{Entry, Standing};
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::Fleet;
use steer::note::Note;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::frame::{CopyAsk, Status};
use wire::peer::{Inbound, Link};

/// Time after the start in which no orders are given: nodes that started together find each other.
const SETTLE: Duration = Duration::from_millis(700);
/// How often a peer is asked for its copy while the store can't be read.
const COPY: Duration = Duration::from_millis(300);
/// How often the metrics of what is believed are set.
const MEASURE: Duration = Duration::from_secs(1);
/// How often copies and loads are taken from peers.
const PULL: Duration = Duration::from_millis(350);
/// Time without an up-to-date copy after which a node reads the store by itself: three pulls.
const UNHEARD: Duration = Duration::from_millis(1000);
/// How long a finding of one node counts: until the endpoint has been tried again a few times.
const ACCUSED: Duration = Duration::from_millis(2500);
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
    board: Board,
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
    loads: Loads,
    /// Clients of engines that this node asks.
    engines: BTreeMap<SocketAddr, Arc<Engine>>,
    /// When a peer last gave a copy that was up to date.
    heard: Instant,
    pulled: Instant,
    copied: Instant,
    measured: Instant,
    metrics: Metrics,
    leaving: bool,
    /// Whether something changed that the worker must know.
    dirty: bool,
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
            loads: Loads::default(),
            engines: BTreeMap::new(),
            heard: Instant::now(),
            pulled: Instant::now(),
            copied: Instant::now(),
            measured: Instant::now(),
            metrics: control.metrics,
            leaving: false,
            dirty: false,
            reported: false,
            settings,
        };
        let callers = Body::Callers {
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
            Input::Copy(table, copy) => self.copied(now, table, copy),
            Input::Loads(bytes) => match self.loads.take(now, &bytes) {
                Ok(new) => self.reported |= new,
                Err(error) => log::warn!("a peer's loads can't be read: {error}"),
            },
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
            self.dirty = true;
            self.handle(Event::Publish(vec![Body::Leaving]));
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
    fn note(&mut self, note: Note) {
        let (run, ejected) = match &note {
            Note::Down(run) => (run, true),
            Note::Up(run) => (run, false),
        };
        self.journal.tell(Told::Endpoint {
            run: run.to_string(),
            state: if ejected {
                "fails here"
            } else {
                "does well here"
            }
            .to_owned(),
            offset: self.tables.next(Table::Endpoints),
        });
        let body = Body::Endpoint {
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
            self.journal.tell(Told::Dependency {
                name: table_name(table),
                up: true,
                detail: format!("away for {} ms", away.as_millis()),
            });
        }
        self.dirty |= self.tables.take(&self.platform, table, page, "store");
    }

    /// Finds this node's part in reading the store and asking engines.
    fn share(&mut self, now: Instant) {
        self.part = Part::of(&self.group, &self.settings.zone);
        // A node whose readers don't answer, or can't read the store, tries it by itself.
        let reads = self.part.reads || now >= self.heard + UNHEARD;
        self.reads
            .send_if_modified(|r| std::mem::replace(r, reads) != reads);
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
                .belief(version, endpoints, reader::name(table), age);
        }
    }

    /// Takes from peers what they read and ask for this node.
    fn pull(&mut self, now: Instant) {
        if now < self.pulled + PULL {
            return;
        }
        self.pulled = now;
        if self.part.reads {
            for &poller in &self.part.pollers {
                self.ask_loads(poller);
            }
            return;
        }
        if let Some(&reader) = self.part.readers.choose(&mut rand::rng()) {
            for table in [Table::Operator, Table::Endpoints] {
                self.ask_copy(reader, table);
            }
            self.ask_loads(reader);
        }
    }

    /// A peer gave a copy.
    fn copied(&mut self, now: Instant, table: Table, copy: Copy) {
        if copy.fresh && !self.part.reads {
            self.heard = now;
            self.tables.read(now);
            let reading = self.reading(table);
            reading.lost = None;
            reading.known = Some(now);
        }
        self.dirty |= self.tables.take(&self.platform, table, copy.page, "peer");
    }

    fn ask_loads(&self, peer: SocketAddr) {
        let ask = CopyAsk {
            table: copy::LOADS,
            from: 0,
        };
        let (link, inputs) = (self.link.clone(), self.inputs.clone());
        tokio::spawn(async move {
            // A peer that does not answer is asked again.
            if let Ok(Some(bytes)) = link.copy(peer, ask).await {
                // Control has ended if nobody takes it.
                let _ = inputs.send(Input::Loads(bytes)).await;
            }
        });
    }

    /// Asks the engines that are this node's to ask.
    fn poll(&mut self, now: Instant) {
        self.loads.expire(now);
        if self.leaving || self.tables.catalog().is_none() {
            return;
        }
        let endpoints = self.tables.endpoints();
        let own = endpoints.filter(|e| e.kind.is_some() && self.part.asks(&e.zone));
        let own: Vec<Endpoint> = own.cloned().collect();
        self.engines
            .retain(|addr, _| own.iter().any(|e| e.addr == *addr));
        for endpoint in own {
            if !self.loads.due(now, &endpoint.run.to_string()) {
                continue;
            }
            let engine = self.engines.entry(endpoint.addr);
            let engine = engine.or_insert_with(|| Arc::new(Engine::new(endpoint.addr)));
            let (engine, inputs) = (engine.clone(), self.inputs.clone());
            tokio::spawn(async move {
                // Silence is told by the missing report.
                let report = engine.report().await.ok();
                // Control has ended if nobody takes it.
                let _ = inputs.send(Input::Report(endpoint.run, report)).await;
            });
        }
    }

    fn take_report(&mut self, now: Instant, run: Run, report: Option<Report>) {
        let Some(report) = report else {
            return self.loads.missed(now, &run.to_string());
        };
        // Another run has the address by now; its own row will tell of it.
        if report.born != 0 && run.born != 0 && report.born != run.born {
            return;
        }
        self.loads.reported(now, &run.to_string(), &report);
        self.reported = true;
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
        self.journal.tell(Told::Dependency {
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

    /// Asks peers for their copies while the store can't be read.
    fn copy(&mut self, now: Instant) {
        let lost = self.operator.lost.is_some() || self.endpoints.lost.is_some();
        if !lost || now < self.copied + COPY {
            return;
        }
        self.copied = now;
        let me = self.group.me();
        let peers: Vec<SocketAddr> = self
            .group
            .open()
            .filter(|p| p.id != me)
            .map(|p| p.identity.addr)
            .collect();
        for &peer in peers.sample(&mut rand::rng(), ASKED) {
            // One table that can't be read means that the other is about to be late as well.
            for table in [Table::Operator, Table::Endpoints] {
                self.ask_copy(peer, table);
            }
        }
    }

    fn ask_copy(&self, peer: SocketAddr, table: Table) {
        let ask = CopyAsk {
            table: copy::number(table),
            from: self.tables.next(table),
        };
        let (link, inputs) = (self.link.clone(), self.inputs.clone());
        tokio::spawn(async move {
            // A peer that does not answer is asked again, or another one.
            let Ok(Some(bytes)) = link.copy(peer, ask).await else {
                return;
            };
            match copy::decode(&bytes) {
                Ok(copy) => {
                    // Control has ended if nobody takes it.
                    let _ = inputs.send(Input::Copy(table, copy)).await;
                }
                Err(error) => log::warn!("a copy from {peer} can't be read: {error}"),
            }
        });
    }

    fn offer(&self, ask: CopyAsk) -> Option<Vec<u8>> {
        let encoded = match copy::table(ask.table) {
            Some(table) => copy::encode(&self.own_copy(table, ask.from)),
            None if ask.table == copy::LOADS => self.loads.encode(Instant::now()),
            None => return None,
        };
        match encoded {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::warn!("a copy can't be given: {error}");
                None
            }
        }
    }

    /// What this node has of a table, from an offset on.
    fn own_copy(&self, table: Table, from: u64) -> Copy {
        let reading = match table {
            Table::Operator => &self.operator,
            Table::Endpoints => &self.endpoints,
        };
        Copy {
            page: self.tables.copy(table).since(from),
            fresh: self.part.reads && reading.known.is_some() && reading.lost.is_none(),
        }
    }

    /// Gives orders if that is this node's part.
    fn order(&mut self, now: Instant) {
        if self.leaving || now < self.start + SETTLE {
            return;
        }
        if !self.part.first {
            return;
        }
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let accused = &self.accused;
        let living = self.tables.endpoints();
        let living = living.filter(|e| !accused.lost(now, &e.run.to_string()));
        let living: Vec<Endpoint> = living.map(|e| self.loads.overlay(now, e)).collect();
        self.orders.step(now, catalog, living.iter());
    }

    fn inbound(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Member { from, message } => self.handle(Event::Frame { from, message }),
            // Heads belong to nodes that read signed bundles from a log.
            Inbound::Head { reply, .. } => {
                let _ = reply.send(None);
            }
            Inbound::Copy { ask, reply } => {
                let _ = reply.send(self.offer(ask));
            }
            Inbound::Status { reply } => {
                let _ = reply.send(Status {
                    number: self.tables.catalog().map_or(0, |c| c.version),
                    incarnation: self.incarnation,
                    leaving: self.leaving,
                    ..Status::default()
                });
            }
            Inbound::Unreached(addr) => {
                let peers = self.group.roster().iter();
                let gone: Vec<_> = peers
                    .filter(|p| p.identity.addr == addr)
                    .map(|p| p.id)
                    .collect();
                for peer in gone {
                    self.handle(Event::Unreached(peer));
                }
            }
        }
    }

    /// Gives the group an event and does what it asks for.
    fn handle(&mut self, event: Event) {
        let now = self.start.elapsed();
        let mut actions = std::mem::take(&mut self.actions);
        self.group.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, message, .. } => {
                // A full queue is counted by the link; gossip repeats itself.
                let _ = self.link.send(to, message);
            }
            Action::Changed { peer, state, .. } => {
                self.dirty = true;
                let row = self.group.roster().get(peer);
                let name = row.map_or("?", |p| p.identity.name.as_str()).to_owned();
                let state = format!("{state:?}");
                self.journal.tell(Told::Node { name, state });
            }
            Action::Learned(_) => self.dirty = true,
            Action::Newer { .. } => {}
        }
    }

    /// Seeds stand for nodes whose names are not known; they tell them when asked who they are.
    fn seeds(&self) -> Vec<Entry> {
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.filter(|addr| **addr != self.settings.peers);
        seeds
            .map(|addr| Entry {
                name: format!("seed-{addr}"),
                addr: *addr,
                zone: self.settings.zone.clone(),
                region: self.settings.region.clone(),
                standing: Standing::Live,
            })
            .collect()
    }

    /// Where callers reach the nodes that take new work.
    fn nodes(&self) -> Vec<SocketAddr> {
        let me = self.group.me();
        let peers = self.group.open().filter(|p| p.id != me);
        let callers = peers.filter_map(|p| {
            let slot = self.group.store().get(p.id, &Key::Callers)?;
            match slot.body {
                Body::Callers { addr, .. } => Some(addr),
                _ => None,
            }
        });
        let own = (!self.leaving).then_some(self.settings.callers);
        own.into_iter().chain(callers).collect()
    }

    /// Nodes that the budget for further attempts is shared with.
    fn sharers(&self) -> usize {
        let peers = self.group.roster().iter();
        peers
            .filter(|p| p.state != member::peer::State::Left)
            .count()
    }

    /// Publishes a view if anything changed.
    fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let now = Instant::now();
        self.accuse(now);
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let nodes = self.nodes();
        let endpoints = self.tables.endpoints();
        let endpoints: Vec<Endpoint> = endpoints.map(|e| self.loads.overlay(now, e)).collect();
        let view = View {
            fleet: Fleet {
                catalog: catalog.clone(),
                endpoints: Arc::new(endpoints),
                loads: Arc::new(self.loads.view(now, self.start)),
                accused: self.accused.now(),
                nodes: nodes.len().max(1),
                sharers: self.sharers(),
            },
            nodes,
            leaving: self.leaving,
        };
        self.board.store(Some(Arc::new(view)));
    }
}

fn table_name(table: Table) -> String {
    format!("store, table {}", reader::name(table))
}

const _: () = assert!(STEP.as_millis() <= member::event::TICK.as_millis());
