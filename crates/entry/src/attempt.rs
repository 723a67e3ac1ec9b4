//! Runs one attempt of a request on its endpoints and reports its events to the core.

use crate::account::{Account, GROWTH_FACTOR};
use crate::claim::MAX_CACHED_BODY_BYTES;
use crate::core::{Command, Tx};
use bytes::{Bytes, BytesMut};
use engine::chain::{self, Job, Token};
use engine::pool::Pool;
use engine::service;
use futures::StreamExt;
use http_body_util::BodyExt;
use route::Attempt;
use route::request::Id;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Maximum number of chunks of a service's answer that are buffered for a slow caller.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// Interval at which a chunk that waits for memory looks for it.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// The failure of a call whose answer was interrupted after its head.
const BODY_INTERRUPTED: service::Failure = service::Failure {
    cause: service::Cause::Reset,
    sent: true,
};

/// Input of a completion, the same for each of its attempts.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Version of the model that serves the request. Until the first token it is replaced by the
    /// current version at the start of each attempt.
    pub version: String,
    /// Name of the adapter.
    pub adapter: Option<String>,
    /// Text of the prompt.
    pub text: Bytes,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Rank of the priority, 0 first.
    pub priority_rank: u32,
}

/// A call of a plain HTTP service rather than of a model.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method, path and headers that are sent to the service.
    pub head: Arc<http::request::Parts>,
    /// Body of the request.
    pub body: Bytes,
    /// Receives the chunks of the answer. A full channel applies backpressure to the service.
    pub chunks: mpsc::Sender<Bytes>,
    /// Memory of the chunks until they are passed on, and of the copy for retries.
    pub account: Account,
    /// Whether a short answer is cached for retries.
    pub is_cached: bool,
    /// Time limit of the call and choice of its connection.
    pub options: service::CallOptions,
}

/// The work of a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// Generates tokens with a model.
    Completion(Arc<Prompt>),
    /// Calls a plain HTTP service.
    Call(Call),
}

/// An event of an attempt to call a plain HTTP service.
#[derive(Debug)]
pub enum CallEvent {
    /// The head of the answer was received.
    Head(Box<http::response::Parts>),
    /// The answer is complete; with its body if that is short enough to be cached for retries.
    Finished(Option<Bytes>),
    /// The attempt failed.
    Failed(service::Failure),
}

/// One stage of an attempt: the endpoint and the layers that it runs.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Id of the endpoint in the bundle that the attempt was started with.
    pub endpoint: bundle::id::EndpointId,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
}

/// Identity of an attempt and the handles that it uses.
#[derive(Clone)]
pub struct Context {
    /// Id of the request.
    pub id: Id,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Receives the attempt's events.
    pub tx: Tx,
    /// Connection pool of this worker.
    pub pool: Pool,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

/// Runs a completion that continues after the tokens that earlier attempts `generated`.
pub async fn run_completion(
    cx: Context,
    prompt: Arc<Prompt>,
    generated: Vec<Token>,
    stages: Vec<Stage>,
) {
    let job = Job {
        request: cx.id,
        attempt: cx.attempt,
        model: prompt.model.clone(),
        version: prompt.version.clone(),
        adapter: prompt.adapter.clone(),
        prompt: prompt.text.clone(),
        tokens: generated,
        max_tokens: prompt.max_tokens,
        seed: prompt.seed,
        priority: prompt.priority_rank,
        hops: stages.iter().map(hop).collect(),
    };
    let mut forward = |event| {
        let _ = cx.tx.send(Command::Chain(cx.id, cx.attempt, event));
    };
    chain::run(&cx.pool, job, &mut forward, cx.cancel.clone()).await;
}

fn hop(stage: &Stage) -> chain::Hop {
    chain::Hop {
        addr: stage.addr,
        from: stage.from,
        to: stage.to,
    }
}

/// Runs a call of a plain HTTP service.
pub async fn run_call(cx: Context, call: Call, stage: Stage) {
    let cancel = cx.cancel.clone();
    tokio::select! {
        biased;
        () = cancel.cancelled() => {}
        event = relay(&cx, call, stage.addr) => cx.call_event(event),
    }
}

impl Context {
    fn call_event(&self, event: CallEvent) {
        let _ = self.tx.send(Command::Call(self.id, self.attempt, event));
    }
}

async fn relay(cx: &Context, call: Call, addr: SocketAddr) -> CallEvent {
    let request = http::Request::from_parts((*call.head).clone(), call.body);
    let sent = AtomicBool::new(false);
    let response = match service::call(&cx.pool, addr, request, call.options, &sent).await {
        Ok(response) => response,
        Err(failure) => return CallEvent::Failed(failure),
    };
    let (parts, body) = response.into_parts();
    cx.call_event(CallEvent::Head(Box::new(parts)));
    let mut body = body.into_data_stream();
    let mut copy = BodyCopy {
        too_long: !call.is_cached,
        ..BodyCopy::default()
    };
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return CallEvent::Failed(BODY_INTERRUPTED);
        };
        copy.push(&chunk, &call.account);
        // The account gives the memory back when the chunk is passed on, or with the answer. Calls that wait hold no
        // copies, so that they can't wait for each other.
        while !call.chunks.is_closed() && !call.account.try_grow(chunk.len()) {
            copy.discard(&call.account);
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
        // Sending fails after the caller has left. The core then cancels this attempt unless the
        // request is not repeatable; in that case the rest is read, to be cached for a retry.
        let _ = call.chunks.send(chunk).await;
    }
    CallEvent::Finished(copy.finish())
}

/// A copy of a body, discarded once it exceeds `MAX_CACHED_BODY_BYTES` or memory is short.
#[derive(Default)]
struct BodyCopy {
    bytes: BytesMut,
    too_long: bool,
}

impl BodyCopy {
    fn push(&mut self, chunk: &[u8], account: &Account) {
        if self.too_long {
            return;
        }
        self.too_long = self.bytes.len() + chunk.len() > MAX_CACHED_BODY_BYTES
            || !account.try_grow(GROWTH_FACTOR * chunk.len());
        if self.too_long {
            self.discard(account);
        } else {
            self.bytes.extend_from_slice(chunk);
        }
    }

    fn discard(&mut self, account: &Account) {
        self.too_long = true;
        let bytes = std::mem::take(&mut self.bytes);
        account.shrink(GROWTH_FACTOR * bytes.len());
    }

    fn finish(self) -> Option<Bytes> {
        (!self.too_long).then(|| self.bytes.freeze())
    }
}
