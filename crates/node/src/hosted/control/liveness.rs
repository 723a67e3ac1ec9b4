//! Failure detection for the engines that this node polls, without I/O.
//!
//! An engine has ended if it refuses a new connection after its kept one closed, or if two polls in a
//! row are unanswered. Either counts only with a witness: another engine of the service that this node
//! reached in the meantime. Without one, this node may have lost its own paths. Unanswered polls count
//! only if this process ran on time, since otherwise answers may wait unread in its sockets.
//!
//! A connection that is accepted doesn't show that an engine is alive: the kernel accepts connections
//! for a stopped process, and another process may have taken over the address. An answer of the run does.
//!
//! Unanswered polls of many engines at once are no evidence either: then the link of this node is full.
//!
//! Designed for the 48 engines that one node polls, up to 7 polls a second each, and for all of them
//! ending at once.

mod engine;

pub use engine::{Action, Evidence, Watch};

use engine::{Contact, Engine, Phase, RETRY_INTERVAL, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Lateness of this process's timer from which unanswered polls are no evidence.
const MAX_LATENESS: Duration = Duration::from_millis(20);
/// Polls that are due within this time are sent together, so that control wakes up less often.
const COALESCING: Duration = Duration::from_millis(10);
/// Shortest time between two reconnections that closings cause. An engine that closes each connection
/// after one response would otherwise be polled without a pause.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a new connection that closed again is replaced. A process that ends may still accept a
/// connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Shortest time between two requests for witnesses of one service. One request serves all engines of the
/// service that fail together.
const MIN_WITNESS_INTERVAL: Duration = Duration::from_millis(10);
/// Number of engines of a service that must have answered for each one that did not. More engines that
/// do not answer at once point to the path or the link of this node.
const ANSWERS_PER_VERDICT: usize = 2;
/// Time for which contacts with engines that are not watched are kept, longer than any suspicion lasts
/// before it is judged.
const CONTACT_RETENTION: Duration = Duration::from_secs(2);
/// Lifetime of a published verdict.
pub const VERDICT_TTL: Duration = Duration::from_millis(2500);

/// The watched engines and what is known of them.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    engines: BTreeMap<String, Engine>,
    /// When engines were reached, also such that are not watched.
    contacts: BTreeMap<String, Contact>,
    /// Services that this node is isolated from.
    isolated: BTreeSet<String>,
    /// When a witness was last requested, by service.
    witness_requests: BTreeMap<String, Instant>,
    /// When this process was last found to run late.
    late_at: Option<Instant>,
    actions: Vec<Action>,
}

impl Liveness {
    /// Replaces the engines to be watched and the services that this node is isolated from. A verdict on
    /// an engine that is no longer watched is not withdrawn; it expires.
    pub fn update(&mut self, now: Instant, watched: Vec<Watch>, isolated: BTreeSet<String>) {
        let runs: BTreeSet<&str> = watched.iter().map(|w| w.run.as_str()).collect();
        self.engines.retain(|run, _| runs.contains(run.as_str()));
        self.isolated = isolated;
        for watch in watched {
            let engine = self.engines.entry(watch.run);
            let engine = engine.or_insert_with(|| Engine::new(watch.service));
            if engine.interval != watch.interval {
                engine.interval = watch.interval;
                engine.next_poll = engine.next_poll_after(now);
            }
        }
        self.contacts.retain(|_, contact| {
            let last = contact.accepted_at.max(contact.answered_at);
            last.is_some_and(|at| now < at + CONTACT_RETENTION)
        });
        self.witness_requests
            .retain(|_, at| now < *at + CONTACT_RETENTION);
    }

    /// Returns whether a run is watched.
    pub fn watches(&self, run: &str) -> bool {
        self.engines.contains_key(run)
    }

    /// Returns the runs that are suspected or were found to have ended: they are no witnesses.
    pub fn suspects(&self) -> BTreeSet<&str> {
        let engines = self.engines.iter();
        let suspects =
            engines.filter(|(_, e)| e.verdict.is_some() || e.phase.suspected_since().is_some());
        suspects.map(|(run, _)| run.as_str()).collect()
    }

