//! OpenTelemetry counters and histograms of the request path.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use route::outcome::Outcome;
use route::refusal::Reason;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Upper bounds of the histograms' buckets, in seconds.
const TIME_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2, 0.5, 1.0, 1.4, 3.0, 10.0, 60.0,
];

/// Instruments shared by the workers.
#[derive(Clone)]
pub struct Metrics {
    /// Ended requests, by outcome.
    pub requests: Counter<u64>,
    /// Refused requests, by reason.
    pub refusals: Counter<u64>,
    /// Requests that were answered with an error before they reached the core, by error code.
    pub rejects: Counter<u64>,
    /// Started attempts.
    pub attempts: Counter<u64>,
    /// Tokens sent to callers.
    pub tokens: Counter<u64>,
    /// Requests answered with the cached answer of an earlier run under the same key.
    pub replayed: Counter<u64>,
    /// Requests forwarded to the node that owns their key.
    pub forwarded: Counter<u64>,
    /// Events that were ignored because their attempt had ended.
    pub stale_events: Counter<u64>,
    /// Connections closed on accept because the listener was at its limit.
    pub refused_connections: Counter<u64>,
    /// Answers that ended early because there was no memory for more of them.
    pub exhausted_answers: Counter<u64>,
    /// Connections closed because their callers did not read while memory was scarce.
    pub unread_connections: Counter<u64>,
    /// Seconds from arrival to the first token.
    pub first_token: Histogram<f64>,
    /// Seconds between two tokens of an answer.
    pub inter_token: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments with `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let time = |name: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            builder.with_boundaries(TIME_BOUNDS.to_vec()).build()
        };
        Self {
            requests: counter("wigeonshelf_requests"),
            refusals: counter("wigeonshelf_refusals"),
            rejects: counter("wigeonshelf_rejects"),
            attempts: counter("wigeonshelf_attempts"),
            tokens: counter("wigeonshelf_tokens"),
            replayed: counter("wigeonshelf_replayed"),
            forwarded: counter("wigeonshelf_forwarded"),
            stale_events: counter("wigeonshelf_stale_events"),
            refused_connections: counter("wigeonshelf_connections_refused"),
            exhausted_answers: counter("wigeonshelf_answers_exhausted"),
            unread_connections: counter("wigeonshelf_connections_unread"),
            first_token: time("wigeonshelf_first_token"),
            inter_token: time("wigeonshelf_inter_token"),
        }
    }

    /// Counts an ended request.
    pub fn record_end(&self, outcome: Outcome) {
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Counts a refused request, which is also an ended request.
    pub fn record_refusal(&self, reason: Reason) {
        self.record_end(Outcome::NotRun);
        self.refusals
            .add(1, &[KeyValue::new("reason", reason_label(reason))]);
    }

    /// Counts an error of a request that has not reached the core.
    pub fn record_rejection(&self, code: &'static str) {
        self.rejects.add(1, &[KeyValue::new("code", code)]);
    }
}

/// Overflow counters of the rings between the threads, by the thread that receives.
#[derive(Debug, Default)]
pub struct RingOverflows {
    /// Rings from the workers to the control thread.
    pub to_control: Vec<Arc<AtomicU64>>,
    /// Rings from the control thread to the workers.
    pub to_worker: Vec<Arc<AtomicU64>>,
}

impl RingOverflows {
    /// Registers the counters with `meter`.
    pub fn register(self, meter: &Meter) {
        let builder = meter.u64_observable_counter("wigeonshelf_ring_overflows");
        builder
            .with_callback(move |observer| {
                for (to, rings) in [("control", &self.to_control), ("worker", &self.to_worker)] {
                    let overflows = rings.iter().map(|r| r.load(Ordering::Relaxed));
                    observer.observe(overflows.sum(), &[KeyValue::new("to", to)]);
                }
            })
            .build();
    }
}

fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Limit => "limit",
        Reason::Overload => "overload",
        Reason::Deadline => "deadline",
        Reason::NoEndpoint => "no-endpoint",
        Reason::Condemned => "condemned",
        Reason::Leaving => "leaving",
        Reason::Invalid => "invalid",
    }
}
