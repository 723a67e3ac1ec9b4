//! Keys that this node wants to run, runs or has run.

use crate::claim::{Fingerprint, Hash, Number, Shard};
use crate::{Now, Outcome, RequestId, WallTime};
use std::collections::{BTreeMap, VecDeque};

/// A request that waits for its key's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: RequestId,
    /// When it is refused.
    pub deadline: Now,
}

/// What lets this node run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// A claim in this shard, for a key of this date.
    Log(Shard, WallTime),
    /// A ticket issued at this time.
    Ticket(Now),
}

/// How far a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Its claim has not been read back.
    Claiming(Number, Vec<Waiter>),
    /// Its claim was given up, or ended unrun; the release has not been read back.
    Releasing(Number, Vec<Waiter>),
    /// This request runs.
    Running(Number, RequestId),
    /// It ended; the request's answer is kept if there is one.
    Ended(Number, Option<RequestId>, Outcome),
}

/// A key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// What the key stands for.
    pub fingerprint: Fingerprint,
    /// What lets this node run it.
    pub grant: Grant,
    /// How far it is.
    pub state: State,
}

/// A kept answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Its key.
    pub hash: Hash,
    /// Its size, in bytes.
    pub bytes: usize,
}

/// All keys of this node.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// By key.
    pub keys: BTreeMap<Hash, Run>,
    /// Kept answers, oldest first.
    pub answers: VecDeque<KeptAnswer>,
    /// Bytes of kept answers.
    pub answer_bytes: usize,
    /// Tickets in the order of their runs.
    pub tickets: VecDeque<Hash>,
    /// Requests that run, with their keys.
    pub running: BTreeMap<RequestId, Hash>,
}

impl Runs {
    /// The key's state.
    pub fn state(&mut self, hash: Hash) -> Option<&mut State> {
        self.keys.get_mut(&hash).map(|run| &mut run.state)
    }

    /// Keeps an answer.
    pub fn keep_answer(&mut self, hash: Hash, bytes: usize) {
        self.answers.push_back(KeptAnswer { hash, bytes });
        self.answer_bytes += bytes;
    }

    /// Takes the oldest kept answer's key out.
    pub fn pop_oldest_answer(&mut self) -> Option<Hash> {
        let kept = self.answers.pop_front()?;
        self.answer_bytes -= kept.bytes;
        Some(kept.hash)
    }

    /// Whether any key belongs to this shard.
    pub fn uses_shard(&self, shard: Shard) -> bool {
        self.keys
            .values()
            .any(|run| matches!(run.grant, Grant::Log(s, _) if s == shard))
    }

    /// Whether this claim is the one that its key waits for.
    pub fn is_claiming(&self, hash: Hash, number: Number) -> bool {
        let state = self.keys.get(&hash).map(|run| &run.state);
        matches!(state, Some(State::Claiming(n, _)) if *n == number)
    }
}

impl State {
    /// The number of the claim.
    pub fn number(&self) -> Number {
        match self {
            Self::Claiming(n, _) | Self::Releasing(n, _) => *n,
            Self::Running(n, _) | Self::Ended(n, ..) => *n,
        }
    }

    /// Requests that wait.
    pub fn waiters(&self) -> &[Waiter] {
        match self {
            Self::Claiming(_, waiters) | Self::Releasing(_, waiters) => waiters,
            Self::Running(..) | Self::Ended(..) => &[],
        }
    }

    /// Requests that wait, to change.
    pub fn waiters_mut(&mut self) -> Option<&mut Vec<Waiter>> {
        match self {
            Self::Claiming(_, waiters) | Self::Releasing(_, waiters) => Some(waiters),
            Self::Running(..) | Self::Ended(..) => None,
        }
    }
}
