//! Runs one attempt of a request on the stages of a pipeline.
//!
//! The attempt opens a stream to every stage and starts the first step only after each stage has
//! reserved a slot. A refusal or an unreachable stage therefore costs no computation, because no
//! layer has run. Each step then passes through the stages in order, and the token that the last
//! stage generates is the input of the next step.

mod drive;
mod hops;
mod layer_check;
mod open;

use crate::pool::Pool;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// A stage of the chain and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Address of the stage.
    pub addr: SocketAddr,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
}

/// A generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Number of the token in the model's vocabulary.
    pub id: u32,
    /// Text of the token.
    pub text: String,
}

/// An attempt of a request, as input of [`run`].
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the request.
    pub request: u128,
    /// Number of the attempt, from 1. Each attempt of a request has a higher number than the
    /// previous one.
    pub attempt: u32,
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Text of the prompt.
    pub prompt: Bytes,
    /// Tokens that earlier attempts generated. This attempt continues after them.
    pub tokens: Vec<Token>,
    /// Maximum number of tokens of the complete answer, including those of earlier attempts.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Priority rank; 0 is the most urgent.
    pub priority: u32,
    /// Stages in order. Their ranges cover each of the model's layers once.
    pub hops: Vec<Hop>,
}

/// Reason why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The model ended the answer.
    End,
    /// The answer has the maximum number of tokens.
    Length,
}

/// Cause of the failure of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No connection could be established.
    Connect,
    /// The stage refused a slot because it is full, or no stream to it is free. No layer ran.
    Busy,
    /// The stage refused a slot because it is leaving the fleet. No layer ran.
    Leaving,
    /// The stage doesn't serve the model, version, adapter or layers, or the chain has a gap.
    Unfit,
    /// The request doesn't fit into the frames of the protocol. No layer ran, and no other stage
    /// could run it.
    Invalid,
    /// The connection or stream broke.
    Reset,
    /// The stage violated the protocol, such as by a wrong request, attempt, step or layer range.
    Protocol,
    /// The stage failed to compute.
    Internal,
}

/// Event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first byte that can start the work is about to be sent.
    Sent,
    /// The attempt makes progress. Names the last hop that completed its part, and repeats while
    /// the next hop reports that it is working. If no further event follows, the hop to probe is
    /// the one after it (the first hop after the last one).
    Progress {
        /// Index of the last hop that completed its part.
        hop: u8,
        /// Step that this hop completed; 0 is the opening of the streams.
        step: u32,
    },
    /// A token was generated.
    Token(Token),
    /// The answer is complete.
    Finished {
        /// Reason why the answer ended.
        stop: Stop,
        /// Number of tokens of the prompt, as counted by the first stage; 0 if earlier attempts had
        /// already generated all tokens.
        prompt_tokens: u32,
    },
    /// The attempt failed. No further event follows.
    Failed {
        /// Index of the faulty hop.
        hop: u8,
        /// Cause of the failure.
        cause: Cause,
        /// Whether a byte that could start the work may have been sent to any endpoint.
        sent: bool,
        /// Retry-after delay that the endpoint requested.
        retry_after: Option<Duration>,
    },
}

/// Runs an attempt until it ends or is cancelled. The last event is [`Event::Finished`] or
/// [`Event::Failed`]. After cancellation no event follows, and the streams are reset so that the
/// engines stop.
pub async fn run(pool: &Pool, job: Job, out: &mut impl FnMut(Event), cancel: CancellationToken) {
    // The receiver of an event may cancel the attempt. Events emitted in the same poll after that
    // are dropped.
    let mut out = |event: Event| {
        if !cancel.is_cancelled() {
            out(event);
        }
    };
    tokio::select! {
        biased;
        () = cancel.cancelled() => {}
        () = drive::drive(pool, &job, &mut out) => {}
    }
}
