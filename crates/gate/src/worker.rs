//! State of a request worker, and the handling of a request from admission to response.

mod arrival;
mod crashes;
mod waiting;

use crate::admission::Admission;
use crate::departure::Schedule;
use crate::dialect::Dialect;
use crate::duration::Durations;
use crate::forward::evacuation::Evacuees;
use crate::forward::stall::CachedReport;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::probe::Probes;
use crate::stats::{self, Stats};
use crate::trial::Trials;
use crate::view::{Changes, SharedView, View};
use journal::Journal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use steer::Selector;
use steer::budget::Allowance;
use steer::crash::{Cases, Finding, Findings};
use steer::health::Outcome;
use steer::paths::Paths;
use steer::target::{ReservationId, Stage};
use steer::transition::Transition;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use waiting::Lines;

/// Time since the start during which requests wait for the first catalog. Nodes that start together
/// read it from the store at the same time.
const STARTUP_WAIT_WINDOW: Duration = Duration::from_millis(2000);
/// Maximum wait for the first catalog as a fraction of the request's timeout. Callers abandon a
/// request that was not read within a third of its timeout, or within one second.
const MAX_CATALOG_WAIT_FRACTION: f64 = 0.25;
/// Maximum wait for the first catalog, below the one second after which callers abandon an unread
/// request.
const MAX_CATALOG_WAIT: Duration = Duration::from_millis(900);

/// Inputs of a worker.
#[derive(Debug)]
pub struct Parts<D> {
    /// Protocol of the installation.
    pub dialect: D,
    /// The view that the control task publishes.
    pub shared_view: SharedView,
    /// Signals views with another set of ended runs.
    pub changes: Changes,
    /// Log of decisions.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests to the control task for its part of the state dump.
    pub dumps: mpsc::Sender<oneshot::Sender<String>>,
    /// Budget for retries.
    pub allowance: Allowance,
    /// Memory of the machine in bytes; see [`crate::admission::Shares`].
    pub memory_bytes: usize,
    /// Seed of the random number generator that selects endpoints.
    pub seed: u64,
    /// Transitions of endpoints that are reported to the control task.
    pub transitions: mpsc::Sender<Transition>,
}

/// A request worker. Its state is accessed by its own thread only.
pub struct Worker<D> {
    pub(crate) dialect: D,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    dumps: mpsc::Sender<oneshot::Sender<String>>,
    pub(crate) stats: Rc<Stats>,
    shared_view: SharedView,
    pub(crate) changes: Changes,
    transitions: mpsc::Sender<Transition>,
    selector: RefCell<Selector>,
    /// The view that `selector` was last updated with.
    view: RefCell<Option<Arc<View>>>,
    /// Number of views that `selector` was updated with, and of endpoints that announced that they
    /// leave.
    table_version: Cell<u64>,
    /// Notified when capacity may have become free, for requests of services without a queue.
    capacity_freed: Notify,
    /// Queues of the requests that wait for capacity.
    lines: RefCell<Lines>,
    started_at: Instant,
    rotation: Cell<usize>,
    /// Cached status reports of the heads of chains.
    pub(crate) status_reports: RefCell<HashMap<SocketAddr, CachedReport>>,
    /// Contents under which endpoints crashed.
    crashes: RefCell<Findings>,
    /// Broken attempts whose endpoint may have ended.
    cases: RefCell<Cases>,
    /// Features on trial of which a request is in flight.
    pub(crate) trials: Rc<Trials>,
    /// Probes of endpoints whose connections broke.
    pub(crate) probes: Probes,
    /// Responses whose moves off ended endpoints are planned together.
    pub(crate) evacuees: Evacuees,
    /// Memory that callers make the node hold.
    pub(crate) admission: Rc<Admission>,
    /// The paths to endpoints.
    pub(crate) paths: RefCell<Paths>,
    /// This worker, for tasks that it starts.
    pub(crate) me: Weak<Self>,
    /// Expected durations of responses.
    durations: RefCell<Durations>,
    /// Times of the node's departure, once it leaves.
    departure: Cell<Option<Schedule>>,
    /// Whether all new requests are refused because the process is about to end.
    closing: Cell<bool>,
    /// Cancelled when requests in flight are given up.
    abort: CancellationToken,
}

