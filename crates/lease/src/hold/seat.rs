//! One group's lease, as this node has read it.

use crate::hold::{Fence, Number, Settings};
use crate::{Now, Offset, Owner};
use bundle::id;

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mine {
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
    Counts,
    /// It does not count.
    Fails,
    /// What this node has read does not tell.
    Open,
}

/// A group.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    /// This node's rank, if it wants the group.
    pub rank: Option<u32>,
    /// Offset of the last record that counts for certain.
    sure: Option<Offset>,
    /// Offset of the last record that may count.
    maybe: Option<Offset>,
    /// Who appended that one.
    pub owner: Option<Owner>,
    /// Number of its last record.
    number: Number,
    /// When the group is free to take, as far as this node knows.
    free: Now,
    /// The lease that this node holds.
    pub mine: Option<Mine>,
    /// Highest number of a bundle whose roll was stopped.
    pub stop: id::Number,
    /// When a record that took effect, and has not been read back, was sent.
    pub tried: Option<Now>,
    /// Whether the next record must not wait for the time of renewal.
    pub urgent: bool,
}

impl Seat {
    /// Judges a record at `offset` whose owner had read to `upto`; `start` is where this node's
    /// own view begins.
    ///
    /// What a late reader can't judge, it takes for valid when it decides whether to wait, and for
    /// not valid when it is its own.
    pub fn judge(&mut self, offset: Offset, upto: Offset, start: Offset) -> Verdict {
        let verdict = match (self.sure, self.maybe) {
            _ if upto > offset => Verdict::Fails,
            (Some(sure), _) if sure >= upto => Verdict::Fails,
            (_, Some(maybe)) if maybe >= upto => Verdict::Open,
            _ if upto < start => Verdict::Open,
            _ => Verdict::Counts,
        };
        if verdict != Verdict::Fails {
            self.maybe = Some(offset);
        }
        if verdict == Verdict::Counts {
            self.sure = Some(offset);
        }
        verdict
    }

    /// Another's record that may count was read. Its lease can't outlast the wait, since it runs from
    /// when the record was sent.
    pub fn occupy(&mut self, now: Now, owner: Owner, number: Number, settings: &Settings) {
        self.owner = Some(owner);
        self.number = number;
        self.free = now + settings.wait();
    }

    /// The owner let go of the group. A record of this that arrives after the owner took the group
    /// anew must not free it: its number is lower then.
    pub fn vacate(&mut self, now: Now, owner: Owner, number: Number) {
        if self.owner == Some(owner) && self.number <= number {
            self.owner = None;
            self.free = now;
        }
    }

    /// This node's view begins anew, and the group is free at `free` unless a record says otherwise.
    pub fn begin(&mut self, free: Now) {
        self.sure = None;
        self.maybe = None;
        self.free = free;
    }

    /// Whether a record may be sent to take or renew the group.
    pub fn due(&self, now: Now, settings: &Settings) -> bool {
        let Some(rank) = self.rank else { return false };
        if self.tried.is_some_and(|at| now < at + settings.retry_most) {
            return false;
        }
        if let Some(mine) = self.held(now) {
            return self.urgent || now >= mine.sent + settings.renew;
        }
        now >= self.free + settings.step * rank
    }

    /// The lease that this node holds and that has not lapsed.
    pub fn held(&self, now: Now) -> Option<&Mine> {
        self.mine.as_ref().filter(|mine| now < mine.expiry)
    }

    /// This node's record counts.
    pub fn win(&mut self, now: Now, offset: Offset, me: Owner, sent: Now, settings: &Settings) {
        let fence = self.held(now).map_or(offset, |mine| mine.fence);
        let expiry = sent + settings.term;
        let later = self.held(now).is_none_or(|mine| expiry > mine.expiry);
        self.owner = Some(me);
        if later {
            self.mine = Some(Mine {
                fence,
                sent,
                expiry,
            });
        }
    }

    /// Offset of the last record that counts for certain.
    pub fn sure(&self) -> Option<Offset> {
        self.sure
    }
}

/// A record of this node that has not been read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Its number.
    pub number: Number,
    /// When it was sent.
    pub at: Now,
}
