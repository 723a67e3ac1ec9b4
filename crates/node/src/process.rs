//! Starts, drains and ends the threads of a node.
//!
//! Leaving has three steps. The node first leaves the address answers and tells connected callers
//! to go elsewhere, while it serves all that still comes: callers keep an answer for a while. After
//! the drain time it accepts no more connections and finishes every request in flight. Only when the finish time
//! is over, or on a second signal, is anything broken off.

use crate::control::{self, Control};
use crate::gauges;
use crate::settings::{Listener, Settings};
use entry::admin;
use entry::core::{Reports, Tx};
use entry::listener;
use entry::metrics::Metrics;
use entry::server::{Server, Shutdown};
use entry::snapshot::SharedSnapshot;
use entry::tls::ReloadableConfig;
use entry::worker::{Handle, Worker};
use eyre::{Result, WrapErr};
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use viz::Tree;

/// How often the end of the workers is looked for while a node leaves.
const IDLE_CHECK: Duration = Duration::from_millis(20);
/// Values that a ring between control and a worker holds.
const RING: usize = 4096;

/// When the parts of a node end.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// The listeners and the workers.
    pub serving: Shutdown,
    /// The node begins to leave.
    pub leave: CancellationToken,
    /// Control and admin end, after the workers have.
    pub control: CancellationToken,
}

/// A running node.
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its callers' listener.
    pub callers: SocketAddr,
    /// Its listener for other nodes.
    pub peers: SocketAddr,
    /// Its admin listener.
    pub admin: SocketAddr,
    ends: Ends,
    workers: Vec<JoinHandle<std::io::Result<()>>>,
    others: Vec<JoinHandle<Result<()>>>,
    drain: Duration,
    finish: Duration,
}

impl Process {
    /// Starts a node. Every listener is bound when this returns.
    pub fn start(settings: Settings) -> Result<Self> {
        let ends = Ends::default();
        let registry = Registry::new();
        let provider = provider(&registry)?;
        let meter = provider.meter("wigeonshelf");
        let metrics = Metrics::new(&meter);
        let (questions, asked) = mpsc::channel(admin::MAX_PENDING_REQUESTS);
        let admin_listener = listener::open(settings.admin.listen)
            .wrap_err_with(|| format!("admin listener {}", settings.admin.listen))?;
        let (reserved, callers) = listener::reserve(settings.callers.listen)
            .wrap_err_with(|| format!("callers' listener {}", settings.callers.listen))?;
        let incarnation = incarnation();
        let seeds = Seeds::of(&settings.node.name, incarnation);
        let tls = open_tls(&settings.callers)?;
        let admin_tls = open_tls(&settings.admin)?;
        let mut workers = Vec::new();
        let mut rings = Vec::new();
        let mut boards = Vec::new();
        let mut reports = Vec::new();
        for number in 0..settings.node.workers {
            let (notes, noted) = entry::ring::ring(RING);
            let (notices, noticed) = entry::ring::ring(RING);
            rings.push(control::Worker { notices, noted });
            let board = SharedSnapshot::default();
            boards.push(board.clone());
            let report = Reports::default();
            reports.push(report.clone());
            let worker = Worker {
                number,
                listener: listener::open(callers)?,
                limits: settings.callers.limits.clone(),
                request_limits: settings.ask.clone(),
                address_ttl: settings.node.address_ttl.as_secs(),
                route: settings.route.clone(),
                seed: seeds.worker(number),
                tls: tls.clone(),
                shared_snapshot: board,
                metrics: metrics.clone(),
                control_events: noticed,
                worker_events: notes,
                reports: report,
                shutdown: ends.serving.clone(),
            };
            workers.push(worker.start()?);
        }
        drop(reserved);
        gauges::register(&meter, reports);
        let admin_addr = admin_listener.local_addr()?;
        let senders = workers.iter().map(|w| w.tx.clone()).collect();
        let admin_parts = AdminParts {
            listener: admin_listener,
            settings: settings.admin.clone(),
            control: questions,
            workers: senders,
            registry,
            metrics: metrics.clone(),
            tls: admin_tls.clone(),
        };
        let admin_thread = start_admin(admin_parts, &ends)?;
        let control = Control {
            settings: settings.clone(),
            callers,
            incarnation,
            seed: seeds.control(),
            boards,
            asked,
            workers: rings,
            ends: ends.clone(),
            tls: tls.into_iter().chain(admin_tls).collect(),
            provider,
        };
        let (peers, control_thread) = control.start()?;
        Ok(Self {
            name: settings.node.name,
            callers,
            peers,
            admin: admin_addr,
            ends,
            workers: workers.into_iter().map(|w: Handle| w.thread).collect(),
            others: vec![admin_thread, control_thread],
            drain: settings.node.drain,
            finish: settings.node.finish,
        })
    }

