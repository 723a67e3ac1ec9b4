//! What the router needs to know of a request.

use crate::Now;
use bundle::id::{AdapterId, ModelId, PriorityId, ServiceId, TeamId};

/// Id of a request, unique over all nodes.
pub type Id = u128;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// Tokens of a model.
    Model(ModelId, Option<AdapterId>),
    /// A call of a plain service.
    Service(ServiceId),
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: Id,
    /// The caller's team.
    pub team: TeamId,
    /// What it asks for.
    pub target: Target,
    /// Its priority.
    pub priority: PriorityId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its answer has lost its worth.
    pub deadline: Now,
    /// Length of the prompt, in tokens, as estimated by the entry.
    pub prompt_tokens: u32,
    /// Most tokens it may generate.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's blocks, longest common prefix first.
    pub prefix: Vec<u64>,
    /// Hash of the team and the whole body: equal for a resend.
    pub fingerprint: u64,
}
