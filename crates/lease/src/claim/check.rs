//! Invariants of a claim table, checked apart from the code that keeps them.

use crate::claim::Hash;
use crate::claim::run::{Grant, Run, State};
use crate::claim::table::Table;
use std::fmt;

/// Keys checked in one go while the program serves.
const MAX_KEYS_PER_CHECK: usize = 1000;

/// An invariant that does not hold, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The key, if it is about one.
    pub hash: Option<Hash>,
    /// What does not hold.
    pub text: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.hash {
            Some(hash) => write!(f, "{hash:x}: {}", self.text),
            None => f.write_str(self.text),
        }
    }
}

impl Table {
    /// All invariants that do not hold.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (hash, run) in &self.runs.keys {
            let texts = self.check_run(*hash, run);
            findings.extend(texts.into_iter().map(|text| Finding {
                hash: Some(*hash),
                text,
            }));
        }
        let texts = self.check_totals();
        findings.extend(texts.into_iter().map(|text| Finding { hash: None, text }));
        findings
    }

    /// Invariants that do not hold for the next keys in turn: few enough to be checked while the
    /// program serves.
    pub(super) fn check_next(&mut self) -> Vec<Finding> {
        let keys = self
            .runs
            .keys
            .range(self.check_cursor..)
            .take(MAX_KEYS_PER_CHECK);
        let mut findings = Vec::new();
        let mut next = 0;
        for (count, (hash, run)) in keys.enumerate() {
            let texts = self.check_run(*hash, run);
            findings.extend(texts.into_iter().map(|text| Finding {
                hash: Some(*hash),
                text,
            }));
            next = if count + 1 == MAX_KEYS_PER_CHECK {
                hash.wrapping_add(1)
            } else {
                0
            };
        }
        self.check_cursor = next;
        findings
    }

    fn check_run(&self, hash: Hash, run: &Run) -> Vec<&'static str> {
        let mut texts = Vec::new();
        let number = run.state.number();
        if number > self.last_claim {
            texts.push("a number that was never given out");
        }
        if let Grant::Log(shard, _) = run.grant {
            let entry = self
                .shards
                .get(&shard)
                .and_then(|stream| stream.replay.entry(hash));
            let mine = entry.is_none_or(|e| e.owner == self.me && e.number == number);
            match run.state {
                State::Claiming(..) if entry.is_some() => texts.push("claims an owned key"),
                State::Running(..) | State::Ended(..) if !mine => {
                    texts.push("runs under a claim that is not the first");
                }
                _ => {}
            }
            if !self.shards.contains_key(&shard) {
                texts.push("its shard is not followed");
            }
        }
        if matches!(&run.state, State::Claiming(_, waiters) if waiters.is_empty()) {
            texts.push("claims for nobody");
        }
        for waiter in run.state.waiters() {
            if self.waiting.get(&(waiter.deadline, waiter.request)) != Some(&hash) {
                texts.push("a request waits without a deadline");
            }
        }
        texts
    }

    fn check_totals(&self) -> Vec<&'static str> {
        let mut texts = Vec::new();
        let waiters: usize = self
            .runs
            .keys
            .values()
            .map(|r| r.state.waiters().len())
            .sum();
        if waiters != self.waiting.len() {
            texts.push("deadlines without a request that waits");
        }
        let runs = self
            .runs
            .keys
            .values()
            .filter(|r| matches!(r.state, State::Running(..)));
        if runs.count() != self.runs.running.len() {
            texts.push("running requests do not match running keys");
        }
        if self
            .runs
            .answers
            .iter()
            .map(|kept| kept.bytes)
            .sum::<usize>()
            != self.runs.answer_bytes
        {
            texts.push("bytes of kept answers do not add up");
        }
        if self.runs.answer_bytes > self.settings.max_answer_bytes {
            texts.push("more answers are kept than may be");
        }
        if self
            .shards
            .values()
            .any(|stream| stream.replay.len() > self.settings.max_keys)
        {
            texts.push("more keys are remembered than may be");
        }
        texts
    }
}
