//! Routes: which services handle the requests of a host and path prefix.

use crate::ServiceId;
use crate::kind::Kind;
use std::time::Duration;

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route<S = Share> {
    /// Name of the route.
    pub name: String,
    /// Host of the request, in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Execution semantics of the requests.
    pub kind: Kind,
    /// Longest time that a request may take until its response is final.
    pub timeout: Duration,
    /// Time within which the response, or its first event, counts as on time.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are split.
    pub split: Vec<S>,
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service's share of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Id of the service.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route; not 0.
    pub weight: u32,
}

impl Route {
    /// Selects the service for a request by weight; `draw` must be uniformly distributed over all
    /// `u64` values. Returns `None` if the route has no shares.
    pub fn service(&self, draw: u64) -> Option<ServiceId> {
        let sum: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(sum)?;
        self.split.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            match left < weight {
                true => Some(share.service),
                false => {
                    left -= weight;
                    None
                }
            }
        })
    }
}
