//! Calls of plain HTTP services, which are not models: `/services/NAME/...`.

use super::complete::fingerprint;
use super::forward::Original;
use super::{Shared, with_request_id};
use crate::account::Account;
use crate::answer::Guard;
use crate::api::error::{Error, Result};
use crate::api::header::{
    DEADLINE, FORWARDED_FOR, HOP, Header, OUTCOME, PRIORITY, REPEATABLE, WHOLE,
};
use crate::attempt::{Call, MAX_BUFFERED_CHUNKS, Work};
use crate::core::{Arrival, Command, End, Reply};
use crate::{hop_by_hop, request_body};
use bytes::Bytes;
use futures::{Stream, stream};
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderName};
use http::{HeaderMap, StatusCode, Uri};
use route::outcome::Outcome;
use route::request::{Request as Routed, Target};
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;
use viz::{Body, Request, Response};

/// Prefix of the paths of services.
const PATH_PREFIX: &str = "/services/";
/// Headers that are meant for this node only, or are set anew for the service.
const NOT_FORWARDED: [HeaderName; 9] = [
    AUTHORIZATION,
    CONTENT_LENGTH,
    HOST,
    PRIORITY,
    DEADLINE,
    REPEATABLE,
    WHOLE,
    HOP,
    FORWARDED_FOR,
];

/// Handles any method on `/services/NAME/...`.
pub async fn service(state: &Shared, req: &mut Request) -> Result<Response> {
    let snapshot = state.snapshot()?;
    let bundle = &snapshot.view.bundle;
    let header = Header::check(req.headers(), bundle)?;
    let path = req.uri().path_and_query().map_or("", |p| p.as_str());
    let (name, rest) = split_path(path);
    let service = bundle.service(name).ok_or_else(|| {
        let message = format!("no service is called {name}");
        Error::new(StatusCode::NOT_FOUND, "service_not_found", message)
    })?;
    let service_repeatable = bundle.services[usize::from(service)].repeatable;
    // A caller can forbid retries, but can't allow them if the operators have forbidden them.
    let repeatable = service_repeatable && header.repeatable.unwrap_or(true);
    let mut head = service_head(req, rest)?;
    let fingerprint_path = path.to_owned();
    let original = Original::of(req);
    let body = request_body::read(req, &state.limits).await?;
    if let Some(caller) = original.caller(state, &body) {
        head.headers.insert(FORWARDED_FOR, caller);
    }
    let team = &bundle.teams[usize::from(header.team)].name;
    let (chunk_tx, chunk_rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let request = Routed {
        id: state.new_id(),
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
    let options = engine::service::CallOptions {
        head_timeout: request.deadline.saturating_sub(state.start.elapsed()),
        new_connection: !repeatable,
    };
    let account = Account::open(&state.limits.memory)?;
    let work = Call {
        head: Arc::new(head),
        body: body.clone(),
        chunks: chunk_tx,
        account: account.clone(),
        is_cached: claim.is_some(),
        options,
    };
    let time_left = options.head_timeout;
    let (reply, replies) = mpsc::unbounded_channel();
    let arrival = Arrival {
        request,
        bundle: bundle.clone(),
        work: Work::Call(work),
        claim,
        account,
        reply,
    };
    let answer = submit(state, arrival, replies, chunk_rx).await;
    let answer = original.or_forward(state, answer, body, time_left).await;
    with_request_id(answer, id)
}

/// Splits `/services/NAME/rest?query` into the name and `/rest?query`.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix(PATH_PREFIX).unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    path.split_at(end)
}

/// Builds the head of the request to the service.
fn service_head(req: &Request, rest: &str) -> Result<http::request::Parts> {
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
    Ok(head)
}

fn forward_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    hop_by_hop::remove(&mut forwarded);
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}

async fn submit(
    state: &Shared,
    arrival: Arrival,
    replies: mpsc::UnboundedReceiver<Reply>,
    chunk_rx: mpsc::Receiver<Bytes>,
) -> Result<Response> {
    let mut body = ResponseBody {
        account: arrival.account.clone(),
        guard: Guard::new(arrival.request.id, state.tx.clone()),
        replies,
        chunks: chunk_rx,
        ended: false,
    };
    let _ = state.tx.send(Command::Arrive(Box::new(arrival)));
    match body.replies.recv().await {
        Some(Reply::Head(parts)) => Ok(streaming_response(*parts, body)),
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        Some(Reply::Error(error)) => Err(*error),
        Some(Reply::Done(End { outcome, .. })) => Err(Error::from_outcome(outcome)),
        Some(Reply::Token(_)) | None => Err(Error::outcome_unknown()),
    }
}

/// The body of a service's answer while it is sent to the caller.
struct ResponseBody {
    #[expect(dead_code, reason = "notifies the core on drop")]
    guard: Guard,
    replies: mpsc::UnboundedReceiver<Reply>,
    account: Account,
    chunks: mpsc::Receiver<Bytes>,
    ended: bool,
}

fn streaming_response(mut parts: http::response::Parts, body: ResponseBody) -> Response {
    hop_by_hop::remove(&mut parts.headers);
    // The outcome is not known yet. If the answer stays incomplete, its transfer is aborted.
    parts.headers.remove(&OUTCOME);
    Response::from_parts(parts, Body::from_stream(body_stream(body)))
}

fn body_stream(body: ResponseBody) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(body, |mut body| async move {
        let item = body.next().await?;
        Some((item, body))
    })
}

impl ResponseBody {
    /// Returns the next chunk. The attempt sends all chunks before it reports its end to the core,
    /// so the chunks that are in the channel at that time are the rest of the answer.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let item = self.next_chunk().await;
        if let Some(Ok(chunk)) = &item {
            self.account.shrink(chunk.len());
        }
        item
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return self.chunks.try_recv().ok().map(Ok);
        }
        tokio::select! {
            biased;
            Some(chunk) = self.chunks.recv() => Some(Ok(chunk)),
            reply = self.replies.recv() => self.end(reply),
        }
    }

    fn end(&mut self, reply: Option<Reply>) -> Option<io::Result<Bytes>> {
        self.ended = true;
        match reply {
            Some(Reply::Done(End {
                outcome: Outcome::Complete,
                ..
            })) => self.chunks.try_recv().ok().map(Ok),
            _ => Some(Err(io::Error::other("the answer is incomplete"))),
        }
    }
}
