//! State shared by an engine's tasks, and admission of requests.

use super::cache::Cache;
use super::counts::{Counters, Ledger};
use super::fault::Fault;
use super::lanes::Lanes;
use super::{Config, Span};
use crate::lifecycle::Lifecycle;
pub(super) use crate::lifecycle::lock;
use engine::frame::{Open, Reason};
use engine::load::Report;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Retry-after delay in the refusal of a busy engine.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A load report and the time it was taken.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub(super) report: Report,
    pub(super) taken_at: Instant,
}

/// A range of layers that is loaded, or is being loaded until `ready_at`.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) span: Span,
    pub(super) ready_at: Instant,
}

/// State of an engine, kept across restarts.
#[derive(Debug)]
pub(super) struct State {
    pub(super) config: Config,
    pub(super) fault: Fault,
    pub(super) counters: Counters,
    pub(super) ledger: Ledger,
    pub(super) cache: Mutex<Cache>,
    pub(super) lanes: Arc<Lanes>,
    pub(super) lifecycle: Lifecycle,
    pub(super) held: Mutex<Vec<Holding>>,
    /// Highest fencing number of any order so far.
    pub(super) fence: AtomicU64,
    pub(super) snapshot: Mutex<Option<Snapshot>>,
    /// Moving average of the time between two steps of one request, in nanoseconds; 0 before the
    /// first sample.
    pub(super) inter_token: AtomicU64,
    /// Previous input, which [`super::ComputeFault::SwapInput`] uses for the next position.
    pub(super) swapped_input: AtomicU64,
    running: AtomicUsize,
}

/// Reason for refusing a request, with an optional retry-after delay.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) reason: Reason,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// A request's slot; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    pub(super) fn new(addr: SocketAddr, mut config: Config) -> Self {
        config.activation_bytes = config
            .activation_bytes
            .max(super::kv::ACTIVATION_WORD_BYTES);
        let batch = if config.batch == 0 {
            config.slots
        } else {
            config.batch
        };
        let now = Instant::now();
        let held = config.models.iter().cloned().map(|span| Holding {
            span,
            ready_at: now,
        });
        Self {
            fault: Fault::default(),
            counters: Counters::default(),
            ledger: Ledger::new(config.recorded_attempts),
            cache: Mutex::new(Cache::new(config.prefix_blocks, config.event_loss)),
            lanes: Lanes::new(batch.max(1)),
            lifecycle: Lifecycle::new(addr, config.restart_after),
            held: Mutex::new(held.collect()),
            fence: AtomicU64::new(0),
            snapshot: Mutex::new(None),
            inter_token: AtomicU64::new(0),
            swapped_input: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            config,
        }
    }

    /// Reserves a slot and returns it with the loaded range that serves the request, or the reason
    /// for a refusal.
    pub(super) fn admit(self: &Arc<Self>, open: &Open) -> Result<(Slot, Span), Refusal> {
        if self.fault.leaving.load(Ordering::SeqCst) {
            return Err(Refusal::new(Reason::Leaving));
        }
        let span = self.find(open).ok_or(Refusal::new(Reason::Unfit))?;
        let busy = Refusal {
            reason: Reason::Busy,
            retry_after: Some(BUSY_RETRY_AFTER),
        };
        if self.fault.busy.load(Ordering::SeqCst) {
            return Err(busy);
        }
        let more = |running| (running < self.config.slots).then_some(running + 1);
        let taken = self
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, more);
        taken.map(|_| (Slot(self.clone()), span)).map_err(|_| busy)
    }

    /// Finds a ready range that covers the request's layers, version and adapter.
    fn find(&self, open: &Open) -> Option<Span> {
        let now = Instant::now();
        let held = lock(&self.held);
        let fits = |held: &&Holding| {
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
