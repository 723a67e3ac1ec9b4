//! Requests in the table of a core.

use super::message::{End, Reply};
use crate::attempt::{Stage, Work};
use crate::claim::CachedAnswer;
use bytes::Bytes;
use engine::chain::Token;
use lease::claim::Hash;
use route::Attempt;
use route::outcome::Outcome;
use route::request::Request;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A request in the table.
pub(super) struct Session {
    pub(super) work: Work,
    pub(super) reply: mpsc::UnboundedSender<Reply>,
    pub(super) generated: Vec<Token>,
    pub(super) end: End,
    pub(super) repeatable: bool,
    /// The key's hash, if it runs under a key.
    pub(super) key_hash: Option<Hash>,
    /// The request, while it waits for its key.
    pub(super) unclaimed: Option<Request>,
    /// Head of a plain service's answer, to be kept for resends.
    pub(super) head: Option<Box<http::response::Parts>>,
    /// Its body, if it is short enough to be kept.
    pub(super) body: Option<Bytes>,
    /// Whether a part of a plain service's answer went to the caller: it can't be started anew.
    pub(super) committed: bool,
    pub(super) running: Option<Running>,
}

impl Session {
    /// The whole answer, for resends.
    pub(super) fn cached_answer(&self) -> Option<CachedAnswer> {
        match &self.work {
            Work::Completion(_) => {
                let end = End {
                    outcome: Outcome::Complete,
                    ..self.end
                };
                Some(CachedAnswer::Completion(self.generated.clone(), end))
            }
            Work::Call(_) => Some(CachedAnswer::Call(self.head.clone()?, self.body.clone()?)),
        }
    }
}

/// The current attempt of a session.
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) stages: Vec<Stage>,
    pub(super) cancel: CancellationToken,
}
