//! What a core is told and what it tells.

use crate::api::error::Error;
use crate::attempt::{CallEvent, Work};
use crate::claim::{self, Claim, Verdict};
use bundle::digest::Digest;
use engine::chain::{self, Stop, Token};
use route::Attempt;
use route::load::Report;
use route::outcome::Outcome;
use route::refusal::Refusal;
use route::request::{Id, Request};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Something a core is told.
#[derive(Debug)]
pub enum Command {
    /// A request arrived.
    Arrive(Arrival),
    /// Something happened in an attempt on a pipeline.
    Chain(Id, Attempt, chain::Event),
    /// Something happened in a call of a plain service.
    Call(Id, Attempt, CallEvent),
    /// The caller went away, or has all it wants.
    CallerLeft(Id),
    /// A probe ended; whether the named endpoint answered.
    Probed(Arc<str>, bool),
    /// Asks for a ticket.
    Ticket(oneshot::Sender<String>),
    /// Asks for the state in text.
    Dump(oneshot::Sender<String>),
}

/// A request and where its answer goes.
#[derive(Debug)]
pub struct Arrival {
    /// What the router decides on.
    pub request: Request,
    /// What is to be done.
    pub work: Work,
    /// The key under which it must run at most once, if any.
    pub claim: Option<Claim>,
    /// Where the answer goes.
    pub reply: mpsc::UnboundedSender<Reply>,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Reply {
    /// The request was not run.
    Refused(Refusal),
    /// Another answer than the one asked for.
    Error(Box<Error>),
    /// One more token.
    Token(Token),
    /// The head of a plain service's answer.
    Head(Box<http::response::Parts>),
    /// The answer ended.
    Done(End),
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Outcome.
    pub outcome: Outcome,
    /// Why the last token was the last.
    pub stop: Stop,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Something a core tells control.
#[derive(Debug)]
pub enum WorkerEvent {
    /// A named endpoint was taken out of use.
    Ejected(Arc<str>),
    /// A named endpoint is back in use.
    Restored(Arc<str>),
    /// A request with this fingerprint was in flight when an endpoint died.
    Suspect(u64),
    /// A verdict on this fingerprint is awaited.
    Pending(u64),
    /// Requests with this fingerprint crash endpoints.
    Condemned(u64),
    /// What teams ask of this worker, by team of the bundle with this digest.
    Demand(Digest, Vec<Demand>),
    /// A request asks for its key.
    Claim(claim::Request),
    /// The caller of a request that waits for its key went away.
    ClaimAbandoned(Id),
    /// A run under a key ended.
    Ended(claim::Ended),
    /// A caller asks for a ticket.
    Ticket(oneshot::Sender<String>),
}

/// What one team asks of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that came since the start, refused ones included.
    pub received: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Something control tells a core.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Load of a named endpoint.
    Load(Arc<str>, Report),
    /// What becomes of a request that asked for its key.
    Claim(Id, Verdict),
}
