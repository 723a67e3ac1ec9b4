//! Admitted requests.

use crate::admission::{Droppable, SMALL_BODY_BYTES};
use crate::dialect::RequestInfo;
use crate::kept;
use catalog::Catalog;
use catalog::engine::Size;
use catalog::kind::Kind;
use catalog::route::Route;
use catalog::service::Service;
use catalog::{RouteId, ServiceId};
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use memory::budget::Lease;
use memory::content::Content;
use sha2::{Digest, Sha256};
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::chain::Need;
use steer::crash::Fingerprint;
use steer::prefill::Admission;
use tokio::time::Instant;

/// Priority at which requests count as urgent.
const URGENT_PRIORITY: u8 = 0;
/// Factor applied to the caller's estimate of the output length when capacity is reserved: the
/// estimate is accurate at the median only, and longer outputs would run out of capacity.
const OUTPUT_LENGTH_MARGIN: f64 = 1.25;

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// Metadata from the request's headers.
    pub info: RequestInfo,
    /// The catalog under which the request was admitted.
    pub catalog: Arc<Catalog>,
    /// Route of the request in `catalog`.
    pub route: RouteId,
    /// Service selected from the route's traffic split.
    pub service: ServiceId,
    /// Name of the caller's team.
    pub team: Option<String>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded to the endpoint.
    pub headers: HeaderMap,
    /// Request body, until it is dropped. It is sent by an [`crate::execution::Permit`] only.
    pub(crate) body: Rc<kept::Body>,
    /// The memory of the request, without its body.
    pub(crate) _room: Lease,
    /// Arrival time.
    pub received_at: Instant,
    /// Deadline: the caller's timeout, or the route's if that is shorter.
    pub deadline: Instant,
    /// Hashes of the features, once they were needed; see [`Job::features`].
    pub features: OnceCell<Vec<Fingerprint>>,
    /// Hashes of the parts of the prompt, once they were needed; see [`Job::parts`].
    pub parts: OnceCell<Vec<Fingerprint>>,
}

impl Job {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route as usize]
    }

    /// Returns the service.
    pub fn service(&self) -> &Service {
        &self.catalog.services[self.service as usize]
    }

    /// Returns the kind of the route, which defines whether requests may be repeated.
    pub fn kind(&self) -> Kind {
        self.route().kind
    }

    /// Returns the request id; empty if the caller sent none.
    pub fn id(&self) -> &str {
        self.info.id.as_deref().unwrap_or_default()
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the hash of the request's content: team, host, method, path and body. A caller that
    /// sends the request again gets the same one, at every node and under every catalog. The hash is
    /// cryptographic, so that a request can't be made to match that of another team.
    pub fn fingerprint(&self) -> Fingerprint {
        self.features()[0]
    }

    /// Returns the hashes of the parts of the prompt that other requests of the service may share.
    pub fn parts(&self) -> &[Fingerprint] {
        self.parts.get_or_init(|| {
            let service = self.service().name.as_bytes();
            let parts = self.info.shared_parts.iter();
            parts
                .map(|part| hash([b"part", service], &[part.as_bytes()]))
                .collect()
        })
    }

    /// Returns the hashes of what the request may have in common with others that crash endpoints: its
    /// content, then the parts of its prompt.
    pub fn features(&self) -> &[Fingerprint] {
        self.features.get_or_init(|| {
            let content = match self.body.get() {
                Ok(body) => self.hash_content(&body),
                Err(dropped) => dropped.fingerprint,
            };
            let content = std::iter::once(content);
            content.chain(self.parts().iter().copied()).collect()
        })
    }

    fn hash_content(&self, body: &Content) -> Fingerprint {
        let host = self.headers.get(HOST).map_or(&[][..], |h| h.as_bytes());
        let path = self.uri.path_and_query().map_or("", |p| p.as_str());
        let team = self.team.as_deref().unwrap_or_default();
        let fields = [
            team.as_bytes(),
            host,
            self.method.as_str().as_bytes(),
            path.as_bytes(),
        ];
        let segments: Vec<&[u8]> = body.segments().iter().map(|s| &s[..]).collect();
        hash(fields, &segments)
    }

    /// Returns whether the body takes more memory than that of a usual request.
    pub(crate) fn is_large(&self) -> bool {
        self.body.len() > SMALL_BODY_BYTES
    }

    /// Drops a large body, since the request is not sent again.
    pub(crate) fn release_body(&self) {
        if self.is_large() {
            self.body.release(self.fingerprint());
        }
    }

    /// Returns the body for those who may drop it.
    pub(crate) fn droppable_body(&self) -> Droppable {
        Droppable {
            body: self.body.clone(),
            fingerprint: self.fingerprint(),
        }
    }

    /// Returns the priority for the endpoint if the request is sent now; `None` if the service runs
    /// no model. `may_overtake` states whether its prefill may overtake long prompts.
    pub fn engine_priority(&self, may_overtake: bool) -> Option<u8> {
        self.service().engine.as_ref()?;
        let admission = Admission {
            priority: self.priority,
            prompt: self.need().size.prompt,
            waited: self.received_at.elapsed(),
            may_overtake,
            latency_target: self.route().latency_target,
        };
        Some(admission.engine_priority(&self.catalog, self.service))
    }

    /// Returns the size and urgency by which a chain is selected.
    pub fn need(&self) -> Need {
        let typical = self.service().engine.as_ref().map(|e| e.typical_size);
        let typical = typical.unwrap_or_default();
        let requested = self.info.size.unwrap_or(typical);
        let expected = self.info.expected_output.unwrap_or(typical.answer);
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

/// Returns the hash of fields, the last of which is in segments.
fn hash<const N: usize>(fields: [&[u8]; N], last: &[&[u8]]) -> Fingerprint {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let length: usize = last.iter().map(|segment| segment.len()).sum();
    hash.update((length as u64).to_le_bytes());
    last.iter().for_each(|segment| hash.update(segment));
    let digest: [u8; 32] = hash.finalize().into();
    let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
    Fingerprint::from_le_bytes(*first)
}
