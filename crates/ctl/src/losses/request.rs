//! Summary of one request, from its log lines.

use super::cause::Cause;
use crate::line::Line;
use std::time::Duration;

/// Lowest HTTP status that counts as a failure of the endpoint.
const MIN_FAILURE_STATUS: u64 = 500;

/// Limits above which an answer is late.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to the head of the answer.
    pub head_time: Duration,
    /// Time between two events of the answer.
    pub pause: Duration,
}

/// End of a request, from its `ended` line.
#[derive(Debug)]
struct End {
    /// Unix time in milliseconds at which the request was received.
    received_at: u64,
    outcome: String,
    reason: String,
    status: u64,
    head_time: Duration,
    /// Time from receipt to end.
    total: Duration,
    /// Longest time between two events of the answer.
    longest_pause: Duration,
    /// Time from the last event sent to the caller, or from receipt if there was none, to the end.
    last_wait: Duration,
}

/// One request, as far as its lines have been read.
#[derive(Debug, Default)]
pub struct Request {
    attempts: u64,
    rerouted: bool,
    /// Hops between availability zones in the latest chain; `None` if no line had the number.
    zone_crossings: Option<u64>,
    /// Number of tokens of the prompt; `None` if no line had it.
    prompt: Option<u64>,
    end: Option<End>,
}

impl Request {
    /// Updates the summary from one line of the request.
    pub fn record(&mut self, line: &Line) {
        let crossings = line.number("crossings");
        match line.event.as_str() {
            "sent" => {
                // An attempt is sent once more if its connection was closed before.
                let number = line.number("attempt");
                self.attempts = number.map_or(self.attempts + 1, |n| n.max(self.attempts));
                self.prompt = line.number("prompt").or(self.prompt);
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

    /// Returns the Unix time in milliseconds at which the request was received; `None` without a
    /// line for its end.
    pub fn received_at(&self) -> Option<u64> {
        self.end.as_ref().map(|e| e.received_at)
    }

    /// Returns the number of tokens of the prompt, if a line had it.
    pub fn prompt(&self) -> Option<u64> {
        self.prompt
    }

    /// Returns why the request was late or lost, and by how much it exceeded a limit (zero unless
    /// late); `None` if it was on time or has no line for its end.
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

    /// Returns the cause of a late answer.
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
    /// Reads an `ended` line; a missing field counts as zero or empty.
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

    /// Whether the caller's last wait exceeded its limit: the limit for the head if the caller had
    /// received no event, else the limit between events.
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
