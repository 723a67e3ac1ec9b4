//! Tickets: keys that a node issues and that only it runs.

use crate::{Now, Owner};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Prefix of the text of a ticket.
pub const PREFIX: &str = "ticket-";

/// A ticket. Only the incarnation that issued it may run it, so nodes need no agreement on it.
///
/// Tickets are not signed. A node runs a forged ticket at most once like any other, and the bearer
/// key, not the ticket, identifies the team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Incarnation of the node that issued the ticket.
    pub owner: Owner,
    /// Time of issue by the issuer's monotonic clock, in whole milliseconds.
    pub issued: Now,
    /// Sequence number among the issuer's tickets.
    pub number: u64,
}

/// The text is not a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

/// Result of parsing a ticket.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid ticket")
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

    /// Accepts exactly the text that `Display` produces. A second text for the same ticket would be
    /// a second key, and the ticket could run twice.
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
