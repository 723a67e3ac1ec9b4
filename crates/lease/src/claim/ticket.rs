//! Tickets: keys that a node issues for itself to run.

use crate::{Now, Owner};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What a ticket's text starts with.
pub const PREFIX: &str = "ticket-";

/// A ticket. Only the incarnation that issued it may run it, so no agreement is needed.
///
/// It carries no signature: a forged one names a node that will run it at most once all the same,
/// and its team is told by the bearer key, not by the ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Who issued it.
    pub owner: Owner,
    /// When, by the issuer's own monotonic clock, in whole milliseconds.
    pub issued: Now,
    /// Its number among the issuer's tickets.
    pub number: u64,
}

/// The text is no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

/// Result of reading a ticket.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no ticket")
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Owner { node, incarnation } = self.owner;
        let issued = self.issued.as_millis();
        write!(
            f,
            "{PREFIX}{node:x}-{incarnation:x}-{issued:x}-{:x}",
            self.number
        )
    }
}

impl FromStr for Ticket {
    type Err = Error;

    /// Takes exactly what `Display` gives: two texts for one ticket would be two keys for one
    /// promise.
    fn from_str(text: &str) -> Result<Self> {
        let rest = text.strip_prefix(PREFIX).ok_or(Error)?;
        let mut parts = rest.split('-').map(|part| u64::from_str_radix(part, 16));
        let mut part = || parts.next().ok_or(Error)?.map_err(|_| Error);
        let owner = Owner {
            node: part()?,
            incarnation: part()?,
        };
        let issued = Duration::from_millis(part()?);
        let ticket = Self {
            owner,
            issued,
            number: part()?,
        };
        match ticket.to_string() == text {
            true => Ok(ticket),
            false => Err(Error),
        }
    }
}
