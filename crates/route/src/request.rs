//! Requests as the router sees them.

use crate::Now;
use bundle::id::{AdapterId, ModelId, PriorityId, ServiceId, TeamId};

/// Id of a request, unique across all nodes.
pub type Id = u128;

/// Model or service that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// Generation of tokens by a model, optionally with an adapter.
    Model(ModelId, Option<AdapterId>),
    /// Call of a plain service.
    Service(ServiceId),
}

/// Request to be routed.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: Id,
    /// Team of the caller.
    pub team: TeamId,
    /// Model or service that is requested.
    pub target: Target,
    /// Priority of the request.
    pub priority: PriorityId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Now,
    /// Length of the prompt in tokens, as estimated by the entry.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's blocks, the first block first: equal hashes stand for equal
    /// prefixes.
    pub prefix: Vec<u64>,
    /// Hash of the team and the whole body; equal for a request that is sent again.
    pub fingerprint: u64,
}
