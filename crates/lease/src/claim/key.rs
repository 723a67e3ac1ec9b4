//! Parser of the idempotency keys that callers send.

use crate::WallTime;
use crate::claim::Hash;
use crate::claim::ticket::{self, Ticket};
use sha2::{Digest, Sha256};
use std::fmt;
use std::time::Duration;

/// Maximum length of a key in bytes.
pub const MAX_LEN: usize = 255;
/// Number of digits of a date in seconds since the Unix epoch.
const DATE_DIGITS: usize = 10;
/// Positions of the hyphens in the text of a UUID.
const HYPHENS: [usize; 4] = [8, 13, 18, 23];
/// Length of the text of a UUID.
const UUID_LEN: usize = 36;

/// A key chosen by the caller, with its date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatedKey {
    /// Hash of the team and the text of the key.
    pub hash: Hash,
    /// Time at which the key was created, by the clock of its creator.
    pub date: WallTime,
}

/// A parsed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A key chosen by the caller.
    Dated(DatedKey),
    /// A ticket, with the hash of the team and the text of the key.
    Ticket(Ticket, Hash),
}

/// Reason why a key is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Empty, over [`MAX_LEN`], or with characters outside visible ASCII.
    InvalidText,
    /// Has the prefix of a ticket but is not a valid ticket.
    InvalidTicket,
    /// Neither a UUID of version 7 nor a date in seconds followed by a hyphen and text.
    Undated,
}

/// Result of parsing a key.
pub type Result<T> = std::result::Result<T, Error>;

impl Key {
    /// Parses the text of a key. The hash includes the team, so keys of different teams never
    /// collide.
    ///
    /// A key must contain its date. The log drops old claims, and without a date a key whose claim
    /// was dropped could not be told apart from a new one and would run a second time.
    pub fn parse(team: &str, text: &str) -> Result<Self> {
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_LEN || !visible {
            return Err(Error::InvalidText);
        }
        let hash = hash(team, text);
        if text.starts_with(ticket::PREFIX) {
            let ticket = text.parse().map_err(|_| Error::InvalidTicket)?;
            return Ok(Self::Ticket(ticket, hash));
        }
        let date = seconds(text).or_else(|| uuid(text)).ok_or(Error::Undated)?;
        Ok(Self::Dated(DatedKey { hash, date }))
    }

    /// Returns the hash of the team and the text of the key.
    pub fn hash(&self) -> Hash {
        match self {
            Self::Dated(key) => key.hash,
            Self::Ticket(_, hash) => *hash,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidText => "the key is empty, too long or not visible ASCII",
            Self::InvalidTicket => "the key starts like a ticket and is none",
            Self::Undated => "the key is neither a ticket, a UUIDv7 nor SECONDS-TEXT",
        })
    }
}

impl std::error::Error for Error {}

/// Returns a truncated SHA-256. Callers choose the keys, so the hash must be collision-resistant:
/// otherwise one request could be taken for another.
fn hash(team: &str, text: &str) -> Hash {
    let mut digest = Sha256::new();
    digest.update((team.len() as u64).to_le_bytes());
    digest.update(team);
    digest.update(text);
    let bytes = digest.finalize();
    bytes
        .iter()
        .take(16)
        .fold(0, |hash, b| hash << 8 | Hash::from(*b))
}

/// Parses the date of a key of the form `SECONDS-TEXT`.
fn seconds(text: &str) -> Option<WallTime> {
    let (date, rest) = text.split_once('-')?;
    let digits = date.len() == DATE_DIGITS && date.bytes().all(|b| b.is_ascii_digit());
    if !digits || rest.is_empty() {
        return None;
    }
    date.parse().ok().map(Duration::from_secs)
}

/// Parses the date of a UUID of version 7: its first 48 bits, in milliseconds since the Unix epoch.
fn uuid(text: &str) -> Option<WallTime> {
    let shaped = text.len() == UUID_LEN
        && text
            .bytes()
            .enumerate()
            .all(|(i, b)| match HYPHENS.contains(&i) {
                true => b == b'-',
                false => b.is_ascii_hexdigit(),
            });
    if !shaped || text.as_bytes().get(14) != Some(&b'7') {
        return None;
    }
    let high = u64::from_str_radix(text.get(..8)?, 16).ok()?;
    let low = u64::from_str_radix(text.get(9..13)?, 16).ok()?;
    Some(Duration::from_millis(high << 16 | low))
}
