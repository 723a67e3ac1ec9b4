//! A request worker: one thread with its own runtime, router, connection pool and listener.

use crate::core::{self, ControlEvent, Core, Reports, Rx, Tx, WorkerEvent};
use crate::handler::{self, Shared};
use crate::limits::{Limits, RequestLimits};
use crate::metrics::Metrics;
use crate::ring;
use crate::server::{Server, Shutdown};
use crate::snapshot::SharedSnapshot;
use crate::tls::ReloadableConfig;
use engine::pool::Pool;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::router::Router;
use route::settings::Settings;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use viz::Tree;
use wire::auth::Key;

/// A request worker that has not started yet.
pub struct Worker {
    /// Number of the worker within the node.
    pub number: usize,
    /// The listener for callers; all workers listen on the same address.
    pub listener: std::net::TcpListener,
    /// Limits of the listener.
    pub limits: Limits,
    /// Defaults and limits of callers' requests.
    pub request_limits: RequestLimits,
    /// Seconds for which callers may cache a list of addresses.
    pub address_ttl: u64,
    /// Settings of the router.
    pub route: Settings,
    /// Seed of the router.
    pub seed: u64,
    /// TLS configuration of the listener, if it uses TLS.
    pub tls: Option<Arc<ReloadableConfig>>,
    /// Key that all nodes share; marks requests that a node forwards.
    pub peer_key: Key,
    /// The snapshot that the control thread publishes.
    pub shared_snapshot: SharedSnapshot,
    /// Counters of the request path.
    pub metrics: Metrics,
    /// Receives events from the control thread.
    pub control_events: ring::Receiver<ControlEvent>,
    /// Sends events to the control thread.
    pub worker_events: ring::Sender<WorkerEvent>,
    /// Receives the router's counters.
    pub reports: Reports,
    /// Tokens that shut the listener down.
    pub shutdown: Shutdown,
}

/// A started worker.
pub struct Handle {
    /// Sends commands to the worker's core.
    pub tx: Tx,
    /// Thread of the worker.
    pub thread: JoinHandle<io::Result<()>>,
}

impl Worker {
    /// Starts the worker's thread.
    pub fn start(self) -> io::Result<Handle> {
        let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
        let name = format!("worker-{}", self.number);
        let commands = tx.clone();
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(move || self.thread(commands, rx))?;
        Ok(Handle { tx, thread })
    }

    fn thread(self, tx: Tx, rx: Rx) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.serve(tx, rx))
    }

    async fn serve(self, tx: Tx, rx: Rx) -> io::Result<()> {
        let start = Instant::now();
        let listener = TcpListener::from_std(self.listener)?;
        let pool = Pool::default();
        let core = Core::new(core::Parts {
            router: Router::new(self.seed, self.route),
            shared_snapshot: self.shared_snapshot.clone(),
            pool: pool.clone(),
            tx: tx.clone(),
            worker_events: self.worker_events,
            metrics: self.metrics.clone(),
            start,
            reports: self.reports,
        });
        // The core outlives the listener: requests in flight need it until they end, and some go on
        // after their connection.
        let end = CancellationToken::new();
        let running = tokio::spawn(core.run(rx, self.control_events, end.clone()));
        let shared = Shared {
            tx,
            peer_key: self.peer_key,
            shared_snapshot: self.shared_snapshot,
            pool,
            limits: self.limits.clone(),
            request_limits: self.request_limits,
            address_ttl: self.address_ttl,
            metrics: self.metrics.clone(),
            start,
            rng: Mutex::new(StdRng::seed_from_u64(self.seed)),
        };
        let server = Server {
            listener,
            tree: Arc::new(Tree::from(handler::routes(Arc::new(shared)))),
            limits: self.limits,
            tls: self.tls,
            metrics: self.metrics,
        };
        let kill = self.shutdown.kill.clone();
        server.run(self.shutdown).await;
        end.cancel();
        tokio::select! {
            () = kill.cancelled() => {}
            _ = running => {}
        }
        Ok(())
    }
}