impl<D: Dialect> Worker<D> {
    /// Creates a worker without a view.
    pub fn new(parts: Parts<D>) -> Rc<Self> {
        let stats = Rc::new(Stats::default());
        let admission = Admission::new(parts.memory_bytes, parts.metrics.clone());
        Rc::new_cyclic(|me| Self {
            dialect: parts.dialect,
            journal: parts.journal,
            metrics: parts.metrics,
            dumps: parts.dumps,
            pool: Pool::new(stats.clone()),
            stats,
            shared_view: parts.shared_view,
            changes: parts.changes,
            transitions: parts.transitions,
            selector: RefCell::new(Selector::new(parts.seed, parts.allowance)),
            view: RefCell::new(None),
            table_version: Cell::new(0),
            capacity_freed: Notify::new(),
            lines: RefCell::default(),
            started_at: Instant::now(),
            rotation: Cell::new(0),
            status_reports: RefCell::default(),
            crashes: RefCell::default(),
            cases: RefCell::default(),
            trials: Rc::default(),
            probes: Probes::default(),
            evacuees: Evacuees::default(),
            admission,
            paths: RefCell::default(),
            me: me.clone(),
            durations: RefCell::default(),
            departure: Cell::new(None),
            closing: Cell::new(false),
            abort: CancellationToken::new(),
        })
    }

    /// Returns a receiver that is notified of views with another set of ended runs.
    pub fn changes(&self) -> Changes {
        self.changes.clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.stats.in_flight.get()
    }

    /// Returns the number of open connections of callers. During a drain each of them has a request
    /// in flight or a response that is not completely written yet.
    pub fn open_connections(&self) -> u64 {
        self.stats.connections.get()
    }

    /// Accepts only those requests from now on that can end before the node does.
    pub fn leave(&self, schedule: Schedule) {
        self.departure.set(Some(schedule));
    }

    /// Refuses all new requests from now on.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Refuses all new requests, and gives up those in flight: each without a response gets one that says what is
    /// known of it.
    pub fn abort(&self) {
        self.close();
        self.abort.cancel();
    }

    /// Returns the token that is cancelled when requests in flight are given up.
    pub(crate) fn ending(&self) -> CancellationToken {
        self.abort.clone()
    }

    /// Waits until requests in flight are given up.
    pub(crate) async fn aborted(&self) {
        self.abort.cancelled().await;
    }

    /// Returns whether the node leaves: connections of callers are to be closed after the response in
    /// progress.
    pub fn leaving(&self) -> bool {
        let departs = self.closing.get() || self.departure.get().is_some();
        departs || self.view().is_some_and(|v| v.leaving)
    }

    /// Returns the current view and updates the selector if the view changed. What the selector
    /// learned is kept until another view is published.
    pub fn view(&self) -> Option<Arc<View>> {
        let newest = self.shared_view.load_full();
        let mut current = self.view.borrow_mut();
        let same = match (&*current, &newest) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same {
            if let Some(view) = &newest {
                let now = self.now();
                self.selector
                    .borrow_mut()
                    .update_fleet(now, view.fleet.clone());
                let disproved = self.crashes.borrow_mut().update(now, &view.crashes);
                for part in disproved {
                    self.send(Transition::Content(part, Finding::Completed));
                }
                self.settle_cases(now, &view.fleet.endpoints);
                self.table_version.set(self.table_version.get() + 1);
                let catalog = &view.fleet.catalog;
                self.admission.check_limits(catalog);
                self.close_queues(|service| catalog.service_id(service).is_some());
                self.notify_capacity();
            }
            *current = newest.clone();
        }
        newest
    }

