//! The core of a request worker: the only owner of its router and of the table of sessions.
//!
//! Commands come in through one unbounded channel. It needs no bound of its own: an arrival takes a
//! stream that the listener has already bounded, and an attempt sends a few events for each
//! token that its endpoints make. The answer channel of a session is bounded by the request's own
//! number of tokens; tokens have to be kept until the end anyway, to continue elsewhere.
//!
//! Endpoint ids belong to one bundle. A failure names the id that its attempt was started with, as
//! the router expects. What outlives a bundle otherwise (probes, loads, notes) goes by name.

mod claims;
mod message;
mod progress;
mod session;

use crate::attempt::{self, Call, Context, Prompt, Stage, Work};
use crate::claim;
use crate::metrics::Metrics;
use crate::ring;
use crate::snapshot::{SharedSnapshot, Snapshot};
use arc_swap::ArcSwap;
use bundle::id::EndpointId;
use engine::chain::{Stop, Token};
use engine::pool::Pool;
use route::action::{Action, Hop, Observation};
use route::event::{Event, TICK};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::Id;
use route::router::Router;
use route::{Attempt, Now};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use message::{Arrival, Command, ControlEvent, Demand, End, Reply, WorkerEvent};
use session::{Running, Session};

/// Sends commands to a core.
pub type Tx = mpsc::UnboundedSender<Command>;
/// Receives the commands of a core.
pub type Rx = mpsc::UnboundedReceiver<Command>;

/// Longest time that a probe on a new connection may take.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// How often counters and demand are given out.
const TELL_PERIOD: Duration = Duration::from_millis(500);

/// The refusal when control can't take one more question.
const OVERFULL: Refusal = Refusal {
    reason: Reason::Overload,
    retry_after: Some(Duration::from_secs(1)),
};
/// The end of a plain service's whole answer.
const WHOLE_CALL: End = End {
    outcome: Outcome::Complete,
    stop: Stop::End,
    prompt_tokens: 0,
};

/// The core.
pub struct Core {
    router: Router,
    sessions: HashMap<Id, Session>,
    snapshot: Option<Arc<Snapshot>>,
    shared_snapshot: SharedSnapshot,
    pool: Pool,
    tx: Tx,
    worker_events: ring::Sender<WorkerEvent>,
    metrics: Metrics,
    start: Instant,
    reports: Reports,
    told: Instant,
    actions: Vec<Action>,
    /// Notes that must reach control and found the ring full.
    outbox: VecDeque<WorkerEvent>,
}

/// The newest counters and gauges of a router, for the metrics page.
pub type Reports = Arc<ArcSwap<route::report::Report>>;

/// What a core is made of.
pub struct Parts {
    /// The router.
    pub router: Router,
    /// Where control publishes.
    pub shared_snapshot: SharedSnapshot,
    /// Connections of this worker.
    pub pool: Pool,
    /// Where commands go.
    pub tx: Tx,
    /// Where notes to control go. When the ring is full the newest is dropped and counted: what
    /// it told is told again by the next failure.
    pub worker_events: ring::Sender<WorkerEvent>,
    /// Counters.
    pub metrics: Metrics,
    /// Zero of the router's time.
    pub start: Instant,
    /// Where the router's counters are put.
    pub reports: Reports,
}

impl Core {
    /// A core with no session.
    pub fn new(parts: Parts) -> Self {
        Self {
            router: parts.router,
            sessions: HashMap::new(),
            snapshot: None,
            shared_snapshot: parts.shared_snapshot,
            pool: parts.pool,
            tx: parts.tx,
            worker_events: parts.worker_events,
            metrics: parts.metrics,
            start: parts.start,
            reports: parts.reports,
            told: parts.start,
            actions: Vec::new(),
            outbox: VecDeque::new(),
        }
    }