    /// Takes the actions that the calls before produced.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Self::tick`] must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.engines.values().filter_map(Engine::deadline).min()
    }

    /// Polls a run on request, unless a poll of it is in progress.
    pub fn request_poll(&mut self, now: Instant, run: &str) {
        if let Some(engine) = self.engines.get_mut(run)
            && engine.phase == Phase::Idle
        {
            engine.poll(now, run, &mut self.actions);
        }
    }

    /// Handles a new connection to an engine, which may be one that is not watched.
    pub fn accepted(&mut self, now: Instant, run: &str, service: &str) {
        self.contact(run, service).accepted_at = Some(now);
        if let Some(engine) = self.engines.get_mut(run)
            && let Phase::Refused { since, .. } = engine.phase
        {
            engine.phase = Phase::Reconnecting {
                since,
                deadline: now + engine.timeout,
            };
        }
        self.judge_refused(now, service);
    }

    /// Handles an answer of an engine, which may be one that is not watched, `elapsed` after the poll.
    pub fn answered(&mut self, now: Instant, run: &str, service: &str, elapsed: Duration) {
        self.contact(run, service).answered_at = Some(now);
        if let Some(engine) = self.engines.get_mut(run) {
            engine.phase = Phase::Idle;
            engine.adapt_timeout(elapsed);
            engine.record_poll_time(elapsed);
            // A poll that fell due while this one was unanswered is not late.
            engine.next_poll = engine.next_poll.map(|at| at.max(now));
            if let Some(verdict) = engine.verdict.take() {
                engine.next_poll = engine.next_poll_after(now);
                self.actions.push(Action::Withdraw {
                    run: run.to_owned(),
                    evidence: verdict.evidence,
                });
            }
        }
        self.judge_refused(now, service);
    }

    /// Handles an answer of a later run at the address of a watched one, which has therefore ended.
    pub fn replaced(&mut self, now: Instant, run: &str) {
        if let Some(engine) = self.engines.get_mut(run) {
            engine.phase = Phase::Idle;
            self.conclude(now, run, Evidence::Replaced);
        }
    }

    /// Handles the closing of a run's kept connection.
    pub fn closed(&mut self, now: Instant, run: &str) {
        let Some(engine) = self.engines.get_mut(run) else {
            return;
        };
        if let Phase::Reconnecting { deadline, .. } = &mut engine.phase {
            *deadline = (*deadline).min(now + RECONNECT_DELAY);
            return;
        }
        let recent = |at| now < at + MIN_RECONNECT_INTERVAL;
        let suspected = engine.phase.suspected_since().is_some();
        if suspected || engine.verdict.is_some() || engine.last_reconnect.is_some_and(recent) {
            return;
        }
        engine.last_reconnect = Some(now);
        engine.phase = Phase::Reconnecting {
            since: now,
            deadline: now + engine.timeout,
        };
        self.actions.push(Action::Poll {
            run: run.to_owned(),
            kept: false,
        });
        let service = engine.service.clone();
        self.find_witness(now, service);
    }

    /// Handles the refusal of a new connection to a run.
    pub fn refused(&mut self, now: Instant, run: &str) {
        let Some(engine) = self.engines.get_mut(run) else {
            return;
        };
        engine.phase = Phase::Refused {
            since: engine.phase.suspected_since().unwrap_or(now),
            retry_at: now + RETRY_INTERVAL,
        };
        let service = engine.service.clone();
        self.judge_refused(now, &service);
        let engine = self.engines.get(run);
        if engine.is_some_and(|e| e.phase != Phase::Idle) {
            self.find_witness(now, service);
        }
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Instant) {
        let deadline = self.next_deadline();
        if deadline.is_some_and(|at| now > at + MAX_LATENESS) {
            self.late_at = Some(now);
        }
        let due = |(run, engine): (&String, &Engine)| {
            let deadline = engine.deadline()?;
            (deadline <= now + COALESCING).then(|| run.clone())
        };
        let due: Vec<String> = self.engines.iter().filter_map(due).collect();
        for run in due {
            self.tick_engine(now, &run);
        }
    }

    fn tick_engine(&mut self, now: Instant, run: &str) {
        let Some(engine) = self.engines.get_mut(run) else {
            return;
        };
        engine.renew(now, run, &mut self.actions);
        let service = engine.service.clone();
        match engine.phase {
            Phase::Idle => {
                let due = engine.next_poll.is_some_and(|at| at <= now + COALESCING);
                if due && engine.verdict.is_none() {
                    engine.poll(now, run, &mut self.actions);
                }
            }
            Phase::Polled { since, deadline } | Phase::Reconnecting { since, deadline }
                if deadline <= now =>
            {
                if engine.verdict.is_some() {
                    engine.phase = Phase::Idle;
                    return;
                }
                engine.poll_again(now, since, run, &mut self.actions);
                self.find_witness(now, service);
            }
            Phase::PolledAgain {
                deadline,
                ref mut checked_at,
                ..
            } if now < deadline => *checked_at = now,
            Phase::PolledAgain { since, .. } => {
                engine.phase = Phase::Idle;
                engine.next_poll = engine.interval.map(|_| now);
                self.judge_unanswered(now, since, run, &service);
            }
            Phase::Refused { since, retry_at } if retry_at <= now => {
                engine.retry(now, since, run, &mut self.actions);
                self.find_witness(now, service);
            }
            _ => {}
        }
    }

    /// Judges a run of which two polls are unanswered, the first of them sent at `since`.
    fn judge_unanswered(&mut self, now: Instant, since: Instant, run: &str, service: &str) {
        let late = self.late_at.is_some_and(|at| at >= since);
        let reason = if self.isolated.contains(service) {
            "isolated"
        } else if late {
            "late"
        } else if !self.has_witness(run, service, |c| c.answered_at >= Some(since)) {
            "no witness"
        } else if self.is_widespread(now, since, service) {
            "widespread"
        } else {
            return self.conclude(now, run, Evidence::Unanswered);
        };
        let run = run.to_owned();
        self.actions.push(Action::Drop { run, reason });
    }

    /// Returns whether too many engines of a service have been unanswered since `since`, in comparison to
    /// those that answered.
    fn is_widespread(&self, now: Instant, since: Instant, service: &str) -> bool {
        let engines = self.engines.iter().filter(|(_, e)| e.service == service);
        let last_answer = |run: &String| self.contacts.get(run).and_then(|c| c.answered_at);
        // An engine that is polled and sound has answered within an interval.
        let unanswered =
            engines.filter(
                |(run, engine)| match (engine.verdict, engine.poll_interval()) {
                    (Some(verdict), _) => verdict.published_at >= since,
                    (None, Some(interval)) => {
                        last_answer(run).is_none_or(|at| now > at + interval + MAX_LATENESS)
                    }
                    (None, None) => false,
                },
            );
        let unanswered = unanswered.count();
        // Engines that are not watched here count too, as witnesses.
        let contacts = self.contacts.values().filter(|c| c.service == service);
        let answered = contacts.filter(|c| c.answered_at >= Some(since)).count();
        unanswered > 1 && answered < ANSWERS_PER_VERDICT * unanswered
    }

    /// Judges the engines of a service that refuse connections.
    fn judge_refused(&mut self, now: Instant, service: &str) {
        if self.isolated.contains(service) {
            return;
        }
        let refusing = |(run, engine): (&String, &Engine)| match engine.phase {
            Phase::Refused { since, .. } if engine.service == service => Some((run.clone(), since)),
            _ => None,
        };
        let refusing: Vec<_> = self.engines.iter().filter_map(refusing).collect();
        for (run, since) in refusing {
            let reached = |c: &Contact| c.accepted_at.max(c.answered_at) >= Some(since);
            if self.has_witness(&run, service, reached) {
                self.conclude(now, &run, Evidence::Refused);
            }
        }
    }

    /// Returns whether another engine of the service was reached in the sense of `reached`.
    fn has_witness(&self, run: &str, service: &str, reached: impl Fn(&Contact) -> bool) -> bool {
        let mut others = self.contacts.iter();
        others.any(|(other, c)| other != run && c.service == service && reached(c))
    }

    /// Gives the verdict that a run has ended. Weaker evidence doesn't replace stronger.
    fn conclude(&mut self, now: Instant, run: &str, evidence: Evidence) {
        let Some(engine) = self.engines.get_mut(run) else {
            return;
        };
        engine.phase = Phase::Idle;
        let known = |v: Verdict| v.evidence.is_conclusive() || v.evidence == evidence;
        if engine.verdict.is_some_and(known) {
            return;
        }
        engine.verdict = Some(Verdict {
            evidence,
            published_at: now,
        });
        self.actions.push(Action::Ended {
            run: run.to_owned(),
            evidence,
            renewal: false,
        });
    }

    fn contact(&mut self, run: &str, service: &str) -> &mut Contact {
        let contact = self.contacts.entry(run.to_owned());
        contact.or_insert_with(|| Contact {
            service: service.to_owned(),
            accepted_at: None,
            answered_at: None,
        })
    }

    fn find_witness(&mut self, now: Instant, service: String) {
        let recent = |at: &Instant| now < *at + MIN_WITNESS_INTERVAL;
        if self.witness_requests.get(&service).is_some_and(recent) {
            return;
        }
        self.witness_requests.insert(service.clone(), now);
        self.actions.push(Action::FindWitness { service });
    }
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (run, engine) in &self.engines {
            writeln!(f, "watched {run} of {engine}")?;
        }
        Ok(())
    }
}
