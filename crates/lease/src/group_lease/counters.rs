//! Counts of a lease table, since its start.

use std::fmt;

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Tenures begun.
    pub gained: u64,
    /// Tenures that lapsed or were taken over.
    pub lost: u64,
    /// Records of this node that another one beat.
    pub beaten: u64,
    /// Appends asked for.
    pub appends: u64,
    /// Appends that may have had an effect.
    pub unsure: u64,
    /// Appends or reads that failed.
    pub failed: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
    /// Times that records were dropped before this node had read them.
    pub gaps: u64,
    /// Invariants found broken; anything but 0 is a defect of the program.
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
