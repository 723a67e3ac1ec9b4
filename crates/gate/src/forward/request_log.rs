//! Log and metrics of one request.

use crate::dialect::Dialect;
use crate::execution::Ledger;
use crate::forward::attempt::Progress;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::pool::Conn;
use crate::probe::Finding;
use crate::refusal::Refusal;
use crate::worker::Worker;
use catalog::endpoint::Run;
use catalog::quote::{MAX_QUOTED_CHARS, start_of};
use journal::Journal;
use journal::event::Event;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use steer::crash::Fingerprint;
use steer::evacuation::{Decision, Plan};
use steer::queue::Refused;
use steer::scarcity::Scarcity;
use steer::shortage::Shortage;
use steer::target::{Stage, Target};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Records the events of one request. If it is dropped before the end, it records that the caller
/// left, or that the node ended.
pub(crate) struct RequestLog {
    journal: Journal,
    metrics: Metrics,
    /// Cancelled when the node is about to end.
    ending: CancellationToken,
    id: String,
    route: String,
    catalog_version: u64,
    /// Number of tokens of the prompt, if the service runs a model.
    prompt: Option<u32>,
    received_at: Instant,
    first_event: Option<Instant>,
    attempts: Cell<u32>,
    executions: Ledger,
    reason: Cell<&'static str>,
    max_pause: Duration,
    /// When the last event was sent to the caller.
    last_event: Option<Instant>,
    ended: bool,
}

impl RequestLog {
    pub(crate) fn new<D: Dialect>(worker: &Worker<D>, job: &Job, executions: Ledger) -> Self {
        Self {
            journal: worker.journal.clone(),
            metrics: worker.metrics.clone(),
            ending: worker.ending(),
            id: start_of(job.id(), MAX_QUOTED_CHARS).to_owned(),
            route: job.route().name.clone(),
            catalog_version: job.catalog.version,
            prompt: job
                .service()
                .engine
                .as_ref()
                .map(|_| job.need().size.prompt),
            received_at: job.received_at,
            first_event: None,
            attempts: Cell::new(0),
            executions,
            reason: Cell::new(""),
            max_pause: Duration::ZERO,
            last_event: None,
            ended: false,
        }
    }

    /// Sets the reason that is recorded at the request's end.
    pub(crate) fn set_reason(&self, reason: &'static str) {
        self.reason.set(reason);
    }

    /// Begins an attempt, and returns its number.
    pub(crate) fn begin_attempt(&self) -> u32 {
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        self.metrics.record_attempt("sent");
        attempt
    }

    /// Records that the request of an attempt is sent on `conn`; `None` if no connection was established.
    pub(crate) fn record_sent(
        &self,
        attempt: u32,
        target: &Target,
        crossings: u32,
        conn: Option<&Conn>,
    ) {
        self.journal.record(Event::Sent {
            id: self.id.clone(),
            attempt,
            stages: stage_list(&target.stages),
            crossings,
            catalog: self.catalog_version,
            prompt: self.prompt,
            conn: conn.map(Conn::id),
            nth: conn.map(Conn::request_number),
        });
    }

