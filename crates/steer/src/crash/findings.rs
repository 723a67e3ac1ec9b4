//! Crashing requests as one worker knows them: by the ledger that control publishes, and by what the
//! worker itself found since.

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
}

impl Findings {
    /// Replaces the published ledger.
    pub fn update(&mut self, now: Timestamp, published: &Ledger) {
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
    }

    /// Records a finding. Returns whether it is news, which the control task has to publish.
    pub fn record(&mut self, now: Timestamp, content: Fingerprint, finding: Finding) -> bool {
        let news = self.ledger.apply(content, finding, now);
        if news {
            self.recent.push_back((now, content, finding));
        }
        news
    }

    /// Returns the number of endpoints that a content has crashed in a row. The content is requested
    /// only if there are any records.
    pub fn crashes(&self, now: Timestamp, content: impl FnOnce() -> Fingerprint) -> u8 {
        match self.ledger.is_empty() {
            true => 0,
            false => self.ledger.crashes(now, content()),
        }
    }

    /// Returns whether requests with a content may be sent. The content is requested only if there are
    /// any records.
    pub fn verdict(&self, now: Timestamp, content: impl FnOnce() -> Fingerprint) -> Verdict {
        match self.ledger.is_empty() {
            true => Verdict::Allowed,
            false => self.ledger.verdict(now, content()),
        }
    }
}
