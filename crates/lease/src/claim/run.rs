//! Keys whose requests this node claims, runs or has run.

use crate::claim::{Fingerprint, Hash, Number, Shard};
use crate::{Now, Outcome, RequestId, WallTime};
use std::collections::{BTreeMap, VecDeque};

/// A request that waits for the claim of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Id of the request.
    pub request: RequestId,
    /// Time at which the request is refused.
    pub deadline: Now,
}

/// Right of this node to run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// A claim in this shard of a key with this date.
    Log(Shard, WallTime),
    /// A ticket that was issued at this time.
    Ticket(Now),
}

/// State of a key. The number is that of the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The claim has not been read back. The requests wait for it.
    Claiming(Number, Vec<Waiter>),
    /// The claim was abandoned or its request was not run, and the release has not been read back.
    /// The requests wait to claim the key again.
    Releasing(Number, Vec<Waiter>),
    /// The request runs.
    Running(Number, RequestId),
    /// The run ended. The request is the one whose answer is cached, if it still is.
    Ended(Number, Option<RequestId>, Outcome),
}

/// A key that this node claims, runs or has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Hash of the team and body of the key's request.
    pub fingerprint: Fingerprint,
    /// Right of this node to run the key.
    pub grant: Grant,
    /// State of the key.
    pub state: State,
}

/// An answer cached for retries with the same key. The node caches its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedAnswer {
    /// Hash of the key.
    pub hash: Hash,
    /// Size of the answer in bytes.
    pub bytes: usize,
}

/// All keys that this node claims, runs or has run.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Keys by hash.
    pub keys: BTreeMap<Hash, Run>,
    /// Cached answers, oldest first.
    pub answers: VecDeque<CachedAnswer>,
    /// Total size of cached answers in bytes.
    pub answer_bytes: usize,
    /// Hashes of tickets in the order of their runs.
    pub tickets: VecDeque<Hash>,
    /// Running requests with the hashes of their keys.
    pub running: BTreeMap<RequestId, Hash>,
}

impl Runs {
    /// Returns the state of the key.
    pub fn state(&mut self, hash: Hash) -> Option<&mut State> {
        self.keys.get_mut(&hash).map(|run| &mut run.state)
    }

    /// Adds an answer of `bytes` bytes to the cached ones.
    pub fn cache_answer(&mut self, hash: Hash, bytes: usize) {
        self.answers.push_back(CachedAnswer { hash, bytes });
        self.answer_bytes += bytes;
    }

    /// Removes the oldest cached answer and returns the hash of its key.
    pub fn pop_oldest_answer(&mut self) -> Option<Hash> {
        let cached = self.answers.pop_front()?;
        self.answer_bytes -= cached.bytes;
        Some(cached.hash)
    }

    /// Returns whether any key belongs to this shard.
    pub fn uses_shard(&self, shard: Shard) -> bool {
        self.keys
            .values()
            .any(|run| matches!(run.grant, Grant::Log(s, _) if s == shard))
    }

    /// Returns whether the key is in [`State::Claiming`] with this claim.
    pub fn is_claiming(&self, hash: Hash, number: Number) -> bool {
        let state = self.keys.get(&hash).map(|run| &run.state);
        matches!(state, Some(State::Claiming(n, _)) if *n == number)
    }
}

impl State {
    /// Sequence number of the claim.
    pub fn number(&self) -> Number {
        match self {
            Self::Claiming(n, _) | Self::Releasing(n, _) => *n,
            Self::Running(n, _) | Self::Ended(n, ..) => *n,
        }
    }

    /// Requests that wait for the key.
    pub fn waiters(&self) -> &[Waiter] {
        match self {
            Self::Claiming(_, waiters) | Self::Releasing(_, waiters) => waiters,
            Self::Running(..) | Self::Ended(..) => &[],
        }
    }

    /// Requests that wait for the key, or `None` in a state without waiting requests.
    pub fn waiters_mut(&mut self) -> Option<&mut Vec<Waiter>> {
        match self {
            Self::Claiming(_, waiters) | Self::Releasing(_, waiters) => Some(waiters),
            Self::Running(..) | Self::Ended(..) => None,
        }
    }
}
