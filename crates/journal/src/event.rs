//! Events of the log. The names of the variants and fields are the names on the written lines.

use serde::Serialize;

/// An entry of the log. `id` is always the request id that the caller sent.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process starts.
    Start {
        /// Node name.
        node: String,
        /// Address of the listener for callers.
        callers: String,
    },
    /// The process starts to drain, or ends.
    Stop {
        /// Reason for the stop.
        reason: &'static str,
    },
    /// The settings file was read again.
    Reload {
        /// Result of the reload: what was applied, or why the old settings were kept.
        outcome: String,
    },
    /// A dependency of the node became unavailable, or available again.
    Dependency {
        /// Name of the dependency.
        name: String,
        /// Whether the dependency is available.
        up: bool,
        /// The error, or how long the dependency was unavailable.
        detail: String,
    },
    /// A peer did not return the table copy or the load reports that it was asked for.
    Unanswered {
        /// Address of the peer.
        peer: String,
        /// What was requested.
        ask: String,
        /// The error.
        why: String,
    },
    /// A catalog was received.
    Catalog {
        /// Version of the received catalog.
        version: u64,
        /// Version of the catalog that was in force before.
        before: u64,
        /// Source of the catalog.
        source: &'static str,
        /// Result: `in force`, `older`, or the reason why the catalog was rejected.
        outcome: String,
    },
    /// An endpoint was added, changed or removed.
    Endpoint {
        /// Run of the endpoint: its id and start time.
        run: String,
        /// New state of the endpoint.
        state: String,
        /// Number of the change in the table of endpoints, in its era.
        offset: u64,
        /// Number of times that the store was restored from a copy.
        era: u32,
    },
    /// A node joined, left or changed its state.
    Node {
        /// Node name.
        name: String,
        /// New state of the node.
        state: String,
    },
    /// An endpoint was ordered to hold other layers.
    Order {
        /// Run of the endpoint.
        run: String,
        /// Layers that the endpoint held when the order was planned.
        held: String,
        /// Layers that the endpoint is to hold.
        layers: String,
        /// Number of orders that the endpoint had accepted before; `None` if it did not report it.
        after: Option<u64>,
        /// Result of the order.
        outcome: String,
    },
    /// An attempt of a request was sent to an endpoint or to the head of a chain.
    Sent {
        /// Request id.
        id: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Stages of the chain, as `run=layers` separated by commas.
        stages: String,
        /// Number of hops between availability zones.
        crossings: u32,
        /// Version of the catalog that chose the route.
        catalog: u64,
        /// Number of tokens of the prompt; the service's usual one if the caller did not state it,
        /// and `None` for a service without an engine.
        prompt: Option<u32>,
        /// Number of the connection to the endpoint, from 1 in the order in which the node opened them;
        /// `None` if none was established.
        conn: Option<u64>,
        /// Position of the request among those that the connection carried, from 1.
        nth: Option<usize>,
    },
    /// The connection of an attempt was closed before its request was sent, which is sent once more on
    /// another connection. A further `sent` line with the number of the attempt follows.
    Resent {
        /// Request id.
        id: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Why it is known that the request was not sent.
        why: String,
        /// Time from the request's arrival, in milliseconds.
        after_ms: u64,
    },
    /// A request was sent to another node, since this one is isolated from the endpoints of its service.
    /// That node writes lines with the same id.
    Relayed {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Address of the other node for callers.
        node: String,
        /// Time from the request's arrival, in milliseconds.
        after_ms: u64,
    },
    /// No endpoint could take a request. The fields describe the fleet as this node knew it.
    Short {
        /// Request id.
        id: String,
        /// The resource that was missing.
        shortage: &'static str,
        /// Number of known endpoints of the service.
        known: usize,
        /// Number of available endpoints.
        open: usize,
        /// The layer with the least free capacity, if the service runs a model.
        layer: Option<u32>,
        /// Free memory of the endpoint with the most free capacity that holds `layer`, in percent.
        free_percent: u64,
        /// Utilization of the busiest inter-zone link, in percent.
        pipe_percent: u64,
        /// Age in milliseconds of the oldest load report that the decision used.
        age_ms: u64,
        /// Version of the catalog that admitted the request.
        catalog: u64,
    },
    /// The queue of a service refused a request that waited for capacity.
    QueueRefusal {
        /// Request id.
        id: String,
        /// Name of the service.
        service: String,
        /// `full`, `too_late`, `overtaken`, `expired` or `removed`.
        cause: &'static str,
        /// Number of requests before it in the queue.
        ahead: usize,
        /// Time in milliseconds until it was expected to get a slot; `None` if the rate at which
        /// slots become free is unknown.
        estimate_ms: Option<u64>,
        /// Time that it waited, in milliseconds.
        waited_ms: u64,
        /// Time in milliseconds after which the caller is to retry.
        retry_after_ms: u64,
    },
    /// A stage of a chain was replaced while its request was in flight.
    Detour {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// The stage that was replaced.
        culprit: String,
        /// Stages of the chain after the change, as `run=layers` separated by commas.
        stages: String,
        /// Number of hops between availability zones after the change.
        crossings: u32,
        /// Time from the request's arrival to the change, in milliseconds.
        after_ms: u64,
    },
    /// A response whose chain has ended stages was idle, and it was decided how it continues.
    Moved {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Addresses of the ended stages, separated by commas.
        ended: String,
        /// `replace`: other stages take over; `resume`: a further attempt on a new chain; `defer`: it
        /// gives way to responses that can still be on time; `stay`: neither is possible now.
        option: &'static str,
        /// Estimated time until the next event after a replacement, in milliseconds, if possible.
        replace_ms: Option<u64>,
        /// Estimated time until the next event after a resumption, in milliseconds; `None` if it is
        /// not possible or a replacement is sooner in any case.
        resume_ms: Option<u64>,
        /// Time without an event, in milliseconds.
        quiet_ms: u64,
        /// Time from the request's arrival, in milliseconds.
        after_ms: u64,
    },
    /// The endpoint of an attempt is idle, and another one is tried beside it.
    Idle {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Why another endpoint is tried.
        why: &'static str,
        /// Time from the request's arrival, in milliseconds.
        after_ms: u64,
    },
    /// An attempt failed, was refused by its endpoint, or timed out.
    Failed {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Cause of the failure.
        why: String,
        /// Whether the attempt may have been executed.
        ran: bool,
        /// Time from the request's arrival to the failure, in milliseconds.
        after_ms: u64,
    },
    /// An endpoint limits the requests that it takes from all nodes together, changed the limit, or
    /// ended it.
    Limit {
        /// Request id of the response that says so.
        id: String,
        /// Run of the endpoint: its id and start time.
        run: String,
        /// Requests a second; `None` if there is no limit any more.
        per_second: Option<f64>,
    },
    /// The connection of an attempt broke, and its endpoint was probed on a new one.
    Broken {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Run of the endpoint: its id and start time.
        run: String,
        /// Fingerprint of the request's content, in hexadecimal digits.
        content: String,
        /// Fingerprints of the parts of its prompt that other requests may share.
        parts: Vec<String>,
        /// Whether the endpoint has ended: it refuses connections, another one accepts them, and it had
        /// not announced that it leaves. If not, it may be found later; see [`Self::Settled`].
        crashed: bool,
    },
    /// A response ended with its connection, by which its endpoint may have marked its end.
    Unmarked {
        /// Request id.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// Run of the endpoint: its id and start time.
        run: String,
        /// Id of the last event of a stream; `None` if it has none.
        event_id: Option<u64>,
        /// Whether the response counts as whole: it has begun, and its endpoint accepts connections.
        whole: bool,
        /// Time from the request's arrival, in milliseconds.
        after_ms: u64,
    },
    /// Another run at the address of an endpoint shows that the one of a broken attempt has ended.
    Settled {
        /// Run of the endpoint: its id and start time.
        run: String,
        /// Fingerprint of the request's content, in hexadecimal digits.
        content: String,
    },
    /// A request ended.
    Ended {
        /// Request id.
        id: String,
        /// Name of the route; empty if no route was found.
        route: String,
        /// Status that the caller received; 0 if the caller left before the end.
        status: u16,
        /// `answered`, `refused`, `broken off` or `left`.
        outcome: &'static str,
        /// Reason for the outcome; empty for `answered`.
        why: String,
        /// Number of attempts that were sent.
        attempts: u32,
        /// Number of attempts that may have been executed. A request that runs at most once and ends
        /// with a status that promises that it was not executed has none.
        possible_runs: u32,
        /// Time to the first event, or to the end of a response without events, in milliseconds.
        head_ms: u64,
        /// Total time in milliseconds.
        all_ms: u64,
        /// Longest time between two events that were sent to the caller, in milliseconds.
        pause_ms: u64,
        /// Time since the last event that was sent to the caller, or since the request's arrival,
        /// in milliseconds.
        quiet_ms: u64,
    },
    /// A record of the `log` crate, written by a library or by code without an event of its own.
    Note {
        /// Log level.
        level: &'static str,
        /// Module that wrote the record.
        target: String,
        /// Text of the record.
        message: String,
    },
    /// Events were dropped because the queue was full.
    Overflow {
        /// Number of dropped events.
        lost: u64,
    },
}
