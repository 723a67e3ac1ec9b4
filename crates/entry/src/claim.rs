//! Claims of idempotency keys, as a worker and control speak of them.
//!
//! A request that may not be repeated and has a key runs only after control has claimed the key.
//! Control keeps the answers of ended runs for a while, so that a resend is given them.

use crate::api::error::Error;
use bytes::Bytes;
use engine::chain::Token;
use lease::claim::{Fingerprint, Hash, Key};
use route::outcome::Outcome;
use route::request::Id;
use std::sync::Arc;
use std::time::Duration;

/// Most bytes of a plain service's answer that are kept for resends.
pub const MAX_CACHED_BODY_BYTES: usize = 256 << 10;

/// A key with what it stands for.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The key.
    pub form: Key,
    /// Hash of the team and the whole request.
    pub fingerprint: Fingerprint,
}

/// A worker's question.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The request.
    pub id: Id,
    /// Its key.
    pub claim: Claim,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// A run that ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub id: Id,
    /// Its key.
    pub hash: Hash,
    /// How it ended.
    pub outcome: Outcome,
    /// Its answer, if it is whole and not too long.
    pub answer: Option<Arc<CachedAnswer>>,
}

/// The answer of a run, for resends.
#[derive(Clone, Debug)]
pub enum CachedAnswer {
    /// Of a completion.
    Completion(Vec<Token>, crate::core::End),
    /// Of a plain service.
    Call(Box<http::response::Parts>, Bytes),
}

impl CachedAnswer {
    /// Bytes that it takes, roughly.
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

/// Control's answer to a question.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The key is this request's: run it.
    Run,
    /// Give it this answer of the key's run.
    Replay(Arc<CachedAnswer>),
    /// Give it this error.
    Error(Box<Error>),
}
