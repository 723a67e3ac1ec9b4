//! The arrival of a request: it is checked against the catalog, its body is received, and it is refused if this
//! node can't serve it.

use super::Worker;
use crate::admission::Arrival;
use crate::admit::{self, Admitted, Load};
use crate::body::Body;
use crate::connection;
use crate::departure::Claim;
use crate::dialect::{Dialect, RequestInfo};
use crate::forward;
use crate::job::Job;
use crate::refusal::{Reason, Refusal};
use crate::splice::Chunk;
use crate::stats::Guard;
use crate::view::View;
use catalog::quote::{MAX_QUOTED_CHARS, start_of};
use futures::Stream;
use http::{Request, Response, request};
use hyper::body::{Body as _, Incoming};
use journal::event::Event;
use memory::budget::Lease;
use rand::RngExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry-after delay when this node is about to end and another node can take the request at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry-after delay when this node has no catalog, or is about to end and is the only one. A node that
/// starts while others run gets their catalog before callers are sent to it. So a node without a
/// catalog means that all nodes restarted while the store was unavailable, which lasts for seconds. The
/// delay has to cover that, since most callers retry only once.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Retry-after delay when the node has no memory for a request. By then bodies that make no progress have
/// given way.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<D: Dialect> Worker<D> {
    /// Serves a request of a caller.
    pub(crate) async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<connection::State>,
    ) -> Response<Body<impl Stream<Item = Chunk>>> {
        let received_at = Instant::now();
        let guard = Guard::new(self.stats.clone(), |s| &s.in_flight);
        let info = self.dialect.request_info(request.headers());
        let (id, relayed) = (info.id.clone(), info.relayed);
        match self.admit(request, info, received_at, &connection).await {
            Ok(job) => Box::pin(forward::run(self, job, guard)).await,
            Err(refusal) => {
                let id = id.as_deref();
                self.record_refusal(id.unwrap_or_default(), refusal, received_at);
                refusal.response_to(&self.dialect, id, relayed)
            }
        }
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        info: RequestInfo,
        received_at: Instant,
        connection: &connection::State,
    ) -> Result<Job, Refusal> {
        let (parts, incoming) = request.into_parts();
        let cost = admit::cost(&parts, &info);
        let head = self.admit_head(&parts, info, received_at).await;
        let taken = match head {
            Ok((view, admitted)) => {
                let room = self.take_room(cost, &view, &incoming).await;
                room.map(|room| (view, admitted, room))
            }
            Err(refusal) => Err(refusal),
        };
        let (view, admitted, room) = match taken {
            Ok(taken) => taken,
            Err(refusal) => {
                if !admit::discard_body(incoming).await {
                    connection.set_unread();
                }
                return Err(refusal);
            }
        };
        let catalog = &view.fleet.catalog;
        let arrival = Arrival {
            max_bytes: self.max_body_bytes(&view),
            deadline: admit::deadline(catalog, &admitted, received_at),
            idle_time: catalog.limits.idle_time,
        };
        let received = tokio::select! {
            received = self.admission.receive(incoming, &arrival) => received.map_err(arrival_refusal),
            () = self.aborted() => Err(self.leaving_refusal(&view)),
        };
        let body = match received {
            Ok(body) => body,
            Err(refusal) => {
                connection.set_unread();
                return Err(refusal);
            }
        };
        let load = Load { room, body };
        let random = rand::rng().random();
        let job = admit::job(
            &self.dialect,
            catalog,
            admitted,
            parts,
            load,
            received_at,
            random,
        )?;
        // The body may have arrived long after the head.
        let claim = Claim {
            deadline: job.deadline,
            expected: Some(self.expected_duration(&job)),
            relayed: job.info.relayed,
            repeatable: job.kind().repeatable(),
        };
        self.check_departure(&view, &claim)?;
        Ok(job)
    }

    /// Takes the memory of a request that its head permits. A body that is announced as too long is refused
    /// before it arrives.
    async fn take_room(&self, cost: usize, view: &View, body: &Incoming) -> Result<Lease, Refusal> {
        if body.size_hint().lower() > self.max_body_bytes(view) as u64 {
            return Err(Refusal::new(Reason::BodyTooLarge));
        }
        let room = self.admission.request(cost).await;
        room.map_err(arrival_refusal)
    }

    /// Returns the length of the longest body that is accepted.
    fn max_body_bytes(&self, view: &View) -> usize {
        let allowed = view.fleet.catalog.limits.body_bytes;
        allowed.min(self.admission.max_body_bytes())
    }

    /// Refuses a request that may not end before this node does.
    fn check_departure(&self, view: &View, claim: &Claim) -> Result<(), Refusal> {
        let departure = self.departure.get();
        let accepts = departure.is_none_or(|d| d.accepts(Instant::now(), claim));
        if accepts && !self.closing.get() {
            return Ok(());
        }
        Err(self.leaving_refusal(view))
    }

    /// Returns the refusal of a request that has not run and is to be sent to another node.
    pub(crate) fn leaving_refusal(&self, view: &View) -> Refusal {
        // Other nodes that leave too count, since their successors may not be known yet.
        let retry_after = match view.fleet.budget_nodes > 1 {
            true => LEAVING_RETRY_AFTER,
            false => forward::jitter(NO_CATALOG_RETRY_AFTER),
        };
        Refusal::with_retry_after(Reason::Leaving, retry_after)
    }

    /// Returns the expected duration of a response: that of recent ones, or else the latency target.
    fn expected_duration(&self, job: &Job) -> Duration {
        let durations = self.durations.borrow();
        let expected = durations.expected(job.service(), job.need().size.answer);
        expected.unwrap_or(job.route().latency_target)
    }

    /// Records that a request was answered completely. The rest of a response that its caller had begun to
    /// receive elsewhere is not counted.
    pub(crate) fn record_duration(&self, job: &Job) {
        if job.info.last_event_id.is_none() {
            let (tokens, time) = (job.need().size.answer, job.received_at.elapsed());
            let mut durations = self.durations.borrow_mut();
            durations.record(job.service(), tokens, time);
        }
    }

    /// Checks the head of a request by the view that is in force, and returns that view.
    async fn admit_head(
        &self,
        head: &request::Parts,
        info: RequestInfo,
        received_at: Instant,
    ) -> Result<(Arc<View>, Admitted), Refusal> {
        let Some(view) = self.wait_for_view(info.timeout, received_at).await else {
            return Err(Refusal::with_retry_after(
                Reason::NoCatalog,
                forward::jitter(NO_CATALOG_RETRY_AFTER),
            ));
        };
        let claim = Claim {
            deadline: received_at,
            expected: None,
            relayed: info.relayed,
            repeatable: true,
        };
        if self.closing.get() {
            self.check_departure(&view, &claim)?;
        }
        let catalog = &view.fleet.catalog;
        let admitted = admit::head(catalog, head, info)?;
        let claim = Claim {
            deadline: admit::deadline(catalog, &admitted, received_at),
            repeatable: catalog.routes[admitted.route as usize].kind.repeatable(),
            ..claim
        };
        self.check_departure(&view, &claim)?;
        Ok((view, admitted))
    }

    fn record_refusal(&self, id: &str, refusal: Refusal, received_at: Instant) {
        let all_ms = received_at.elapsed().as_millis() as u64;
        let status = refusal.reason.status().as_u16();
        self.metrics
            .record_request("refused", status, received_at.elapsed());
        if refusal.reason.is_of_arrival() {
            // A crowd of callers would fill the log; the sum is logged.
            self.admission.record_refusal(refusal.reason);
            return;
        }
        self.journal.record(Event::Ended {
            id: start_of(id, MAX_QUOTED_CHARS).to_owned(),
            route: String::new(),
            status,
            outcome: "refused",
            why: refusal.reason.message().to_owned(),
            attempts: 0,
            possible_runs: 0,
            head_ms: all_ms,
            all_ms,
            pause_ms: 0,
            quiet_ms: all_ms,
        });
    }
}

/// Returns the refusal of a request that could not arrive.
fn arrival_refusal(reason: Reason) -> Refusal {
    match reason {
        Reason::Overloaded => {
            Refusal::with_retry_after(reason, forward::jitter(OVERLOAD_RETRY_AFTER))
        }
        _ => Refusal::new(reason),
    }
}
