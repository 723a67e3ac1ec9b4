//! State of the lease of one group, as far as this node has read the stream.

use crate::group_lease::{Fence, Number, Settings};
use crate::{Now, Offset, Owner};
use bundle::id;

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing number of the lease.
    pub fence: Fence,
    /// Time at which this node sent the record that last acquired or renewed the lease.
    pub sent: Now,
    /// Time at which the lease expires.
    pub expiry: Now,
}

/// Validity of a record that acquires or renews the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record is valid.
    Valid,
    /// The record is invalid.
    Invalid,
    /// The records that this node has read don't decide whether the record is valid.
    Undecided,
}

/// State of the lease of one group.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Rank of this node, if it is a candidate for the group.
    pub rank: Option<u32>,
    /// Offset of the last record that is certainly valid.
    last_valid: Option<Offset>,
    /// Offset of the last record that is possibly valid.
    last_possible: Option<Offset>,
    /// Owner of the last possibly valid record, unless it has released the group.
    pub owner: Option<Owner>,
    /// Sequence number of that record's item, if another node appended it.
    number: Number,
    /// Time from which the group is free to acquire, as far as this node knows.
    free_at: Now,
    /// Lease that this node holds, if any.
    pub tenure: Option<Tenure>,
    /// Highest number of a bundle whose roll was stopped, or 0.
    pub stopped_bundle: id::Number,
    /// Time at which this node sent a record that has not failed and has not been read back.
    pub unconfirmed_since: Option<Now>,
    /// Whether the next record must be sent before renewal is due.
    pub urgent: bool,
}

impl State {
    /// Validates a record at `offset` whose owner had read all offsets below `upto`. `start` is the
    /// first offset that this node has read.
    ///
    /// A node that started to read late can't decide on some records. It waits as if an undecided
    /// record of another node were valid, but doesn't rely on one of its own.
    pub fn validate(&mut self, offset: Offset, upto: Offset, start: Offset) -> Verdict {
        let verdict = match (self.last_valid, self.last_possible) {
            _ if upto > offset => Verdict::Invalid,
            (Some(valid), _) if valid >= upto => Verdict::Invalid,
            (_, Some(possible)) if possible >= upto => Verdict::Undecided,
            _ if upto < start => Verdict::Undecided,
            _ => Verdict::Valid,
        };
        if verdict != Verdict::Invalid {
            self.last_possible = Some(offset);
        }
        if verdict == Verdict::Valid {
            self.last_valid = Some(offset);
        }
        verdict
    }

    /// Handles a possibly valid record of another owner. Its lease can't outlast the takeover
    /// delay, since its term started when the record was sent.
    pub fn record_holder(&mut self, now: Now, owner: Owner, number: Number, settings: &Settings) {
        self.owner = Some(owner);
        self.number = number;
        self.free_at = now + settings.takeover_delay();
    }

    /// Handles a release by `owner`. Ignores a release that arrives after the owner has acquired
    /// the group again, which its lower number shows.
    pub fn release(&mut self, now: Now, owner: Owner, number: Number) {
        if self.owner == Some(owner) && self.number <= number {
            self.owner = None;
            self.free_at = now;
        }
    }

    /// Forgets the records that were read. The group is free from `free_at` on unless a record read
    /// later says otherwise.
    pub fn reset(&mut self, free_at: Now) {
        self.last_valid = None;
        self.last_possible = None;
        self.free_at = free_at;
    }

    /// Returns whether a record to acquire or renew the lease is due.
    pub fn is_due(&self, now: Now, settings: &Settings) -> bool {
        let Some(rank) = self.rank else { return false };
        if self
            .unconfirmed_since
            .is_some_and(|at| now < at + settings.max_backoff)
        {
            return false;
        }
        if let Some(tenure) = self.tenure_at(now) {
            return self.urgent || now >= tenure.sent + settings.renew_interval;
        }
        now >= self.free_at + settings.rank_delay * rank
    }

    /// Returns the lease that this node holds, if it has not expired.
    pub fn tenure_at(&self, now: Now) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|tenure| now < tenure.expiry)
    }

    /// Handles a valid record of this node, which was sent at `sent`.
    pub fn acquire(&mut self, now: Now, offset: Offset, me: Owner, sent: Now, settings: &Settings) {
        let fence = self.tenure_at(now).map_or(offset, |tenure| tenure.fence);
        let expiry = sent + settings.term;
        let later = self
            .tenure_at(now)
            .is_none_or(|tenure| expiry > tenure.expiry);
        self.owner = Some(me);
        if later {
            self.tenure = Some(Tenure {
                fence,
                sent,
                expiry,
            });
        }
    }

    /// Offset of the last record that is certainly valid.
    pub fn last_valid(&self) -> Option<Offset> {
        self.last_valid
    }
}

/// A record of this node that has not been read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Sequence number of the record's item.
    pub number: Number,
    /// Time at which the record was sent.
    pub at: Now,
}
