//! Routes.

use crate::ServiceId;
use crate::kind::Kind;
use std::time::Duration;

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route<S = Share> {
    /// Its name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is kept waiting for its final answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub latency_target: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that share the requests.
    pub split: Vec<S>,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

/// A service's share of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the shares; not 0.
    pub weight: u32,
}

impl Route {
    /// The service for a request whose draw, even over all numbers, is `draw`.
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
