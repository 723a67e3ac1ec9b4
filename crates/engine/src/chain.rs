//! Drives one attempt of a request through the stages of a pipeline.
//!
//! All stages are opened first; the first step leaves only once each of them has reserved its slot.
//! Thus a refusal, or a stage that can't be reached, costs nothing: no layer has run. Each step then
//! passes the stages in order, and the token made by the last one starts the next step.

mod drive;
mod hops;
mod layer_check;
mod open;

use crate::pool::Pool;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// A stage of the chain and the layers it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Where it listens.
    pub addr: SocketAddr,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
}

/// A token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its number in the model's vocabulary.
    pub id: u32,
    /// Its text.
    pub text: String,
}

/// An attempt to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub request: u128,
    /// Its attempt, from 1; each attempt of a request has a higher number than the one before.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Prompt.
    pub prompt: Bytes,
    /// Tokens that earlier attempts made; the answer goes on after them.
    pub tokens: Vec<Token>,
    /// Most tokens of the whole answer, those of earlier attempts included.
    pub max_tokens: u32,
    /// Seed of the draws.
    pub seed: u64,
    /// Rank of the priority; 0 is the most urgent.
    pub priority: u32,
    /// The stages; their ranges cover the model's layers once, in order.
    pub hops: Vec<Hop>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The model ended it.
    End,
    /// It has as many tokens as it may.
    Length,
}

/// What went wrong at a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// It refused before anything ran: it is full.
    Busy,
    /// It refused before anything ran: it leaves.
    Leaving,
    /// It refused before anything ran: it doesn't serve this.
    Unfit,
    /// The connection or stream broke.
    Reset,
    /// What it sent broke the protocol: wrong request, attempt, step or layers.
    Protocol,
    /// It could not compute.
    Internal,
}

/// What happens in an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first byte that can start the work leaves now.
    Sent,
    /// The attempt moves. The last hop that did its part is named, again for as long as the next
    /// one says that it works; if nothing more comes, the hop after it (after the last one, the
    /// first) is the one to probe.
    Progress {
        /// Index of the last hop that did its part.
        hop: u8,
        /// The step it did; 0 is the opening of the streams.
        step: u32,
    },
    /// One more token.
    Token(Token),
    /// The answer is whole.
    Finished {
        /// Why it ended.
        stop: Stop,
        /// Tokens of the prompt, as the first stage counted; 0 if nothing was left to run.
        prompt_tokens: u32,
    },
    /// The attempt failed; nothing more comes from it.
    Failed {
        /// Index of the hop to blame.
        hop: u8,
        /// What went wrong.
        cause: Cause,
        /// Whether a byte that could start the work left for any endpoint.
        sent: bool,
        /// When the endpoint asked to be tried again.
        retry_after: Option<Duration>,
    },
}

/// Runs an attempt to its end, or until it is cancelled. The last event is [`Event::Finished`] or
/// [`Event::Failed`]; after cancellation no event comes, and the streams are reset so that the
/// engines stop.
pub async fn run(pool: &Pool, job: Job, out: &mut impl FnMut(Event), cancel: CancellationToken) {
    // An event may itself lead to the cancellation; the ones made in the same breath are dropped.
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
