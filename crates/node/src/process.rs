//! Starts, drains and stops the threads of a node.
//!
//! A graceful shutdown has three phases. First, nodes no longer offer this node's address to
//! callers, and it asks connected callers to reconnect elsewhere. It still accepts new connections
//! and requests, because callers cache addresses for a while. After the drain time it accepts no
//! more connections and finishes the requests in flight. Requests are given up only when the finish
//! timeout elapses or a second signal arrives; each of them gets an answer that says what is known of it.

use crate::control::{self, Control};
use crate::gauges;
use crate::settings::{Listener, Settings};
use entry::admin;
use entry::core::{Command, Reports, Tx};
use entry::listener;
use entry::metrics::{Metrics, RingOverflows};
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

/// Time for the answers to requests that are given up.
const ABORT_TIME: Duration = Duration::from_millis(250);
/// Interval at which a draining node checks whether its workers have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity, in events, of each ring between control and a worker.
const RING_CAPACITY: usize = 4096;

/// Signals that stop the parts of a node.
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignals {
    /// Stops the callers' listeners and the workers.
    pub serving: Shutdown,
    /// Cancelled when the node begins to leave.
    pub leave: CancellationToken,
    /// Cancelled when control and the admin listener stop, which is after the workers have ended.
    pub control: CancellationToken,
}

/// A running node.
pub struct Process {
    /// Name of the node.
    pub name: String,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the listener for other nodes.
    pub peers: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    shutdown: ShutdownSignals,
    workers: Vec<JoinHandle<std::io::Result<()>>>,
    /// Send commands to the workers' cores.
    cores: Vec<Tx>,
    other_threads: Vec<JoinHandle<Result<()>>>,
    drain_time: Duration,
    finish_timeout: Duration,
}

impl Process {
    /// Starts a node. All its listeners are bound when this returns.
    pub fn start(settings: Settings) -> Result<Self> {
        let shutdown = ShutdownSignals::default();
        let registry = Registry::new();
        let provider = meter_provider(&registry)?;
        let meter = provider.meter("wigeonshelf");
        let metrics = Metrics::new(&meter);
        let (request_tx, requests) = mpsc::channel(admin::MAX_PENDING_REQUESTS);
        let admin_listener = listener::open(settings.admin.listen)
            .wrap_err_with(|| format!("admin listener {}", settings.admin.listen))?;
        let (reserved, callers) = listener::reserve(settings.callers.listen)
            .wrap_err_with(|| format!("callers' listener {}", settings.callers.listen))?;
        let incarnation = incarnation();
        let seeds = Seeds::new(&settings.node.name, incarnation);
        let tls = open_tls(&settings.callers)?;
        let admin_tls = open_tls(&settings.admin)?;
        let mut workers = Vec::new();
        let mut rings = Vec::new();
        let mut overflows = RingOverflows::default();
        let mut shared_snapshots = Vec::new();
        let mut reports = Vec::new();
        for number in 0..settings.node.workers {
            let (worker_event_tx, worker_events) = entry::ring::ring(RING_CAPACITY);
            let (control_events, control_event_rx) = entry::ring::ring(RING_CAPACITY);
            overflows.to_control.push(worker_event_tx.overflows());
            overflows.to_worker.push(control_events.overflows());
            rings.push(control::WorkerRings {
                control_events,
                worker_events,
            });
            let shared_snapshot = SharedSnapshot::default();
            shared_snapshots.push(shared_snapshot.clone());
            let report = Reports::default();
            reports.push(report.clone());
            let worker = Worker {
                number,
                listener: listener::open(callers)?,
                limits: settings.callers.limits.clone(),
                request_limits: settings.request_limits.clone(),
                address_ttl: settings.node.address_ttl.as_secs(),
                route: settings.route.clone(),
                seed: seeds.worker(number),
                tls: tls.clone(),
                peer_key: settings.peers.key.clone(),
                shared_snapshot,
                metrics: metrics.clone(),
                control_events: control_event_rx,
                worker_events: worker_event_tx,
                reports: report,
                shutdown: shutdown.serving.clone(),
            };
            workers.push(worker.start()?);
        }
        drop(reserved);
        gauges::register(&meter, reports);
        overflows.register(&meter);
        let admin_addr = admin_listener.local_addr()?;
        let cores: Vec<Tx> = workers.iter().map(|w| w.tx.clone()).collect();
        let admin_parts = AdminParts {
            listener: admin_listener,
            settings: settings.admin.clone(),
            control: request_tx,
            workers: cores.clone(),
            registry,
            metrics: metrics.clone(),
            tls: admin_tls.clone(),
        };
        let admin_thread = start_admin(admin_parts, &shutdown)?;
        let control = Control {
            settings: settings.clone(),
            callers,
            incarnation,
            seed: seeds.control(),
            shared_snapshots,
            requests,
            workers: rings,
            shutdown: shutdown.clone(),
            tls: tls.into_iter().chain(admin_tls).collect(),
            provider,
        };
        let (peers, control_thread) = control.start()?;
        Ok(Self {
            name: settings.node.name,
            callers,
            peers,
            admin: admin_addr,
            shutdown,
            workers: workers.into_iter().map(|w: Handle| w.thread).collect(),
            cores,
            other_threads: vec![admin_thread, control_thread],
            drain_time: settings.node.drain_time,
            finish_timeout: settings.node.finish_timeout,
        })
    }

