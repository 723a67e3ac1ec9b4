//! Counters of a lease table.

use std::fmt;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Leases acquired.
    pub gained: u64,
    /// Leases lost: expired, taken over, or no longer wanted.
    pub lost: u64,
    /// Records of this node that were not valid, mostly since another node's record came first.
    pub beaten: u64,
    /// Appends requested.
    pub appends: u64,
    /// Appends of unknown outcome.
    pub unsure: u64,
    /// Failed reads, and appends that failed or had an unknown outcome.
    pub failed: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
    /// Times that the stream dropped records before this node read them.
    pub gaps: u64,
    /// Violated invariants. Any value other than 0 is a bug.
    pub broken: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "gained {} lost {} beaten {}",
            self.gained, self.lost, self.beaten
        )?;
        write!(f, " appends {} unsure {}", self.appends, self.unsure)?;
        write!(
            f,
            " failed {} bad {} gaps {}",
            self.failed, self.undecodable, self.gaps
        )?;
        write!(f, " broken {}", self.broken)
    }
}
