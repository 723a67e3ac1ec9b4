//! Relays a request to another node while this one is isolated from the endpoints of its service.
//!
//! The other node treats it as a request of a caller of its own, so admission, retries, the retry
//! budget and the deadline are those of that node, and its response is passed on as it is. It does not
//! relay the request further. A node marks the end of each response by a length or chunks, however its
//! endpoint did, so a response that ends with its connection is cut off.

use super::{Forwarder, MAX_BODY_BYTES};
use crate::admit;
use crate::dialect::{Dialect, RelayInfo};
use crate::execution::{self, Attempt, Disproof, Permit};
use crate::pool::{self, Conn};
use crate::refusal::Refusal;
use crate::splice::{Chunk, Incomplete};
use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use memory::content::{Content, ContentBody};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;
use steer::budget::Purpose;
use steer::crash::Verdict;
use tokio::time::timeout;

/// Maximum number of nodes that a request is sent to.
const MAX_RELAYS: usize = 3;
/// Time after the deadline within which the other node reports what became of the request.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// A response of another node whose head was received.
pub(crate) struct Relayed {
    conn: Conn,
    received: pool::Received,
    attempt: Attempt,
}

/// Body of a response for the caller.
pub(crate) enum Received<S> {
    /// A body that was received completely.
    Complete(Content),
    /// A body that is passed on while it is received.
    Frames(S),
}

/// Body of a response that is passed on while it is received.
struct Passage<D: Dialect> {
    forwarder: Forwarder<D>,
    conn: Conn,
    headers: HeaderMap,
    body: Incoming,
    is_delimited: bool,
    status: StatusCode,
    has_started: bool,
}

impl<D: Dialect> Forwarder<D> {
    /// Returns whether the request is to be relayed: this node is isolated from its service, no other
    /// node relays it already, and its content is not known to crash endpoints.
    pub(crate) fn must_relay(&self) -> bool {
        !self.job.info.relayed
            && self.worker.is_isolated(&self.job.service().name)
            && self.worker.verdict(&self.job) == Verdict::Allowed
    }

    /// Sends the request to another node that reaches endpoints of its service, and waits for the head
    /// of the response; `None` if there is no such node, or the request may not be sent again.
    pub(crate) async fn relay(&self) -> Option<Relayed> {
        let mut nodes = self.relay_nodes();
        nodes.shuffle(&mut rand::rng());
        for node in nodes.into_iter().take(MAX_RELAYS) {
            if self.job.time_left().is_zero() {
                return None;
            }
            let permit = self.permit()?;
            if !self.take_from_budget(Purpose::Answer) {
                return None;
            }
            let attempt = self.log.record_relayed(node);
            match self.relay_to(node, permit).await {
                Ok(relayed) => match self.unless_leaving(relayed) {
                    Some(relayed) => return Some(relayed),
                    None => {
                        let why = "relay: the other node leaves";
                        self.log.record_failure(attempt, why, false);
                    }
                },
                Err(error) => {
                    let ran = error.may_have_run();
                    if ran {
                        self.reached.set(true);
                    }
                    self.worker.pool.close_idle(node);
                    let why = format!("relay: {error}");
                    self.log.record_failure(attempt, &why, ran);
                }
            }
        }
        None
    }

    /// Returns the response; `None` if the other node refused the request and closes its connections,
    /// as a node that leaves does, so that a third node may take it.
    fn unless_leaving(&self, relayed: Relayed) -> Option<Relayed> {
        let response = &relayed.received.response;
        let (status, headers) = (response.status(), response.headers());
        if status != StatusCode::SERVICE_UNAVAILABLE || !pool::closes_connection(headers) {
            return Some(relayed);
        }
        let info = self.worker.dialect.response_info(headers);
        match Disproof::of_response(status, &info, self.job.info.id.as_deref()) {
            Ok(Some(disproof)) => {
                // A third node gets a permit of its own.
                let _ = relayed.attempt.disprove(disproof);
                None
            }
            // [`receive`] decides what a refusal without proof means.
            Ok(None) | Err(_) => Some(relayed),
        }
    }

    fn relay_nodes(&self) -> Vec<SocketAddr> {
        let service = &self.job.service().name;
        let view = self.worker.view();
        let relays = view.iter().flat_map(|v| &v.relays);
        let connected = relays.filter(|r| !r.isolated_from.contains(service));
        connected.map(|r| r.addr).collect()
    }