    /// When its parts end.
    pub fn ends(&self) -> Ends {
        self.ends.clone()
    }

    /// Leaves: see the module's comment. Ends when nothing is in flight any more, or when the
    /// finish time is over.
    pub async fn leave(&self) {
        self.ends.leave.cancel();
        self.ends.serving.drain.cancel();
        tokio::time::sleep(self.drain).await;
        self.ends.serving.close.cancel();
        let finish = tokio::time::Instant::now() + self.finish;
        while !self.idle() && tokio::time::Instant::now() < finish {
            tokio::time::sleep(IDLE_CHECK).await;
        }
    }

    /// Whether every worker has ended.
    fn idle(&self) -> bool {
        self.workers.iter().all(JoinHandle::is_finished)
    }

    /// Breaks everything off, as a crash would.
    pub fn kill(&self) {
        self.ends.serving.kill.cancel();
        self.ends.control.cancel();
    }

    /// Waits until the workers have ended, then ends the rest.
    pub fn join(self) -> Result<()> {
        for thread in self.workers {
            joined(thread)??;
        }
        self.ends.control.cancel();
        for thread in self.others {
            joined(thread)??;
        }
        Ok(())
    }
}

fn joined<T>(thread: JoinHandle<T>) -> Result<T> {
    let name = thread.thread().name().unwrap_or("?").to_owned();
    thread
        .join()
        .map_err(|_| eyre::eyre!("thread {name} panicked"))
}

/// Gives out instruments whose values `registry` gathers.
pub(crate) fn provider(registry: &Registry) -> Result<SdkMeterProvider> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()?;
    Ok(SdkMeterProvider::builder().with_reader(exporter).build())
}

fn open_tls(listener: &Listener) -> Result<Option<Arc<ReloadableConfig>>> {
    let Some(files) = &listener.tls else {
        return Ok(None);
    };
    Ok(Some(Arc::new(ReloadableConfig::open(files.clone())?)))
}

struct AdminParts {
    listener: std::net::TcpListener,
    settings: Listener,
    control: mpsc::Sender<admin::ControlRequest>,
    workers: Vec<Tx>,
    registry: Registry,
    metrics: Metrics,
    tls: Option<Arc<ReloadableConfig>>,
}

/// The admin listener serves until control ends: an operator can look at a node that leaves.
fn start_admin(parts: AdminParts, ends: &Ends) -> Result<JoinHandle<Result<()>>> {
    let stop = Shutdown {
        drain: ends.control.clone(),
        close: ends.control.clone(),
        kill: ends.serving.kill.clone(),
    };
    let thread = std::thread::Builder::new().name("admin".to_owned());
    Ok(thread.spawn(move || {
        let runtime = runtime()?;
        runtime.block_on(serve_admin(parts, stop))
    })?)
}

async fn serve_admin(parts: AdminParts, stop: Shutdown) -> Result<()> {
    let shared = admin::Shared {
        control: parts.control,
        workers: parts.workers,
        registry: parts.registry,
        limits: parts.settings.limits.clone(),
    };
    let server = Server {
        listener: tokio::net::TcpListener::from_std(parts.listener)?,
        tree: Arc::new(Tree::from(admin::routes(Arc::new(shared)))),
        limits: parts.settings.limits,
        tls: parts.tls,
        metrics: parts.metrics,
    };
    server.run(stop).await;
    Ok(())
}

/// A runtime for one thread.
pub fn runtime() -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    Ok(builder.enable_all().build()?)
}

/// When this process started, in milliseconds of Unix time: a restart has a higher one.
pub(crate) fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Seeds of the generators, different for each node, start and thread.
struct Seeds(u64);

impl Seeds {
    fn of(name: &str, incarnation: u64) -> Self {
        use std::hash::{Hash, Hasher};
        let mut hash = std::hash::DefaultHasher::new();
        name.hash(&mut hash);
        incarnation.hash(&mut hash);
        Self(hash.finish())
    }

    fn control(&self) -> u64 {
        self.0
    }

    fn worker(&self, number: usize) -> u64 {
        self.0.wrapping_add(1 + number as u64)
    }
}
