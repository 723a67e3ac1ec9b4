//! Requests as the router sees them.

use crate::Now;
use bundle::Bundle;
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

impl Target {
    /// Returns the target of the same name in another bundle.
    pub fn renumber(self, old: &Bundle, new: &Bundle) -> Option<Self> {
        match self {
            Self::Model(model, adapter) => {
                let old = old.models.get(model as usize)?;
                let model = new.model(&old.name)?;
                let Some(adapter) = adapter else {
                    return Some(Self::Model(model, None));
                };
                let name = old.adapters.get(adapter as usize)?;
                let found = new.models[model as usize]
                    .adapters
                    .iter()
                    .position(|a| a == name)?;
                Some(Self::Model(model, Some(found as u16)))
            }
            Self::Service(service) => {
                let name = &old.services.get(service as usize)?.name;
                new.service(name).map(Self::Service)
            }
        }
    }
}

impl Request {
    /// Returns the request with the ids of another bundle; `None` if its team or its target is not
    /// in that bundle.
    pub fn renumber(self, old: &Bundle, new: &Bundle) -> Option<Self> {
        let team = old.teams.get(self.team as usize)?;
        Some(Self {
            team: new.team(&team.name)?,
            target: self.target.renumber(old, new)?,
            priority: renumber_priority(old, new, self.priority),
            ..self
        })
    }
}

/// Returns the priority of the same name in another bundle, or the least urgent one.
pub(crate) fn renumber_priority(old: &Bundle, new: &Bundle, id: PriorityId) -> PriorityId {
    let name = old.priorities.get(id as usize).map(|p| p.name.as_str());
    let last = new.priorities.len().saturating_sub(1) as PriorityId;
    name.and_then(|n| new.priority(n)).unwrap_or(last)
}
