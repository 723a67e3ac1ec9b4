//! One watched engine: its polls, and the verdict on it.

use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a poll. Engines report immediately, whatever their load; the rest covers a crossing
/// between zones.
const POLL_TIMEOUT: Duration = Duration::from_millis(80);
/// Timeout of the second poll, on a new connection: it covers a lost packet or connection, not a slow
/// engine.
const SECOND_POLL_TIMEOUT: Duration = Duration::from_millis(40);
/// Age at which a verdict that holds is published again. Dissemination without a broadcast may take a
/// second.
const RENEWAL_AGE: Duration = Duration::from_millis(1000);
/// Factor from the time of an engine's late answer to the timeout of its next polls.
const LATE_ANSWER_FACTOR: u32 = 2;
/// Time of a poll above which an engine is polled for its load only. At 7 polls a second, such polls take
/// more than a fiftieth of the engine's time from its requests.
const MAX_FREQUENT_POLL_TIME: Duration = Duration::from_millis(3);
/// Factor by which the known time of a poll grows with each poll that takes longer. The shortest recent
/// one counts, since the others include delays of this node.
const POLL_TIME_GROWTH: f64 = 1.1;
/// Upper bound of the timeout of a poll. It is the time after which a poll is given up altogether.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which an engine is tried again that refuses connections while there is no witness.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which the timer of this process is checked while the second poll is unanswered. A verdict
/// then needs 40 ms in which the process ran on time.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Factor by which the timeout of polls shrinks with each answer in time.
const TIMEOUT_DECAY: f64 = 0.9;

/// An engine to be watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The run, as text.
    pub run: String,
    /// Name of its service.
    pub service: String,
    /// Interval of polls; `None` if the engine is only polled on request.
    pub interval: Option<Duration>,
}

/// What a verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The engine refuses connections.
    Refused,
    /// Two polls in a row were unanswered.
    Unanswered,
    /// A later run answers at the address.
    Replaced,
}

impl Evidence {
    /// Returns whether the evidence excludes that the engine is only slow or out of reach.
    pub fn is_conclusive(self) -> bool {
        self != Self::Unanswered
    }

    /// Returns the label of the evidence in metrics and in the dump.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Replaced => "replaced",
        }
    }
}

/// An action that the caller is to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Poll a run, on its kept connection if `kept` is set and there is one, else on a new one.
    Poll {
        /// The run.
        run: String,
        /// Whether the kept connection may be used.
        kept: bool,
    },
    /// Poll a few engines of a service on new connections, except those in [`super::Liveness::suspects`].
    FindWitness {
        /// Name of the service.
        service: String,
    },
    /// Publish that a run has ended. Repeated while the verdict holds.
    Ended {
        /// The run.
        run: String,
        /// What the verdict is based on.
        evidence: Evidence,
        /// Whether the verdict is the same as before.
        renewal: bool,
    },
    /// Publish that a run is alive, contrary to the verdict before.
    Withdraw {
        /// The run.
        run: String,
        /// What the verdict was based on.
        evidence: Evidence,
    },
    /// Record that a suspicion was dropped, with the reason.
    Drop {
        /// The run.
        run: String,
        /// Why there is no verdict.
        reason: &'static str,
    },
}

/// How far the polls of an engine have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No poll is unanswered.
    Idle,
    /// A poll is unanswered.
    Polled { since: Instant, deadline: Instant },
    /// The kept connection closed, and a new one is being opened.
    Reconnecting { since: Instant, deadline: Instant },
    /// A poll is unanswered, and so is the second one on a new connection.
    PolledAgain {
        since: Instant,
        deadline: Instant,
        /// When the timer of this process was last checked.
        checked_at: Instant,
    },
    /// The engine refuses connections; there is no witness yet.
    Refused { since: Instant, retry_at: Instant },
}

impl Phase {
    pub(super) fn deadline(self) -> Option<Instant> {
        match self {
            Self::Idle => None,
            Self::Polled { deadline, .. } | Self::Reconnecting { deadline, .. } => Some(deadline),
            Self::PolledAgain {
                deadline,
                checked_at,
                ..
            } => Some(deadline.min(checked_at + TIMER_CHECK_INTERVAL)),
            Self::Refused { retry_at, .. } => Some(retry_at),
        }
    }

    /// Returns since when the engine is suspected.
    pub(super) fn suspected_since(self) -> Option<Instant> {
        match self {
            Self::Idle | Self::Polled { .. } => None,
            Self::Reconnecting { since, .. }
            | Self::PolledAgain { since, .. }
            | Self::Refused { since, .. } => Some(since),
        }
    }
}

/// A verdict that holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verdict {
    pub(super) evidence: Evidence,
    pub(super) published_at: Instant,
}

/// When an engine of a service was last reached.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    pub(super) service: String,
    pub(super) accepted_at: Option<Instant>,
    pub(super) answered_at: Option<Instant>,
}

