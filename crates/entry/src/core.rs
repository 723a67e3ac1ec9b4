//! The core of a request worker: the only owner of its router and of the table of sessions.
//!
//! Commands arrive through one unbounded channel. It needs no bound of its own: each arrival
//! occupies a stream, whose number the listener limits, and an attempt sends only a few events for
//! each token that its endpoints generate. The reply channel of a session holds at most the
//! request's number of tokens, whose memory the session's account takes from the listeners' budget.
//!
//! Endpoint ids are valid for one bundle only. A failure carries the id that its attempt was
//! started with, as the router expects. Other data that may outlive a bundle (probes, load reports,
//! events for the control thread) identifies endpoints by name.

mod claims;
mod generated;
mod message;
mod progress;
mod session;

use crate::attempt::{self, Call, Context, Prompt, Stage, Work};
use crate::claim;
use crate::metrics::Metrics;
use crate::ring;
use crate::snapshot::{SharedSnapshot, Snapshot};
use arc_swap::ArcSwap;
use bundle::Bundle;
use bundle::id::EndpointId;
use engine::chain::Stop;
use engine::pool::Pool;
use route::action::{Action, Hop, Observation};
use route::event::{Event, TICK};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::{Id, Request};
use route::router::Router;
use route::{Attempt, Now};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use generated::Generated;
pub use message::{Arrival, Command, ControlEvent, Demand, End, Reply, WorkerEvent};
use session::{Running, Session};

/// Sends commands to a core.
pub type Tx = mpsc::UnboundedSender<Command>;
/// Receives the commands of a core.
pub type Rx = mpsc::UnboundedReceiver<Command>;

/// Timeout of a probe, which opens a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the router's counters and the teams' demand are published.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The refusal of a request whose claim does not fit into the ring to the control thread.
const CONTROL_QUEUE_FULL: Refusal = Refusal {
    reason: Reason::Overload,
    retry_after: Some(Duration::from_secs(1)),
};
/// The refusal of a request whose team or target is no longer in the bundle.
const TARGET_GONE: Refusal = Refusal {
    reason: Reason::NoEndpoint,
    retry_after: None,
};
/// The refusal of a request that the node gives up before it was run.
const LEAVING: Refusal = Refusal {
    reason: Reason::Leaving,
    retry_after: Some(Duration::from_secs(1)),
};
/// The end of a service's answer that is complete.
const COMPLETE_CALL_END: End = End {
    outcome: Outcome::Complete,
    stop: Stop::End,
    prompt_tokens: 0,
};

/// Owns the router and the sessions of one worker.
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
    reported_at: Instant,
    actions: Vec<Action>,
    /// Events that must not be lost and that wait for space in the ring to the control thread.
    outbox: VecDeque<WorkerEvent>,
    /// Whether the node is about to end.
    aborted: bool,
}

/// The newest counters and gauges of a router, for the metrics page.
pub type Reports = Arc<ArcSwap<route::report::Report>>;

/// Arguments of [`Core::new`].
pub struct Parts {
    /// The router of this worker.
    pub router: Router,
    /// The snapshot that the control thread publishes.
    pub shared_snapshot: SharedSnapshot,
    /// Connection pool of this worker.
    pub pool: Pool,
    /// Sends commands to this core; passed on to attempts and probes.
    pub tx: Tx,
    /// Sends events to the control thread. When the ring is full, the newest event is dropped and
    /// counted, because the next failure reports the same fact again. Events that are not
    /// repeated wait in the core's outbox instead.
    pub worker_events: ring::Sender<WorkerEvent>,
    /// Counters of the request path.
    pub metrics: Metrics,
    /// Origin of the router's clock.
    pub start: Instant,
    /// Receives the router's counters.
    pub reports: Reports,
}