    /// Returns the current view. Shortly after the process's start, a request with this timeout
    /// that arrived at `received_at` waits for the first view.
    async fn wait_for_view(
        &self,
        timeout: Option<Duration>,
        received_at: Instant,
    ) -> Option<Arc<View>> {
        let max_wait = timeout.map_or(MAX_CATALOG_WAIT, |t| {
            t.mul_f64(MAX_CATALOG_WAIT_FRACTION).min(MAX_CATALOG_WAIT)
        });
        let deadline = (self.started_at + STARTUP_WAIT_WINDOW).min(received_at + max_wait);
        loop {
            let view = self.view();
            if view.is_some() || self.closing.get() || Instant::now() >= deadline {
                return view;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the version of the selector's table, which changes with every published view and
    /// whenever an endpoint announces that it leaves.
    pub(crate) fn table_version(&self) -> u64 {
        self.view();
        self.table_version.get()
    }

    /// Returns the rotation of the next address list.
    pub fn next_rotation(&self) -> usize {
        self.rotation.set(self.rotation.get().wrapping_add(1));
        self.rotation.get()
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Runs an operation on the selector and reports the resulting transitions of endpoints.
    pub(crate) fn with_selector<T>(
        &self,
        operation: impl FnOnce(&mut Selector, Duration) -> T,
    ) -> T {
        // The view is updated first, so that no endpoint is selected that is known to be leaving.
        self.view();
        let now = self.now();
        let mut selector = self.selector.borrow_mut();
        let result = operation(&mut selector, now);
        for transition in selector.take_transitions() {
            if let Transition::Leaving { addr, .. } = &transition {
                self.pool.retire(*addr);
                self.table_version.set(self.table_version.get() + 1);
            }
            match &transition {
                Transition::Down(run) if let Some(service) = selector.service_of(run) => {
                    self.hold(service, run.clone());
                }
                _ => self.send(transition),
            }
        }
        result
    }

    /// Sends a transition to the control task.
    pub(crate) fn send(&self, transition: Transition) {
        // If the control task is behind, the transition is dropped. The endpoint's next failure or
        // the content's next crash reports it again, and the layers of an endpoint that leaves are
        // replaced once its row says so.
        if self.transitions.try_send(transition).is_err() {
            stats::increment(&self.stats.dropped_transitions);
        }
    }

    /// Records that the endpoint of a stage announced that it leaves. Its connections are closed
    /// once they are idle.
    pub(crate) fn record_leaving(&self, stage: &Stage) {
        self.with_selector(|selector, now| selector.record_leaving(now, &stage.run, stage.addr));
    }

    /// Waits until capacity may have become free, at most for `max_wait`.
    pub(crate) async fn wait_for_capacity(&self, max_wait: Duration) {
        // Ejected endpoints become available again by the passage of time, which sends no
        // notification.
        let max_wait = max_wait.min(POLL_INTERVAL);
        let _ = tokio::time::timeout(max_wait, self.capacity_freed.notified()).await;
    }

    /// Wakes the requests that wait for capacity.
    pub(crate) fn notify_capacity(&self) {
        self.capacity_freed.notify_waiters();
        self.notify_queues(None);
    }

    /// Releases the reservation of an attempt.
    pub(crate) fn release(
        &self,
        reservation: ReservationId,
        outcome: Outcome,
        faulty_stage: Option<SocketAddr>,
    ) {
        let service = self.with_selector(|selector, now| {
            let service = selector.service_of_reservation(reservation);
            let service = service.map(str::to_owned);
            selector.end(now, reservation, outcome, faulty_stage);
            service
        });
        if !self.notify_queues(service.as_deref()) || service.is_none() {
            self.capacity_freed.notify_one();
        }
    }

    /// Closes idle connections that timed out, or whose endpoint or node is not used any more, and drops
    /// the status reports of removed endpoints.
    pub fn prune(&self) {
        let Some(view) = self.view() else {
            return;
        };
        let endpoints = &view.fleet.endpoints;
        let known = |addr| endpoints.iter().any(|e| e.addr == addr);
        let relays = |addr| view.relays.iter().any(|r| r.addr == addr);
        self.pool.prune(|addr| known(addr) || relays(addr));
        self.status_reports
            .borrow_mut()
            .retain(|addr, _| known(*addr));
        self.record_prefill();
    }

    /// Records the prefill in progress in the metrics.
    fn record_prefill(&self) {
        let selector = self.selector.borrow();
        for (service, secs) in selector.prefill_in_progress(self.now()) {
            self.metrics.record_prefill(service, secs);
        }
    }

    /// Returns the text of the state dump, with the control task's part if it responds in time.
    pub async fn dump(&self) -> String {
        let (reply, response) = oneshot::channel();
        let control = match self.dumps.try_send(reply) {
            Ok(()) => tokio::time::timeout(DUMP_TIMEOUT, response).await.ok(),
            Err(_) => None,
        };
        let control = control.and_then(|c| c.ok());
        let control = control.unwrap_or_else(|| "control does not answer\n".to_owned());
        let time = self.now().as_secs_f64();
        let selector = self.selector.borrow();
        let queues = self.dump_queues();
        format!("time {time:.3}\n{}{selector}{queues}{control}", self.stats)
    }
}

/// Maximum wait for the control task's part of the state dump.
const DUMP_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time between two checks of a waiting request.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
