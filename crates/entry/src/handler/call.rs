//! Calls of plain services: `/services/NAME/...`.

use super::complete::fingerprint;
use super::forward::Original;
use super::{Shared, caller, with_id};
use crate::answer::Guard;
use crate::api::error::{Error, Result};
use crate::api::header::{DEADLINE, Header, OUTCOME, PRIORITY, REPEATABLE, WHOLE};
use crate::attempt::{CHUNKS, Call, Work};
use crate::claim::Claim;
use crate::core::{Arrival, Command, End, Reply};
use crate::reading;
use bytes::Bytes;
use futures::{Stream, stream};
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, StatusCode, Uri};
use route::outcome::Outcome;
use route::request::{Request as Routed, Target};
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;
use viz::{Body, Request, Response};

/// Where services are served.
const ROOT: &str = "/services/";
/// Headers that belong to one connection only, and those that are for this node only.
const NOT_FORWARDED: [HeaderName; 12] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PRIORITY,
    DEADLINE,
    REPEATABLE,
    WHOLE,
];
/// The caller's address, for the service.
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Any method on `/services/NAME/...`.
pub async fn service(state: &Shared, mut req: Request) -> Result<Response> {
    let snapshot = state.snapshot()?;
    let bundle = &snapshot.view.bundle;
    let header = Header::check(req.headers(), bundle)?;
    let path = req.uri().path_and_query().map_or("", |p| p.as_str());
    let (name, rest) = split(path);
    let service = bundle.service(name).ok_or_else(|| {
        let message = format!("no service is called {name}");
        Error::new(StatusCode::NOT_FOUND, "service_not_found", message)
    })?;
    let usual = bundle.services[usize::from(service)].repeatable;
    // A caller can forbid a repeat, but can't allow one that the operators have forbidden.
    let repeatable = usual && header.repeatable.unwrap_or(true);
    let head = forwarded(&req, rest)?;
    let fingerprint_path = path.to_owned();
    let original = Original::of(&req);
    let body = reading::body(&mut req, &state.limits).await?;
    let team = &bundle.teams[usize::from(header.team)].name;
    let (chunks, pieces) = mpsc::channel(CHUNKS);
    let request = Routed {
        id: state.draw_id(),
        team: header.team,
        target: Target::Service(service),
        priority: header.priority,
        repeatable,
        deadline: state.deadline(header.deadline),
        prompt_tokens: 0,
        max_tokens: 1,
        prefix: Vec::new(),
        fingerprint: fingerprint(team, &fingerprint_path, &body),
    };
    let claim = super::key::claim(&header, bundle, &request)?;
    let id = request.id;
    let limit = engine::service::Limit {
        head: request.deadline.saturating_sub(state.start.elapsed()),
        fresh: !repeatable,
    };
    let work = Call {
        head: Arc::new(head),
        body: body.clone(),
        chunks,
        limit,
    };
    let left = limit.head;
    let answer = run(state, request, work, claim, pieces).await;
    let answer = original.or_forward(state, answer, body, left).await;
    with_id(answer, id)
}

/// Splits `/services/NAME/rest?query` into the name and `/rest?query`.
fn split(path: &str) -> (&str, &str) {
    let path = path.strip_prefix(ROOT).unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    path.split_at(end)
}

/// The head that the service sees.
fn forwarded(req: &Request, rest: &str) -> Result<http::request::Parts> {
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let uri: Uri = path.parse().map_err(|_| {
        Error::new(
            StatusCode::BAD_REQUEST,
            "invalid_path",
            "the path can't be forwarded",
        )
    })?;
    let mut head = http::Request::new(()).into_parts().0;
    head.method = req.method().clone();
    head.uri = uri;
    head.headers = forward_headers(req.headers());
    if let Some(addr) = caller(req) {
        let text = addr.ip().to_string();
        if let Ok(value) = HeaderValue::from_str(&text) {
            head.headers.insert(FORWARDED_FOR, value);
        }
    }
    Ok(head)
}

fn forward_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

async fn run(
    state: &Shared,
    request: Routed,
    call: Call,
    claim: Option<Claim>,
    pieces: mpsc::Receiver<Bytes>,
) -> Result<Response> {
    let (reply, replies) = mpsc::unbounded_channel();
    let mut flow = Flow {
        guard: Guard::new(request.id, state.tx.clone()),
        replies,
        pieces,
        ended: false,
    };
    let arrival = Arrival {
        request,
        work: Work::Call(call),
        claim,
        reply,
    };
    let _ = state.tx.send(Command::Arrive(arrival));
    match flow.replies.recv().await {
        Some(Reply::Head(parts)) => Ok(streamed(*parts, flow)),
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        Some(Reply::Error(error)) => Err(*error),
        Some(Reply::Done(End { outcome, .. })) => Err(Error::from_outcome(outcome)),
        Some(Reply::Token(_)) | None => Err(Error::outcome_unknown()),
    }
}

/// An answer of a plain service on its way to the caller.
struct Flow {
    #[expect(dead_code, reason = "tells the core when it is dropped")]
    guard: Guard,
    replies: mpsc::UnboundedReceiver<Reply>,
    pieces: mpsc::Receiver<Bytes>,
    ended: bool,
}

fn streamed(mut parts: http::response::Parts, flow: Flow) -> Response {
    for name in [CONNECTION, TRANSFER_ENCODING, TE, TRAILER, UPGRADE] {
        parts.headers.remove(name);
    }
    // The outcome is not known yet: an answer that is not whole is broken off by the transport.
    parts.headers.remove(&OUTCOME);
    Response::from_parts(parts, Body::from_stream(pieces(flow)))
}

fn pieces(flow: Flow) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(flow, |mut flow| async move {
        let item = flow.next().await?;
        Some((item, flow))
    })
}

impl Flow {
    /// The next piece. The attempt sends every piece before it tells the core that it ended, so
    /// what is still in the channel then is the rest of the answer.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return self.pieces.try_recv().ok().map(Ok);
        }
        tokio::select! {
            biased;
            Some(piece) = self.pieces.recv() => Some(Ok(piece)),
            reply = self.replies.recv() => self.end(reply),
        }
    }

    fn end(&mut self, reply: Option<Reply>) -> Option<io::Result<Bytes>> {
        self.ended = true;
        match reply {
            Some(Reply::Done(End {
                outcome: Outcome::Complete,
                ..
            })) => self.pieces.try_recv().ok().map(Ok),
            _ => Some(Err(io::Error::other("the answer is not whole"))),
        }
    }
}
