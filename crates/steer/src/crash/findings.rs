//! Crashing requests as one worker knows them: by the ledger that control publishes, and by what the
//! worker itself found since.

use super::proven::Proven;
use super::{Fingerprint, Ledger, Verdict};
use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a finding is in the published ledger, unless the control task dropped it.
const PUBLICATION_TIME: Duration = Duration::from_secs(2);

/// What a worker found out about a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It has crashed this number of endpoints in a row.
    Crashed(u8),
    /// A request with it completed.
    Completed,
}

/// The published ledger with the findings that it may not hold yet.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    ledger: Ledger,
    recent: VecDeque<(Timestamp, Fingerprint, Finding)>,
    /// Parts of prompts that completed.
    proven: Proven,
}

impl Findings {
    /// Replaces the published ledger. Returns the parts in it that completed here, which the control
    /// task has to publish.
    pub fn update(&mut self, now: Timestamp, published: &Ledger) -> Vec<Fingerprint> {
        while let Some((found_at, ..)) = self.recent.front() {
            if now < found_at.saturating_add(PUBLICATION_TIME) {
                break;
            }
            self.recent.pop_front();
        }
        self.ledger.clone_from(published);
        for &(found_at, content, finding) in &self.recent {
            self.ledger.apply(content, finding, found_at);
        }
        let recorded = self.ledger.iter().map(|(feature, ..)| feature);
        let disproved: Vec<_> = recorded.filter(|&f| self.proven.contains(f)).collect();
        for &part in &disproved {
            self.ledger.clear(part);
        }
        disproved
    }

    /// Records a finding. Returns whether it is news, which the control task has to publish.
    pub fn record(&mut self, now: Timestamp, content: Fingerprint, finding: Finding) -> bool {
        if self.proven.contains(content) && matches!(finding, Finding::Crashed(_)) {
            return false;
        }
        let news = self.ledger.apply(content, finding, now);
        if news {
            self.recent.push_back((now, content, finding));
        }
        news
    }

    /// Records that a request with a part completed. Returns whether that is news, which the control
    /// task has to publish.
    pub fn prove(&mut self, now: Timestamp, part: Fingerprint) -> bool {
        self.proven.insert(part);
        self.ledger.crashes(now, part) > 0 && self.record(now, part, Finding::Completed)
    }

    /// Returns whether anything is recorded.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Returns the number of endpoints that a feature has crashed in a row.
    pub fn crashes(&self, now: Timestamp, feature: Fingerprint) -> u8 {
        self.ledger.crashes(now, feature)
    }

    /// Returns whether requests with these features may be sent. They are requested only if there are
    /// any records.
    pub fn verdict<'a>(
        &self,
        now: Timestamp,
        features: impl FnOnce() -> &'a [Fingerprint],
    ) -> Verdict {
        if self.ledger.is_empty() {
            return Verdict::Allowed;
        }
        let verdicts = features().iter().map(|&f| self.ledger.verdict(now, f));
        verdicts.fold(Verdict::Allowed, Verdict::stricter)
    }
}
