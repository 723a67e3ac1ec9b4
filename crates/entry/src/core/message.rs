//! Messages that a core receives and sends.

use crate::account::Account;
use crate::api::error::Error;
use crate::attempt::{CallEvent, Work};
use crate::claim::{self, Claim, Verdict};
use bundle::Bundle;
use bundle::digest::Digest;
use engine::chain::{self, Stop, Token};
use route::Attempt;
use route::load::Report;
use route::outcome::Outcome;
use route::refusal::Refusal;
use route::request::{Id, Request};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A message to a core from handlers, attempts and the admin listener.
#[derive(Debug)]
pub enum Command {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// An event of an attempt on a chain of stages.
    Chain(Id, Attempt, chain::Event),
    /// An event of a call of a plain HTTP service.
    Call(Id, Attempt, CallEvent),
    /// The caller has left, or its answer is complete.
    CallerLeft(Id),
    /// A probe of the named endpoint has ended; true if the endpoint answered.
    Probed(Arc<str>, bool),
    /// Requests a ticket.
    Ticket(oneshot::Sender<String>),
    /// Requests a dump of the state as text.
    Dump(oneshot::Sender<String>),
    /// The node is about to end: each request gets an answer that says what is known of it.
    Abort,
}

/// A new request.
#[derive(Debug)]
pub struct Arrival {
    /// The properties that the router decides on.
    pub request: Request,
    /// The bundle whose ids the request has.
    pub bundle: Arc<Bundle>,
    /// The work to do.
    pub work: Work,
    /// The idempotency key under which the request runs at most once, if any.
    pub claim: Option<Claim>,
    /// Memory of the answer.
    pub account: Account,
    /// Receives the answer.
    pub reply: mpsc::UnboundedSender<Reply>,
}

/// A message of a core to the handler of a request.
#[derive(Debug)]
pub enum Reply {
    /// The request was not run.
    Refused(Refusal),
    /// The request is answered with an error.
    Error(Box<Error>),
    /// The next token of a completion.
    Token(Token),
    /// The head of a service's answer.
    Head(Box<http::response::Parts>),
    /// The answer ended.
    Done(End),
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the end of the generation.
    pub stop: Stop,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
}

/// An event that a core sends to the control thread.
#[derive(Debug)]
pub enum WorkerEvent {
    /// The named endpoint was ejected.
    Ejected(Arc<str>),
    /// The named endpoint is available again after an ejection.
    Restored(Arc<str>),
    /// A request with this fingerprint was in flight when an endpoint crashed.
    Suspect(u64),
    /// The decision whether requests with this fingerprint crash endpoints is pending.
    Pending(u64),
    /// Requests with this fingerprint crash endpoints.
    Condemned(u64),
    /// Demand of each team on this worker, in the order of the bundle with this digest.
    Demand(Digest, Vec<Demand>),
    /// A request needs a claim of its key.
    Claim(claim::Request),
    /// A request that waited for its key has ended without a run, for example because its caller
    /// left.
    ClaimAbandoned(Id),
    /// A run under a key has ended.
    Ended(claim::Ended),
    /// A caller requests a ticket.
    Ticket(oneshot::Sender<String>),
}

/// Demand of one team on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of requests received since the start, including refused ones.
    pub received: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
}

/// An event that the control thread sends to a core.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A load report of the named endpoint.
    Load(Arc<str>, Report),
    /// The verdict on a request that waits for its key.
    Claim(Id, Verdict),
}
