//! One request worker: its state, and the way of a request through it.

use crate::admit;
use crate::answer::Answer;
use crate::dialect::Dialect;
use crate::forward;
use crate::forward::look::Known;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::refusal::{Reason, Refusal};
use crate::splice::Chunk;
use crate::stats::{self, Stats};
use crate::view::{Board, View};
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
const ELSEWHERE: Duration = Duration::from_millis(50);
/// Time to come back for a caller whose node knows no catalog yet. A node that starts beside others
/// has theirs before callers are sent to it, so the others know none either: all have started anew
/// while the store is out, which lasts for seconds, and most callers come back only once.
const BLIND: Duration = Duration::from_millis(1500);

/// Time from the start in which requests wait for the first catalog. Nodes that start together read it
/// from the store at the same time.
const FIRST: Duration = Duration::from_millis(2000);
/// Part of a request's time that it waits for the first catalog at the most. Callers give up what was
/// not read within a third of it, or within a second.
const FIRST_PART: f64 = 0.25;
/// Longest wait for the first catalog.
const FIRST_WAIT: Duration = Duration::from_millis(900);

/// What a worker is made of.
#[derive(Debug)]
pub struct Parts<D> {
    /// The installation's dialect.
    pub dialect: D,
    /// Where control publishes.
    pub board: Board,
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
    pub notes: mpsc::Sender<Transition>,
}

