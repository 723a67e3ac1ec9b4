//! What an engine's tasks share.

use super::cache::Cache;
use super::counts::{Counters, Ledger};
use super::fault::Fault;
use super::lanes::Lanes;
use super::{Config, Span};
use engine::frame::{Open, Reason};
use engine::load::Report;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle as Runtime;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A load report and when it was made.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) report: Report,
    pub(super) made: Instant,
}

/// A range that is held, or will be.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) span: Span,
    pub(super) ready_at: Instant,
}

/// State of an engine through all its lives.
#[derive(Debug)]
pub(super) struct State {
    pub(super) addr: SocketAddr,
    pub(super) config: Config,
    pub(super) fault: Fault,
    pub(super) counters: Counters,
    pub(super) ledger: Ledger,
    pub(super) cache: Mutex<Cache>,
    pub(super) lanes: Arc<Lanes>,
    pub(super) silence: Arc<AtomicBool>,
    pub(super) held: Mutex<Vec<Held>>,
    pub(super) fence: AtomicU64,
    pub(super) snapshot: Mutex<Option<Snapshot>>,
    /// Mean time between two steps of one request, in nanoseconds.
    pub(super) inter_token: AtomicU64,
    pub(super) runtime: Runtime,
    running: AtomicUsize,
    life: Mutex<CancellationToken>,
    open: Mutex<Vec<Weak<AtomicBool>>>,
}

/// A request's hold on the engine.
#[derive(Debug)]
pub(super) struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    pub(super) fn new(addr: SocketAddr, mut config: Config) -> Self {
        config.activation = config.activation.max(super::kv::WORD);
        let batch = if config.batch == 0 {
            config.slots
        } else {
            config.batch
        };
        let now = Instant::now();
        let held = config.models.iter().cloned().map(|span| Held {
            span,
            ready_at: now,
        });
        Self {
            addr,
            fault: Fault::default(),
            counters: Counters::default(),
            ledger: Ledger::new(config.ledger),
            cache: Mutex::new(Cache::new(config.prefix_blocks, config.event_loss)),
            lanes: Lanes::new(batch.max(1)),
            silence: Arc::default(),
            held: Mutex::new(held.collect()),
            fence: AtomicU64::new(0),
            snapshot: Mutex::new(None),
            inter_token: AtomicU64::new(0),
            runtime: Runtime::current(),
            running: AtomicUsize::new(0),
            life: Mutex::default(),
            open: Mutex::default(),
            config,
        }
    }

    /// Reserves a slot, or says why not.
    pub(super) fn admit(
        self: &Arc<Self>,
        open: &Open,
    ) -> Result<(Slot, Span), (Reason, Option<Duration>)> {
        if self.fault.leaving.load(Ordering::SeqCst) {
            return Err((Reason::Leaving, None));
        }
        let span = self.find(open).ok_or((Reason::Unfit, None))?;
        let busy = (Reason::Busy, Some(Duration::from_millis(50)));
        if self.fault.busy.load(Ordering::SeqCst) {
            return Err(busy);
        }
        let more = |running| (running < self.config.slots).then_some(running + 1);
        let taken = self
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, more);
        taken.map(|_| (Slot(self.clone()), span)).map_err(|_| busy)
    }

    fn find(&self, open: &Open) -> Option<Span> {
        let now = Instant::now();
        let held = lock(&self.held);
        let fits = |held: &&Held| {
            let Span {
                model,
                version,
                from,
                to,
                adapters,
                ..
            } = &held.span;
            let adapter = |name: &String| adapters.as_ref().is_none_or(|all| all.contains(name));
            held.ready_at <= now
                && (model, version) == (&open.model, &open.version)
                && *from <= open.from
                && open.to <= *to
                && open.adapter.as_ref().is_none_or(adapter)
        };
        held.iter().find(fits).map(|held| held.span.clone())
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    pub(super) fn spans(&self) -> Vec<Span> {
        lock(&self.held)
            .iter()
            .map(|held| held.span.clone())
            .collect()
    }

    /// The current life; its end closes all that belongs to it.
    pub(super) fn life(&self) -> CancellationToken {
        lock(&self.life).clone()
    }

    /// Begins a new life, with nothing cached.
    pub(super) fn revive(&self) -> CancellationToken {
        let life = CancellationToken::new();
        *lock(&self.life) = life.clone();
        lock(&self.cache).clear();
        life
    }

    pub(super) fn die(self: &Arc<Self>) {
        let life = self.life();
        if life.is_cancelled() {
            return;
        }
        Counters::add(&self.counters.deaths);
        life.cancel();
        let Some(after) = self.config.restart_after else {
            return;
        };
        let state = self.clone();
        self.runtime.spawn(async move {
            tokio::time::sleep(after).await;
            let _ = super::server::restart(&state).await;
        });
    }

    /// A switch for a new connection's silence.
    pub(super) fn connection(&self) -> Arc<AtomicBool> {
        let silence = Arc::new(AtomicBool::new(false));
        let mut open = lock(&self.open);
        open.retain(|other| other.strong_count() > 0);
        open.push(Arc::downgrade(&silence));
        silence
    }

    pub(super) fn silence_open(&self) {
        let open = lock(&self.open);
        let live = open.iter().filter_map(Weak::upgrade);
        live.for_each(|silence| silence.store(true, Ordering::SeqCst));
    }
}

/// Locks, also after a panic elsewhere: the data are counts and settings, whole at any time.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
