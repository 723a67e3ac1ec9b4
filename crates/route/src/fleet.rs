//! The endpoints as this router knows them; rows outlive a bundle and are matched by name.

use crate::Now;
use crate::concurrency::Limiter;
use crate::health::Health;
use crate::load::Report;
use crate::request::Id;
use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long changes of the own work in flight are remembered, to compare with late reports.
const HISTORY_LENGTH: Duration = Duration::from_secs(3);
/// Time without progress in which the memory of slowness fades to half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(5);
/// Reports older than this say nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name in the bundle.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is live, ready and not leaving.
    pub available: bool,
    /// Its health.
    pub health: Health,
    /// Its pace.
    pub limiter: Limiter,
    /// Hops of this router's attempts that run on it.
    pub in_flight: u32,
    /// No new work before this time: it answered that it is full or unfit.
    pub backoff_until: Now,
    /// The suspect it is kept for.
    pub reserved_for: Option<Id>,
    /// When a hop last made progress.
    pub last_progress: Now,
    remote_load: Option<(Now, f64)>,
    history: VecDeque<(Now, u32)>,
}

impl Row {
    fn new(name: &str, zone: ZoneId, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            zone,
            slots,
            available: true,
            health: Health::default(),
            limiter: Limiter::new(slots),
            in_flight: 0,
            backoff_until: Now::ZERO,
            reserved_for: None,
            last_progress: Now::ZERO,
            remote_load: None,
            history: VecDeque::new(),
        }
    }

    /// Takes in a load report: what others run is what it says less the own work at its time.
    pub fn record_report(&mut self, now: Now, report: &Report) {
        let at = now.saturating_sub(report.age);
        let own = self
            .history
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .map_or(0, |&(_, n)| n);
        let total = report.running.saturating_add(report.waiting);
        self.remote_load = Some((at, f64::from(total.saturating_sub(own))));
    }

    /// Estimated work of other routers, discounted by the report's age so that many routers do
    /// not all follow the same late report.
    pub fn estimated_remote_load(&self, now: Now, half_life: Duration) -> f64 {
        let Some((at, others)) = self.remote_load else {
            return 0.0;
        };
        let age = now.saturating_sub(at);
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        let half = half_life.as_secs_f64();
        others * half / (half + age.as_secs_f64())
    }

    /// Counts a hop that starts or ends.
    pub fn set_in_flight(&mut self, now: Now, flying: u32) {
        self.in_flight = flying;
        self.history.push_back((now, flying));
        while self.history.len() > 1 && self.history[1].0 + HISTORY_LENGTH < now {
            self.history.pop_front();
        }
    }

    /// How many times slower than aimed it is, at least 1. Fades while nothing runs here, so that
    /// an endpoint which was slow is tried again.
    pub fn slowdown(&self, now: Now) -> f64 {
        let idle = now.saturating_sub(self.last_progress).as_secs_f64();
        (self.limiter.slowdown / (1.0 + idle / SLOWDOWN_HALF_LIFE.as_secs_f64())).max(1.0)
    }

    /// Whether it takes new work at all.
    pub fn accepts_work(&self, now: Now) -> bool {
        self.available && self.health.accepts_work() && self.backoff_until <= now
    }

    /// Requests of this router it may run at once now.
    pub fn limit(&self) -> u32 {
        let limit = (self.limiter.limit as u32).clamp(1, self.slots.max(1));
        self.health
            .trial_limit()
            .map_or(limit, |trial| trial.min(limit))
    }
}

/// All endpoints of the bundle in force.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Rows by endpoint.
    pub rows: Vec<Row>,
    /// By pair of zones: hops of this router that cross it.
    pub crossings: Vec<u32>,
}

impl Fleet {
    /// Takes in a bundle; returns the new id of each old endpoint.
    pub fn apply_bundle(&mut self, bundle: &Bundle) -> Vec<Option<EndpointId>> {
        let mut old: BTreeMap<String, (usize, Row)> = std::mem::take(&mut self.rows)
            .into_iter()
            .enumerate()
            .map(|(i, r)| (r.name.clone(), (i, r)))
            .collect();
        let mut moved = vec![None; old.len()];
        for (id, row) in bundle.endpoints.iter().enumerate() {
            let fresh = Row::new(&row.name, row.zone, row.slots);
            let mut kept = match old.remove(&row.name) {
                Some((was, kept)) => {
                    moved[was] = Some(id as EndpointId);
                    kept
                }
                None => fresh,
            };
            kept.zone = row.zone;
            kept.slots = row.slots;
            kept.limiter.resize(row.slots);
            self.rows.push(kept);
        }
        moved
    }

    /// Counts a hop that crosses a pair of zones.
    pub fn add_crossing(&mut self, pair: usize) {
        self.crossings
            .get_mut(pair)
            .into_iter()
            .for_each(|n| *n += 1);
    }

    /// Uncounts a hop that crossed a pair of zones.
    pub fn remove_crossing(&mut self, pair: usize) {
        self.crossings
            .get_mut(pair)
            .into_iter()
            .for_each(|n| *n = n.saturating_sub(1));
    }

    /// The row of `id`.
    pub fn get(&self, id: EndpointId) -> Option<&Row> {
        self.rows.get(id as usize)
    }

    /// The row of `id`.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Row> {
        self.rows.get_mut(id as usize)
    }
}
