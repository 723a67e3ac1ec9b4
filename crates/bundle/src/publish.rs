//! State machine that publishes a signed version to the log and determines the outcome.
//!
//! The machine returns the next action and receives its result as an event; its driver appends,
//! reads, waits and owns the [`Fold`]. Used by `wigeonctl` and by the admin API of a node.
//!
//! An append whose response was lost may have taken effect, or may still do so. The machine then
//! reads the log to its end and checks the status of the version. If a version with its
//! number was accepted, the race is over, and a copy that is appended later is a duplicate or has
//! lost. If its
//! parent is still the head, the version is appended again: if the first copy appears after all,
//! whichever copy comes first is accepted and the other one is a duplicate. So no version comes
//! into force twice, and the outcome is always the verdict of the fold, never a guess.

use crate::fold::{Entry, Fold, Reason, Status, Verdict};
use crate::id::Number;
use crate::record::{self, Record};
use crate::signed::Version;
use std::fmt;

/// Number of failed calls after which the machine ends.
pub const MAX_FAILURES: u32 = 8;

/// Next action of the driver.
#[derive(Debug)]
pub enum Action {
    /// Read one page of the log from [`Fold::next_offset`] and apply it. If `failures` isn't 0,
    /// back off first.
    Read {
        /// Number of calls that have failed so far.
        failures: u32,
    },
    /// Append [`Publisher::body`].
    Append,
    /// Stop: the publication has ended.
    Done(Outcome),
}

/// Result of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A page was read and applied.
    Read {
        /// Whether the end of the log was reached: the page had no record.
        end: bool,
    },
    /// The record was appended at this offset.
    Appended(u64),
    /// The read or append failed.
    Failed {
        /// Whether the call was an append that may have taken effect.
        unsure: bool,
    },
}

/// Outcome of the publication of one version.
#[derive(Debug)]
pub enum Outcome {
    /// The version is in force.
    Accepted(Entry),
    /// Another version was accepted under its number; this one will never be in force.
    Lost(Entry),
    /// The head, with this number, has reached the version's number, and the history no longer
    /// shows which version had that number.
    Superseded(Number),
    /// The version is invalid on every node. It was not appended.
    Refused(Reason),
    /// Its parent is not the head, as far as the log was read; the number is that of the head. The
    /// version was not appended.
    UnknownParent(Number),
    /// A gap in the log prevents judging the version. It was not appended.
    Gap,
    /// The log couldn't be reached; nothing was appended.
    Failed,
    /// The version was or may have been appended, but its verdict couldn't be read. It may be in
    /// force or may come into force; publishing the same version again determines the outcome.
    Unsure,
}

/// State of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Reading to the end of the log to determine the status of the version.
    Reading,
    /// Waiting for the result of an append.
    Appending,
    /// Reading until the fold has passed the offset of the appended record.
    ReadBack(u64),
    /// The outcome was returned.
    Ended,
}

/// Publishes one version.
#[derive(Debug)]
pub struct Publisher {
    version: Version,
    body: Vec<u8>,
    state: State,
    failures: u32,
    /// Whether the log contains or may contain a copy of the version.
    appended: bool,
}

impl Publisher {
    /// Creates the publisher of the version in the record `body`; an error if `body` is not a valid
    /// version record.
    pub fn new(body: Vec<u8>) -> record::Result<Self> {
        let version = match Record::decode(&body)? {
            Record::Version(version) => version,
            Record::Checkpoint(_) => return Err(record::Error::Kind),
        };
        Ok(Self {
            version,
            body,
            state: State::Reading,
            failures: 0,
            appended: false,
        })
    }

    /// Returns the version to publish.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Returns the record to append.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the first action.
    pub fn start(&mut self) -> Action {
        self.read()
    }

