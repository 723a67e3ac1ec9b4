//! Runs a worker with scripted endpoints on the loopback interface.
#![allow(dead_code)]

pub mod caller;
pub mod dialect;
pub mod isolation;
pub mod server;

use arc_swap::ArcSwapOption;
use caller::{Received, request, send};
use catalog::endpoint::{Endpoint, Run, Span, State};
use catalog::engine::{Accelerator, Engine, Size};
use catalog::kind::{Kind, Stream};
use catalog::limits::Limits;
use catalog::raw::{Route, Share, Tables, Team};
use catalog::service::Service;
use catalog::{Catalog, Layer};
use dialect::Plain;
use gate::listener::{self, Port, Stop};
use gate::metrics::Metrics;
use gate::view::{SharedView, View};
use gate::worker::{Parts, Worker};
use journal::Journal;
use prometheus::Registry;
use server::{Behavior, Server};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::Fleet;
use steer::budget::Allowance;
use steer::transition::Transition;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};

/// A node under test.
pub struct Node {
    /// Address for callers.
    pub addr: SocketAddr,
    pub worker: Rc<Worker<Plain>>,
    pub shared_view: SharedView,
    /// Wakes the worker when a view with other ended runs was stored.
    pub changed: watch::Sender<u64>,
    pub stop: Stop,
    /// What the worker reported to the control task.
    pub transitions: Rc<RefCell<Vec<Transition>>>,
}

/// Memory of the machine of a node in bytes.
const MEMORY_BYTES: usize = 260 << 20;
/// Number of layers of the model.
pub const LAYERS: Layer = 4;

