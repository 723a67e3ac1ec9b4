//! What is told of one request, decision by decision.

use crate::job::Job;
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use journal::Journal;
use journal::event::Event;
use std::net::SocketAddr;
use steer::scarcity::Scarcity;
use steer::shortage::Shortage;
use steer::target::{Stage, Target};
use tokio::time::Instant;

/// Tells of one request. Dropped before its end, it tells that the caller left.
pub(crate) struct Story {
    journal: Journal,
    metrics: Metrics,
    id: String,
    route: String,
    catalog: u64,
    came: Instant,
    head: Option<Instant>,
    attempts: u32,
    note: &'static str,
    pause: std::time::Duration,
    /// When the caller was last given an event.
    given: Option<Instant>,
    ended: bool,
}

impl Story {
    pub(crate) fn new(journal: Journal, metrics: Metrics, job: &Job) -> Self {
        Self {
            journal,
            metrics,
            id: job.id().to_owned(),
            route: job.route().name.clone(),
            catalog: job.catalog.version,
            came: job.came,
            head: None,
            attempts: 0,
            note: "",
            pause: std::time::Duration::ZERO,
            given: None,
            ended: false,
        }
    }

    /// Keeps a reason for the end.
    pub(crate) fn note(&mut self, note: &'static str) {
        self.note = note;
    }

    /// An attempt was sent.
    pub(crate) fn sent(&mut self, target: &Target, crossings: u32) {
        self.attempts += 1;
        self.metrics.attempt("sent");
        self.journal.record(Event::Sent {
            id: self.id.clone(),
            attempt: self.attempts,
            stages: text(&target.stages),
            crossings,
            catalog: self.catalog,
        });
    }

    /// A stage of an attempt was replaced.
    pub(crate) fn detour(&self, culprit: SocketAddr, stages: &[Stage], crossings: u32) {
        self.metrics.attempt("stage replaced");
        self.journal.record(Event::Detour {
            id: self.id.clone(),
            attempt: self.attempts,
            culprit: culprit.to_string(),
            stages: text(stages),
            crossings,
            after_ms: self.came.elapsed().as_millis() as u64,
        });
    }

    /// No endpoint could take the request.
    pub(crate) fn short(&self, shortage: Shortage, scarcity: &Scarcity) {
        let percent = |part: f64| (part * 100.0).round() as u64;
        self.journal.record(Event::Short {
            id: self.id.clone(),
            shortage: shortage.as_str(),
            known: scarcity.known,
            open: scarcity.available,
            layer: scarcity.layer,
            free_percent: percent(scarcity.free),
            pipe_percent: percent(scarcity.pipe),
            age_ms: scarcity.age.as_millis() as u64,
            catalog: self.catalog,
        });
    }

    /// An attempt failed.
    pub(crate) fn failed(&self, why: &str, ran: bool) {
        self.metrics.attempt(if ran { "failed" } else { "not run" });
        self.journal.record(Event::Failed {
            id: self.id.clone(),
            attempt: self.attempts,
            why: why.to_owned(),
            ran,
            after_ms: self.came.elapsed().as_millis() as u64,
        });
    }

    /// The answer's head went to the caller.
    pub(crate) fn begun(&mut self) {
        self.head = Some(Instant::now());
        self.given = self.head;
        self.metrics.first(self.came.elapsed());
    }

    /// A further event went to the caller. The pause before it is the caller's, whether or not the answer
    /// went on from another endpoint meanwhile.
    pub(crate) fn went_on(&mut self) {
        let pause = self.given.unwrap_or(self.came).elapsed();
        self.pause = self.pause.max(pause);
        self.given = Some(Instant::now());
        self.metrics.pause(pause);
    }

    /// The node answered by itself.
    pub(crate) fn refused(&mut self, refusal: Refusal) {
        let why = match self.note {
            "" => refusal.reason.message().to_owned(),
            note => format!("{}: {note}", refusal.reason.message()),
        };
        self.end(refusal.reason.status().as_u16(), "refused", why);
    }

    /// An endpoint's answer went to the caller as a whole.
    pub(crate) fn answered(&mut self, status: u16) {
        self.end(status, "answered", String::new());
    }

    /// An answer that had begun was broken off.
    pub(crate) fn broken(&mut self) {
        let why = self.note.to_owned();
        self.end(200, "broken off", why);
    }

    fn end(&mut self, status: u16, outcome: &'static str, why: String) {
        self.ended = true;
        let head = self.head.unwrap_or_else(Instant::now);
        self.metrics.ended(outcome, status, self.came.elapsed());
        self.journal.record(Event::Ended {
            id: std::mem::take(&mut self.id),
            route: std::mem::take(&mut self.route),
            status,
            outcome,
            why,
            attempts: self.attempts,
            head_ms: (head - self.came).as_millis() as u64,
            all_ms: self.came.elapsed().as_millis() as u64,
            pause_ms: self.pause.as_millis() as u64,
            quiet_ms: self.given.unwrap_or(self.came).elapsed().as_millis() as u64,
        });
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        if !self.ended {
            self.end(0, "left", "the caller left".to_owned());
        }
    }
}

fn text(stages: &[Stage]) -> String {
    let stages = stages.iter();
    let stages: Vec<_> = stages.map(|s| format!("{}={}", s.run, s.span)).collect();
    stages.join(",")
}
