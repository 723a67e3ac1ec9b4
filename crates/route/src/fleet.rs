//! State of the endpoints as seen by this router. Rows persist across bundles and are matched by
//! name.

use crate::Now;
use crate::concurrency::Limiter;
use crate::health::Health;
use crate::load::Report;
use crate::request::Id;
use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long changes of the router's own in-flight count are kept, to subtract the count at the time
/// of a load report that arrives late.
const HISTORY_SPAN: Duration = Duration::from_secs(3);
/// Time without progress after which a measured slowdown counts half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(5);
/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the endpoint in the bundle.
    pub name: String,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is live, ready and not leaving.
    pub available: bool,
    /// Health of the endpoint.
    pub health: Health,
    /// Concurrency limit of the endpoint.
    pub limiter: Limiter,
    /// Number of hops of this router's attempts that run on the endpoint.
    pub in_flight: u32,
    /// Time before which the endpoint gets no new work, after it answered that it is full, leaving
    /// or unfit.
    pub backoff_until: Now,
    /// Suspect that the endpoint is reserved for.
    pub reserved_for: Option<Id>,
    /// Time of the latest progress of any hop.
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

    /// Records a load report. The load of other routers is the reported load less this router's own
    /// at that time.
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

    /// Estimates the load of other routers, discounted by the report's age so that many routers do
    /// not all follow the same stale report.
    pub fn estimated_remote_load(&self, now: Now, half_life: Duration) -> f64 {
        let Some((at, others)) = self.remote_load else {
            return 0.0;
        };
        let age = now.saturating_sub(at);
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        let half_life_secs = half_life.as_secs_f64();
        others * half_life_secs / (half_life_secs + age.as_secs_f64())
    }

    /// Sets the number of hops in flight and records the change.
    pub fn set_in_flight(&mut self, now: Now, in_flight: u32) {
        self.in_flight = in_flight;
        self.history.push_back((now, in_flight));
        while self.history.len() > 1 && self.history[1].0 + HISTORY_SPAN < now {
            self.history.pop_front();
        }
    }

    /// Returns how many times slower than its target the endpoint is, at least 1. Decays while
    /// nothing runs there, so that an endpoint that was slow is tried again.
    pub fn slowdown(&self, now: Now) -> f64 {
        let idle = now.saturating_sub(self.last_progress).as_secs_f64();
        (self.limiter.slowdown / (1.0 + idle / SLOWDOWN_HALF_LIFE.as_secs_f64())).max(1.0)
    }

    /// Returns whether the endpoint accepts new work.
    pub fn accepts_work(&self, now: Now) -> bool {
        self.available && self.health.accepts_work() && self.backoff_until <= now
    }

    /// Returns how many of this router's requests may run there at once.
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
    /// State by endpoint.
    pub rows: Vec<Row>,
    /// Number of this router's hops that cross a pair of zones, by pair.
    pub crossings: Vec<u32>,
}

impl Fleet {
    /// Adopts a bundle; returns the new id of each old endpoint.
    pub fn apply_bundle(&mut self, bundle: &Bundle) -> Vec<Option<EndpointId>> {
        let mut old: BTreeMap<String, (usize, Row)> = std::mem::take(&mut self.rows)
            .into_iter()
            .enumerate()
            .map(|(i, r)| (r.name.clone(), (i, r)))
            .collect();
        let mut new_ids = vec![None; old.len()];
        for (id, row) in bundle.endpoints.iter().enumerate() {
            let created = Row::new(&row.name, row.zone, row.slots);
            let mut kept = match old.remove(&row.name) {
                Some((old_id, kept)) => {
                    new_ids[old_id] = Some(id as EndpointId);
                    kept
                }
                None => created,
            };
            kept.zone = row.zone;
            kept.slots = row.slots;
            kept.limiter.resize(row.slots);
            self.rows.push(kept);
        }
        new_ids
    }

    /// Adds a hop that crosses a pair of zones.
    pub fn add_crossing(&mut self, pair: usize) {
        self.crossings
            .get_mut(pair)
            .into_iter()
            .for_each(|n| *n += 1);
    }

    /// Removes a hop that crossed a pair of zones.
    pub fn remove_crossing(&mut self, pair: usize) {
        self.crossings
            .get_mut(pair)
            .into_iter()
            .for_each(|n| *n = n.saturating_sub(1));
    }

    /// Returns the row of `id`.
    pub fn get(&self, id: EndpointId) -> Option<&Row> {
        self.rows.get(id as usize)
    }

    /// Returns the row of `id`.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Row> {
        self.rows.get_mut(id as usize)
    }
}