fn engine() -> Engine {
    Engine {
        layers: LAYERS,
        layer_bytes: 1e9,
        kv_bytes_per_token: 1e6,
        activation_bytes: 1.0,
        step_time: Duration::from_millis(1),
        step_time_per_request: Duration::ZERO,
        step_time_per_1k_context: Duration::ZERO,
        prefill_rate: 1e5,
        prefill_chunk: None,
        prefill_ms_per_1m_pairs: 0.0,
        steps_per_event: 1,
        load_time: Duration::from_secs(1),
        parallel_loads: 4,
        slots: 100,
        inter_zone_bps: 1e12,
        accelerators: vec![Accelerator {
            name: "card".to_owned(),
            memory_bytes: 10e9,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
        typical_size: Size {
            prompt: 10,
            answer: 10,
        },
        delays: Vec::new(),
    }
}

fn route(name: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(400),
        priority: 1,
        split: vec![Share {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
    }
}

pub fn tables() -> Tables {
    let stream = Kind::Stream(Stream {
        resumable: true,
        pause: Some(Duration::from_millis(250)),
    });
    Tables {
        version: 1,
        routes: vec![
            route("safe", Kind::Idempotent, "plain"),
            route("once", Kind::AtMostOnce, "plain"),
            route("chat", stream, "model"),
        ],
        services: vec![
            Service {
                name: "plain".to_owned(),
                max_connections: 10,
                engine: None,
            },
            Service {
                name: "model".to_owned(),
                max_connections: 10,
                engine: Some(engine()),
            },
        ],
        teams: Some(vec![Team {
            name: "north".to_owned(),
            keys: vec!["k1".to_owned()],
            priority: None,
        }]),
        limits: Limits::default(),
    }
}

/// Adds a second team with the key `k2`, so that requests wait in a queue.
pub fn with_second_team(mut tables: Tables) -> Tables {
    let south = Team {
        name: "south".to_owned(),
        keys: vec!["k2".to_owned()],
        priority: None,
    };
    tables.teams.get_or_insert_default().push(south);
    tables
}

/// Lets a request take so much memory of an engine that each holds one: 80 token-layers of 120.
pub fn with_room_for_one(mut tables: Tables) -> Tables {
    let engines = tables.services.iter_mut().filter_map(|s| s.engine.as_mut());
    engines.for_each(|engine| engine.kv_bytes_per_token = 5e7);
    tables
}

fn catalog() -> Arc<Catalog> {
    Arc::new(Catalog::try_from(tables()).unwrap())
}

/// Returns the same view with the next catalog version, which lists the services in reverse order.
pub fn with_services_reordered(mut view: View) -> View {
    let mut tables = tables();
    tables.version += 1;
    tables.services.reverse();
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    view
}

/// Returns the same view with the next catalog version, whose streams can't be resumed.
pub fn with_unresumable_streams(mut view: View) -> View {
    let mut tables = tables();
    tables.version += 1;
    let kinds = tables.routes.iter_mut().map(|r| &mut r.kind);
    kinds.for_each(|kind| {
        if let Kind::Stream(stream) = kind {
            stream.resumable = false;
        }
    });
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    view
}

/// Returns the same view with the next catalog version, which has other limits.
pub fn with_limits(mut view: View, limits: Limits) -> View {
    let mut tables = tables();
    tables.version += 1;
    tables.limits = limits;
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    view
}

/// Returns the same view with the next catalog version, which states the prefill chunk of engines.
pub fn with_chunk(mut view: View) -> View {
    let mut tables = tables();
    tables.version += 1;
    let engines = tables.services.iter_mut().filter_map(|s| s.engine.as_mut());
    engines.for_each(|e| e.prefill_chunk = Some(512));
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    view
}

/// Creates an endpoint of the service without an engine.
pub fn plain(addr: SocketAddr) -> Endpoint {
    Endpoint {
        run: Run {
            id: format!("i-{}", addr.port()),
            started_at: 1,
        },
        service: "plain".to_owned(),
        addr,
        zone: "a".to_owned(),
        slots: 10,
        state: State::Ready,
        accelerator: None,
        span: Span::default(),
    }
}

/// Creates an endpoint that holds the layers `from..to` of the model.
pub fn stage(addr: SocketAddr, from: Layer, to: Layer) -> Endpoint {
    Endpoint {
        service: "model".to_owned(),
        accelerator: Some("card".to_owned()),
        span: Span { from, to },
        ..plain(addr)
    }
}

/// Creates a view with these endpoints.
pub fn view(endpoints: Vec<Endpoint>) -> View {
    View {
        fleet: Fleet {
            catalog: catalog(),
            endpoints: Arc::new(endpoints),
            nodes: 1,
            budget_nodes: 1,
            ..Fleet::default()
        },
        nodes: vec![([127, 0, 0, 1], 9).into()],
        relays: Vec::new(),
        leaving: false,
        crashes: Arc::default(),
    }
}

/// Starts a node without a view; tests publish one through `shared_view`.
pub async fn start(allowance: Allowance) -> Node {
    start_with(allowance, Journal::disabled()).await
}

/// Like [`start`], with a journal.
pub async fn start_with(allowance: Allowance, journal: Journal) -> Node {
    start_on(MEMORY_BYTES, allowance, journal).await
}

/// Like [`start_with`], on a machine with this memory in bytes.
pub async fn start_on(memory_bytes: usize, allowance: Allowance, journal: Journal) -> Node {
    let shared_view: SharedView = Arc::new(ArcSwapOption::empty());
    let (transitions, mut received) = mpsc::channel(64);
    let reported: Rc<RefCell<Vec<Transition>>> = Rc::default();
    let list = reported.clone();
    tokio::task::spawn_local(async move {
        while let Some(transition) = received.recv().await {
            list.borrow_mut().push(transition);
        }
    });
    let (changed, _) = watch::channel(0);
    let (dumps, _) = mpsc::channel(1);
    let worker = Worker::new(Parts {
        memory_bytes,
        metrics: Metrics::new(&opentelemetry::global::meter("test"), Registry::new()),
        dumps,
        dialect: Plain,
        shared_view: shared_view.clone(),
        changes: changed.subscribe(),
        journal,
        allowance,
        seed: 1,
        transitions,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stop = Stop::default();
    let running = listener::run(worker.clone(), listener, Port::Callers, 100, stop.clone());
    tokio::task::spawn_local(running);
    Node {
        addr,
        worker,
        shared_view,
        changed,
        stop,
        transitions: reported,
    }
}

/// Starts a node with a view of these endpoints.
pub async fn node(endpoints: Vec<Endpoint>) -> Node {
    let node = start(ALLOWANCE).await;
    node.shared_view.store(Some(Arc::new(view(endpoints))));
    node
}

/// Returns the function that creates the endpoints which serve a path.
pub fn endpoint_for(path: &str) -> impl Fn(&Server) -> Endpoint + use<> {
    let endpoint = endpoint_at(path);
    move |server| endpoint(server.addr)
}

/// Like [`endpoint_for`], by address.
pub fn endpoint_at(path: &str) -> fn(SocketAddr) -> Endpoint {
    match path.starts_with("/chat/") {
        true => |addr| stage(addr, 0, LAYERS),
        false => plain,
    }
}

/// Returns an address that refuses connections until the process ends.
pub fn refusing_addr() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let addr = socket.local_addr().unwrap();
    // The address of a listener that was closed may be given to another one.
    std::mem::forget(socket);
    addr
}

/// Waits until an endpoint has received a request.
pub async fn wait_for_request(server: &Server) {
    while server.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Sends a request to the endpoint `first`. Once it has received the request, the endpoints
/// `others` register, in a view that is changed by `change`. Returns the response and the other
/// endpoints.
pub async fn send_with_failover(
    path: &str,
    allowance: Allowance,
    first: Behavior,
    others: Vec<Behavior>,
    change: fn(View) -> View,
) -> (Received, Vec<Server>) {
    let first = Server::start(vec![first]).await;
    let mut servers = Vec::new();
    for behavior in others {
        servers.push(Server::start(vec![behavior]).await);
    }
    let node = start(allowance).await;
    let only = view(vec![endpoint_for(path)(&first)]);
    node.shared_view.store(Some(Arc::new(only)));
    let sending = send(node.addr, request(path));
    let registered = async {
        wait_for_request(&first).await;
        let all = std::iter::once(&first).chain(&servers);
        let all = view(all.map(endpoint_for(path)).collect());
        node.shared_view.store(Some(Arc::new(change(all))));
    };
    let (response, ()) = tokio::join!(sending, registered);
    (response, servers)
}

/// A retry budget that is large enough for every test.
pub const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 100.0,
    window: Duration::from_secs(10),
};

/// Runs a test on a single thread, as a worker does.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Returns the next view after the operator removed all routes, services and teams, and all
/// endpoints left.
pub fn with_all_removed(mut view: View) -> View {
    let mut tables = tables();
    tables.version += 1;
    tables.routes.clear();
    tables.services.clear();
    tables.teams = Some(Vec::new());
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    view.fleet.endpoints = Arc::default();
    view
}
