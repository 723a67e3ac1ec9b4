//! Counters and latency histograms of a node, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Bucket bounds of the histograms in seconds, from one hop within an availability zone to the
/// longest time that callers wait.
const BUCKET_BOUNDS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// The metrics could not be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "metrics: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Result of encoding the metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// The metric instruments of a node. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    moves: Counter<u64>,
    move_idle: Histogram<f64>,
    store_reads: Counter<u64>,
    first_event: Histogram<f64>,
    pause: Histogram<f64>,
    total: Histogram<f64>,
    queue_time: Histogram<f64>,
    store_read: Histogram<f64>,
    peer_requests: Counter<u64>,
    peer_response: Histogram<f64>,
    control: Histogram<f64>,
    catalog_version: Gauge<u64>,
    endpoints: Gauge<u64>,
    view_age: Gauge<f64>,
    isolated: Gauge<u64>,
    prefill: Gauge<f64>,
    verdicts: Counter<u64>,
    ended: Gauge<u64>,
    waiting: Gauge<u64>,
    queue_refusals: Counter<u64>,
    memory: Gauge<u64>,
    memory_limit: Gauge<u64>,
    memory_refusals: Counter<u64>,
    evictions: Counter<u64>,
    connections: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments on `meter`; `registry` collects their values.
    pub fn new(meter: &Meter, registry: Registry) -> Self {
        let seconds = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            let histogram = histogram.with_boundaries(BUCKET_BOUNDS.to_vec());
            histogram.with_description(description).build()
        };
        let count = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            requests: count("wigeonshelf_requests", "Requests by outcome and status"),
            attempts: count("wigeonshelf_attempts", "Attempts by how they ended"),
            moves: count(
                "wigeonshelf_moves",
                "Decisions about responses whose chain has an ended stage, by option",
            ),
            move_idle: seconds(
                "wigeonshelf_move_idle",
                "Time without an event until such a decision",
            ),
            store_reads: count(
                "wigeonshelf_store_reads",
                "Reads of the store by table and outcome",
            ),
            first_event: seconds("wigeonshelf_first_event", "Time to an answer's first event"),
            pause: seconds("wigeonshelf_pause", "Time between two events"),
            total: seconds("wigeonshelf_answer", "Time to the end of an answer"),
            queue_time: seconds("wigeonshelf_queue", "Wait for an endpoint with room"),
            store_read: seconds("wigeonshelf_store_read", "Time of a read of the store"),
            peer_requests: count(
                "wigeonshelf_copies",
                "Asks of peers for copies and loads by what and outcome",
            ),
            peer_response: seconds("wigeonshelf_copy", "Time of a peer's answer to such an ask"),
            control: seconds("wigeonshelf_control", "Time of a run of a task of control"),
            catalog_version: meter.u64_gauge("wigeonshelf_catalog_version").build(),
            endpoints: meter.u64_gauge("wigeonshelf_endpoints").build(),
            view_age: meter
                .f64_gauge("wigeonshelf_belief_age")
                .with_unit("s")
                .build(),
            isolated: meter.u64_gauge("wigeonshelf_isolated").build(),
            prefill: meter
                .f64_gauge("wigeonshelf_prefill")
                .with_unit("s")
                .with_description("Prefill that this node has in progress, by service")
                .build(),
            verdicts: count(
                "wigeonshelf_engine_verdicts",
                "Verdicts of this node on the engines that it polls, by what",
            ),
            ended: meter.u64_gauge("wigeonshelf_ended_engines").build(),
            waiting: meter.u64_gauge("wigeonshelf_waiting").build(),
            queue_refusals: count(
                "wigeonshelf_queue_refusals",
                "Requests that a queue refused by service and cause",
            ),
            memory: meter
                .u64_gauge("wigeonshelf_memory")
                .with_unit("By")
                .with_description("Memory that callers make the node hold, by part")
                .build(),
            memory_limit: meter
                .u64_gauge("wigeonshelf_memory_limit")
                .with_unit("By")
                .with_description("Budget of the memory that callers make the node hold")
                .build(),
            memory_refusals: count(
                "wigeonshelf_memory_refusals",
                "Requests that were refused for their size, for want of memory or of progress, by reason",
            ),
            evictions: count(
                "wigeonshelf_evictions",
                "Bodies and connections that gave way to others, by what",
            ),
            connections: meter.u64_gauge("wigeonshelf_connections").build(),
            registry,
        }
    }

    /// Records the end of a request.
    pub fn record_request(&self, outcome: &'static str, status: u16, time: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome), status]);
        self.total
            .record(time.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt that was sent or failed, or a stage that was replaced, by `what`.
    pub fn record_attempt(&self, what: &'static str) {
        self.attempts.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a decision about a response whose chain has an ended stage, after an idle time.
    pub fn record_move(&self, option: &'static str, idle: Duration) {
        let option = [KeyValue::new("option", option)];
        self.moves.add(1, &option);
        self.move_idle.record(idle.as_secs_f64(), &option);
    }

    /// Records the time to the first event of a response.
    pub fn record_first_event(&self, time: Duration) {
        self.first_event.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two events.
    pub fn record_pause(&self, time: Duration) {
        self.pause.record(time.as_secs_f64(), &[]);
    }

    /// Records how long a request waited for an endpoint with free capacity.
    pub fn record_queue_time(&self, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &[]);
    }

    /// Records a read of the store and whether it succeeded.
    pub fn record_store_read(&self, table: &'static str, ok: bool, time: Duration) {
        let outcome = KeyValue::new("outcome", if ok { "read" } else { "failed" });
        self.store_reads
            .add(1, &[KeyValue::new("table", table), outcome]);
        self.store_read
            .record(time.as_secs_f64(), &[KeyValue::new("table", table)]);
    }

    /// Records a request for a table copy or load reports to a peer and whether the peer returned
    /// them.
    pub fn record_peer_request(&self, what: &'static str, ok: bool, time: Duration) {
        let outcome = KeyValue::new("outcome", if ok { "given" } else { "failed" });
        self.peer_requests
            .add(1, &[KeyValue::new("what", what), outcome]);
        self.peer_response
            .record(time.as_secs_f64(), &[KeyValue::new("what", what)]);
    }

    /// Records a run of a task on the control thread, which handles no input meanwhile.
    pub fn record_control_run(&self, task: &'static str, time: Duration) {
        self.control
            .record(time.as_secs_f64(), &[KeyValue::new("task", task)]);
    }

    /// Records the catalog version and number of endpoints of the current view, and the age of a
    /// table in it.
    pub fn record_view(&self, version: u64, endpoints: u64, table: &'static str, age: Duration) {
        self.catalog_version.record(version, &[]);
        self.endpoints.record(endpoints, &[]);
        self.view_age
            .record(age.as_secs_f64(), &[KeyValue::new("table", table)]);
    }

    /// Records whether the node is isolated from the endpoints of a service.
    pub fn record_isolation(&self, service: &str, isolated: bool) {
        let service = KeyValue::new("service", service.to_owned());
        self.isolated.record(isolated.into(), &[service]);
    }

    /// Records the prefill that this node has in progress at the endpoints of a service, in seconds.
    pub fn record_prefill(&self, service: &str, secs: f64) {
        let service = KeyValue::new("service", service.to_owned());
        self.prefill.record(secs, &[service]);
    }

    /// Counts a verdict that an engine has ended by its evidence, a withdrawal, or a suspicion that was
    /// dropped by the reason.
    pub fn record_verdict(&self, what: &'static str) {
        self.verdicts.add(1, &[KeyValue::new("what", what)]);
    }

    /// Records the number of runs that any node found to have ended.
    pub fn record_ended(&self, runs: usize) {
        self.ended.record(runs as u64, &[]);
    }

    /// Records the number of requests that wait in the queue of a service.
    pub fn record_waiting(&self, service: &str, count: usize) {
        let service = KeyValue::new("service", service.to_owned());
        self.waiting.record(count as u64, &[service]);
    }

    /// Counts a request that the queue of a service refused, by cause.
    pub fn record_queue_refusal(&self, service: &str, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.queue_refusals
            .add(1, &[service, KeyValue::new("cause", cause)]);
    }

    /// Records the budget of the memory that callers make the node hold.
    pub fn record_memory_limit(&self, bytes: usize) {
        self.memory_limit.record(bytes as u64, &[]);
    }

    /// Records the memory that callers make the node hold for one purpose.
    pub fn record_memory(&self, part: &'static str, bytes: usize) {
        self.memory
            .record(bytes as u64, &[KeyValue::new("part", part)]);
    }

    /// Counts a request that was refused for its size, for want of memory or of progress.
    pub fn record_memory_refusal(&self, reason: &'static str) {
        self.memory_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what gave way to others, or was turned away for them.
    pub fn record_eviction(&self, what: &'static str) {
        self.evictions.add(1, &[KeyValue::new("what", what)]);
    }

    /// Records the number of open connections of callers.
    pub fn record_connections(&self, count: u64) {
        self.connections.record(count, &[]);
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.map_err(|e| Error(e.to_string()))?;
        Ok(text)
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Metrics")
    }
}
