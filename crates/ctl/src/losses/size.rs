//! Late and lost requests by the size of their prompts.

use super::request::{Limits, Request};
use serde::Serialize;
use std::fmt;

/// Percentages of the requests up to which the smallest and the middle prompts go.
const MAX_PERCENT: [usize; 2] = [50, 90];

/// Requests of one class of sizes.
#[derive(Debug, Default, Serialize)]
struct Class {
    /// Sizes of the smallest and the largest prompt, in tokens.
    tokens: [u64; 2],
    ended: u64,
    late: u64,
    /// Refused, broken off, failed or abandoned.
    lost: u64,
}

/// Requests by the size of their prompts.
#[derive(Debug, Serialize)]
pub struct Sizes {
    /// The smallest half of the prompts, the next 40% and the largest tenth. Prompts of equal size
    /// are in one class.
    classes: [Class; 3],
    /// Requests that ended, of which no line had the size of the prompt.
    #[serde(rename = "unsized")]
    without_size: u64,
}

impl Sizes {
    /// Counts the requests that ended, without those that the catalog doesn't allow.
    pub fn count<'a>(requests: impl Iterator<Item = &'a Request> + Clone, limits: &Limits) -> Self {
        let ended = requests.filter(|r| r.received_at().is_some());
        let allowed = ended.filter(|r| !r.loss(limits).is_some_and(|(cause, _)| cause.is_denied()));
        let mut sizes: Vec<u64> = allowed.clone().filter_map(Request::prompt).collect();
        sizes.sort_unstable();
        // Largest size of a class; the nearest rank from below.
        let last = |percent: usize| {
            let rank = (sizes.len() * percent).div_ceil(100);
            sizes.get(rank.saturating_sub(1)).copied()
        };
        let bounds = MAX_PERCENT.map(|percent| last(percent).unwrap_or_default());
        let mut counts = Self {
            classes: Default::default(),
            without_size: 0,
        };
        for request in allowed {
            let Some(size) = request.prompt() else {
                counts.without_size += 1;
                continue;
            };
            let at = bounds.iter().filter(|&&bound| size > bound).count();
            counts.classes[at].add(request, size, limits);
        }
        counts
    }
}

impl Class {
    fn add(&mut self, request: &Request, size: u64, limits: &Limits) {
        let [smallest, largest] = self.tokens;
        self.tokens = match self.ended {
            0 => [size, size],
            _ => [smallest.min(size), largest.max(size)],
        };
        self.ended += 1;
        match request.loss(limits) {
            // Only answers that exceeded a limit are late.
            Some((_, over)) if !over.is_zero() => self.late += 1,
            Some(_) => self.lost += 1,
            None => {}
        }
    }
}

impl fmt::Display for Sizes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>8} {:>7} {:>7} {:>6} {:>6}  prompts",
            "ended", "late", "lost", "late%", "lost%"
        )?;
        let names = ["smallest half", "next 40%", "largest tenth"];
        for (name, class) in names.iter().zip(&self.classes) {
            let Class {
                tokens: [smallest, largest],
                ended,
                late,
                lost,
            } = class;
            let percent = |count: &u64| *count as f64 * 100.0 / (*ended).max(1) as f64;
            writeln!(
                f,
                "{ended:>8} {late:>7} {lost:>7} {:>6.2} {:>6.2}  {name}, {smallest} to {largest} tokens",
                percent(late),
                percent(lost)
            )?;
        }
        writeln!(f, "{:>8}  without a size", self.without_size)
    }
}
