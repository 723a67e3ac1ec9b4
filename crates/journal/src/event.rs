//! The events.

use serde::Serialize;

/// An event. `id` is the request's id as its caller gave it.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process starts.
    Start {
        /// Name of the node.
        node: String,
        /// Where callers reach it.
        callers: String,
    },
    /// The process begins to leave, or ends.
    Stop {
        /// Why.
        reason: &'static str,
    },
    /// The settings were read again.
    Reload {
        /// What came of it.
        outcome: String,
    },
    /// Something that the node depends on does not answer, or answers again.
    Dependency {
        /// What.
        name: String,
        /// Whether it answers.
        up: bool,
        /// The error, or how long it was away.
        detail: String,
    },
    /// A peer did not give the copy or the loads that it was asked for.
    Unanswered {
        /// Address of the peer.
        peer: String,
        /// What it was asked for.
        ask: String,
        /// The error.
        why: String,
    },
    /// A catalog came.
    Catalog {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
        /// Where it came from.
        source: &'static str,
        /// What became of it: `in force`, `older` or what is wrong with it.
        outcome: String,
    },
    /// An endpoint came, changed or went.
    Endpoint {
        /// Its run.
        run: String,
        /// What it is now.
        state: String,
        /// Offset of the change in the endpoints' table.
        offset: u64,
    },
    /// A node came or went.
    Node {
        /// Its name.
        name: String,
        /// Its state.
        state: String,
    },
    /// An order to an endpoint.
    Order {
        /// The endpoint's run.
        run: String,
        /// The layers that it held when the order was planned.
        held: String,
        /// The layers that it is to hold.
        layers: String,
        /// Orders that the endpoint had accepted before; nothing if it did not say.
        after: Option<u64>,
        /// What came of it.
        outcome: String,
    },
    /// A request was sent to an endpoint or a chain.
    Sent {
        /// The request.
        id: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The stages.
        stages: String,
        /// Hops between availability zones.
        crossings: u32,
        /// Version of the catalog that chose the route.
        catalog: u64,
    },
    /// No endpoint could take a request; what was believed then.
    Short {
        /// The request.
        id: String,
        /// What was short.
        shortage: &'static str,
        /// Endpoints of the service.
        known: usize,
        /// Those in use.
        open: usize,
        /// The layer with the least room, if the service runs a model.
        layer: Option<u32>,
        /// Part of memory that is free at the roomiest endpoint with that layer.
        free_percent: u64,
        /// Part of the fullest pipe between zones that is used.
        pipe_percent: u64,
        /// Age of the oldest report of load that this rests on.
        age_ms: u64,
        /// Version of the catalog.
        catalog: u64,
    },
    /// A stage of a chain was replaced while its request was under way.
    Detour {
        /// The request.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// The stage that its head waited for.
        culprit: String,
        /// The stages from now on.
        stages: String,
        /// Hops between availability zones from now on.
        crossings: u32,
        /// Milliseconds since the request came.
        after_ms: u64,
    },
    /// An attempt failed, was refused by its endpoint, or fell silent.
    Failed {
        /// The request.
        id: String,
        /// Number of the attempt.
        attempt: u32,
        /// What happened.
        why: String,
        /// Whether it may have run.
        ran: bool,
        /// Milliseconds since the request came.
        after_ms: u64,
    },
    /// A request ended.
    Ended {
        /// The request.
        id: String,
        /// Name of its route; empty if it has none.
        route: String,
        /// The status that its caller got.
        status: u16,
        /// `answered`, `refused`, `broken off` or `left`.
        outcome: &'static str,
        /// The reason, for all but an answer.
        why: String,
        /// Attempts that were sent.
        attempts: u32,
        /// Milliseconds to the answer's head.
        head_ms: u64,
        /// Milliseconds in all.
        all_ms: u64,
        /// Longest pause between events in milliseconds.
        pause_ms: u64,
        /// Milliseconds since the caller was last given an event, or since the request came.
        quiet_ms: u64,
    },
    /// A line of a library, or of code without an event of its own.
    Note {
        /// Its level.
        level: &'static str,
        /// The module that it is from.
        target: String,
        /// The line.
        message: String,
    },
    /// Events that found the queue full.
    Overflow {
        /// How many.
        lost: u64,
    },
}
