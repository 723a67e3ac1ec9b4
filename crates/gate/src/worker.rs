//! One request worker: its state, and the way of a request through it.

use crate::admit;
use crate::body::Body;
use crate::dialect::Dialect;
use crate::forward;
use crate::forward::stall::CachedReport;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::refusal::{Reason, Refusal};
use crate::splice::Chunk;
use crate::stats::{self, Stats};
use crate::view::{SharedView, View};
use futures::Stream;
use http::{Request, Response};
use hyper::body::Incoming;
use journal::Journal;
use journal::event::Event;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::Selector;
use steer::budget::Allowance;
use steer::health::Outcome;
use steer::target::ReservationId;
use steer::transition::Transition;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

/// Time to come back for a caller whose node is about to end: another node takes the request at
/// once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time to come back for a caller whose node knows no catalog yet. A node that starts beside others
/// has theirs before callers are sent to it, so the others know none either: all have started anew
/// while the store is out, which lasts for seconds, and most callers come back only once.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Time from the start in which requests wait for the first catalog. Nodes that start together read it
/// from the store at the same time.
const STARTUP_WAIT_WINDOW: Duration = Duration::from_millis(2000);
/// Part of a request's time that it waits for the first catalog at the most. Callers give up what was
/// not read within a third of it, or within a second.
const MAX_CATALOG_WAIT_FRACTION: f64 = 0.25;
/// Longest wait for the first catalog.
const MAX_CATALOG_WAIT: Duration = Duration::from_millis(900);

/// What a worker is made of.
#[derive(Debug)]
pub struct Parts<D> {
    /// The installation's dialect.
    pub dialect: D,
    /// Where control publishes.
    pub shared_view: SharedView,
    /// Decisions are told here.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Where control is asked for its part of a dump.
    pub dumps: mpsc::Sender<oneshot::Sender<String>>,
    /// Further attempts that are allowed.
    pub allowance: Allowance,
    /// Seed of its draws.
    pub seed: u64,
    /// What control is told of endpoints.
    pub transitions: mpsc::Sender<Transition>,
}

/// The state of one worker. Only its own thread touches it.
pub struct Worker<D> {
    pub(crate) dialect: D,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    dumps: mpsc::Sender<oneshot::Sender<String>>,
    pub(crate) stats: Rc<Stats>,
    shared_view: SharedView,
    transitions: mpsc::Sender<Transition>,
    selector: RefCell<Selector>,
    /// The view that `steer` follows.
    view: RefCell<Option<Arc<View>>>,
    /// How many views it has followed.
    view_number: Cell<u64>,
    /// Set off when room may have come free.
    capacity_freed: Notify,
    start: Instant,
    rotation: Cell<usize>,
    /// What heads of chains last said of their requests.
    pub(crate) status_reports: RefCell<HashMap<SocketAddr, CachedReport>>,
    /// Whether new requests are refused, since the process is about to end.
    closing: Cell<bool>,
}

