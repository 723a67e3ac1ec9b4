//! Counts request outcomes and checks the guarantees that callers are given.

use crate::caller::Answer;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// Largest recorded time, in microseconds; longer times are clamped to it.
const MAX_TIME_US: u64 = 120_000_000;

/// Counts of request outcomes, and latencies.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers. Those with a wrong text are also listed in `wrong`.
    pub complete: u64,
    /// Number of requests that were refused and not run.
    pub not_run: u64,
    /// Number of requests of unknown outcome: they may have run.
    pub unknown: u64,
    /// Number of requests without an outcome, because the connection failed or the node died.
    pub lost: u64,
    /// Descriptions of violated guarantees.
    pub wrong: Vec<String>,
    /// Number of tokens of complete answers.
    pub tokens: u64,
    /// Time to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Time between two consecutive tokens, in microseconds.
    pub gap: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let times = || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("bounds are right");
        Self {
            sent: 0,
            complete: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            wrong: Vec::new(),
            tokens: 0,
            first: times(),
            gap: times(),
        }
    }
}

impl Tally {
    /// Records an answer and checks it; its text, if complete, must be `expected`.
    pub fn record(&mut self, answer: &Answer, expected: &str) {
        self.sent += 1;
        self.check(answer, expected);
        if answer.complete() {
            self.complete += 1;
            self.tokens += answer.times.len() as u64;
            self.record_times(&answer.times);
        } else if answer.not_run() {
            self.not_run += 1;
        } else if answer.unknown() {
            self.unknown += 1;
        } else {
            self.lost += 1;
        }
    }

    /// Records a request that got no answer.
    pub fn record_lost(&mut self) {
        self.sent += 1;
        self.lost += 1;
    }

    /// Checks the guarantees: a complete answer has the expected text, a partial answer is a prefix
    /// of it, an incomplete stream does not end like a complete one, and a request that was not run
    /// has no text.
    fn check(&mut self, answer: &Answer, expected: &str) {
        if answer.complete() && answer.text != expected {
            let text = format!("wrong answer {:?}, expected {expected:?}", answer.text);
            self.wrong.push(text);
        }
        if !expected.starts_with(&answer.text) {
            let text = format!("{:?} does not begin {expected:?}", answer.text);
            self.wrong.push(text);
        }
        if answer.done && answer.outcome.as_deref() != Some("complete") {
            self.wrong
                .push(format!("ended as complete without the outcome: {answer:?}"));
        }
        if answer.not_run() && !answer.text.is_empty() {
            self.wrong.push(format!("not run, with text: {answer:?}"));
        }
    }

    fn record_times(&mut self, times: &[Duration]) {
        let Some(first) = times.first() else { return };
        self.first.saturating_record(first.as_micros() as u64);
        for pair in times.windows(2) {
            let gap = pair[1].saturating_sub(pair[0]);
            self.gap.saturating_record((gap.as_micros() as u64).max(1));
        }
    }

    /// Adds the counts, violations and latencies of another tally.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.tokens += other.tokens;
        self.wrong.extend(other.wrong.iter().cloned());
        let _ = self.first.add(&other.first);
        let _ = self.gap.add(&other.gap);
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        writeln!(f, "requests      {:>9}", self.sent)?;
        writeln!(f, "complete      {:>9}", self.complete)?;
        writeln!(f, "not run       {:>9}", self.not_run)?;
        writeln!(f, "unknown       {:>9}", self.unknown)?;
        writeln!(f, "no outcome    {:>9}", self.lost)?;
        writeln!(f, "wrong         {:>9}", self.wrong.len())?;
        writeln!(f, "tokens        {:>9}", self.tokens)?;
        let (p50, p99) = (millis(&self.first, 0.5), millis(&self.first, 0.99));
        writeln!(f, "first token   p50 {p50:.2} ms, p99 {p99:.2} ms")?;
        let (p50, p99) = (millis(&self.gap, 0.5), millis(&self.gap, 0.99));
        writeln!(f, "between two   p50 {p50:.2} ms, p99 {p99:.2} ms")
    }
}
