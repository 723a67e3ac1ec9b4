//! Counters of a claim table.

use std::fmt;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub requests: u64,
    /// Claims queued for the log.
    pub claims: u64,
    /// Claims of this node that lost to an earlier claim of another node.
    pub lost: u64,
    /// Requests started on this node.
    pub runs: u64,
    /// Requests that joined the claim, run or answer of another request on this node.
    pub joined: u64,
    /// Requests redirected to another node.
    pub redirected: u64,
    /// Requests refused.
    pub refused: u64,
    /// Refused requests whose claim the log service did not settle in time.
    pub refused_log: u64,
    /// Refused requests whose key had expired.
    pub refused_expired: u64,
    /// Keys released without having run.
    pub released: u64,
    /// Tickets issued.
    pub tickets: u64,
    /// Appends requested.
    pub appends: u64,
    /// Appends of unknown outcome.
    pub unsure: u64,
    /// Failed reads, and appends that failed or had an unknown outcome.
    pub failed: u64,
    /// Records read.
    pub records: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
    /// Records dated further ahead of this node's clock than the allowed clock errors explain.
    pub skewed: u64,
    /// Times that this node's wall clock had shifted by more than the allowed clock error.
    pub stepped: u64,
    /// Times that the stream dropped records before this node read them.
    pub gaps: u64,
    /// Violated invariants. Any value other than 0 is a bug.
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