    /// Returns the signals that stop the parts of the node.
    pub fn shutdown(&self) -> ShutdownSignals {
        self.shutdown.clone()
    }

    /// Drains the node as described in the module documentation. Completes when the workers have
    /// finished or the finish timeout has elapsed.
    pub async fn leave(&self) {
        self.shutdown.leave.cancel();
        self.shutdown.serving.drain.cancel();
        tokio::time::sleep(self.drain_time).await;
        self.shutdown.serving.close.cancel();
        let deadline = tokio::time::Instant::now() + self.finish_timeout;
        while !self.workers_finished() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Gives up the requests in flight: each gets an answer that says what is known of it. Completes when the
    /// answers were written, or after a time.
    pub async fn abort(&self) {
        self.shutdown.serving.drain.cancel();
        self.shutdown.serving.close.cancel();
        for core in &self.cores {
            // Fails only if the worker has ended.
            let _ = core.send(Command::Abort);
        }
        let deadline = tokio::time::Instant::now() + ABORT_TIME;
        while !self.workers_finished() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the threads of all workers have ended.
    fn workers_finished(&self) -> bool {
        self.workers.iter().all(JoinHandle::is_finished)
    }

    /// Aborts all requests and stops the node at once, as a crash would.
    pub fn kill(&self) {
        self.shutdown.serving.kill.cancel();
        self.shutdown.control.cancel();
    }

    /// Waits until the workers have ended, then stops control and the admin listener.
    pub fn join(self) -> Result<()> {
        for thread in self.workers {
            join_thread(thread)??;
        }
        self.shutdown.control.cancel();
        for thread in self.other_threads {
            join_thread(thread)??;
        }
        Ok(())
    }
}

/// Waits for a thread and turns its panic into an error with its name.
fn join_thread<T>(thread: JoinHandle<T>) -> Result<T> {
    let name = thread.thread().name().unwrap_or("?").to_owned();
    thread
        .join()
        .map_err(|_| eyre::eyre!("thread {name} panicked"))
}

/// Creates a provider of instruments whose values are collected in `registry`.
pub(crate) fn meter_provider(registry: &Registry) -> Result<SdkMeterProvider> {
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

/// Starts the thread of the admin listener. It serves until control stops, so that operators can
/// inspect a node that is leaving.
fn start_admin(parts: AdminParts, shutdown: &ShutdownSignals) -> Result<JoinHandle<Result<()>>> {
    let stop = Shutdown {
        drain: shutdown.control.clone(),
        close: shutdown.control.clone(),
        kill: shutdown.serving.kill.clone(),
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

/// Creates a single-threaded runtime with timers and I/O enabled.
pub fn runtime() -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    Ok(builder.enable_all().build()?)
}

/// Returns the current Unix time in milliseconds, which identifies this run of the process. A
/// restarted process has a higher number.
pub(crate) fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Seeds of the random number generators. They differ between nodes, runs and threads.
struct Seeds(u64);

impl Seeds {
    fn new(name: &str, incarnation: u64) -> Self {
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
