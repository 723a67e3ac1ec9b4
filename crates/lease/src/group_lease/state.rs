//! One group's lease, as this node has read it.

use crate::group_lease::{Fence, Number, Settings};
use crate::{Now, Offset, Owner};
use bundle::id;

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Its fencing number.
    pub fence: Fence,
    /// When the record was sent that it last was taken or renewed by.
    pub sent: Now,
    /// When it lapses.
    pub expiry: Now,
}

/// How a record that takes the group is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It counts.
    Valid,
    /// It does not count.
    Invalid,
    /// What this node has read does not tell.
    Undecided,
}

/// A group.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// This node's rank, if it wants the group.
    pub rank: Option<u32>,
    /// Offset of the last record that counts for certain.
    last_valid: Option<Offset>,
    /// Offset of the last record that may count.
    last_possible: Option<Offset>,
    /// Who appended that one.
    pub owner: Option<Owner>,
    /// Number of its last record.
    number: Number,
    /// When the group is free to take, as far as this node knows.
    free_at: Now,
    /// The lease that this node holds.
    pub tenure: Option<Tenure>,
    /// Highest number of a bundle whose roll was stopped.
    pub stop: id::Number,
    /// When a record that took effect, and has not been read back, was sent.
    pub unconfirmed_since: Option<Now>,
    /// Whether the next record must not wait for the time of renewal.
    pub urgent: bool,
}

impl State {
    /// Judges a record at `offset` whose owner had read to `upto`; `start` is where this node's
    /// own view begins.
    ///
    /// What a late reader can't judge, it takes for valid when it decides whether to wait, and for
    /// not valid when it is its own.
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

    /// Another's record that may count was read. Its lease can't outlast the wait, since it runs from
    /// when the record was sent.
    pub fn record_holder(&mut self, now: Now, owner: Owner, number: Number, settings: &Settings) {
        self.owner = Some(owner);
        self.number = number;
        self.free_at = now + settings.takeover_delay();
    }

    /// The owner let go of the group. A record of this that arrives after the owner took the group
    /// anew must not free it: its number is lower then.
    pub fn release(&mut self, now: Now, owner: Owner, number: Number) {
        if self.owner == Some(owner) && self.number <= number {
            self.owner = None;
            self.free_at = now;
        }
    }

    /// This node's view begins anew, and the group is free at `free` unless a record says otherwise.
    pub fn reset(&mut self, free_at: Now) {
        self.last_valid = None;
        self.last_possible = None;
        self.free_at = free_at;
    }

    /// Whether a record may be sent to take or renew the group.
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

    /// The lease that this node holds and that has not lapsed.
    pub fn tenure_at(&self, now: Now) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|tenure| now < tenure.expiry)
    }

    /// This node's record counts.
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

    /// Offset of the last record that counts for certain.
    pub fn last_valid(&self) -> Option<Offset> {
        self.last_valid
    }
}

/// A record of this node that has not been read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub number: Number,
    /// When it was sent.
    pub at: Now,
}
