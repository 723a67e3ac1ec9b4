//! What the lines tell of one request.

use super::cause::Cause;
use crate::line::Line;
use std::time::Duration;

/// Status from which on an answer is a failure.
const MIN_FAILURE_STATUS: u64 = 500;

/// Past what an answer is late.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to its head.
    pub head_time: Duration,
    /// Time between two events.
    pub pause: Duration,
}

/// How a request ended.
#[derive(Debug)]
struct End {
    /// Unix time in milliseconds at which it came.
    received_at: u64,
    outcome: String,
    reason: String,
    status: u64,
    head_time: Duration,
    /// Time from its start to its end.
    total: Duration,
    longest_pause: Duration,
    /// Time since the caller was last given an event, or since the request came.
    last_wait: Duration,
}

/// The account of one request.
#[derive(Debug, Default)]
pub struct Request {
    attempts: u64,
    rerouted: bool,
    /// Hops between zones of its last chain, if a line told.
    zone_crossings: Option<u64>,
    end: Option<End>,
}

impl Request {
    /// Takes one of its lines in.
    pub fn record(&mut self, line: &Line) {
        let crossings = line.number("crossings");
        match line.event.as_str() {
            "sent" => {
                self.attempts += 1;
                self.zone_crossings = crossings.or(self.zone_crossings);
            }
            "detour" => {
                self.rerouted = true;
                self.zone_crossings = crossings.or(self.zone_crossings);
            }
            "ended" => self.end = Some(End::from_line(line)),
            _ => {}
        }
    }

    /// When it came; nothing if its end is not told.
    pub fn received_at(&self) -> Option<u64> {
        self.end.as_ref().map(|e| e.received_at)
    }

    /// Why it was lost or late, and by how much late; nothing if it was on time.
    pub fn loss(&self, limits: &Limits) -> Option<(Cause, Duration)> {
        let end = self.end.as_ref()?;
        let over = end.head_time.saturating_sub(limits.head_time);
        let over = over.max(end.longest_pause.saturating_sub(limits.pause));
        let cause = match end.outcome.as_str() {
            "answered" if end.status >= MIN_FAILURE_STATUS => Cause::Failed,
            "answered" if over.is_zero() => return None,
            "answered" => return Some((self.late_cause(), over)),
            "refused" => Cause::from_reason(&end.reason),
            "broken off" => Cause::Interrupted,
            "left" if end.waited_too_long(limits) => Cause::Starved,
            "left" => Cause::Left,
            _ => Cause::Unknown,
        };
        Some((cause, Duration::ZERO))
    }

    fn late_cause(&self) -> Cause {
        match (self.rerouted, self.attempts, self.zone_crossings) {
            (true, _, _) => Cause::Rerouted,
            (_, 0, _) | (_, _, None) => Cause::Unknown,
            (_, 1, Some(0)) => Cause::SameZone,
            (_, 1, Some(_)) => Cause::CrossZone,
            (_, _, Some(_)) => Cause::Retried,
        }
    }
}

impl End {
    fn from_line(line: &Line) -> Self {
        let millis = |name| Duration::from_millis(line.number(name).unwrap_or_default());
        let total_ms = line.number("all_ms").unwrap_or_default();
        Self {
            received_at: line.time.saturating_sub(total_ms),
            outcome: line.text("outcome").to_owned(),
            reason: line.text("why").to_owned(),
            status: line.number("status").unwrap_or_default(),
            head_time: millis("head_ms"),
            total: Duration::from_millis(total_ms),
            longest_pause: millis("pause_ms"),
            last_wait: millis("quiet_ms"),
        }
    }

    /// Whether the caller last waited for longer than allowed: for the head if no event came, else
    /// for the next event.
    fn waited_too_long(&self, limits: &Limits) -> bool {
        let has_events = self.last_wait < self.total;
        self.last_wait
            > if has_events {
                limits.pause
            } else {
                limits.head_time
            }
    }
}
