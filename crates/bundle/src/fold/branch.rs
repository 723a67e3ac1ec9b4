//! A line of versions: the fold's own, or what peers told beyond it.

use super::history::{Entry, History};
use super::signed_bundle::SignedBundle;
use crate::id::Number;

/// A line of versions with its head.
#[derive(Clone, Debug, Default)]
pub(super) struct Branch {
    /// Its head.
    pub head: Option<SignedBundle>,
    /// Its versions.
    pub history: History,
}

impl Branch {
    /// Number of its head; 0 without one.
    pub fn number(&self) -> Number {
        self.head.as_ref().map_or(0, |k| k.bundle.number)
    }

    /// Sets the head; `offset` is that of its record, `body` the record if it is a version.
    pub fn push(&mut self, signed: SignedBundle, offset: Option<u64>, body: Option<&[u8]>) {
        let number = signed.bundle.number;
        self.history.push(signed.entry(offset));
        if let Some(body) = body {
            self.history.push_record(number, body);
        }
        self.head = Some(signed);
    }

    /// Moves all of `other` to the end of this one.
    pub fn append(&mut self, other: &mut Self) {
        let other = std::mem::take(other);
        self.history.append(other.history);
        self.head = other.head;
    }

    /// Entries with a number above `number`, oldest first.
    pub fn after(&self, number: Number) -> impl DoubleEndedIterator<Item = &Entry> {
        self.history.iter().filter(move |e| e.number > number)
    }
}
