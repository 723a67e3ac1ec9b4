//! The state of a request in a core's table.

use super::generated::Generated;
use super::message::{End, Reply};
use crate::account::{Account, token_bytes};
use crate::attempt::{Stage, Work};
use crate::claim::CachedAnswer;
use bundle::Bundle;
use bytes::Bytes;
use engine::chain::Token;
use lease::claim::Hash;
use route::Attempt;
use route::outcome::Outcome;
use route::request::Request;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A request from its arrival to its end.
pub(super) struct Session {
    pub(super) work: Work,
    pub(super) account: Account,
    pub(super) reply: mpsc::UnboundedSender<Reply>,
    pub(super) generated: Generated,
    pub(super) end: End,
    pub(super) repeatable: bool,
    /// Hash of the idempotency key, if the request has a claim.
    pub(super) key_hash: Option<Hash>,
    /// The request as the router needs it, with the bundle of its ids, while it waits for its key.
    pub(super) unclaimed: Option<(Request, Arc<Bundle>)>,
    /// Head of a service's answer, if it is to be cached for retries.
    pub(super) head: Option<Box<http::response::Parts>>,
    /// Body of a service's answer, if it is short enough to be cached.
    pub(super) body: Option<Bytes>,
    pub(super) running: Option<Running>,
    /// Whether an attempt was started.
    pub(super) started: bool,
}

impl Session {
    /// Takes memory for a token that is kept and sent to the caller. Returns false if there is no room.
    pub(super) fn try_add(&mut self, token: &Token) -> bool {
        self.generated.try_push(token) && self.account.try_grow(token_bytes(token))
    }

    /// Returns the complete answer, to be cached for retries.
    pub(super) fn cached_answer(&self) -> Option<CachedAnswer> {
        match &self.work {
            Work::Completion(_) => {
                let end = End {
                    outcome: Outcome::Complete,
                    ..self.end
                };
                Some(CachedAnswer::Completion(self.generated.tokens(), end))
            }
            Work::Call(_) => Some(CachedAnswer::Call(self.head.clone()?, self.body.clone()?)),
        }
    }
}

/// The current attempt of a request.
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) stages: Vec<Stage>,
    pub(super) cancel: CancellationToken,
}
