//! What the lines tell of one request.

use super::cause::Cause;
use crate::line::Line;
use std::time::Duration;

/// Status from which on an answer is a failure.
const FAILURE: u64 = 500;

/// Past what an answer is late.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to its head.
    pub head: Duration,
    /// Time between two events.
    pub pause: Duration,
}

/// How a request ended.
#[derive(Debug)]
struct End {
    /// Unix time in milliseconds at which it came.
    came: u64,
    outcome: String,
    why: String,
    status: u64,
    head: Duration,
    /// Time from its start to its end.
    all: Duration,
    pause: Duration,
    /// Time since the caller was last given an event, or since the request came.
    quiet: Duration,
}

/// The account of one request.
#[derive(Debug, Default)]
pub struct Account {
    sent: u64,
    moved: bool,
    /// Hops between zones of its last chain, if a line told.
    crossings: Option<u64>,
    end: Option<End>,
}

impl Account {
    /// Takes one of its lines in.
    pub fn take(&mut self, line: &Line) {
        let crossings = line.number("crossings");
        match line.event.as_str() {
            "sent" => {
                self.sent += 1;
                self.crossings = crossings.or(self.crossings);
            }
            "detour" => {
                self.moved = true;
                self.crossings = crossings.or(self.crossings);
            }
            "ended" => self.end = Some(End::of(line)),
            _ => {}
        }
    }

    /// When it came; nothing if its end is not told.
    pub fn came(&self) -> Option<u64> {
        self.end.as_ref().map(|e| e.came)
    }

    /// Why it was lost or late, and by how much late; nothing if it was on time.
    pub fn loss(&self, limits: &Limits) -> Option<(Cause, Duration)> {
        let end = self.end.as_ref()?;
        let over = end.head.saturating_sub(limits.head);
        let over = over.max(end.pause.saturating_sub(limits.pause));
        let cause = match end.outcome.as_str() {
            "answered" if end.status >= FAILURE => Cause::Failed,
            "answered" if over.is_zero() => return None,
            "answered" => return Some((self.late(), over)),
            "refused" => Cause::of_refusal(&end.why),
            "broken off" => Cause::Broken,
            "left" if end.starved(limits) => Cause::Starved,
            "left" => Cause::Left,
            _ => Cause::Unknown,
        };
        Some((cause, Duration::ZERO))
    }

    fn late(&self) -> Cause {
        match (self.moved, self.sent, self.crossings) {
            (true, _, _) => Cause::Moved,
            (_, 0, _) | (_, _, None) => Cause::Unknown,
            (_, 1, Some(0)) => Cause::Whole,
            (_, 1, Some(_)) => Cause::Crossing,
            (_, _, Some(_)) => Cause::Resent,
        }
    }
}

impl End {
    fn of(line: &Line) -> Self {
        let millis = |name| Duration::from_millis(line.number(name).unwrap_or_default());
        let all = line.number("all_ms").unwrap_or_default();
        Self {
            came: line.time.saturating_sub(all),
            outcome: line.text("outcome").to_owned(),
            why: line.text("why").to_owned(),
            status: line.number("status").unwrap_or_default(),
            head: millis("head_ms"),
            all: Duration::from_millis(all),
            pause: millis("pause_ms"),
            quiet: millis("quiet_ms"),
        }
    }

    /// Whether the caller last waited for longer than allowed: for the head if no event came, else
    /// for the next event.
    fn starved(&self, limits: &Limits) -> bool {
        let begun = self.quiet < self.all;
        self.quiet > if begun { limits.pause } else { limits.head }
    }
}
