//! What an engine's tasks share.

use super::cache::Cache;
use super::counts::{Counters, Ledger};
use super::fault::Fault;
use super::lanes::Lanes;
use super::{Config, Span};
use crate::life::Life;
pub(super) use crate::life::lock;
use engine::frame::{Open, Reason};
use engine::load::Report;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

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
    pub(super) config: Config,
    pub(super) fault: Fault,
    pub(super) counters: Counters,
    pub(super) ledger: Ledger,
    pub(super) cache: Mutex<Cache>,
    pub(super) lanes: Arc<Lanes>,
    pub(super) life: Life,
    pub(super) held: Mutex<Vec<Held>>,
    pub(super) fence: AtomicU64,
    pub(super) snapshot: Mutex<Option<Snapshot>>,
    /// Mean time between two steps of one request, in nanoseconds.
    pub(super) inter_token: AtomicU64,
    /// Input that [`super::Broken::Cross`] gives to the position that comes next.
    pub(super) crossed: AtomicU64,
    running: AtomicUsize,
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
            fault: Fault::default(),
            counters: Counters::default(),
            ledger: Ledger::new(config.ledger),
            cache: Mutex::new(Cache::new(config.prefix_blocks, config.event_loss)),
            lanes: Lanes::new(batch.max(1)),
            life: Life::new(addr, config.restart_after),
            held: Mutex::new(held.collect()),
            fence: AtomicU64::new(0),
            snapshot: Mutex::new(None),
            inter_token: AtomicU64::new(0),
            crossed: AtomicU64::new(0),
            running: AtomicUsize::new(0),
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
}