/// A watched engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) service: String,
    pub(super) interval: Option<Duration>,
    /// When the next poll is due; `None` if the engine is only polled on request.
    pub(super) next_poll: Option<Instant>,
    pub(super) phase: Phase,
    /// Timeout of its polls.
    pub(super) timeout: Duration,
    /// Shortest recent time of an answered poll.
    pub(super) poll_time: Option<Duration>,
    pub(super) last_reconnect: Option<Instant>,
    pub(super) verdict: Option<Verdict>,
}

impl Engine {
    /// Begins a poll.
    pub(super) fn poll(&mut self, now: Instant, run: &str, actions: &mut Vec<Action>) {
        self.next_poll = self.next_poll_after(now);
        self.phase = Phase::Polled {
            since: now,
            deadline: now + self.timeout,
        };
        actions.push(Action::Poll {
            run: run.to_owned(),
            kept: self.verdict.is_none(),
        });
    }

    /// Returns the interval of polls; `None` if the engine is only polled on request.
    pub(super) fn poll_interval(&self) -> Option<Duration> {
        let is_costly = self.poll_time.is_some_and(|t| t > MAX_FREQUENT_POLL_TIME);
        self.interval.filter(|_| !is_costly)
    }

    /// Returns when the poll after one at `now` is due.
    pub(super) fn next_poll_after(&self, now: Instant) -> Option<Instant> {
        self.poll_interval().map(|interval| now + interval)
    }

    /// Records how long an answered poll took.
    pub(super) fn record_poll_time(&mut self, elapsed: Duration) {
        let known = self.poll_time.map(|t| t.mul_f64(POLL_TIME_GROWTH));
        self.poll_time = Some(known.map_or(elapsed, |known| known.min(elapsed)));
    }

    /// Sends the second poll of a suspicion on a new connection.
    pub(super) fn poll_again(
        &mut self,
        now: Instant,
        since: Instant,
        run: &str,
        actions: &mut Vec<Action>,
    ) {
        self.phase = Phase::PolledAgain {
            since,
            deadline: now + SECOND_POLL_TIMEOUT,
            checked_at: now,
        };
        actions.push(Action::Poll {
            run: run.to_owned(),
            kept: false,
        });
    }

    /// Creates an engine that has just been entered.
    pub(super) fn new(service: String) -> Self {
        Self {
            service,
            interval: None,
            next_poll: None,
            phase: Phase::Idle,
            timeout: POLL_TIMEOUT,
            poll_time: None,
            last_reconnect: None,
            verdict: None,
        }
    }

    /// Sets the timeout of the next polls after an answer that took `elapsed`. An engine that answers late
    /// is slow, not dead, so it gets more time.
    pub(super) fn adapt_timeout(&mut self, elapsed: Duration) {
        let needed = match elapsed > POLL_TIMEOUT {
            true => elapsed * LATE_ANSWER_FACTOR,
            false => POLL_TIMEOUT,
        };
        let decayed = self.timeout.mul_f64(TIMEOUT_DECAY);
        self.timeout = needed.max(decayed).min(MAX_POLL_TIMEOUT);
    }

    /// Tries again an engine that refuses connections.
    pub(super) fn retry(
        &mut self,
        now: Instant,
        since: Instant,
        run: &str,
        actions: &mut Vec<Action>,
    ) {
        self.phase = Phase::Refused {
            since,
            retry_at: now + RETRY_INTERVAL,
        };
        actions.push(Action::Poll {
            run: run.to_owned(),
            kept: false,
        });
    }

    /// Publishes a verdict that holds again, if that is due.
    pub(super) fn renew(&mut self, now: Instant, run: &str, actions: &mut Vec<Action>) {
        if let Some(verdict) = &mut self.verdict
            && now >= verdict.published_at + RENEWAL_AGE
        {
            verdict.published_at = now;
            actions.push(Action::Ended {
                run: run.to_owned(),
                evidence: verdict.evidence,
                renewal: true,
            });
        }
    }

    pub(super) fn deadline(&self) -> Option<Instant> {
        let renewal = self.verdict.map(|v| v.published_at + RENEWAL_AGE);
        let next_poll = match (self.phase, self.verdict) {
            (Phase::Idle, None) => self.next_poll,
            _ => None,
        };
        let all = [self.phase.deadline(), next_poll, renewal];
        all.into_iter().flatten().min()
    }
}

impl fmt::Display for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.service)?;
        if let Some(interval) = self.interval {
            write!(f, " every {} ms", interval.as_millis())?;
        }
        if self.timeout > POLL_TIMEOUT {
            write!(f, " timeout {} ms", self.timeout.as_millis())?;
        }
        match (self.verdict, self.phase.suspected_since()) {
            (Some(verdict), _) => write!(f, " ended {}", verdict.evidence.label()),
            (None, Some(_)) => f.write_str(" suspected"),
            (None, None) => Ok(()),
        }
    }
}
