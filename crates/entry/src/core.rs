//! The core of a request worker: the only owner of its router and of the table of sessions.
//!
//! Commands come in through one unbounded channel. It needs no bound of its own: an arrival takes a
//! stream that the listener has already bounded, and an attempt sends a few events for each
//! token that its endpoints make. The answer channel of a session is bounded by the request's own
//! number of tokens; tokens have to be kept until the end anyway, to continue elsewhere.
//!
//! Endpoint ids belong to one bundle. A failure names the id that its attempt was started with, as
//! the router expects. What outlives a bundle otherwise (probes, loads, notes) goes by name.

use crate::attempt::{self, Call, CallEvent, Context, Prompt, Stage, Work};
use crate::cause;
use crate::metrics::Metrics;
use crate::ring;
use crate::snapshot::{Board, Snapshot};
use arc_swap::ArcSwap;
use bundle::digest::Digest;
use bundle::id::EndpointId;
use engine::chain::{self, Stop, Token};
use engine::pool::Pool;
use route::action::{Action, Hop, Observation};
use route::event::{Event, TICK};
use route::failure::{Cause, Failure};
use route::load::Report;
use route::outcome::Outcome;
use route::refusal::Refusal;
use route::request::{Id, Request};
use route::router::Router;
use route::{Attempt, Now};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Sends commands to a core.
pub type Tx = mpsc::UnboundedSender<Command>;
/// Receives the commands of a core.
pub type Rx = mpsc::UnboundedReceiver<Command>;

/// Longest time that a probe on a new connection may take.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// How often counters and demand are given out.
const TELL_PERIOD: Duration = Duration::from_millis(500);

/// Something a core is told.
#[derive(Debug)]
pub enum Command {
    /// A request arrived.
    Arrive(Arrival),
    /// Something happened in an attempt on a pipeline.
    Chain(Id, Attempt, chain::Event),
    /// Something happened in a call of a plain service.
    Call(Id, Attempt, CallEvent),
    /// The caller went away, or has all it wants.
    Left(Id),
    /// A probe ended; whether the named endpoint answered.
    Probed(Arc<str>, bool),
    /// Asks for the state in text.
    Dump(oneshot::Sender<String>),
}

/// A request and where its answer goes.
#[derive(Debug)]
pub struct Arrival {
    /// What the router decides on.
    pub request: Request,
    /// What is to be done.
    pub work: Work,
    /// Where the answer goes.
    pub reply: mpsc::UnboundedSender<Reply>,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Reply {
    /// The request was not run.
    Refused(Refusal),
    /// One more token.
    Token(Token),
    /// The head of a plain service's answer.
    Head(Box<http::response::Parts>),
    /// The answer ended.
    Done(End),
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Outcome.
    pub outcome: Outcome,
    /// Why the last token was the last.
    pub stop: Stop,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Something a core tells control.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A named endpoint was taken out of use.
    Ejected(Arc<str>),
    /// A named endpoint is back in use.
    Restored(Arc<str>),
    /// A request with this fingerprint was in flight when an endpoint died.
    Suspect(u64),
    /// Requests with this fingerprint crash endpoints.
    Condemned(u64),
    /// What teams ask of this worker, by team of the bundle with this digest.
    Demand(Digest, Vec<Demand>),
}

/// What one team asks of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that came since the start, refused ones included.
    pub asked: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Something control tells a core.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Load of a named endpoint.
    Load(Arc<str>, Report),
}

/// A request in the table.
struct Session {
    work: Work,
    reply: mpsc::UnboundedSender<Reply>,
    had: Vec<Token>,
    end: End,
    repeatable: bool,
    /// Whether a part of a plain service's answer went to the caller: it can't be started anew.
    committed: bool,
    running: Option<Running>,
}

/// The current attempt of a session.
struct Running {
    attempt: Attempt,
    stages: Vec<Stage>,
    cancel: CancellationToken,
}

/// The core.
pub struct Core {
    router: Router,
    sessions: HashMap<Id, Session>,
    snapshot: Option<Arc<Snapshot>>,
    board: Board,
    pool: Pool,
    tx: Tx,
    notes: ring::Sender<Note>,
    metrics: Metrics,
    start: Instant,
    reports: Reports,
    told: Instant,
    actions: Vec<Action>,
}

/// The newest counters and gauges of a router, for the metrics page.
pub type Reports = Arc<ArcSwap<route::report::Report>>;

