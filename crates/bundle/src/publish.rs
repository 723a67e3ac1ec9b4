//! Publishing: a signed version into the log, with an honest end.
//!
//! The machine says what to do and is told how it went; its driver appends, reads, waits and
//! keeps the [`Fold`]. Used by `wigeonctl` and by the admin API of a node.
//!
//! An append whose answer was lost may have taken effect, or may still do so. The machine then
//! reads the log to its end and looks where the version stands. If its number is taken, the
//! race is over, and a copy that turns up later is a repetition or has lost. If its parent is
//! still the head, it is appended again: should the first copy turn up after all, whichever
//! comes first is accepted and the other one is a repetition. So no version is in force twice,
//! and the answer is the fold's, never a guess.

use crate::fold::{Entry, Fold, Reason, Status, Verdict};
use crate::id::Number;
use crate::record::{self, Record};
use crate::signed::Version;
use std::fmt;

/// Most calls that may fail before the machine gives up.
pub const MAX_FAILURES: u32 = 8;

/// What the driver does next.
#[derive(Debug)]
pub enum Action {
    /// Read the log from [`Fold::next_offset`] once and apply the page. If `failures` isn't 0,
    /// that many calls have failed so far: back off first.
    Read {
        /// Failed calls so far.
        failures: u32,
    },
    /// Append [`Publisher::body`].
    Append,
    /// Nothing more; this is the end.
    Done(Outcome),
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A page was read and applied; `end` if it had no record, so that nothing more is there.
    Read {
        /// Whether the end of the log was reached.
        end: bool,
    },
    /// The append got this offset.
    Appended(u64),
    /// The read or append failed.
    Failed {
        /// Whether it was an append that may have taken effect.
        unsure: bool,
    },
}

/// How it ended.
#[derive(Debug)]
pub enum Outcome {
    /// The version is in force.
    Accepted(Entry),
    /// Another version came first; this one will never be in force.
    Lost(Entry),
    /// The head is past this number, and nobody remembers which version had it.
    Superseded(Number),
    /// The version doesn't count on any node. It was not appended.
    Refused(Reason),
    /// Its parent was never the head, as far as the log was read. It was not appended.
    UnknownParent(Number),
    /// The log can't be judged from here for a gap. It was not appended.
    Gap,
    /// The log couldn't be reached; nothing was appended.
    Failed,
    /// The version was or may have been appended, but how its race ended couldn't be read. It
    /// may be in force or come into force; asking again with the same version tells.
    Unsure,
}

/// Where the machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Reading to the end of the log, to see where the version stands.
    Reading,
    /// An append is out.
    Appending,
    /// Reading until the fold has passed the record's offset.
    ReadBack(u64),
    /// Ended.
    Ended,
}

/// The publishing of one version.
#[derive(Debug)]
pub struct Publisher {
    version: Version,
    body: Vec<u8>,
    state: State,
    failures: u32,
    /// Whether a copy is or may be in the log.
    appended: bool,
}

impl Publisher {
    /// Publishes the version in the record `body`.
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

    /// The version.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// The record to append.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The first action.
    pub fn start(&mut self) -> Action {
        self.read()
    }

    /// The action after `event`; `fold` has all pages that were read.
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

    /// At the end of the log: appends if the version can win, else ends.
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

    /// After an append that got an offset.
    fn read_back(&mut self, fold: &Fold, offset: u64, end: bool) -> Action {
        if let Some(outcome) = self.race_outcome(fold) {
            return self.end(outcome);
        }
        if fold.next_offset() <= offset {
            // Reads that lag behind the append are counted, so that they can't go on for ever.
            return if end { self.failed(true) } else { self.read() };
        }
        // The fold is past the record without a word on it: there was a gap in between.
        self.end(Outcome::Unsure)
    }

    /// The outcome, if the race is over.
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

    /// After a failed call: reads again, since only the log tells what took effect.
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

    /// Reads once more.
    fn read(&self) -> Action {
        Action::Read {
            failures: self.failures,
        }
    }

    /// Ends.
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
            Self::Superseded(number) => write!(f, "lost: the head is version {number} already"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::UnknownParent(number) => {
                write!(
                    f,
                    "refused: its parent is not the head, which is version {number}"
                )
            }
            Self::Gap => f.write_str("the log has a gap and no checkpoint to judge it by"),
            Self::Failed => f.write_str("the log can't be reached; nothing was appended"),
            Self::Unsure => f.write_str(
                "the version was or may have been appended, but how its race ended can't be \
                 read; publish the same file again to learn it",
            ),
        }
    }
}
