//! Counts how requests ended and checks what callers were promised.

use crate::caller::Answer;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// Largest time recorded, in microseconds.
const MOST_MICROS: u64 = 120_000_000;

/// How requests ended.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers that were right.
    pub complete: u64,
    /// Refusals: not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// No connection, or the node died: the caller saw no outcome.
    pub lost: u64,
    /// Broken promises, in words.
    pub wrong: Vec<String>,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Microseconds to the first token.
    pub first: Histogram<u64>,
    /// Microseconds between two tokens.
    pub gap: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let times = || Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("bounds are right");
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
    /// Takes an answer whose text must be `expected`.
    pub fn take(&mut self, answer: &Answer, expected: &str) {
        self.sent += 1;
        self.check(answer, expected);
        if answer.complete() {
            self.complete += 1;
            self.tokens += answer.times.len() as u64;
            self.times(&answer.times);
        } else if answer.not_run() {
            self.not_run += 1;
        } else if answer.unknown() {
            self.unknown += 1;
        } else {
            self.lost += 1;
        }
    }

    /// Takes a request that got no answer at all.
    pub fn lost(&mut self) {
        self.sent += 1;
        self.lost += 1;
    }

    /// A whole answer must be the right one; a part of one must be its beginning; a stream that
    /// is not whole must not end like a whole one; nothing of a request that was not run may come.
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
                .push(format!("whole without the outcome: {answer:?}"));
        }
        if answer.not_run() && !answer.text.is_empty() {
            self.wrong.push(format!("not run, with text: {answer:?}"));
        }
    }

    fn times(&mut self, times: &[Duration]) {
        let Some(first) = times.first() else { return };
        self.first.saturating_record(first.as_micros() as u64);
        for pair in times.windows(2) {
            let gap = pair[1].saturating_sub(pair[0]);
            self.gap.saturating_record((gap.as_micros() as u64).max(1));
        }
    }

    /// Adds another tally.
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
