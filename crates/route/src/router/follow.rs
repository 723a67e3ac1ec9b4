//! Following the view: a new bundle renames ids, open endpoints and shares change.

use super::Router;
use crate::Now;
use crate::plan::Plan;
use crate::refusal::Reason;
use crate::request::{Id, Target};
use crate::view::View;
use bundle::Bundle;
use bundle::id::{EndpointId, ModelId, PriorityId, ServiceId, TeamId};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Recent progress that outweighs what other nodes say of an endpoint.
const FRESH: Duration = Duration::from_secs(1);

/// What could be served if ejected endpoints came back.
#[derive(Clone, Debug, Default)]
pub(super) struct Hope {
    pub models: BTreeSet<ModelId>,
    pub services: BTreeSet<ServiceId>,
}

impl Router {
    pub(super) fn follow(&mut self, now: Now, view: Arc<View>) {
        let old = self.view.replace(view.clone());
        let moved = self.fleet.follow(&view.bundle);
        let teams = self.shares.follow(now, &view.bundle, &view.shares);
        let changed = old
            .as_ref()
            .is_none_or(|o| !Arc::ptr_eq(&o.bundle, &view.bundle));
        if let Some(old) = old.filter(|_| changed) {
            self.rename(now, &old.bundle, &view.bundle, &moved, &teams);
        }
        for (id, row) in self.fleet.rows.iter_mut().enumerate() {
            row.open = view.open.get(id).copied().unwrap_or(false);
        }
        self.crash
            .follow(&view.suspects, &view.pending, &view.condemned);
        self.stale = true;
        self.replan();
        self.recross();
        self.doubt(now, &view);
        self.rerank();
        self.stop_condemned(now);
        self.stirred = true;
    }

    /// Plans again if endpoints came or went.
    pub(super) fn replan(&mut self) {
        let Some(view) = self
            .view
            .clone()
            .filter(|_| std::mem::take(&mut self.stale))
        else {
            return;
        };
        let rows = &self.fleet.rows;
        let row = |e: EndpointId| rows.get(e as usize);
        let usable = |e| row(e).is_some_and(|r| r.open && !r.health.out());
        self.plan = Plan::new(&view, usable, self.seed, self.limits.subset);
        self.epoch += 1;
        self.hoped = Hope::default();
        if rows.iter().any(|r| r.open && r.health.out()) {
            let all = Plan::new(
                &view,
                |e| row(e).is_some_and(|r| r.open),
                self.seed,
                usize::MAX,
            );
            self.hoped = Hope::new(&all);
        }
        self.stirred = true;
    }

    /// Counts again what crosses each pair of zones: the pairs may have changed.
    fn recross(&mut self) {
        self.fleet.links = vec![0; self.plan.wires.pairs()];
        for run in self.flights.values().filter_map(|f| f.run.as_ref()) {
            for &(a, b) in &run.pairs {
                self.fleet.cross(self.plan.wires.at(a, b));
            }
        }
    }

    /// Probes endpoints that other nodes have ejected of late, unless they serve this one well.
    fn doubt(&mut self, now: Now, view: &View) {
        let fresh: Vec<_> = view
            .ejected
            .iter()
            .copied()
            .filter(|e| !self.told.contains(e))
            .collect();
        self.told.clone_from(&view.ejected);
        for endpoint in fresh {
            let row = self.fleet.get(endpoint);
            if row.is_some_and(|r| r.open && r.progress + FRESH <= now) {
                self.ask(now, endpoint);
            }
        }
    }

    fn rename(
        &mut self,
        now: Now,
        old: &Bundle,
        new: &Bundle,
        moved: &[Option<EndpointId>],
        teams: &[Option<TeamId>],
    ) {
        self.queue.clear();
        self.meters.clear();
        self.wards.clear();
        self.told = self
            .told
            .iter()
            .filter_map(|&e| moved.get(e as usize).copied()?)
            .collect();
        self.crash.rename(moved);
        let ids: Vec<Id> = self.flights.keys().copied().collect();
        for id in ids {
            self.rename_flight(now, id, (old, new), moved, teams);
        }
        let wards = self.fleet.rows.iter_mut().filter(|r| r.flying == 0);
        wards.for_each(|r| r.ward = None);
    }

    fn rename_flight(
        &mut self,
        now: Now,
        id: Id,
        (old, new): (&Bundle, &Bundle),
        moved: &[Option<EndpointId>],
        teams: &[Option<TeamId>],
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let known = |e: EndpointId| moved.get(e as usize).copied().flatten();
        flight.avoid = flight.avoid.iter().filter_map(|&e| known(e)).collect();
        flight.waits = flight.waits.and_then(known);
        if let Some(run) = &mut flight.run {
            run.rows.iter_mut().for_each(|r| *r = r.and_then(known));
        }
        let request = &mut flight.request;
        request.team = teams
            .get(request.team as usize)
            .copied()
            .flatten()
            .unwrap_or(TeamId::MAX);
        request.priority = priority(old, new, request.priority);
        let target = target(old, new, request.target);
        let same = target.is_some_and(|t| same(old, new, request.target, t));
        flight.stranded |= !same && (flight.sent || flight.tokens > 0 || flight.run.is_some());
        request.target = target.unwrap_or(request.target);
        let waits = flight.entry.take().is_some();
        if target.is_none() && flight.run.is_none() {
            return self.give_up(now, id, Reason::NoEndpoint, None);
        }
        if waits {
            self.enqueue(now, id);
        }
    }
}

impl Hope {
    fn new(plan: &Plan) -> Self {
        let models = plan.whole.iter().enumerate().filter(|(_, g)| g.bound > 0.0);
        let services = plan
            .services
            .iter()
            .enumerate()
            .filter(|(_, s)| !s.is_empty());
        Self {
            models: models.map(|(m, _)| m as ModelId).collect(),
            services: services.map(|(s, _)| s as ServiceId).collect(),
        }
    }
}

/// The priority of the same name, or the least urgent one.
fn priority(old: &Bundle, new: &Bundle, id: PriorityId) -> PriorityId {
    let name = old.priorities.get(id as usize).map(|p| p.name.as_str());
    let last = new.priorities.len().saturating_sub(1) as PriorityId;
    name.and_then(|n| new.priority(n)).unwrap_or(last)
}

/// The target of the same name.
fn target(old: &Bundle, new: &Bundle, target: Target) -> Option<Target> {
    match target {
        Target::Model(model, adapter) => {
            let old = old.models.get(model as usize)?;
            let model = new.model(&old.name)?;
            let Some(adapter) = adapter else {
                return Some(Target::Model(model, None));
            };
            let name = old.adapters.get(adapter as usize)?;
            let found = new.models[model as usize]
                .adapters
                .iter()
                .position(|a| a == name)?;
            Some(Target::Model(model, Some(found as u16)))
        }
        Target::Service(service) => {
            let name = &old.services.get(service as usize)?.name;
            new.service(name).map(Target::Service)
        }
    }
}

/// Whether an answer begun under the old bundle can go on under the new one: a model's version
/// must not change within an answer.
fn same(old: &Bundle, new: &Bundle, was: Target, is: Target) -> bool {
    let (Target::Model(a, _), Target::Model(b, _)) = (was, is) else {
        return true;
    };
    let (a, b) = (&old.models[a as usize], &new.models[b as usize]);
    a.version == b.version && a.layers == b.layers
}
