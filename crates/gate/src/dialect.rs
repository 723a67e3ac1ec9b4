//! What differs between installations: names and forms of headers and of short answers.

use bytes::Bytes;
use catalog::engine::Size;
use http::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::{Stage, Target};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's id.
    pub id: Option<String>,
    /// The key of the caller's team.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of a model request: of the prompt, and of the longest answer.
    pub size: Option<Size>,
    /// The caller's estimate of the answer's tokens.
    pub expected_output: Option<u32>,
    /// The last event that the caller has of an earlier answer.
    pub last_event_id: Option<u64>,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Debug)]
pub struct ForwardInfo<'a> {
    /// Where the request goes.
    pub target: &'a Target,
    /// Time that is left.
    pub time_left: Duration,
    /// The caller's team.
    pub team: Option<&'a str>,
    /// Rank among the endpoint's requests, 0 first.
    pub priority: Option<u8>,
    /// The event after which the answer goes on.
    pub last_event_id: Option<u64>,
}

/// What an endpoint's head says beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it states that the request was not run.
    pub not_run: bool,
    /// Whether the answer is sealed: proof that the endpoint made it.
    pub sealed: bool,
    /// The endpoint of a chain that is at fault.
    pub faulty_stage: Option<SocketAddr>,
    /// How long the endpoint keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
}

/// A request that waits for an endpoint of its chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The request's id.
    pub request: String,
    /// The endpoint that it waits for.
    pub blocked_on: SocketAddr,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// Requests that were sent to it and wait for another endpoint.
    pub stalls: Vec<Stall>,
}

/// What came of an order to go on over other stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteOutcome {
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
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo;
    /// Whether a caller's header is for the node alone and not passed on.
    fn is_stripped(&self, name: &HeaderName) -> bool;
    /// Adds what an endpoint is told.
    fn add_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>);
    /// Reads an endpoint's head.
    fn response_info(&self, headers: &HeaderMap) -> ResponseInfo;
    /// The answer to a caller that asks which addresses to use.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Asks an engine for its account; nothing if it does not answer.
    fn status_report(&self, addr: SocketAddr) -> impl Future<Output = Option<StatusReport>>;
    /// Orders the head of a chain to go on over other stages.
    fn reroute(&self, request: &str, stages: &[Stage]) -> impl Future<Output = RerouteOutcome>;
    /// Path of the question for addresses.
    fn addresses_path(&self) -> &'static str;
    /// Path of the question whether this node takes requests.
    fn ready_path(&self) -> &'static str;
}
