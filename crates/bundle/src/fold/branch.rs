//! A linear sequence of versions: the one folded from the log, or the one from peers beyond it.

use super::history::{Entry, History};
use super::signed_bundle::SignedBundle;
use crate::id::Number;

/// A linear sequence of versions with its head.
#[derive(Clone, Debug, Default)]
pub(super) struct Branch {
    /// State of the last version.
    pub head: Option<SignedBundle>,
    /// Retained versions of the branch.
    pub history: History,
}

impl Branch {
    /// Returns the number of the head; 0 without one.
    pub fn number(&self) -> Number {
        self.head.as_ref().map_or(0, |k| k.bundle.number)
    }

    /// Sets the head. `offset` is the offset of its record if it was accepted from the log; `body`
    /// is the record if it is a version.
    pub fn push(&mut self, signed: SignedBundle, offset: Option<u64>, body: Option<&[u8]>) {
        let number = signed.bundle.number;
        self.history.push(signed.entry(offset));
        if let Some(body) = body {
            self.history.push_record(number, body);
        }
        self.head = Some(signed);
    }

    /// Moves the versions and the head of `other` to the end of this branch.
    pub fn append(&mut self, other: &mut Self) {
        let other = std::mem::take(other);
        self.history.append(other.history);
        self.head = other.head;
    }

    /// Returns the entries with a number above `number`, oldest first.
    pub fn after(&self, number: Number) -> impl DoubleEndedIterator<Item = &Entry> {
        self.history.iter().filter(move |e| e.number > number)
    }
}