/// What a core is made of.
pub struct Parts {
    /// The router.
    pub router: Router,
    /// Where control publishes.
    pub board: Board,
    /// Connections of this worker.
    pub pool: Pool,
    /// Where commands go.
    pub tx: Tx,
    /// Where notes to control go. When the ring is full the newest is dropped and counted: what
    /// it told is told again by the next failure.
    pub notes: ring::Sender<Note>,
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
            board: parts.board,
            pool: parts.pool,
            tx: parts.tx,
            notes: parts.notes,
            metrics: parts.metrics,
            start: parts.start,
            reports: parts.reports,
            told: parts.start,
            actions: Vec::new(),
        }
    }

    /// Serves commands and notices until `stop`.
    pub async fn run(
        mut self,
        mut rx: Rx,
        mut notices: ring::Receiver<Notice>,
        stop: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                _ = tick.tick() => self.tick(),
                Some(notice) = notices.pop() => self.notice(notice),
                Some(command) = rx.recv() => self.command(command),
            }
        }
    }

    fn now(&self) -> Now {
        self.start.elapsed()
    }

    fn tick(&mut self) {
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
            asked: a.taken + a.refused,
            in_flight: a.in_flight,
        });
        let note = Note::Demand(snapshot.view.bundle.digest, demands.collect());
        let _ = self.notes.push(note);
    }

    /// Takes the newest snapshot, if there is a new one.
    fn refresh(&mut self) {
        let newest = self.board.load();
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

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Load(name, report) => {
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
            Command::Left(id) => self.left(id),
            Command::Probed(name, alive) => {
                if let Some(endpoint) = self.endpoint(&name) {
                    self.handle(Event::Probed(endpoint, alive));
                }
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
            committed: false,
            running: None,
        };
        self.sessions.insert(arrival.request.id, session);
        self.handle(Event::Arrive(arrival.request));
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
        self.handle(Event::Left(id));
        self.remove(id);
    }

    /// The session, if `attempt` is its current one. What an ended attempt still sends stops here.
    fn current(&mut self, id: Id, attempt: Attempt) -> Option<&mut Session> {
        let session = self.sessions.get_mut(&id);
        let session = session.filter(|s| s.running.as_ref().is_some_and(|r| r.attempt == attempt));
        if session.is_none() {
            self.metrics.stale.add(1, &[]);
        }
        session
    }

    fn chain(&mut self, id: Id, attempt: Attempt, event: chain::Event) {
        let Some(session) = self.current(id, attempt) else {
            return;
        };
        match event {
            chain::Event::Sent => {}
            chain::Event::Progress { hop, .. } => self.handle(Event::Progress(id, attempt, hop)),
            chain::Event::Token(token) => {
                session.had.push(token.clone());
                let _ = session.reply.send(Reply::Token(token));
                self.metrics.tokens.add(1, &[]);
                self.handle(Event::Token(id, attempt));
            }
            chain::Event::Finished {
                stop,
                prompt_tokens,
            } => {
                session.end.stop = stop;
                session.end.prompt_tokens = prompt_tokens;
                // The driver still closes its streams: cancelled now, it would reset them, and the
                // engines would take a whole answer for one that was given up.
                session.running = None;
                self.handle(Event::Finished(id, attempt));
            }
            chain::Event::Failed {
                hop,
                cause,
                sent,
                retry_after,
            } => {
                let place = usize::from(hop);
                let failure = self.failure(id, place, cause::chain(cause), sent, retry_after);
                self.handle(Event::Failed(id, attempt, failure));
            }
        }
    }

    fn call(&mut self, id: Id, attempt: Attempt, event: CallEvent) {
        let Some(session) = self.current(id, attempt) else {
            return;
        };
        match event {
            CallEvent::Head(parts) => {
                session.committed = true;
                let _ = session.reply.send(Reply::Head(parts));
                self.handle(Event::Progress(id, attempt, 0));
            }
            CallEvent::Finished => self.handle(Event::Finished(id, attempt)),
            CallEvent::Failed(failure) => {
                let committed = session.committed;
                let failure =
                    self.failure(id, 0, cause::service(failure.cause), failure.sent, None);
                if committed {
                    // Part of the answer is with the caller: a second run would be appended to it.
                    self.finish(id, Outcome::Unknown);
                }
                self.handle(Event::Failed(id, attempt, failure));
                if committed {
                    self.handle(Event::Left(id));
                    self.remove(id);
                }
            }
        }
    }

    fn failure(
        &self,
        id: Id,
        hop: usize,
        cause: Cause,
        sent: bool,
        retry_after: Option<Duration>,
    ) -> Failure {
        let session = self.sessions.get(&id);
        let running = session.and_then(|s| s.running.as_ref());
        let stage = running.and_then(|r| r.stages.get(hop));
        Failure {
            endpoint: stage.map_or(EndpointId::MAX, |s| s.endpoint),
            cause,
            sent,
            retry_after,
        }
    }

    /// Id of a named endpoint in the bundle that the router knows.
    fn endpoint(&self, name: &str) -> Option<EndpointId> {
        let snapshot = self.snapshot.as_ref()?;
        snapshot.view.bundle.endpoint(name)
    }

    /// Name and address of an endpoint.
    fn stage(&self, hop: &Hop) -> Option<Stage> {
        let snapshot = self.snapshot.as_ref()?;
        let row = snapshot.view.bundle.endpoints.get(hop.endpoint as usize)?;
        Some(Stage {
            endpoint: hop.endpoint,
            name: row.name.as_str().into(),
            addr: row.addr,
            from: hop.from,
            to: hop.to,
        })
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
                if let Some(stage) = self.stage(&whole(endpoint)) {
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
        let Some(stage) = self.stage(&whole(endpoint)) else {
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
            Observation::Ejected(e) => self.stage(&whole(e)).map(|s| Note::Ejected(s.name)),
            Observation::Restored(e) => self.stage(&whole(e)).map(|s| Note::Restored(s.name)),
            Observation::Suspect(fingerprint) => Some(Note::Suspect(fingerprint)),
            Observation::Condemned(fingerprint) => Some(Note::Condemned(fingerprint)),
        };
        if let Some(note) = note {
            let _ = self.notes.push(note);
        }
    }

    fn dump(&self) -> String {
        format!("sessions: {}\n{}", self.sessions.len(), self.router)
    }
}

/// A hop that only names its endpoint.
fn whole(endpoint: EndpointId) -> Hop {
    Hop {
        endpoint,
        from: 0,
        to: 0,
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
