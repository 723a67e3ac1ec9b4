//! What differs between installations: names and forms of headers and of short answers.

use bytes::Bytes;
use catalog::engine::Size;
use http::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::{Stage, Target};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// The request's id.
    pub id: Option<String>,
    /// The key of the caller's team.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Tokens of a model request: of the prompt, and of the longest answer.
    pub size: Option<Size>,
    /// The caller's estimate of the answer's tokens.
    pub expected: Option<u32>,
    /// The last event that the caller has of an earlier answer.
    pub after: Option<u64>,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// Where the request goes.
    pub target: &'a Target,
    /// Time that is left.
    pub left: Duration,
    /// The caller's team.
    pub team: Option<&'a str>,
    /// Rank among the endpoint's requests, 0 first.
    pub rank: Option<u8>,
    /// The event after which the answer goes on.
    pub after: Option<u64>,
}

/// What an endpoint's head says beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it states that the request was not run.
    pub unrun: bool,
    /// Whether the answer is sealed: proof that the endpoint made it.
    pub sealed: bool,
    /// The endpoint of a chain that is at fault.
    pub culprit: Option<SocketAddr>,
    /// How long the endpoint keeps an idle connection open.
    pub idle: Option<Duration>,
}

/// A request that waits for an endpoint of its chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The request's id.
    pub request: String,
    /// The endpoint that it waits for.
    pub culprit: SocketAddr,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Requests that were sent to it and wait for another endpoint.
    pub stalls: Vec<Stall>,
}

/// What came of an order to go on over other stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detoured {
    /// The head goes on over them.
    Done,
    /// This stage is not there, or has no room.
    Missing(SocketAddr),
    /// The head knows no such request, or did not answer.
    Failed,
}

/// The installation's dialect.
pub trait Dialect: Clone + 'static {
    /// Reads a caller's head.
    fn ask(&self, headers: &HeaderMap) -> Ask;
    /// Whether a caller's header is for the node alone and not passed on.
    fn withheld(&self, name: &HeaderName) -> bool;
    /// Adds what an endpoint is told.
    fn order(&self, headers: &mut HeaderMap, order: &Order<'_>);
    /// Reads an endpoint's head.
    fn told(&self, headers: &HeaderMap) -> Told;
    /// The answer to a caller that asks which addresses to use.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Asks an engine for its account; nothing if it does not answer.
    fn account(&self, addr: SocketAddr) -> impl Future<Output = Option<Account>>;
    /// Orders the head of a chain to go on over other stages.
    fn detour(&self, request: &str, stages: &[Stage]) -> impl Future<Output = Detoured>;
    /// Path of the question for addresses.
    fn addresses_path(&self) -> &'static str;
    /// Path of the question whether this node takes requests.
    fn ready_path(&self) -> &'static str;
}