    /// Records that the request of an attempt is sent once more, on another connection.
    pub(crate) fn record_resent(&self, attempt: u32, why: &str) {
        self.metrics.record_attempt("resent");
        self.journal.record(Event::Resent {
            id: self.id.clone(),
            attempt,
            why: why.to_owned(),
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Records that the request was sent to another node, and returns the number of the attempt.
    pub(crate) fn record_relayed(&self, node: SocketAddr) -> u32 {
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        self.metrics.record_attempt("relayed");
        self.journal.record(Event::Relayed {
            id: self.id.clone(),
            attempt,
            node: node.to_string(),
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
        attempt
    }

    /// Records that a stage of an attempt was replaced.
    pub(crate) fn record_reroute(
        &self,
        attempt: u32,
        replaced: SocketAddr,
        stages: &[Stage],
        crossings: u32,
    ) {
        self.metrics.record_attempt("stage replaced");
        self.journal.record(Event::Detour {
            id: self.id.clone(),
            attempt,
            culprit: replaced.to_string(),
            stages: stage_list(stages),
            crossings,
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Records how a response continues whose chain has ended stages, after an idle time.
    pub(crate) fn record_move(
        &self,
        attempt: u32,
        ended: &[SocketAddr],
        decision: &Decision,
        idle: Duration,
    ) {
        let option = match decision.plan {
            Plan::Replace(_) => "replace",
            Plan::Resume(_) => "resume",
            Plan::Defer(_) => "defer",
            Plan::Stay => "stay",
        };
        self.metrics.record_move(option, idle);
        let ms = |time: Option<Duration>| time.map(|t| t.as_millis() as u64);
        let ended: Vec<_> = ended.iter().map(SocketAddr::to_string).collect();
        self.journal.record(Event::Moved {
            id: self.id.clone(),
            attempt,
            ended: ended.join(","),
            option,
            replace_ms: ms(decision.replace),
            resume_ms: ms(decision.resume),
            quiet_ms: idle.as_millis() as u64,
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Returns whether an event was sent to the caller.
    pub(crate) fn has_started(&self) -> bool {
        self.first_event.is_some()
    }

    /// Records that no endpoint could take the request.
    pub(crate) fn record_shortage(&self, shortage: Shortage, scarcity: &Scarcity) {
        let percent = |fraction: f64| (fraction * 100.0).round() as u64;
        self.journal.record(Event::Short {
            id: self.id.clone(),
            shortage: shortage.as_str(),
            known: scarcity.known,
            open: scarcity.available,
            layer: scarcity.layer,
            free_percent: percent(scarcity.free),
            pipe_percent: percent(scarcity.link),
            age_ms: scarcity.age.as_millis() as u64,
            catalog: self.catalog_version,
        });
    }

    /// Records that the queue of a service refused the request.
    pub(crate) fn record_queue_refusal(
        &self,
        service: &str,
        refused: &Refused,
        retry_after: Duration,
    ) {
        let millis = |time: Duration| time.as_millis() as u64;
        self.journal.record(Event::QueueRefusal {
            id: self.id.clone(),
            service: service.to_owned(),
            cause: refused.cause.as_str(),
            ahead: refused.ahead,
            estimate_ms: refused.estimate.map(millis),
            waited_ms: millis(refused.waited),
            retry_after_ms: millis(retry_after),
        });
    }

    /// Records that an attempt is idle, and that another endpoint is tried beside it.
    pub(crate) fn record_idle(&self, attempt: u32, why: &'static str) {
        self.metrics.record_attempt("idle");
        self.journal.record(Event::Idle {
            id: self.id.clone(),
            attempt,
            why,
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Records that an attempt failed.
    pub(crate) fn record_failure(&self, attempt: u32, why: &str, ran: bool) {
        self.metrics
            .record_attempt(if ran { "failed" } else { "not run" });
        self.journal.record(Event::Failed {
            id: self.id.clone(),
            attempt,
            why: why.to_owned(),
            ran,
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Records that the response of an attempt ended with its connection, after event `event_id`, and whether it
    /// counts as whole.
    pub(crate) fn record_unmarked(
        &self,
        progress: &Progress,
        event_id: Option<u64>,
        is_whole: bool,
    ) {
        self.metrics.record_attempt("unmarked end");
        self.journal.record(Event::Unmarked {
            id: self.id.clone(),
            attempt: progress.attempt.get(),
            run: progress.head.run.to_string(),
            event_id,
            whole: is_whole,
            after_ms: self.received_at.elapsed().as_millis() as u64,
        });
    }

    /// Records that an endpoint names another limit than before; `interval` is the time between two
    /// requests.
    pub(crate) fn record_limit(&self, run: &Run, interval: Option<Duration>) {
        self.metrics.record_attempt("limit changed");
        self.journal.record(Event::Limit {
            id: self.id.clone(),
            run: run.to_string(),
            per_second: interval.map(|i| 1.0 / i.as_secs_f64()),
        });
    }

    /// Returns the record of a broken attempt, to be written once its endpoint was probed.
    /// `features` are those of [`Job::features`].
    pub(crate) fn broken(
        &self,
        attempt: u32,
        run: &Run,
        features: &[Fingerprint],
    ) -> BrokenAttempt {
        BrokenAttempt {
            journal: self.journal.clone(),
            metrics: self.metrics.clone(),
            id: self.id.clone(),
            attempt,
            run: run.to_string(),
            features: features.iter().map(|f| format!("{f:016x}")).collect(),
        }
    }

    /// Records that the response's head and first event were sent to the caller.
    pub(crate) fn record_first_event(&mut self) {
        self.first_event = Some(Instant::now());
        self.last_event = self.first_event;
        self.metrics.record_first_event(self.received_at.elapsed());
    }

    /// Records that a further event was sent to the caller. The pause is measured between the
    /// caller's events, also if the response was resumed from another endpoint meanwhile.
    pub(crate) fn record_event(&mut self) {
        let pause = self.last_event.unwrap_or(self.received_at).elapsed();
        self.max_pause = self.max_pause.max(pause);
        self.last_event = Some(Instant::now());
        self.metrics.record_pause(pause);
    }

    /// Ends the log of a request that the node refused or failed.
    pub(crate) fn end_refused(&mut self, refusal: Refusal) {
        let why = match self.reason.get() {
            "" => refusal.reason.message().to_owned(),
            detail => format!("{}: {detail}", refusal.reason.message()),
        };
        self.end(refusal.reason.status().as_u16(), "refused", why);
    }

    /// Ends the log of a request whose response was sent completely.
    pub(crate) fn end_answered(&mut self, status: u16) {
        self.end(status, "answered", String::new());
    }

    /// Ends the log of a request whose response was cut off after it had started.
    pub(crate) fn end_truncated(&mut self) {
        let why = self.reason.get().to_owned();
        self.end(200, "broken off", why);
    }

    fn end(&mut self, status: u16, outcome: &'static str, why: String) {
        self.ended = true;
        let head_sent = self.first_event.unwrap_or_else(Instant::now);
        self.metrics
            .record_request(outcome, status, self.received_at.elapsed());
        self.journal.record(Event::Ended {
            id: std::mem::take(&mut self.id),
            route: std::mem::take(&mut self.route),
            status,
            outcome,
            why,
            attempts: self.attempts.get(),
            possible_runs: self.executions.possible_runs(),
            head_ms: (head_sent - self.received_at).as_millis() as u64,
            all_ms: self.received_at.elapsed().as_millis() as u64,
            pause_ms: self.max_pause.as_millis() as u64,
            quiet_ms: self
                .last_event
                .unwrap_or(self.received_at)
                .elapsed()
                .as_millis() as u64,
        });
    }
}

/// Record of an attempt whose connection broke.
pub(crate) struct BrokenAttempt {
    journal: Journal,
    metrics: Metrics,
    id: String,
    attempt: u32,
    run: String,
    features: Vec<String>,
}

impl BrokenAttempt {
    /// Writes the record, with what the probe showed.
    pub(crate) fn end(self, finding: Finding) {
        let crashed = finding == Finding::Ended;
        if crashed {
            self.metrics.record_attempt("endpoint crashed");
        }
        let mut features = self.features.into_iter();
        self.journal.record(Event::Broken {
            id: self.id,
            attempt: self.attempt,
            run: self.run,
            content: features.next().unwrap_or_default(),
            parts: features.collect(),
            crashed,
        });
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        match self.ending.is_cancelled() {
            true => self.end(0, "broken off", "the node ended".to_owned()),
            false => self.end(0, "left", "the caller left".to_owned()),
        }
    }
}

fn stage_list(stages: &[Stage]) -> String {
    let stages = stages.iter();
    let stages: Vec<_> = stages.map(|s| format!("{}={}", s.run, s.span)).collect();
    stages.join(",")
}