    /// Returns the action after `event`; all pages read so far have been applied to `fold`.
    pub fn step(&mut self, fold: &Fold, event: Event) -> Action {
        match (self.state, event) {
            (State::Ended, _) => self.end(Outcome::Unsure),
            (_, Event::Failed { unsure }) => self.failed(unsure),
            (State::Appending, Event::Appended(offset)) => {
                self.appended = true;
                self.state = State::ReadBack(offset);
                self.read()
            }
            (State::ReadBack(offset), Event::Read { end }) => self.read_back(fold, offset, end),
            (State::Reading, Event::Read { end: true }) => self.decide(fold),
            (_, Event::Read { .. } | Event::Appended(_)) => self.read(),
        }
    }

    /// Decides at the end of the log: appends the version if it would be accepted, else ends.
    fn decide(&mut self, fold: &Fold) -> Action {
        if let Some(outcome) = self.race_outcome(fold) {
            return self.end(outcome);
        }
        if fold.in_gap() {
            let outcome = if self.appended {
                Outcome::Unsure
            } else {
                Outcome::Gap
            };
            return self.end(outcome);
        }
        match fold.judge(&self.version) {
            Verdict::Accepted(_) => {
                self.state = State::Appending;
                Action::Append
            }
            Verdict::Refused(reason) => self.end(Outcome::Refused(reason)),
            _ => {
                let number = fold.head().map_or(0, |b| b.number);
                self.end(Outcome::UnknownParent(number))
            }
        }
    }

    /// Handles a page read after an append that returned `offset`.
    fn read_back(&mut self, fold: &Fold, offset: u64, end: bool) -> Action {
        if let Some(outcome) = self.race_outcome(fold) {
            return self.end(outcome);
        }
        if fold.next_offset() <= offset {
            // A read that lags behind the append counts as a failure, which bounds the retries.
            return if end { self.failed(true) } else { self.read() };
        }
        // The fold has passed the record without a verdict on the version: there was a gap.
        self.end(Outcome::Unsure)
    }

    /// Returns the outcome if the log has already decided on the version's number.
    fn race_outcome(&self, fold: &Fold) -> Option<Outcome> {
        match fold.status(&self.version.envelope.header) {
            Status::Accepted(entry) => Some(Outcome::Accepted(entry)),
            Status::Lost(entry) => Some(Outcome::Lost(entry)),
            Status::Superseded => {
                let number = fold.head().map_or(0, |b| b.number);
                Some(Outcome::Superseded(number))
            }
            Status::Acceptable | Status::UnknownParent => None,
        }
    }

    /// Handles a failed call: reads again, since only the log shows which appends took effect.
    fn failed(&mut self, unsure: bool) -> Action {
        self.failures += 1;
        self.appended |= unsure;
        if self.failures >= MAX_FAILURES {
            let outcome = if self.appended {
                Outcome::Unsure
            } else {
                Outcome::Failed
            };
            return self.end(outcome);
        }
        if self.state == State::Appending {
            self.state = State::Reading;
        }
        self.read()
    }

    /// Returns the action that reads the next page.
    fn read(&self) -> Action {
        Action::Read {
            failures: self.failures,
        }
    }

    /// Ends the publication with `outcome`.
    fn end(&mut self, outcome: Outcome) -> Action {
        self.state = State::Ended;
        Action::Done(outcome)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(entry) => write!(f, "version {} is accepted", entry.number),
            Self::Lost(entry) => write!(
                f,
                "lost the race: version {} is by {} ({})",
                entry.number, entry.signer, entry.digest
            ),
            Self::Superseded(number) => write!(f, "lost: the head is already version {number}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::UnknownParent(number) => {
                write!(
                    f,
                    "refused: its parent is not the head, which is version {number}"
                )
            }
            Self::Gap => f.write_str("the log has a gap and no checkpoint that covers it"),
            Self::Failed => f.write_str("the log can't be reached; nothing was appended"),
            Self::Unsure => f.write_str(
                "the version was or may have been appended, but its outcome can't be read; publish \
                 the same file again to determine it",
            ),
        }
    }
}
