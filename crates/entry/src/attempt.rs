//! Runs one attempt of a request on its endpoints and tells the core what happens.

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
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Chunks of a plain service's answer that may wait for a slow caller.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// An answer that broke off after its head.
const BODY_INTERRUPTED: service::Failure = service::Failure {
    cause: service::Cause::Reset,
    sent: true,
};

/// What a completion asks of the stages, the same for each attempt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Model.
    pub model: String,
    /// Version of the model in the bundle that was in force when the request came.
    pub version: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Text.
    pub text: Bytes,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Rank of the priority.
    pub priority_rank: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method, path and headers as the service is to see them.
    pub head: Arc<http::request::Parts>,
    /// Body.
    pub body: Bytes,
    /// Where chunks of the answer go; a full channel slows the service down.
    pub chunks: mpsc::Sender<Bytes>,
    /// How to call.
    pub limit: service::Limit,
}

/// What a request asks to be done.
#[derive(Clone, Debug)]
pub enum Work {
    /// Tokens of a model.
    Completion(Arc<Prompt>),
    /// A call of a plain service.
    Call(Call),
}

/// Something that happened in a plain service's attempt.
#[derive(Debug)]
pub enum CallEvent {
    /// The head of the answer came.
    Head(Box<http::response::Parts>),
    /// The answer is whole; with its body if it is short enough to be kept for resends.
    Finished(Option<Bytes>),
    /// The attempt failed.
    Failed(service::Failure),
}

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Id of the endpoint in the bundle that the attempt was started with.
    pub endpoint: bundle::id::EndpointId,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
}

/// Which attempt this is and where its events go.
#[derive(Clone)]
pub struct Context {
    /// Request.
    pub id: Id,
    /// Attempt.
    pub attempt: Attempt,
    /// The core.
    pub tx: Tx,
    /// Connections of this worker.
    pub pool: Pool,
    /// Ends the attempt.
    pub cancel: CancellationToken,
}

/// Runs a completion from the prompt and the tokens already had.
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
        most: prompt.max_tokens,
        seed: prompt.seed,
        priority_rank: prompt.priority_rank,
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

/// Runs a call of a plain service.
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
    let response = match service::call(&cx.pool, addr, request, call.limit, &sent).await {
        Ok(response) => response,
        Err(failure) => return CallEvent::Failed(failure),
    };
    let (parts, body) = response.into_parts();
    cx.call_event(CallEvent::Head(Box::new(parts)));
    let mut body = body.into_data_stream();
    let mut copy = BodyCopy::default();
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return CallEvent::Failed(BODY_INTERRUPTED);
        };
        copy.push(&chunk);
        // A caller who left has no receiver any more. The core cancels this attempt, unless it may
        // not be repeated: then the rest is read, for a resend.
        let _ = call.chunks.send(chunk).await;
    }
    CallEvent::Finished(copy.finish())
}

/// A copy of a body, given up when it gets too long.
#[derive(Default)]
struct BodyCopy {
    bytes: BytesMut,
    too_long: bool,
}

impl BodyCopy {
    fn push(&mut self, chunk: &[u8]) {
        self.too_long |= self.bytes.len() + chunk.len() > MAX_CACHED_BODY_BYTES;
        if self.too_long {
            self.bytes.clear();
        } else {
            self.bytes.extend_from_slice(chunk);
        }
    }

    fn finish(self) -> Option<Bytes> {
        (!self.too_long).then(|| self.bytes.freeze())
    }
}