impl<D: Dialect> Worker<D> {
    /// A worker that knows nothing yet.
    pub fn new(parts: Parts<D>) -> Rc<Self> {
        let stats = Rc::new(Stats::default());
        Rc::new(Self {
            dialect: parts.dialect,
            journal: parts.journal,
            metrics: parts.metrics,
            dumps: parts.dumps,
            pool: Pool::new(stats.clone()),
            stats,
            shared_view: parts.shared_view,
            transitions: parts.transitions,
            selector: RefCell::new(Selector::new(parts.seed, parts.allowance)),
            view: RefCell::new(None),
            view_number: Cell::new(0),
            capacity_freed: Notify::new(),
            start: Instant::now(),
            rotation: Cell::new(0),
            status_reports: RefCell::default(),
            closing: Cell::new(false),
        })
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.stats.in_flight.get()
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Whether callers are told that their connection ends with the answer.
    pub fn leaving(&self) -> bool {
        self.closing.get() || self.view().is_some_and(|v| v.leaving)
    }

    /// The newest view. What was learned from it is kept until another one is published.
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
                self.view_number.set(self.view_number.get() + 1);
                self.capacity_freed.notify_waiters();
            }
            *current = newest.clone();
        }
        newest
    }

    /// The newest view. In a process that has just started, a request of so much time that came at `came`
    /// waits for the first one.
    async fn wait_for_view(
        &self,
        timeout: Option<Duration>,
        received_at: Instant,
    ) -> Option<Arc<View>> {
        let max_wait = timeout.map_or(MAX_CATALOG_WAIT, |t| {
            t.mul_f64(MAX_CATALOG_WAIT_FRACTION).min(MAX_CATALOG_WAIT)
        });
        let until = (self.start + STARTUP_WAIT_WINDOW).min(received_at + max_wait);
        loop {
            let view = self.view();
            if view.is_some() || self.closing.get() || Instant::now() >= until {
                return view;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of the newest view; another one tells that something may have changed.
    pub(crate) fn view_number(&self) -> u64 {
        self.view();
        self.view_number.get()
    }

    /// Number of the next answer about addresses.
    pub fn next_rotation(&self) -> usize {
        self.rotation.set(self.rotation.get().wrapping_add(1));
        self.rotation.get()
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Asks the table something.
    pub(crate) fn with_selector<T>(
        &self,
        operation: impl FnOnce(&mut Selector, Duration) -> T,
    ) -> T {
        // The newest view first, so that no endpoint is chosen that is known to leave.
        self.view();
        let now = self.now();
        let mut selector = self.selector.borrow_mut();
        let answer = operation(&mut selector, now);
        for transition in selector.take_transitions() {
            // Control is behind: a further failure tells it again.
            if self.transitions.try_send(transition).is_err() {
                stats::increment(&self.stats.dropped_transitions);
            }
        }
        answer
    }

    /// Waits until room may have come free, or for `most`.
    pub(crate) async fn wait_for_capacity(&self, max_wait: Duration) {
        // Endpoints come back into use by time alone, which nothing tells.
        let max_wait = max_wait.min(POLL_INTERVAL);
        let _ = tokio::time::timeout(max_wait, self.capacity_freed.notified()).await;
    }

    /// Gives back what an attempt holds.
    pub(crate) fn release(
        &self,
        reservation: ReservationId,
        outcome: Outcome,
        faulty_stage: Option<SocketAddr>,
    ) {
        self.with_selector(|selector, now| selector.end(now, reservation, outcome, faulty_stage));
        self.capacity_freed.notify_one();
    }

    /// Closes idle connections that are old, or whose endpoint is gone.
    pub fn prune(&self) {
        let Some(view) = self.view() else {
            return;
        };
        let endpoints = &view.fleet.endpoints;
        let known = |addr| endpoints.iter().any(|e| e.addr == addr);
        self.pool.prune(known);
        self.status_reports
            .borrow_mut()
            .retain(|addr, _| known(*addr));
    }

    /// The text for the dump, with control's part if it answers in time.
    pub async fn dump(&self) -> String {
        let (reply, answer) = oneshot::channel();
        let control = match self.dumps.try_send(reply) {
            Ok(()) => tokio::time::timeout(DUMP_TIMEOUT, answer).await.ok(),
            Err(_) => None,
        };
        let control = control.and_then(|c| c.ok());
        let control = control.unwrap_or_else(|| "control does not answer\n".to_owned());
        format!("{}{}{control}", self.stats, self.selector.borrow())
    }

    /// Serves one request of a caller.
    pub async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body<impl Stream<Item = Chunk>>> {
        let received_at = Instant::now();
        let guard = InFlightGuard::new(self.stats.clone());
        match self.admit(request, received_at).await {
            Ok(job) => forward::run(self, job, guard).await,
            Err((refusal, id)) => {
                self.record_refusal(&id, refusal, received_at);
                refusal.response()
            }
        }
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
    ) -> Result<Job, (Refusal, String)> {
        let (parts, incoming) = request.into_parts();
        let info = self.dialect.request_info(&parts.headers);
        let id = info.id.clone().unwrap_or_default();
        let result = async {
            let Some(view) = self.wait_for_view(info.timeout, received_at).await else {
                return Err(Refusal::with_retry_after(
                    Reason::NoCatalog,
                    forward::jitter(NO_CATALOG_RETRY_AFTER),
                ));
            };
            if self.closing.get() {
                return Err(Refusal::with_retry_after(
                    Reason::Leaving,
                    LEAVING_RETRY_AFTER,
                ));
            }
            let catalog = &view.fleet.catalog;
            let admitted = admit::head(catalog, &parts, info)?;
            let body = admit::body(incoming, catalog.limits.body_bytes).await?;
            let random = rand::rng().random();
            admit::job(
                &self.dialect,
                catalog,
                admitted,
                parts,
                body,
                received_at,
                random,
            )
        };
        result.await.map_err(|refusal| (refusal, id))
    }

    fn record_refusal(&self, id: &str, refusal: Refusal, received_at: Instant) {
        let all_ms = received_at.elapsed().as_millis() as u64;
        let status = refusal.reason.status().as_u16();
        self.metrics
            .record_request("refused", status, received_at.elapsed());
        self.journal.record(Event::Ended {
            id: id.to_owned(),
            route: String::new(),
            status,
            outcome: "refused",
            why: refusal.reason.message().to_owned(),
            attempts: 0,
            head_ms: all_ms,
            all_ms,
            pause_ms: 0,
            quiet_ms: all_ms,
        });
    }
}

/// Longest wait for control's part of a dump.
const DUMP_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a request that waits looks again, at the least.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Stats>);

impl InFlightGuard {
    fn new(stats: Rc<Stats>) -> Self {
        stats::increment(&stats.in_flight);
        Self(stats)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        stats::decrement(&self.0.in_flight);
    }
}
