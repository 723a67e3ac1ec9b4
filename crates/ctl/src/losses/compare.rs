//! Comparison of the losses of two runs.

use super::Losses;
use super::cause::Cause;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Counts of one cause in both runs.
#[derive(Debug, Serialize)]
struct Row {
    counts: [u64; 2],
    /// Fractions of the requests that ended, from 0 to 1.
    shares: [f64; 2],
}

/// Losses of two runs, side by side.
#[derive(Debug, Serialize)]
pub struct Comparison {
    ended: [u64; 2],
    #[serde(rename = "untold")]
    unfinished: [u64; 2],
    causes: BTreeMap<Cause, Row>,
}

impl Comparison {
    /// Compares two runs. Requests that the catalog doesn't allow are left out of both.
    pub fn new(a: &Losses, b: &Losses) -> Self {
        let runs = [a, b];
        let ended = runs.map(|run| run.ended - run.denied);
        let row = |cause: Cause| {
            let counts = runs.map(|run| run.causes.get(&cause).map_or(0, |total| total.count));
            let share = |run: usize| counts[run] as f64 / ended[run].max(1) as f64;
            let shares = [share(0), share(1)];
            (cause, Row { counts, shares })
        };
        let causes = a.causes.keys().chain(b.causes.keys());
        Self {
            ended,
            unfinished: runs.map(|run| run.unfinished),
            causes: causes.map(|&cause| row(cause)).collect(),
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b] = self.ended;
        let [c, d] = self.unfinished;
        writeln!(f, "{a} and {b} requests ended, {c} and {d} without an end")?;
        writeln!(
            f,
            "\n{:>7} {:>7} {:>7} {:>7}  cause",
            "count", "share", "count", "share"
        )?;
        let mut rows: Vec<_> = self.causes.iter().collect();
        rows.sort_by_key(|(cause, row)| (std::cmp::Reverse(row.counts.iter().max()), **cause));
        for (cause, Row { counts, shares }) in rows {
            let [a, b] = counts;
            let [p, q] = shares;
            writeln!(f, "{a:>7} {p:>7.4} {b:>7} {q:>7.4}  {cause}")?;
        }
        Ok(())
    }
}
