//! The endpoints as this router knows them; rows outlive a bundle and are matched by name.

use crate::Now;
use crate::health::Health;
use crate::load::Report;
use crate::pace::Pace;
use crate::request::Id;
use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long changes of the own work in flight are remembered, to compare with late reports.
const TRAIL: Duration = Duration::from_secs(3);
/// Reports older than this say nothing.
const STALE: Duration = Duration::from_secs(10);

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
    pub open: bool,
    /// Its health.
    pub health: Health,
    /// Its pace.
    pub pace: Pace,
    /// Hops of this router's attempts that run on it.
    pub flying: u32,
    /// No new work before this time: it answered that it is full or unfit.
    pub hold: Now,
    /// The suspect it is kept for.
    pub ward: Option<Id>,
    /// When a hop last made progress.
    pub progress: Now,
    load: Option<(Now, f64)>,
    trail: VecDeque<(Now, u32)>,
}

impl Row {
    fn new(name: &str, zone: ZoneId, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            zone,
            slots,
            open: true,
            health: Health::default(),
            pace: Pace::new(slots),
            flying: 0,
            hold: Now::ZERO,
            ward: None,
            progress: Now::ZERO,
            load: None,
            trail: VecDeque::new(),
        }
    }

    /// Takes in a load report: what others run is what it says less the own work at its time.
    pub fn report(&mut self, now: Now, report: &Report) {
        let at = now.saturating_sub(report.age);
        let own = self
            .trail
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .map_or(0, |&(_, n)| n);
        let total = report.running.saturating_add(report.waiting);
        self.load = Some((at, f64::from(total.saturating_sub(own))));
    }

    /// Estimated work of other routers, discounted by the report's age so that many routers do
    /// not all follow the same late report.
    pub fn others(&self, now: Now, half_life: Duration) -> f64 {
        let Some((at, others)) = self.load else {
            return 0.0;
        };
        let age = now.saturating_sub(at);
        if age > STALE {
            return 0.0;
        }
        let half = half_life.as_secs_f64();
        others * half / (half + age.as_secs_f64())
    }

    /// Counts a hop that starts or ends.
    pub fn fly(&mut self, now: Now, flying: u32) {
        self.flying = flying;
        self.trail.push_back((now, flying));
        while self.trail.len() > 1 && self.trail[1].0 + TRAIL < now {
            self.trail.pop_front();
        }
    }

    /// Whether it takes new work at all.
    pub fn takes(&self, now: Now) -> bool {
        self.open && self.health.takes() && self.hold <= now
    }

    /// Requests of this router it may run at once now.
    pub fn limit(&self) -> u32 {
        let limit = (self.pace.limit as u32).clamp(1, self.slots.max(1));
        self.health.trial().map_or(limit, |trial| trial.min(limit))
    }
}

/// All endpoints of the bundle in force.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Rows by endpoint.
    pub rows: Vec<Row>,
    /// By pair of zones: hops of this router that cross it.
    pub links: Vec<u32>,
}

impl Fleet {
    /// Takes in a bundle; returns the new id of each old endpoint.
    pub fn follow(&mut self, bundle: &Bundle) -> Vec<Option<EndpointId>> {
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
            kept.pace.resize(row.slots);
            self.rows.push(kept);
        }
        moved
    }

    /// Counts a hop that crosses a pair of zones.
    pub fn cross(&mut self, pair: usize) {
        self.links.get_mut(pair).into_iter().for_each(|n| *n += 1);
    }

    /// Uncounts a hop that crossed a pair of zones.
    pub fn uncross(&mut self, pair: usize) {
        self.links
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
