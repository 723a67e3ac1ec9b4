//! Checks of a claim table's invariants, independent of the code that maintains them.

use crate::claim::Hash;
use crate::claim::run::{Grant, Run, State};
use crate::claim::table::Table;
use std::fmt;

/// Maximum number of keys checked in one call of [`Table::check_next`].
const MAX_KEYS_PER_CHECK: usize = 1000;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Hash of the key concerned, if the invariant is about one key.
    pub hash: Option<Hash>,
    /// Description of the violation.
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
    /// Returns all violated invariants.
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

    /// Returns violated invariants of the next keys in rotation. The number of keys is bounded, so
    /// that the check may run while the node serves requests.
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
            texts.push("the claim number was never assigned");
        }
        if let Grant::Log(shard, _) = run.grant {
            let entry = self
                .shards
                .get(&shard)
                .and_then(|stream| stream.replay.entry(hash));
            let mine = entry.is_none_or(|e| e.owner == self.me && e.number == number);
            match run.state {
                State::Claiming(..) if entry.is_some() => {
                    texts.push("a claim is pending for a key that is owned")
                }
                State::Running(..) | State::Ended(..) if !mine => {
                    texts.push("the key runs under a claim that is not the first one");
                }
                _ => {}
            }
            if !self.shards.contains_key(&shard) {
                texts.push("the shard of the key is not followed");
            }
        }
        if matches!(&run.state, State::Claiming(_, waiters) if waiters.is_empty()) {
            texts.push("a claim is pending without a waiting request");
        }
        for waiter in run.state.waiters() {
            if self.waiting.get(&(waiter.deadline, waiter.request)) != Some(&hash) {
                texts.push("a waiting request has no entry by deadline");
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
            texts.push("the numbers of deadlines and waiting requests differ");
        }
        let runs = self
            .runs
            .keys
            .values()
            .filter(|r| matches!(r.state, State::Running(..)));
        if runs.count() != self.runs.running.len() {
            texts.push("the numbers of running requests and running keys differ");
        }
        if self
            .runs
            .answers
            .iter()
            .map(|cached| cached.bytes)
            .sum::<usize>()
            != self.runs.answer_bytes
        {
            texts.push("the total size of cached answers is wrong");
        }
        if self.runs.answer_bytes > self.settings.max_answer_bytes {
            texts.push("cached answers exceed their size limit");
        }
        if self
            .shards
            .values()
            .any(|stream| stream.replay.len() > self.settings.max_keys)
        {
            texts.push("a shard holds more keys than its limit");
        }
        texts
    }
}
