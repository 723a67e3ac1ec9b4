//! Violations of invariants found by the router's checks.

use crate::Attempt;
use crate::request::Id;
use bundle::id::{EndpointId, Layer, TeamId};
use std::fmt;

/// Subject of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Request, with the number of its latest attempt.
    Request(Id, Attempt),
    /// Endpoint.
    Endpoint(EndpointId),
    /// Team.
    Team(TeamId),
    /// Queues of all models and services.
    Queue,
    /// Retry budget.
    Budget,
}

/// Violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A chain continues at the first layer but should continue at the second.
    Gap(Layer, Layer),
    /// A hop runs layers that its endpoint does not hold.
    Span(EndpointId),
    /// An action concerns a request that is not live: it never arrived or has already ended.
    Ended,
    /// A request that must not be repeated got a second attempt.
    Repeated,
    /// A request was refused although a byte that could start the work may have been sent.
    Sent,
    /// An attempt was started while another one runs.
    Twice,
    /// An answer was reported complete without its last token.
    Partial,
    /// New work was sent to an endpoint that accepts none.
    Closed(EndpointId),
    /// A suspect runs on an endpoint beside other work.
    Shared(EndpointId),
    /// A condemned request was started.
    Condemned,
    /// A count differs from its recount (count, recount).
    Count(u64, u64),
    /// A bound is exceeded (value, bound).
    Bound(u64, u64),
    /// Work that is not urgent was started while urgent work could have been.
    Order,
}

/// One violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Subject of the violation.
    pub place: Place,
    /// Violated invariant.
    pub fault: Fault,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            Place::Request(id, attempt) => write!(f, "request {id:x}/{attempt}: ")?,
            Place::Endpoint(id) => write!(f, "endpoint {id}: ")?,
            Place::Team(id) => write!(f, "team {id}: ")?,
            Place::Queue => f.write_str("queue: ")?,
            Place::Budget => f.write_str("budget: ")?,
        }
        write!(f, "{:?}", self.fault)
    }
}
