//! Counters and latency histograms of a node, as text for a collector.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Bounds of the histograms, in seconds: from a hop within a zone to a caller's longest wait.
const BUCKET_BOUNDS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// Why there is no text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "metrics: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Result of making the text.
pub type Result<T> = std::result::Result<T, Error>;

/// The instruments of a node; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    store_reads: Counter<u64>,
    first_event: Histogram<f64>,
    pause: Histogram<f64>,
    total: Histogram<f64>,
    queue_time: Histogram<f64>,
    store_read: Histogram<f64>,
    peer_requests: Counter<u64>,
    peer_response: Histogram<f64>,
    catalog_version: Gauge<u64>,
    endpoints: Gauge<u64>,
    view_age: Gauge<f64>,
}

impl Metrics {
    /// Instruments of `meter`, whose values `registry` gathers.
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
            catalog_version: meter.u64_gauge("wigeonshelf_catalog_version").build(),
            endpoints: meter.u64_gauge("wigeonshelf_endpoints").build(),
            view_age: meter
                .f64_gauge("wigeonshelf_belief_age")
                .with_unit("s")
                .build(),
            registry,
        }
    }

    /// A request ended.
    pub fn record_request(&self, outcome: &'static str, status: u16, time: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome), status]);
        self.total
            .record(time.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// An attempt began, failed, or was moved.
    pub fn record_attempt(&self, what: &'static str) {
        self.attempts.add(1, &[KeyValue::new("what", what)]);
    }

    /// The first event of an answer came.
    pub fn record_first_event(&self, time: Duration) {
        self.first_event.record(time.as_secs_f64(), &[]);
    }

    /// A pause between two events.
    pub fn record_pause(&self, time: Duration) {
        self.pause.record(time.as_secs_f64(), &[]);
    }

    /// A request waited for room.
    pub fn record_queue_time(&self, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &[]);
    }

    /// The store was read, or could not be.
    pub fn record_store_read(&self, table: &'static str, ok: bool, time: Duration) {
        let outcome = KeyValue::new("outcome", if ok { "read" } else { "failed" });
        self.store_reads
            .add(1, &[KeyValue::new("table", table), outcome]);
        self.store_read
            .record(time.as_secs_f64(), &[KeyValue::new("table", table)]);
    }

    /// A peer gave what it was asked for, or did not.
    pub fn record_peer_request(&self, what: &'static str, ok: bool, time: Duration) {
        let outcome = KeyValue::new("outcome", if ok { "given" } else { "failed" });
        self.peer_requests
            .add(1, &[KeyValue::new("what", what), outcome]);
        self.peer_response
            .record(time.as_secs_f64(), &[KeyValue::new("what", what)]);
    }

    /// What is believed now, and how old that is.
    pub fn record_view(&self, version: u64, endpoints: u64, table: &'static str, age: Duration) {
        self.catalog_version.record(version, &[]);
        self.endpoints.record(endpoints, &[]);
        self.view_age
            .record(age.as_secs_f64(), &[KeyValue::new("table", table)]);
    }

    /// The text that a collector reads.
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
