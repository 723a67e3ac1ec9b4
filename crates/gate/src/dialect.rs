//! The installation-specific part of the protocol: names and formats of headers and of short
//! responses.

use bytes::Bytes;
use catalog::engine::Size;
use http::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::{Stage, Target};

/// Metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Request id.
    pub id: Option<String>,
    /// Key of the caller's team.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Token counts of a model request: prompt, and maximum output.
    pub size: Option<Size>,
    /// The caller's estimate of the number of output tokens.
    pub expected_output: Option<u32>,
    /// Id of the last event that the caller received from an earlier response to this request.
    pub last_event_id: Option<u64>,
    /// Whether another node relays the request.
    pub relayed: bool,
    /// Names of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
}

/// Metadata that is added to the caller's headers when a request is relayed to another node.
#[derive(Clone, Debug)]
pub struct RelayInfo<'a> {
    /// Key of the caller's team.
    pub key: Option<&'a str>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller received from an earlier response to this request.
    pub last_event_id: Option<u64>,
}

/// Metadata that is added to the caller's headers when a request is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardInfo<'a> {
    /// Endpoint or chain that the request is sent to.
    pub target: &'a Target,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Name of the caller's team.
    pub team: Option<&'a str>,
    /// Priority among the endpoint's requests, 0 first; `None` if the service has no engine.
    pub priority: Option<u8>,
    /// Id of the event after which the response is to be resumed.
    pub last_event_id: Option<u64>,
}

/// Metadata in the headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the endpoint states that it did not execute the request.
    pub not_run: bool,
    /// Whether the response has a seal, which proves that the endpoint produced it.
    pub sealed: bool,
    /// Whether the endpoint announces that it leaves.
    pub leaving: bool,
    /// The endpoint of the chain that caused the failure.
    pub faulty_stage: Option<SocketAddr>,
    /// How long the endpoint keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// How long the endpoint asks to be left alone, if it refused the request.
    pub retry_after: Option<Duration>,
    /// Mean time between two requests of all nodes together that the endpoint allows, if it limits
    /// them.
    pub request_interval: Option<Duration>,
}

/// A request that is blocked on another endpoint of its chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Request id.
    pub request: String,
    /// The endpoint that the request waits for.
    pub blocked_on: SocketAddr,
}

/// Status report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// Requests that this engine is the head of and that wait for another endpoint.
    pub stalls: Vec<Stall>,
    /// Whether the engine announces that it leaves.
    pub leaving: bool,
}

/// Result of rerouting a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RerouteOutcome {
    /// The head continues the request over the new stages.
    Done,
    /// This stage is unreachable or has no free capacity.
    Missing(SocketAddr),
    /// The head does not know the request, or did not respond.
    Failed,
}

/// Protocol between callers, nodes and endpoints of one installation.
pub trait Dialect: Clone + 'static {
    /// Parses the headers of a caller's request.
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo;
    /// Returns whether a caller's header is addressed to the node and not forwarded.
    fn is_stripped(&self, name: &HeaderName) -> bool;
    /// Adds the headers for an endpoint.
    fn add_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>);
    /// Adds the headers for another node, which restore what [`Self::is_stripped`] withholds.
    fn add_relay_headers(&self, headers: &mut HeaderMap, info: &RelayInfo<'_>);
    /// Adds the statement to a response to another node that the request `id` was not executed, as
    /// [`Self::response_info`] reads it.
    fn add_statement(&self, headers: &mut HeaderMap, id: Option<&str>);
    /// Parses the headers of a response of an endpoint, or of another node that a request was relayed to.
    fn response_info(&self, headers: &HeaderMap) -> ResponseInfo;
    /// Encodes the list of addresses that callers should use for the next `ttl`.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Requests the status report of an engine; `None` if it does not respond.
    fn status_report(&self, addr: SocketAddr) -> impl Future<Output = Option<StatusReport>>;
    /// Orders the head of a chain to continue a request over other stages.
    fn reroute(&self, request: &str, stages: &[Stage]) -> impl Future<Output = RerouteOutcome>;
    /// Path at which callers request the list of addresses.
    fn addresses_path(&self) -> &'static str;
    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
