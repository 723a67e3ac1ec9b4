//! Why a request was late or lost.

use serde::Serialize;
use std::fmt;

/// A cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Late: a stage of its chain was replaced under way.
    #[serde(rename = "moved")]
    Rerouted,
    /// Late: it was sent more than once.
    #[serde(rename = "resent")]
    Retried,
    /// Late, though its chain was whole; the chain went from zone to zone.
    #[serde(rename = "crossing")]
    CrossZone,
    /// Late, though its chain was whole and in one zone.
    #[serde(rename = "whole")]
    SameZone,
    /// Refused: no endpoint had room.
    Room,
    /// Refused: some layer was held by no endpoint in use.
    Layers,
    /// Refused: no endpoint was in use.
    Endpoints,
    /// Refused: a further attempt would have been over the budget.
    Budget,
    /// Refused: the node knew no catalog, or was about to end.
    Node,
    /// Refused: no route has its host and path.
    Route,
    /// Refused: no team has its key.
    Key,
    /// Refused: it can't be read, or is larger than any endpoint.
    Caller,
    /// Lost: it may have run, and was not or could not be sent again.
    Lost,
    /// Broken off in the middle of its answer.
    #[serde(rename = "broken")]
    Interrupted,
    /// The endpoint's own failure.
    Failed,
    /// The caller left while events kept coming.
    Left,
    /// The caller left after a wait for an event that was longer than allowed.
    Starved,
    /// The lines do not tell.
    Unknown,
}

/// Words in the reason of a refusal, and what they tell.
const REASONS: [(&str, Cause); 12] = [
    ("the budget for further attempts", Cause::Budget),
    ("no room", Cause::Room),
    ("layers missing", Cause::Layers),
    ("too large", Cause::Caller),
    ("no endpoint to go on from", Cause::Endpoints),
    ("no catalog", Cause::Node),
    ("about to end", Cause::Node),
    ("no route", Cause::Route),
    ("the key is unknown", Cause::Key),
    ("can't be read", Cause::Caller),
    ("may have run", Cause::Lost),
    ("no endpoint", Cause::Endpoints),
];

impl Cause {
    /// Whether it is the answer that the operator's catalog asks for: nothing was lost.
    pub fn is_denied(self) -> bool {
        matches!(self, Self::Route | Self::Key)
    }

    /// The cause that a refusal's reason tells.
    pub fn from_reason(reason: &str) -> Self {
        let found = REASONS.iter().find(|(words, _)| reason.contains(words));
        found.map_or(Self::Unknown, |&(_, cause)| cause)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rerouted => "late, a stage was replaced",
            Self::Retried => "late, sent again",
            Self::CrossZone => "late, chain whole, between zones",
            Self::SameZone => "late, chain whole, in one zone",
            Self::Room => "refused, no room",
            Self::Layers => "refused, layers missing",
            Self::Endpoints => "refused, no endpoint",
            Self::Budget => "refused, budget used up",
            Self::Node => "refused, node starting or ending",
            Self::Route => "refused, no such route",
            Self::Key => "refused, key unknown",
            Self::Caller => "refused, the request's own fault",
            Self::Lost => "lost, may have run",
            Self::Interrupted => "broken off",
            Self::Failed => "failed by the endpoint",
            Self::Left => "caller left, events kept coming",
            Self::Starved => "caller left, after a long wait",
            Self::Unknown => "cause unknown",
        })
    }
}