/// The state of one worker. Only its own thread touches it.
pub struct Worker<D> {
    pub(crate) dialect: D,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    dumps: mpsc::Sender<oneshot::Sender<String>>,
    pub(crate) stats: Rc<Stats>,
    board: Board,
    notes: mpsc::Sender<Transition>,
    steer: RefCell<Selector>,
    /// The view that `steer` follows.
    view: RefCell<Option<Arc<View>>>,
    /// How many views it has followed.
    views: Cell<u64>,
    /// Set off when room may have come free.
    freed: Notify,
    start: Instant,
    turn: Cell<usize>,
    /// What heads of chains last said of their requests.
    pub(crate) accounts: RefCell<HashMap<SocketAddr, Known>>,
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
            board: parts.board,
            notes: parts.notes,
            steer: RefCell::new(Selector::new(parts.seed, parts.allowance)),
            view: RefCell::new(None),
            views: Cell::new(0),
            freed: Notify::new(),
            start: Instant::now(),
            turn: Cell::new(0),
            accounts: RefCell::default(),
            closing: Cell::new(false),
        })
    }

    /// Requests in flight.
    pub fn flying(&self) -> u64 {
        self.stats.flying.get()
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
        let newest = self.board.load_full();
        let mut known = self.view.borrow_mut();
        let same = match (&*known, &newest) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        if !same {
            if let Some(view) = &newest {
                let now = self.now();
                self.steer
                    .borrow_mut()
                    .update_fleet(now, view.fleet.clone());
                self.views.set(self.views.get() + 1);
                self.freed.notify_waiters();
            }
            *known = newest.clone();
        }
        newest
    }

    /// The newest view. In a process that has just started, a request of so much time that came at `came`
    /// waits for the first one.
    async fn first_view(&self, time: Option<Duration>, came: Instant) -> Option<Arc<View>> {
        let part = time.map_or(FIRST_WAIT, |t| t.mul_f64(FIRST_PART).min(FIRST_WAIT));
        let until = (self.start + FIRST).min(came + part);
        loop {
            let view = self.view();
            if view.is_some() || self.closing.get() || Instant::now() >= until {
                return view;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Number of the newest view; another one tells that something may have changed.
    pub(crate) fn views(&self) -> u64 {
        self.view();
        self.views.get()
    }

    /// Number of the next answer about addresses.
    pub fn turn(&self) -> usize {
        self.turn.set(self.turn.get().wrapping_add(1));
        self.turn.get()
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Asks the table something.
    pub(crate) fn steer<T>(&self, ask: impl FnOnce(&mut Selector, Duration) -> T) -> T {
        // The newest view first, so that no endpoint is chosen that is known to leave.
        self.view();
        let now = self.now();
        let mut steer = self.steer.borrow_mut();
        let answer = ask(&mut steer, now);
        for note in steer.take_transitions() {
            // Control is behind: a further failure tells it again.
            if self.notes.try_send(note).is_err() {
                stats::add(&self.stats.untold);
            }
        }
        answer
    }

    /// Waits until room may have come free, or for `most`.
    pub(crate) async fn freed(&self, most: Duration) {
        // Endpoints come back into use by time alone, which nothing tells.
        let most = most.min(LOOK);
        let _ = tokio::time::timeout(most, self.freed.notified()).await;
    }

    /// Gives back what an attempt holds.
    pub(crate) fn end(&self, hold: ReservationId, outcome: Outcome, blame: Option<SocketAddr>) {
        self.steer(|steer, now| steer.end(now, hold, outcome, blame));
        self.freed.notify_one();
    }

    /// Closes idle connections that are old, or whose endpoint is gone.
    pub fn tidy(&self) {
        let Some(view) = self.view() else {
            return;
        };
        let endpoints = &view.fleet.endpoints;
        let known = |addr| endpoints.iter().any(|e| e.addr == addr);
        self.pool.tidy(known);
        self.accounts.borrow_mut().retain(|addr, _| known(*addr));
    }

    /// The text for the dump, with control's part if it answers in time.
    pub async fn dump(&self) -> String {
        let (reply, answer) = oneshot::channel();
        let control = match self.dumps.try_send(reply) {
            Ok(()) => tokio::time::timeout(DUMP, answer).await.ok(),
            Err(_) => None,
        };
        let control = control.and_then(|c| c.ok());
        let control = control.unwrap_or_else(|| "control does not answer\n".to_owned());
        format!("{}{}{control}", self.stats, self.steer.borrow())
    }

    /// Serves one request of a caller.
    pub async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Response<Answer<impl Stream<Item = Chunk>>> {
        let came = Instant::now();
        let flight = Flight::new(self.stats.clone());
        match self.admit(request, came).await {
            Ok(job) => forward::run(self, job, flight).await,
            Err((refusal, id)) => {
                self.tell_refusal(&id, refusal, came);
                refusal.response()
            }
        }
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        came: Instant,
    ) -> Result<Job, (Refusal, String)> {
        let (parts, incoming) = request.into_parts();
        let info = self.dialect.request_info(&parts.headers);
        let id = info.id.clone().unwrap_or_default();
        let checked = async {
            let Some(view) = self.first_view(info.timeout, came).await else {
                return Err(Refusal::after(Reason::NoCatalog, forward::spread(BLIND)));
            };
            if self.closing.get() {
                return Err(Refusal::after(Reason::Leaving, ELSEWHERE));
            }
            let catalog = &view.fleet.catalog;
            let admitted = admit::head(catalog, &parts, info)?;
            let body = admit::body(incoming, catalog.limits.body_bytes).await?;
            let draw = rand::rng().random();
            admit::job(&self.dialect, catalog, admitted, parts, body, came, draw)
        };
        checked.await.map_err(|refusal| (refusal, id))
    }

    fn tell_refusal(&self, id: &str, refusal: Refusal, came: Instant) {
        let all_ms = came.elapsed().as_millis() as u64;
        let status = refusal.reason.status().as_u16();
        self.metrics.ended("refused", status, came.elapsed());
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
const DUMP: Duration = Duration::from_millis(300);
/// How often a request that waits looks again, at the least.
const LOOK: Duration = Duration::from_millis(25);

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Flight(Rc<Stats>);

impl Flight {
    fn new(stats: Rc<Stats>) -> Self {
        stats::add(&stats.flying);
        Self(stats)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        stats::sub(&self.0.flying);
    }
}
