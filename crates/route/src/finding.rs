//! What a check of the invariants found.

use crate::Attempt;
use crate::request::Id;
use bundle::id::{EndpointId, Layer, TeamId};
use std::fmt;

/// Where a finding was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// A request, at the number of its latest attempt.
    Request(Id, Attempt),
    /// An endpoint.
    Endpoint(EndpointId),
    /// A team.
    Team(TeamId),
    /// The queues.
    Queue,
    /// The retry budget.
    Budget,
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A chain's next layer is the first number and should be the second.
    Gap(Layer, Layer),
    /// A hop runs layers that its endpoint does not hold.
    Span(EndpointId),
    /// An action on a request that is not live (never arrived or already ended).
    Ended,
    /// A second attempt of a request that must not be repeated.
    Repeated,
    /// A refusal though a byte that could start the work may have left.
    Sent,
    /// An attempt started while another one runs.
    Twice,
    /// An answer was called whole without its last token.
    Partial,
    /// New work for an endpoint that takes none.
    Closed(EndpointId),
    /// Work of a suspect beside other work.
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

/// A finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What.
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