impl Core {
    /// Creates a core without sessions.
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
            reported_at: parts.start,
            actions: Vec::new(),
            outbox: VecDeque::new(),
            aborted: false,
        }
    }

    /// Handles commands and control events until `stop` is cancelled and no request is left: work
    /// that is not repeatable continues after its caller has left.
    pub async fn run(
        mut self,
        mut rx: Rx,
        mut control_events: ring::Receiver<ControlEvent>,
        stop: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !(stop.is_cancelled() && self.is_idle()) {
            tokio::select! {
                biased;
                () = stop.cancelled(), if self.is_idle() => {}
                _ = tick.tick() => self.tick(),
                Some(event) = control_events.pop() => self.handle_control_event(event),
                Some(command) = rx.recv() => self.handle_command(command),
            }
        }
    }

    /// Returns whether no request is left and the control thread has received all that have ended.
    fn is_idle(&self) -> bool {
        self.sessions.is_empty() && self.outbox.is_empty()
    }

    fn now(&self) -> Now {
        self.start.elapsed()
    }

    fn tick(&mut self) {
        self.flush_outbox();
        self.refresh();
        self.handle(Event::Tick);
        if self.reported_at.elapsed() >= REPORT_INTERVAL {
            self.reported_at = Instant::now();
            self.report();
        }
    }

    /// Publishes the router's counters and sends the teams' demand to the control thread.
    fn report(&mut self) {
        self.reports.store(Arc::new(self.router.report()));
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let accounts = self.router.accounts().iter();
        let demands = accounts.map(|a| Demand {
            received: a.admitted + a.refused,
            in_flight: a.in_flight,
        });
        let event = WorkerEvent::Demand(snapshot.view.bundle.digest, demands.collect());
        let _ = self.worker_events.push(event);
    }

    /// Loads the newest snapshot and passes it to the router if it has changed.
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

    fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Claim(id, verdict) => self.handle_verdict(id, verdict),
            ControlEvent::Load(name, report) => {
                if let Some(endpoint) = self.endpoint_id(&name) {
                    self.handle(Event::Load(endpoint, report));
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Arrive(arrival) => self.arrive(*arrival),
            Command::Chain(id, attempt, event) => self.handle_chain_event(id, attempt, event),
            Command::Call(id, attempt, event) => self.handle_call_event(id, attempt, event),
            Command::CallerLeft(id) => self.caller_left(id),
            Command::Probed(name, alive) => {
                if let Some(endpoint) = self.endpoint_id(&name) {
                    self.handle(Event::Probed(endpoint, alive));
                }
            }
            Command::Ticket(reply) => {
                // When the ring is full, the reply channel is dropped, and the handler answers that
                // the caller should retry later.
                let _ = self.worker_events.push(WorkerEvent::Ticket(reply));
            }
            Command::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            Command::Abort => self.abort(),
        }
    }

    /// Gives up all requests, and refuses those that arrive from now on.
    fn abort(&mut self) {
        self.aborted = true;
        let ids: Vec<Id> = self.sessions.keys().copied().collect();
        for id in ids {
            let session = self.sessions.get(&id);
            let Some((started, unclaimed)) = session.map(|s| (s.started, s.unclaimed.is_some()))
            else {
                continue;
            };
            if !unclaimed {
                self.handle(Event::Left(id));
            }
            match started {
                true => self.finish(id, Outcome::Unknown),
                false => self.refuse(id, LEAVING),
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        if self.aborted {
            let _ = arrival.reply.send(Reply::Refused(LEAVING));
            return;
        }
        let session = Session {
            work: arrival.work,
            generated: Generated::new(arrival.account.clone()),
            account: arrival.account,
            reply: arrival.reply,
            end: End {
                outcome: Outcome::Unknown,
                stop: Stop::End,
                prompt_tokens: 0,
            },
            repeatable: arrival.request.repeatable,
            key_hash: None,
            unclaimed: None,
            head: None,
            body: None,
            running: None,
            started: false,
        };
        let id = arrival.request.id;
        let Some(claim) = arrival.claim else {
            self.sessions.insert(id, session);
            return self.submit(arrival.request, &arrival.bundle);
        };
        let request = claim::Request {
            id,
            claim,
            time_left: arrival.request.deadline.saturating_sub(self.now()),
        };
        self.sessions.insert(
            id,
            Session {
                key_hash: Some(claim.form.hash()),
                unclaimed: Some((arrival.request, arrival.bundle)),
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
                .for_each(|s| s.key_hash = None);
            self.refuse(id, CONTROL_QUEUE_FULL);
        }
    }

    /// Passes a request with the ids of `bundle` to the router. The router may have another bundle:
    /// the handler's snapshot was older if the body or the claim took time, or newer.
    fn submit(&mut self, request: Request, bundle: &Arc<Bundle>) {
        self.refresh();
        let id = request.id;
        let current = self.snapshot.as_ref().map(|s| &s.view.bundle);
        let request = match current {
            Some(current) if !Arc::ptr_eq(current, bundle) => request.renumber(bundle, current),
            _ => Some(request),
        };
        match request {
            Some(request) => self.handle(Event::Arrive(request)),
            None => self.refuse(id, TARGET_GONE),
        }
    }

    /// Ends a request whose caller has left. A repeatable request is cancelled, down to the
    /// engines. A request that is not repeatable continues once its attempt has started: if it were
    /// interrupted, it would be unknown whether its effects took place.
    fn caller_left(&mut self, id: Id) {
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
            self.notify_run_ended(id, &session, Outcome::NotRun);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply(action);
        }
        self.actions = actions;
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Start(id, attempt, hops) => self.start_attempt(id, attempt, &hops),
            Action::Cancel(id, attempt) => self.cancel(id, attempt),
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Finish(id, outcome) => self.finish(id, outcome),
            Action::Probe(endpoint) => self.probe(endpoint),
            Action::Disconnect(endpoint) => {
                if let Some(stage) = self.stage(&endpoint_hop(endpoint)) {
                    self.pool.drop_connections(stage.addr);
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
        session.started = true;
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
        if session.generated.is_empty() {
            update_version(&mut session.work, self.snapshot.as_deref());
        }
        match &session.work {
            Work::Completion(prompt) => spawn_completion(cx, prompt, &session.generated, stages),
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
        self.metrics.record_refusal(refusal.reason);
        self.notify_run_ended(id, &session, Outcome::NotRun);
        let _ = session.reply.send(Reply::Refused(refusal));
    }

    fn finish(&mut self, id: Id, outcome: Outcome) {
        let Some(session) = self.remove(id) else {
            return;
        };
        self.metrics.record_end(outcome);
        let end = End {
            outcome,
            ..session.end
        };
        let _ = session.reply.send(Reply::Done(end));
        self.notify_run_ended(id, &session, outcome);
    }

    /// Ends a request whose answer has no room in memory. It has run in part.
    fn exhaust(&mut self, id: Id) {
        self.handle(Event::Left(id));
        self.metrics.exhausted_answers.add(1, &[]);
        self.finish(id, Outcome::Unknown);
    }

    /// Removes a session from the table and cancels its attempt.
    fn remove(&mut self, id: Id) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        if let Some(running) = &session.running {
            running.cancel.cancel();
        }
        Some(session)
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(stage) = self.stage(&endpoint_hop(endpoint)) else {
            return;
        };
        let pool = self.pool.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let alive = pool.probe(stage.addr, PROBE_TIMEOUT).await;
            let _ = tx.send(Command::Probed(stage.name, alive));
        });
    }

    fn observe(&mut self, observation: Observation) {
        let event = match observation {
            Observation::Ejected(e) => self
                .stage(&endpoint_hop(e))
                .map(|s| WorkerEvent::Ejected(s.name)),
            Observation::Restored(e) => self
                .stage(&endpoint_hop(e))
                .map(|s| WorkerEvent::Restored(s.name)),
            Observation::Suspect(fingerprint) => Some(WorkerEvent::Suspect(fingerprint)),
            Observation::Pending(fingerprint) => Some(WorkerEvent::Pending(fingerprint)),
            Observation::Condemned(fingerprint) => Some(WorkerEvent::Condemned(fingerprint)),
        };
        if let Some(event) = event {
            let _ = self.worker_events.push(event);
        }
    }

    fn dump(&self) -> String {
        format!("sessions: {}\n{}", self.sessions.len(), self.router)
    }
}

/// Returns a hop that carries only an endpoint, without layers.
fn endpoint_hop(endpoint: EndpointId) -> Hop {
    Hop {
        endpoint,
        from: 0,
        to: 0,
    }
}

/// Sets the model version of a request that has no token yet to the version that is served now.
/// A request with tokens keeps its version, because an answer must not mix two versions.
fn update_version(work: &mut Work, snapshot: Option<&Snapshot>) {
    let (Work::Completion(prompt), Some(snapshot)) = (work, snapshot) else {
        return;
    };
    let model = snapshot.view.bundle.model(&prompt.model);
    let version = model.and_then(|m| snapshot.versions.get(usize::from(m)));
    if let Some(version) = version.filter(|v| **v != prompt.version) {
        Arc::make_mut(prompt).version.clone_from(version);
    }
}

fn spawn_completion(cx: Context, prompt: &Arc<Prompt>, generated: &Generated, stages: Vec<Stage>) {
    tokio::spawn(attempt::run_completion(
        cx,
        prompt.clone(),
        generated.tokens(),
        stages,
    ));
}

fn spawn_call(cx: Context, call: &Call, mut stages: Vec<Stage>) {
    if let Some(stage) = stages.pop() {
        tokio::spawn(attempt::run_call(cx, call.clone(), stage));
    }
}
