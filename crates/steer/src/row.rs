//! State of one endpoint at a worker.

use crate::Timestamp;
use crate::health::{Health, Outcome};
use crate::limit::Limit;
use crate::load::{Load, Snapshot};
use crate::prefill::backlog::Backlog;
use crate::prefill::overtaking::Overtaking;
use crate::rest::Rest;
use catalog::endpoint::{Endpoint, State};
use catalog::engine::Engine;
use std::time::Duration;

/// Utilization from which an endpoint that a head reported as missing is considered full.
const FULL_UTILIZATION: f64 = 0.5;

/// Time without a load report after which an endpoint that a head reported as missing is considered
/// dead, whatever its utilization.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint, and the requests that this worker has in flight there.
#[derive(Clone, Debug)]
pub struct Row {
    /// Registration of the endpoint.
    pub endpoint: Endpoint,
    /// Health, by the outcomes of recent attempts.
    pub health: Health,
    /// Rest that the endpoint asked for, until it accepts a request again.
    pub rest: Option<Rest>,
    /// Limit of the requests that the endpoint takes, if it named one.
    pub limit: Option<Limit>,
    /// Number of requests of this worker.
    pub in_flight: u32,
    /// Capacity that these requests reserve, in token-layers.
    pub reserved: f64,
    /// Total capacity, in token-layers; 0 for a plain service.
    pub capacity: f64,
    /// Time of a decode step through all layers on its accelerator, in seconds; 0 for a plain
    /// service.
    pub step_secs: f64,
    /// Time to prefill one prompt token through all layers on its accelerator, in seconds.
    pub prefill_secs: f64,
    /// Prefill that this worker has in progress there.
    pub prefill: Backlog,
    /// Limit on prefill of this worker that overtakes long prompts there.
    pub overtaking: Overtaking,
    /// How many times slower the endpoint runs than its kind of accelerator, by its last report.
    pub slowdown: f64,
    /// Last load report.
    pub load: Option<Snapshot>,
    /// When a head first reported the endpoint as missing since its last load report or success.
    pub suspected_since: Option<Timestamp>,
    /// Number of concurrent requests at which the endpoint is saturated; 0 if unknown.
    pub saturation: f64,
    /// Whether this worker notified the other nodes that the endpoint fails.
    pub failure_published: bool,
    /// Whether several nodes reported the endpoint as failing.
    pub reported_failed: bool,
    /// When the view first listed the endpoint as ended, if it does.
    pub ended_since: Option<Timestamp>,
    /// Whether the endpoint is about to release its layers to load others.
    pub releasing: bool,
    /// Whether the endpoint itself announced that it leaves.
    pub leaving: bool,
    /// Index of the availability zone in the selector's table.
    pub zone: usize,
}

impl Row {
    /// Creates a row for an endpoint without any history.
    pub fn new(endpoint: Endpoint, zone: usize) -> Self {
        Self {
            endpoint,
            health: Health::default(),
            rest: None,
            limit: None,
            in_flight: 0,
            reserved: 0.0,
            capacity: 0.0,
            step_secs: 0.0,
            prefill_secs: 0.0,
            prefill: Backlog::default(),
            overtaking: Overtaking::default(),
            slowdown: 1.0,
            load: None,
            suspected_since: None,
            saturation: 0.0,
            failure_published: false,
            reported_failed: false,
            ended_since: None,
            releasing: false,
            leaving: false,
            zone,
        }
    }

    /// Sets speed and capacity by the operator's description of the engine.
    pub fn apply_engine(&mut self, engine: &Engine) {
        let kind = self.endpoint.accelerator.as_deref();
        let Some(kind) = kind.and_then(|k| engine.accelerator(k)) else {
            return;
        };
        self.capacity = engine.kv_capacity(kind, self.endpoint.span.len());
        self.step_secs = engine.step_time.as_secs_f64() * kind.step_factor;
        self.prefill_secs = kind.prefill_factor / engine.prefill_rate.max(1.0);
        let work = engine.layer_busy_time(kind, engine.typical_size) * self.endpoint.span.len();
        self.saturation = engine.residence_time().as_secs_f64() / work.as_secs_f64().max(1e-9);
    }

    /// Records a load report.
    pub fn update_load(&mut self, now: Timestamp, load: Load) {
        if self.load.is_none_or(|l| l.differs(&load)) {
            self.load = Some(Snapshot::new(load, now, self.reserved));
            // A report from before the head reported the endpoint as missing says nothing about a
            // fault since then.
            let reported_at = now.saturating_sub(load.age);
            self.suspected_since = self.suspected_since.filter(|&since| reported_at < since);
            self.slowdown = load.slowdown.max(1.0);
        }
    }

    /// Returns the capacity in use by all nodes, in token-layers, at a mean residence time of
    /// `residence`. Without a report, each of `nodes` nodes is assumed to have reserved as much as
    /// this one.
    pub fn used(&self, now: Timestamp, nodes: f64, residence: Duration) -> f64 {
        let reported = self
            .load
            .and_then(|l| l.used(now, self.reserved, residence));
        reported.unwrap_or(self.reserved * nodes)
    }

    /// Interprets that a head reported this endpoint as missing. The endpoint is full if its last
    /// report showed high utilization and it still reports; otherwise it has failed. Requests that
    /// have ended since the report are ignored, because requests of other nodes may have taken
    /// their place.
    pub fn judge_missing(&mut self, now: Timestamp, nodes: f64) -> Outcome {
        let since = *self.suspected_since.get_or_insert(now);
        let used = self.used(now, nodes, Duration::MAX);
        if used < self.capacity * FULL_UTILIZATION || now >= since + REPORT_TIMEOUT {
            return Outcome::Failed;
        }
        if let Some(load) = &mut self.load {
            load.mark_full(now, self.capacity, self.reserved);
        }
        Outcome::Full
    }

    /// Returns whether new requests may be sent to the endpoint, as the only stage, as the head of a
    /// chain or as a further stage.
    pub fn is_available(&self, now: Timestamp) -> bool {
        self.available_from().is_some_and(|from| now >= from)
    }

    /// Returns the time from which new requests may be sent to the endpoint; `None` if that does not
    /// depend on time.
    pub fn available_from(&self) -> Option<Timestamp> {
        let serving = self.endpoint.state == State::Ready && !self.releasing && !self.leaving;
        let ejected_until = self.health.ejected_until().unwrap_or_default();
        (serving && !self.reported_failed).then(|| ejected_until.max(self.next_request()))
    }

    /// Returns the time from which the endpoint takes the next request, by the rest that it asked for
    /// and by its limit.
    fn next_request(&self) -> Timestamp {
        let after_rest = self.rest.map_or(Timestamp::ZERO, |r| r.next_request());
        let within_limit = self.limit.map_or(Timestamp::ZERO, |l| l.next_request());
        after_rest.max(within_limit)
    }

    /// Returns whether the endpoint serves and asked to be left alone until later.
    pub fn is_resting(&self, now: Timestamp) -> bool {
        now < self.next_request() && self.available_from().is_some()
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(rest) = &mut self.rest {
            rest.record_request(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.record_request(now);
        }
    }
}