    /// Serves commands and notices until `stop`.
    pub async fn run(
        mut self,
        mut rx: Rx,
        mut control_events: ring::Receiver<ControlEvent>,
        stop: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                _ = tick.tick() => self.tick(),
                Some(notice) = control_events.pop() => self.notice(notice),
                Some(command) = rx.recv() => self.command(command),
            }
        }
    }

    fn now(&self) -> Now {
        self.start.elapsed()
    }

    fn tick(&mut self) {
        self.post();
        self.refresh();
        self.handle(Event::Tick);
        if self.told.elapsed() >= TELL_PERIOD {
            self.told = Instant::now();
            self.tell();
        }
    }

    /// Gives out the router's counters, and tells control what teams ask for.
    fn tell(&mut self) {
        self.reports.store(Arc::new(self.router.report()));
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let accounts = self.router.accounts().iter();
        let demands = accounts.map(|a| Demand {
            received: a.admitted + a.refused,
            in_flight: a.in_flight,
        });
        let note = WorkerEvent::Demand(snapshot.view.bundle.digest, demands.collect());
        let _ = self.worker_events.push(note);
    }

    /// Takes the newest snapshot, if there is a new one.
    fn refresh(&mut self) {
        let newest = self.shared_snapshot.load();
        let Some(newest) = newest.as_ref() else {
            return;
        };
        let known = self.snapshot.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, newest)) {
            return;
        }
        self.snapshot = Some(newest.clone());
        self.handle(Event::View(newest.view.clone()));
    }

    fn notice(&mut self, notice: ControlEvent) {
        match notice {
            ControlEvent::Claim(id, verdict) => self.claimed(id, verdict),
            ControlEvent::Load(name, report) => {
                if let Some(endpoint) = self.endpoint(&name) {
                    self.handle(Event::Load(endpoint, report));
                }
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Arrive(arrival) => self.arrive(arrival),
            Command::Chain(id, attempt, event) => self.chain(id, attempt, event),
            Command::Call(id, attempt, event) => self.call(id, attempt, event),
            Command::CallerLeft(id) => self.left(id),
            Command::Probed(name, alive) => {
                if let Some(endpoint) = self.endpoint(&name) {
                    self.handle(Event::Probed(endpoint, alive));
                }
            }
            Command::Ticket(reply) => {
                // When the ring is full the caller's channel closes, and it is told to come back.
                let _ = self.worker_events.push(WorkerEvent::Ticket(reply));
            }
            Command::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        // The handler read a snapshot that may be newer than the router's: ids must agree.
        self.refresh();
        let session = Session {
            work: arrival.work,
            reply: arrival.reply,
            had: Vec::new(),
            end: End {
                outcome: Outcome::Unknown,
                stop: Stop::End,
                prompt_tokens: 0,
            },
            repeatable: arrival.request.repeatable,
            hash: None,
            unclaimed: None,
            head: None,
            body: None,
            committed: false,
            running: None,
        };
        let id = arrival.request.id;
        let Some(claim) = arrival.claim else {
            self.sessions.insert(id, session);
            return self.handle(Event::Arrive(arrival.request));
        };
        let request = claim::Request {
            id,
            claim,
            time_left: arrival.request.deadline.saturating_sub(self.now()),
        };
        self.sessions.insert(
            id,
            Session {
                hash: Some(claim.form.hash()),
                unclaimed: Some(arrival.request),
                ..session
            },
        );
        if self
            .worker_events
            .push(WorkerEvent::Claim(request))
            .is_err()
        {
            self.sessions
                .get_mut(&id)
                .into_iter()
                .for_each(|s| s.hash = None);
            self.refuse(id, OVERFULL);
        }
    }

    /// Work that may be repeated is cancelled down to the engines. Work that may not goes on once
    /// it is under way: cut off halfway, its effect would be neither there nor safely absent.
    fn left(&mut self, id: Id) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        if !session.repeatable && session.running.is_some() {
            return;
        }
        if session.unclaimed.is_none() {
            self.handle(Event::Left(id));
        }
        if let Some(session) = self.remove(id) {
            self.ended(id, &session, Outcome::NotRun);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(id, attempt, hops) => self.start_attempt(id, attempt, &hops),
            Action::Cancel(id, attempt) => self.cancel(id, attempt),
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Finish(id, outcome) => self.finish(id, outcome),
            Action::Probe(endpoint) => self.probe(endpoint),
            Action::Disconnect(endpoint) => {
                if let Some(stage) = self.stage(&sole_hop(endpoint)) {
                    self.pool.forget(stage.addr);
                }
            }
            Action::Observe(observation) => self.observe(observation),
        }
    }

    fn start_attempt(&mut self, id: Id, attempt: Attempt, hops: &[Hop]) {
        let stages: Vec<Stage> = hops.iter().filter_map(|h| self.stage(h)).collect();
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let cancel = CancellationToken::new();
        session.running = Some(Running {
            attempt,
            stages: stages.clone(),
            cancel: cancel.clone(),
        });
        let cx = Context {
            id,
            attempt,
            tx: self.tx.clone(),
            pool: self.pool.clone(),
            cancel,
        };
        self.metrics.attempts.add(1, &[]);
        if session.had.is_empty() {
            renew(&mut session.work, self.snapshot.as_deref());
        }
        match &session.work {
            Work::Tokens(prompt) => spawn_tokens(cx, prompt, &session.had, stages),
            Work::Call(call) => spawn_call(cx, call, stages),
        }
    }

    fn cancel(&mut self, id: Id, attempt: Attempt) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let running = session.running.take_if(|r| r.attempt == attempt);
        if let Some(running) = running {
            running.cancel.cancel();
        }
    }

    fn refuse(&mut self, id: Id, refusal: Refusal) {
        let Some(session) = self.remove(id) else {
            return;
        };
        self.metrics.refused(refusal.reason);
        self.ended(id, &session, Outcome::NotRun);
        let _ = session.reply.send(Reply::Refused(refusal));
    }

    fn finish(&mut self, id: Id, outcome: Outcome) {
        let Some(session) = self.remove(id) else {
            return;
        };
        self.metrics.ended(outcome);
        let end = End {
            outcome,
            ..session.end
        };
        let _ = session.reply.send(Reply::Done(end));
        self.ended(id, &session, outcome);
    }

    /// Takes a session out of the table and ends its attempt.
    fn remove(&mut self, id: Id) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        if let Some(running) = &session.running {
            running.cancel.cancel();
        }
        Some(session)
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(stage) = self.stage(&sole_hop(endpoint)) else {
            return;
        };
        let pool = self.pool.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let alive = pool.probe(stage.addr, PROBE_TIME).await;
            let _ = tx.send(Command::Probed(stage.name, alive));
        });
    }

    fn observe(&mut self, observation: Observation) {
        let note = match observation {
            Observation::Ejected(e) => self
                .stage(&sole_hop(e))
                .map(|s| WorkerEvent::Ejected(s.name)),
            Observation::Restored(e) => self
                .stage(&sole_hop(e))
                .map(|s| WorkerEvent::Restored(s.name)),
            Observation::Suspect(fingerprint) => Some(WorkerEvent::Suspect(fingerprint)),
            Observation::Pending(fingerprint) => Some(WorkerEvent::Pending(fingerprint)),
            Observation::Condemned(fingerprint) => Some(WorkerEvent::Condemned(fingerprint)),
        };
        if let Some(note) = note {
            let _ = self.worker_events.push(note);
        }
    }

    fn dump(&self) -> String {
        format!("sessions: {}\n{}", self.sessions.len(), self.router)
    }
}

/// A hop that only names its endpoint.
fn sole_hop(endpoint: EndpointId) -> Hop {
    Hop {
        endpoint,
        from: 0,
        to: 0,
    }
}

/// A request without a token yet may run on the version that is served now; one that has tokens
/// goes on with its own, since an answer of two versions would be wrong.
fn renew(work: &mut Work, snapshot: Option<&Snapshot>) {
    let (Work::Tokens(prompt), Some(snapshot)) = (work, snapshot) else {
        return;
    };
    let model = snapshot.view.bundle.model(&prompt.model);
    let version = model.and_then(|m| snapshot.versions.get(usize::from(m)));
    if let Some(version) = version.filter(|v| **v != prompt.version) {
        Arc::make_mut(prompt).version.clone_from(version);
    }
}

fn spawn_tokens(cx: Context, prompt: &Arc<Prompt>, had: &[Token], stages: Vec<Stage>) {
    tokio::spawn(attempt::tokens(cx, prompt.clone(), had.to_vec(), stages));
}

fn spawn_call(cx: Context, call: &Call, mut stages: Vec<Stage>) {
    if let Some(stage) = stages.pop() {
        tokio::spawn(attempt::call(cx, call.clone(), stage));
    }
}
