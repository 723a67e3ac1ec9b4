//! A request worker: one thread with its own runtime, router, connections and listener.

use crate::core::{self, Core, Note, Notice, Reports, Rx, Tx};
use crate::handler::{self, Shared};
use crate::limits::{Ask, Limits};
use crate::metrics::Metrics;
use crate::ring;
use crate::server::{Server, Stop};
use crate::snapshot::Board;
use crate::tls::Store;
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

/// What a worker is made of.
pub struct Worker {
    /// Its number within the node.
    pub number: usize,
    /// The callers' listener; every worker has one of its own on the same address.
    pub listener: std::net::TcpListener,
    /// Bounds of the listener.
    pub limits: Limits,
    /// Bounds of what a caller may ask for.
    pub ask: Ask,
    /// Seconds for which callers may keep an address answer.
    pub address_ttl: u64,
    /// Settings of the router.
    pub route: Settings,
    /// Seed of the router.
    pub seed: u64,
    /// Certificate of the callers' listener.
    pub tls: Option<Arc<Store>>,
    /// Where control publishes.
    pub board: Board,
    /// Counters.
    pub metrics: Metrics,
    /// What control tells.
    pub notices: ring::Receiver<Notice>,
    /// What is told to control.
    pub notes: ring::Sender<Note>,
    /// Where the router's counters are put.
    pub reports: Reports,
    /// When it ends.
    pub stop: Stop,
}

/// A started worker.
pub struct Handle {
    /// Where commands go.
    pub tx: Tx,
    /// Its thread.
    pub thread: JoinHandle<io::Result<()>>,
}

impl Worker {
    /// Starts the thread.
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
            board: self.board.clone(),
            pool: pool.clone(),
            tx: tx.clone(),
            notes: self.notes,
            metrics: self.metrics.clone(),
            start,
            reports: self.reports,
        });
        // The core outlives the listener: requests in flight need it until the last has ended.
        let end = CancellationToken::new();
        let running = tokio::spawn(core.run(rx, self.notices, end.clone()));
        let shared = Shared {
            tx,
            board: self.board,
            pool,
            limits: self.limits.clone(),
            ask: self.ask,
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
        server.run(self.stop).await;
        end.cancel();
        let _ = running.await;
        Ok(())
    }
}
