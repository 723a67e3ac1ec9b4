//! Requests that crash the endpoints that run them.
//!
//! All requests at an endpoint that crashes look alike, so one crash says little about each of
//! them. A crashing request is told apart by its return: endpoints keep crashing under the same
//! content, and it never completes. So [`Ledger`] counts for each content the crashes in a row. A
//! completion starts the count anew. A crash counts as one more only if the request was sent when
//! the crash before was known: copies that run at the same time on several endpoints that are lost
//! together count once.
//!
//! A content is suspended for a while after two crashes in a row, so that the endpoints that it
//! crashed can return before it runs again. Then it is on trial: a node runs one request with it at a
//! time. The nodes end the suspension at different times, so that the first trial decides before
//! there are others. After three crashes the content is refused.
//!
//! The parts of a prompt that other requests may share are counted in the same way, each by itself,
//! since a part may crash endpoints in requests that have nothing else in common. A part that was
//! ever in a request that completed does not, so it is no longer counted. Content and parts are
//! called the features of a request.
//!
//! Where it can't be told at once whether an endpoint has ended, the attempt is a [`Case`] until the
//! evidence comes.

mod cases;
mod findings;
mod proven;

pub use cases::{Case, Cases};
pub use findings::{Finding, Findings};

use crate::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Hash of a request's content, or of a part of its prompt.
pub type Fingerprint = u64;

/// Number of crashes in a row after which a content is suspended.
pub const CRASHES_TO_SUSPEND: u8 = 2;
/// Number of crashes in a row after which a content is condemned.
pub const CRASHES_TO_CONDEMN: u8 = 3;
/// Shortest time for which a content is suspended: an endpoint that crashed restarts within it.
pub const MIN_SUSPENSION: Duration = Duration::from_secs(5);
/// Longest time for which a content is suspended.
pub const MAX_SUSPENSION: Duration = Duration::from_secs(15);
/// Time for which crashes of a content are remembered that do not condemn it.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Time for which a content is condemned.
pub const CONDEMNED_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of contents in a ledger.
const CAPACITY: usize = 4096;

/// Whether requests with a content may be sent to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// They may be sent.
    Allowed,
    /// New requests are refused until this time. Responses in progress may be resumed.
    Suspended(Timestamp),
    /// New requests may be sent one at a time, each to one endpoint. Responses in progress may be
    /// resumed.
    OnTrial,
    /// Nothing is sent until this time.
    Condemned(Timestamp),
}

impl Verdict {
    /// Returns the stricter of two verdicts on the features of one request.
    fn stricter(self, other: Self) -> Self {
        let rank = |verdict: &Self| match *verdict {
            Self::Allowed => (0, Timestamp::ZERO),
            Self::OnTrial => (1, Timestamp::ZERO),
            Self::Suspended(until) => (2, until),
            Self::Condemned(until) => (3, until),
        };
        std::cmp::max_by_key(self, other, rank)
    }
}

/// Crashes of one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    /// Number of crashes in a row, up to [`CRASHES_TO_CONDEMN`].
    crashes: u8,
    /// Until when the content is suspended, if it has crashed [`CRASHES_TO_SUSPEND`] endpoints.
    suspended_until: Timestamp,
    /// Until when the crashes are remembered.
    expires_at: Timestamp,
}

/// Returns the time for which this number of crashes in a row is remembered.
pub fn retention(crashes: u8) -> Duration {
    match crashes >= CRASHES_TO_CONDEMN {
        true => CONDEMNED_RETENTION,
        false => SUSPECT_RETENTION,
    }
}

/// Contents under which endpoints crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    records: HashMap<Fingerprint, Record>,
    seed: u64,
}

impl Ledger {
    /// Creates an empty ledger. `seed` determines how long contents are suspended; it should differ
    /// between nodes.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Returns the time for which a content is suspended at this node.
    fn suspension(&self, content: Fingerprint) -> Duration {
        let fraction = ChaCha8Rng::seed_from_u64(self.seed ^ content).random_range(0.0..1.0);
        MIN_SUSPENSION + (MAX_SUSPENSION - MIN_SUSPENSION).mul_f64(fraction)
    }

    /// Records that a content has now crashed this number of endpoints in a row. Returns whether that
    /// is more than was recorded.
    pub fn record(&mut self, content: Fingerprint, crashes: u8, now: Timestamp) -> bool {
        self.learn(content, crashes, now, retention(crashes))
    }

    /// Records that a content crashed this number of endpoints in a row some time ago, and that this is
    /// to be remembered for another `ttl`. Returns whether it is more than was recorded.
    pub fn learn(
        &mut self,
        content: Fingerprint,
        crashes: u8,
        now: Timestamp,
        ttl: Duration,
    ) -> bool {
        if self.crashes(now, content) >= crashes {
            return false;
        }
        if self.records.len() >= CAPACITY && !self.records.contains_key(&content) {
            self.evict();
        }
        let age = retention(crashes).saturating_sub(ttl);
        let record = Record {
            crashes: crashes.min(CRASHES_TO_CONDEMN),
            suspended_until: now.saturating_add(self.suspension(content).saturating_sub(age)),
            expires_at: now.saturating_add(ttl),
        };
        self.records.insert(content, record);
        true
    }

    /// Records what a worker found out about a content. Returns whether it changes the record.
    pub fn apply(&mut self, content: Fingerprint, finding: Finding, found_at: Timestamp) -> bool {
        match finding {
            Finding::Crashed(crashes) => self.record(content, crashes, found_at),
            Finding::Completed => self.clear(content),
        }
    }

    /// Removes a content, since a request with it completed. Returns whether it was recorded.
    pub fn clear(&mut self, content: Fingerprint) -> bool {
        self.records.remove(&content).is_some()
    }

    /// Returns the number of endpoints that a content has crashed in a row.
    pub fn crashes(&self, now: Timestamp, content: Fingerprint) -> u8 {
        let valid = self.records.get(&content);
        let valid = valid.filter(|record| now < record.expires_at);
        valid.map_or(0, |record| record.crashes)
    }

    /// Returns the time for which a content is still recorded.
    pub fn remaining(&self, now: Timestamp, content: Fingerprint) -> Duration {
        let record = self.records.get(&content);
        record.map_or(Duration::ZERO, |r| r.expires_at.saturating_sub(now))
    }

    /// Returns whether requests with a content may be sent.
    pub fn verdict(&self, now: Timestamp, content: Fingerprint) -> Verdict {
        let Some(record) = self.records.get(&content) else {
            return Verdict::Allowed;
        };
        match record.crashes {
            CRASHES_TO_CONDEMN.. if now < record.expires_at => {
                Verdict::Condemned(record.expires_at)
            }
            CRASHES_TO_SUSPEND if now < record.suspended_until => {
                Verdict::Suspended(record.suspended_until)
            }
            CRASHES_TO_SUSPEND if now < record.expires_at => Verdict::OnTrial,
            _ => Verdict::Allowed,
        }
    }

    /// Iterates over the contents, each with the number of its crashes in a row and the time until
    /// which it is recorded.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, u8, Timestamp)> {
        let records = self.records.iter();
        records.map(|(&content, record)| (content, record.crashes, record.expires_at))
    }

    /// Returns whether no content is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the contents whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.records.retain(|_, record| now < record.expires_at);
    }

    /// Removes the content with the fewest crashes; of several, the oldest one.
    fn evict(&mut self) {
        let key = |(_, record): &(&Fingerprint, &Record)| (record.crashes, record.expires_at);
        let content = self.records.iter().min_by_key(key).map(|(&c, _)| c);
        content.map(|c| self.records.remove(&c));
    }
}
