//! One endpoint as a worker sees it.

use crate::Timestamp;
use crate::health::{Health, Outcome};
use crate::load::{Load, Snapshot};
use catalog::endpoint::{Endpoint, State};
use catalog::engine::Engine;
use std::time::Duration;

/// Part of its memory in use from which an endpoint that is named as the one at fault is taken to
/// be full.
const FULL_UTILIZATION: f64 = 0.5;

/// Time without a report after which an endpoint that is named as the one at fault is taken to be dead,
/// however full it was.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint and what this worker has under way there.
#[derive(Clone, Debug)]
pub struct Row {
    /// What it told of itself.
    pub endpoint: Endpoint,
    /// How it did of late.
    pub health: Health,
    /// Requests of this worker.
    pub in_flight: u32,
    /// Room that these take, in tokens times layers.
    pub reserved: f64,
    /// Room that it has, in tokens times layers; 0 for a plain service.
    pub capacity: f64,
    /// Time of a step through all layers at its pace, in seconds; 0 for a plain service.
    pub step_secs: f64,
    /// Time to read a prompt token through all layers at its pace, in seconds.
    pub prefill_secs: f64,
    /// How many times slower than its kind it runs, by its last report.
    pub slowdown: f64,
    /// Its last report.
    pub load: Option<Snapshot>,
    /// When it was first named as the one at fault since it last reported or did well.
    pub suspected_since: Option<Timestamp>,
    /// Requests under way at once from which on it has more work than time; 0 if unknown.
    pub saturation: f64,
    /// Whether the other nodes were told that it fails here.
    pub failure_published: bool,
    /// Whether several nodes found it to fail.
    pub reported_failed: bool,
    /// Whether it is about to give up its layers for others.
    pub releasing: bool,
    /// Number of its availability zone in the table.
    pub zone: usize,
}

impl Row {
    /// A row for an endpoint that nothing is known of yet.
    pub fn new(endpoint: Endpoint, zone: usize) -> Self {
        Self {
            endpoint,
            health: Health::default(),
            in_flight: 0,
            reserved: 0.0,
            capacity: 0.0,
            step_secs: 0.0,
            prefill_secs: 0.0,
            slowdown: 1.0,
            load: None,
            suspected_since: None,
            saturation: 0.0,
            failure_published: false,
            reported_failed: false,
            releasing: false,
            zone,
        }
    }

    /// Takes its paces and room from the engine that the operator describes.
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

    /// Takes its last report in.
    pub fn update_load(&mut self, now: Timestamp, load: Load) {
        if self.load.is_none_or(|l| l.differs(&load)) {
            self.load = Some(Snapshot::new(load, now, self.reserved));
            // A report from before it was named says nothing of what is wrong since.
            let reported_at = now.saturating_sub(load.age);
            self.suspected_since = self.suspected_since.filter(|&since| reported_at < since);
            self.slowdown = load.slowdown.max(1.0);
        }
    }

    /// Room in use by all nodes, in tokens times layers, when requests stay for `stay`. Without a
    /// report, all of `nodes` are taken to hold as much there as this one.
    pub fn used(&self, now: Timestamp, nodes: f64, residence: Duration) -> f64 {
        let reported = self
            .load
            .and_then(|l| l.used(now, self.reserved, residence));
        reported.unwrap_or(self.reserved * nodes)
    }

    /// What a refusal says that names this endpoint: it is full if much of it was in use when it
    /// reported, and it has reported since it was first named. What has ended since may have been
    /// replaced by others' requests.
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

    /// Whether new work may be sent to it.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let serving = self.endpoint.state == State::Ready && !self.releasing;
        serving && !self.reported_failed && self.health.is_usable(now)
    }
}
