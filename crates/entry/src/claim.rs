//! Claims of idempotency keys: the messages between a worker and the control thread.
//!
//! A request that is not repeatable and has a key runs only after the control thread has claimed
//! the key. The control thread caches the answers of ended runs for a limited time and replays
//! them when a caller sends the request again.

use crate::api::error::Error;
use bytes::Bytes;
use engine::chain::Token;
use lease::claim::{Fingerprint, Hash, Key};
use route::outcome::Outcome;
use route::request::Id;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a service's answer, in bytes, that is cached for retries.
pub const MAX_CACHED_BODY_BYTES: usize = 256 << 10;

/// An idempotency key and the request that it identifies.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The key.
    pub form: Key,
    /// Hash of the team and the whole request.
    pub fingerprint: Fingerprint,
}

/// A worker's request to claim a key.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Id of the caller's request.
    pub id: Id,
    /// Key and fingerprint of the caller's request.
    pub claim: Claim,
    /// Time left until the deadline of the caller's request.
    pub time_left: Duration,
}

/// The end of a run under a key.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Id of the caller's request.
    pub id: Id,
    /// Hash of its key.
    pub hash: Hash,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Its answer, if it is complete and short enough to be cached.
    pub answer: Option<Arc<CachedAnswer>>,
}

/// The answer of a run, cached for retries under the same key.
#[derive(Clone, Debug)]
pub enum CachedAnswer {
    /// Tokens and end of a completion.
    Completion(Vec<Token>, crate::core::End),
    /// Head and body of a service's answer.
    Call(Box<http::response::Parts>, Bytes),
}

impl CachedAnswer {
    /// Approximate size in memory, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Completion(tokens, _) => tokens
                .iter()
                .map(|t| size_of::<Token>() + t.text.len())
                .sum(),
            Self::Call(_, body) => size_of::<http::response::Parts>() + body.len(),
        }
    }
}

/// The control thread's decision on a claim.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The request has claimed the key and may run.
    Run,
    /// The key has run; the request is answered with the cached answer.
    Replay(Arc<CachedAnswer>),
    /// The request is answered with this error.
    Error(Box<Error>),
}
