//! One endpoint as a worker sees it.

use crate::Now;
use crate::health::{Health, Outcome};
use crate::load::{Known, Load};
use catalog::endpoint::{Endpoint, State};
use catalog::engine::Engine;
use std::time::Duration;

/// Part of its memory in use from which an endpoint that is named as the one at fault is taken to
/// be full.
const MUCH: f64 = 0.5;

/// Time without a report after which an endpoint that is named as the one at fault is taken to be dead,
/// however full it was.
const UNHEARD: Duration = Duration::from_secs(1);

/// An endpoint and what this worker has under way there.
#[derive(Clone, Debug)]
pub struct Row {
    /// What it told of itself.
    pub endpoint: Endpoint,
    /// How it did of late.
    pub health: Health,
    /// Requests of this worker.
    pub flying: u32,
    /// Room that these take, in tokens times layers.
    pub held: f64,
    /// Room that it has, in tokens times layers; 0 for a plain service.
    pub room: f64,
    /// Time of a step through all layers at its pace, in seconds; 0 for a plain service.
    pub step: f64,
    /// Time to read a prompt token through all layers at its pace, in seconds.
    pub read: f64,
    /// How many times slower than its kind it runs, by its last report.
    pub slow: f64,
    /// Its last report.
    pub known: Option<Known>,
    /// When it was first named as the one at fault since it last reported or did well.
    pub doubted: Option<Now>,
    /// Requests under way at once from which on it has more work than time; 0 if unknown.
    pub most: f64,
    /// Whether the other nodes were told that it fails here.
    pub told: bool,
    /// Whether several nodes found it to fail.
    pub accused: bool,
    /// Whether it is about to give up its layers for others.
    pub moving: bool,
    /// Number of its availability zone in the table.
    pub zone: usize,
}

impl Row {
    /// A row for an endpoint that nothing is known of yet.
    pub fn new(endpoint: Endpoint, zone: usize) -> Self {
        Self {
            endpoint,
            health: Health::default(),
            flying: 0,
            held: 0.0,
            room: 0.0,
            step: 0.0,
            read: 0.0,
            slow: 1.0,
            known: None,
            doubted: None,
            most: 0.0,
            told: false,
            accused: false,
            moving: false,
            zone,
        }
    }

    /// Takes its paces and room from the engine that the operator describes.
    pub fn measure(&mut self, engine: &Engine) {
        let kind = self.endpoint.kind.as_deref();
        let Some(kind) = kind.and_then(|k| engine.accelerator(k)) else {
            return;
        };
        self.room = engine.room(kind, self.endpoint.span.len());
        self.step = engine.step.as_secs_f64() * kind.pace;
        self.read = kind.read / engine.read_rate.max(1.0);
        let work = engine.work(kind, engine.usual) * self.endpoint.span.len();
        self.most = engine.stay().as_secs_f64() / work.as_secs_f64().max(1e-9);
    }

    /// Takes its last report in.
    pub fn report(&mut self, now: Now, load: Load) {
        if self.known.is_none_or(|k| k.differs(&load)) {
            self.known = Some(Known::new(load, now, self.held));
            // A report from before it was named says nothing of what is wrong since.
            let made = now.saturating_sub(load.age);
            self.doubted = self.doubted.filter(|&since| made < since);
            self.slow = load.pace.max(1.0);
        }
    }

    /// Room in use by all nodes, in tokens times layers, when requests stay for `stay`. Without a
    /// report, all of `nodes` are taken to hold as much there as this one.
    pub fn used(&self, now: Now, nodes: f64, stay: Duration) -> f64 {
        let known = self.known.and_then(|k| k.used(now, self.held, stay));
        known.unwrap_or(self.held * nodes)
    }

    /// What a refusal says that names this endpoint: it is full if much of it was in use when it
    /// reported, and it has reported since it was first named. What has ended since may have been
    /// replaced by others' requests.
    pub fn named(&mut self, now: Now, nodes: f64) -> Outcome {
        let since = *self.doubted.get_or_insert(now);
        let used = self.used(now, nodes, Duration::MAX);
        if used < self.room * MUCH || now >= since + UNHEARD {
            return Outcome::Failed;
        }
        if let Some(known) = &mut self.known {
            known.fill(now, self.room, self.held);
        }
        Outcome::Full
    }

    /// Whether new work may be sent to it.
    pub fn open(&self, now: Now) -> bool {
        let stays = self.endpoint.state == State::Ready && !self.moving;
        stays && !self.accused && self.health.usable(now)
    }
}
