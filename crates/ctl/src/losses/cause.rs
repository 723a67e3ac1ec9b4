//! Causes for which requests are late or lost.

use serde::Serialize;
use std::fmt;

/// Cause of a late or lost request. The order of the variants is that of the tables where counts
/// are equal, and of the stacks in the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Late: a stage of its chain was replaced while it was in flight.
    #[serde(rename = "moved")]
    Rerouted,
    /// Late: it took more than one attempt.
    #[serde(rename = "resent")]
    Retried,
    /// Late after one attempt without a reroute, over a chain that spans availability zones.
    #[serde(rename = "crossing")]
    CrossZone,
    /// Late after one attempt without a reroute, over a chain inside one availability zone.
    #[serde(rename = "whole")]
    SameZone,
    /// Refused: no endpoint had free capacity.
    Room,
    /// Refused: no available endpoint held some layer.
    Layers,
    /// Refused: no endpoint was available.
    Endpoints,
    /// Refused: a retry would have exceeded the retry budget.
    Budget,
    /// Refused: the node had no catalog yet, or was shutting down.
    Node,
    /// Refused: no route matches its host and path.
    Route,
    /// Refused: its key belongs to no team.
    Key,
    /// Refused: the request is malformed, or too large for any endpoint.
    Caller,
    /// Lost: it may have been executed, and was not or could not be retried.
    Lost,
    /// The answer was broken off after it had begun.
    #[serde(rename = "broken")]
    Interrupted,
    /// The endpoint answered with a failure status.
    Failed,
    /// The caller disconnected while its wait for the next event was within the limit.
    Left,
    /// The caller disconnected during a wait for an event that exceeded the limit.
    Starved,
    /// The lines don't show the cause.
    Unknown,
}

/// Phrases in the reasons of refusals, and the causes that they stand for. The first match counts.
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
    /// Whether the catalog itself demands the refusal. Such a request doesn't count as lost.
    pub fn is_denied(self) -> bool {
        matches!(self, Self::Route | Self::Key)
    }

    /// Returns the cause of a refusal from the text of its reason.
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