    async fn relay_to(&self, node: SocketAddr, permit: Permit) -> pool::Result<Relayed> {
        let id = self.job.info.id.as_deref();
        let mut conn = self.worker.pool.get(node, id).await?;
        let limit = self.job.time_left() + REPORT_TIME;
        let (attempt, body) = permit.begin();
        let sent = timeout(limit, conn.send(self.relay_request(body))).await;
        match sent.unwrap_or(Err(pool::Error::Broken)) {
            Ok(received) => Ok(Relayed {
                conn,
                received,
                attempt,
            }),
            Err(error) => {
                if let Some(disproof) = Disproof::of_failure(error) {
                    // Another node gets a permit of its own.
                    let _ = attempt.disprove(disproof);
                }
                Err(error)
            }
        }
    }

    fn relay_request(&self, body: ContentBody) -> Request<ContentBody> {
        let job = &self.job;
        let mut request = Request::new(body);
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let info = RelayInfo {
            key: job.info.key.as_deref(),
            time_left: job.time_left(),
            last_event_id: job.info.last_event_id,
        };
        let dialect = &self.worker.dialect;
        dialect.add_relay_headers(request.headers_mut(), &info);
        request
    }
}

/// Receives the body of a response. A stream is passed on while it is received; any other response is
/// received completely before, so that one that is cut off does not look complete.
pub(crate) async fn receive<D: Dialect>(
    mut forwarder: Forwarder<D>,
    relayed: Relayed,
) -> Result<Response<Received<impl Stream<Item = Chunk>>>, Refusal> {
    let Relayed {
        conn,
        received: pool::Received { head, response },
        attempt,
    } = relayed;
    let is_delimited = head.is_delimited();
    let status = response.status();
    if execution::promises(status) {
        let info = forwarder.worker.dialect.response_info(response.headers());
        let id = forwarder.job.info.id.as_deref();
        match Disproof::of_response(status, &info, id) {
            Ok(Some(disproof)) => {
                // The request is not sent again.
                let _ = attempt.disprove(disproof);
            }
            Ok(None) => forwarder
                .log
                .set_reason("the other node did not state that it was not run"),
            Err(doubt) => forwarder.log.set_reason(doubt.as_str()),
        }
        if !forwarder.executions.promise() {
            let refusal = forwarder.exhausted();
            forwarder.log.end_refused(refusal);
            return Err(refusal);
        }
    }
    let (mut parts, incoming) = response.into_parts();
    let headers = std::mem::take(&mut parts.headers);
    parts.headers = admit::returned(&headers);
    if forwarder.job.kind().stream().is_some() && status == StatusCode::OK {
        let passage = Passage {
            forwarder,
            conn,
            headers,
            body: incoming,
            is_delimited,
            status,
            has_started: false,
        };
        let frames = futures::stream::unfold(Some(passage), |passage| async {
            passage?.next_frame().await
        });
        return Ok(Response::from_parts(parts, Received::Frames(frames)));
    }
    let limit = forwarder.job.deadline + REPORT_TIME;
    let admission = forwarder.worker.admission.clone();
    let meter = conn.meter();
    let body = admission.collect(incoming, MAX_BODY_BYTES, limit, meter);
    let body = forwarder.unless_aborted(body).await.flatten();
    let Some(body) = body.filter(|_| is_delimited) else {
        let refusal = forwarder.exhausted();
        forwarder.log.end_refused(refusal);
        return Err(refusal);
    };
    forwarder.worker.pool.put(conn, &headers, None);
    forwarder.log.end_answered(status.as_u16());
    let content = Received::Complete(body);
    Ok(Response::from_parts(parts, content))
}

impl<D: Dialect> Passage<D> {
    /// Returns the next frame of the body and what is left of it; `None` at its end.
    async fn next_frame(mut self) -> Option<(Chunk, Option<Self>)> {
        let left = self.forwarder.job.time_left() + REPORT_TIME;
        match timeout(left, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                self.conn.meter().record_frame(length);
                let Ok(data) = frame.into_data() else {
                    return Some((Ok(Frame::data(Bytes::new())), Some(self)));
                };
                match self.has_started {
                    true => self.forwarder.log.record_event(),
                    false => self.forwarder.log.record_first_event(),
                }
                self.has_started = true;
                Some((Ok(Frame::data(data)), Some(self)))
            }
            Ok(None) if self.is_delimited => {
                self.forwarder
                    .worker
                    .pool
                    .put(self.conn, &self.headers, None);
                self.forwarder.log.end_answered(self.status.as_u16());
                None
            }
            Ok(None | Some(Err(_))) | Err(_) => {
                self.forwarder.log.set_reason("the other node broke it off");
                self.forwarder.log.end_truncated();
                Some((Err(Incomplete), None))
            }
        }
    }
}
