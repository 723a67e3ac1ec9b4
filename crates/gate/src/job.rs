//! A request that was admitted.

use crate::dialect::RequestInfo;
use bytes::Bytes;
use catalog::Catalog;
use catalog::engine::Size;
use catalog::kind::Kind;
use catalog::route::Route;
use catalog::service::Service;
use catalog::{RouteId, ServiceId};
use http::{HeaderMap, Method, Uri};
use std::sync::Arc;
use std::time::Duration;
use steer::chain::Need;
use tokio::time::Instant;

/// Rank of urgent requests.
const URGENT_PRIORITY: u8 = 0;
/// Part by which an answer may be longer than its caller expects before room runs short: the
/// estimate is right at the median only.
const OUTPUT_LENGTH_MARGIN: f64 = 1.25;

/// A request on its way.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub info: RequestInfo,
    /// The catalog that admitted it.
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: RouteId,
    /// The service that was drawn for it.
    pub service: ServiceId,
    /// Name of the caller's team.
    pub team: Option<String>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it came.
    pub received_at: Instant,
    /// When its time is over: the caller's, or the route's if that is shorter.
    pub deadline: Instant,
}

impl Job {
    /// Its route.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route as usize]
    }

    /// Its service.
    pub fn service(&self) -> &Service {
        &self.catalog.services[self.service as usize]
    }

    /// What may be repeated.
    pub fn kind(&self) -> Kind {
        self.route().kind
    }

    /// Its id; empty if it has none.
    pub fn id(&self) -> &str {
        self.info.id.as_deref().unwrap_or_default()
    }

    /// Time that is left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What it needs of a chain.
    pub fn need(&self) -> Need {
        let usual = self.service().engine.as_ref().map(|e| e.typical_size);
        let usual = usual.unwrap_or_default();
        let requested = self.info.size.unwrap_or(usual);
        let expected = self.info.expected_output.unwrap_or(usual.answer);
        let expected = (f64::from(expected) * OUTPUT_LENGTH_MARGIN) as u32;
        Need {
            size: Size {
                prompt: requested.prompt,
                answer: expected.min(requested.answer),
            },
            urgent: self.priority == URGENT_PRIORITY,
        }
    }
}
