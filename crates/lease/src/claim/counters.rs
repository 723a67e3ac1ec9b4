//! Counts of a claim table, since its start.

use std::fmt;

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that asked.
    pub requests: u64,
    /// Claims written.
    pub claims: u64,
    /// Claims of this node that another one beat.
    pub lost: u64,
    /// Requests run.
    pub runs: u64,
    /// Requests that got a run's answer on this node.
    pub joined: u64,
    /// Requests pointed to another node.
    pub redirected: u64,
    /// Requests refused.
    pub refused: u64,
    /// Of these: the log was out.
    pub refused_log: u64,
    /// Of these: the key had expired.
    pub refused_expired: u64,
    /// Keys released unrun.
    pub released: u64,
    /// Tickets issued.
    pub tickets: u64,
    /// Appends asked for.
    pub appends: u64,
    /// Appends that may have had an effect.
    pub unsure: u64,
    /// Appends or reads that failed.
    pub failed: u64,
    /// Records read.
    pub records: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
    /// Records dated ahead of this node's clock by more than clocks may err.
    pub skewed: u64,
    /// Times that this node's wall clock was found off by more than clocks may err.
    pub stepped: u64,
    /// Times that records were dropped before this node had read them.
    pub gaps: u64,
    /// Invariants found broken; anything but 0 is a defect of the program.
    pub broken: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "asks {} claims {} lost {}",
            self.requests, self.claims, self.lost
        )?;
        write!(
            f,
            " runs {} joined {} pointed {}",
            self.runs, self.joined, self.redirected
        )?;
        write!(f, " refused {} (log {}", self.refused, self.refused_log)?;
        write!(
            f,
            " expired {}) released {}",
            self.refused_expired, self.released
        )?;
        write!(f, " tickets {} appends {}", self.tickets, self.appends)?;
        write!(
            f,
            " unsure {} failed {} records {}",
            self.unsure, self.failed, self.records
        )?;
        write!(f, " bad {} skewed {}", self.undecodable, self.skewed)?;
        write!(
            f,
            " stepped {} gaps {} broken {}",
            self.stepped, self.gaps, self.broken
        )
    }
}
