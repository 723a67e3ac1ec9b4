//! Updates of the view: ids change with a new bundle; the availability of endpoints and the shares
//! change.

use super::Router;
use crate::Now;
use crate::plan::Plan;
use crate::refusal::Reason;
use crate::request::{Id, Target, renumber_priority};
use crate::view::View;
use bundle::Bundle;
use bundle::id::{EndpointId, ModelId, ServiceId, TeamId};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Age up to which this router's own progress on an endpoint outweighs an ejection by another node.
const RECENT_PROGRESS: Duration = Duration::from_secs(1);

/// Models and services that could be served if ejected endpoints returned.
#[derive(Clone, Debug, Default)]
pub(super) struct Recoverable {
    pub models: BTreeSet<ModelId>,
    pub services: BTreeSet<ServiceId>,
}

impl Router {
    pub(super) fn apply_view(&mut self, now: Now, view: Arc<View>) {
        let old = self.view.replace(view.clone());
        let new_ids = self.fleet.apply_bundle(&view.bundle);
        let new_teams = self.shares.apply_bundle(now, &view.bundle, &view.shares);
        let changed = old
            .as_ref()
            .is_none_or(|o| !Arc::ptr_eq(&o.bundle, &view.bundle));
        if let Some(old) = old.filter(|_| changed) {
            self.remap_ids(now, &old.bundle, &view.bundle, &new_ids, &new_teams);
        }
        let mut availability_changed = false;
        for (id, row) in self.fleet.rows.iter_mut().enumerate() {
            let available = view.available.get(id).copied().unwrap_or(false);
            availability_changed |= row.available != available;
            row.available = available;
        }
        self.plan_stale |= changed || availability_changed;
        self.crash
            .update_remote(&view.suspects, &view.pending, &view.condemned);
        self.replan();
        if changed {
            self.recount_crossings();
        }
        self.probe_remote_ejected(now, &view);
        self.rerank();
        self.stop_condemned(now);
        self.dispatch_needed = true;
    }

    /// Rebuilds the plan if endpoints were added, removed, ejected or restored.
    pub(super) fn replan(&mut self) {
        let Some(view) = self
            .view
            .clone()
            .filter(|_| std::mem::take(&mut self.plan_stale))
        else {
            return;
        };
        let rows = &self.fleet.rows;
        let row = |e: EndpointId| rows.get(e as usize);
        let usable = |e| row(e).is_some_and(|r| r.available && !r.health.is_ejected());
        self.plan = Plan::new(&view, usable, self.seed, self.settings.subset_threshold);
        self.epoch += 1;
        self.recoverable = Recoverable::default();
        if self.plan.has_unserved() {
            let all = Plan::new(
                &view,
                |e| row(e).is_some_and(|r| r.available),
                self.seed,
                usize::MAX,
            );
            self.recoverable = Recoverable::new(&all);
        }
        self.dispatch_needed = true;
    }

    /// Recounts the hops that cross each pair of zones, since the pairs may have changed.
    fn recount_crossings(&mut self) {
        self.fleet.crossings = vec![0; self.plan.links.pair_count()];
        for run in self.jobs.values().filter_map(|j| j.run.as_ref()) {
            for &(a, b) in &run.zone_pairs {
                self.fleet.add_crossing(self.plan.links.pair_index(a, b));
            }
        }
    }

    /// Probes endpoints that other nodes have newly ejected, unless they recently made progress for
    /// this router.
    fn probe_remote_ejected(&mut self, now: Now, view: &View) {
        let newly_ejected: Vec<_> = view
            .ejected
            .iter()
            .copied()
            .filter(|e| !self.remote_ejected.contains(e))
            .collect();
        self.remote_ejected.clone_from(&view.ejected);
        for endpoint in newly_ejected {
            let row = self.fleet.get(endpoint);
            if row.is_some_and(|r| r.available && r.last_progress + RECENT_PROGRESS <= now) {
                self.probe(now, endpoint);
            }
        }
    }

    fn remap_ids(
        &mut self,
        now: Now,
        old: &Bundle,
        new: &Bundle,
        new_ids: &[Option<EndpointId>],
        new_teams: &[Option<TeamId>],
    ) {
        self.queue.clear();
        self.meters.clear();
        self.reservations.clear();
        self.remote_ejected = self
            .remote_ejected
            .iter()
            .filter_map(|&e| new_ids.get(e as usize).copied()?)
            .collect();
        self.crash.remap_endpoints(new_ids);
        let ids: Vec<Id> = self.jobs.keys().copied().collect();
        for id in ids {
            self.remap_job(now, id, (old, new), new_ids, new_teams);
        }
        let idle_rows = self.fleet.rows.iter_mut().filter(|r| r.in_flight == 0);
        idle_rows.for_each(|r| r.reserved_for = None);
    }

    fn remap_job(
        &mut self,
        now: Now,
        id: Id,
        (old, new): (&Bundle, &Bundle),
        new_ids: &[Option<EndpointId>],
        new_teams: &[Option<TeamId>],
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let known = |e: EndpointId| new_ids.get(e as usize).copied().flatten();
        job.avoid = job.avoid.iter().filter_map(|&e| known(e)).collect();
        job.awaited_probe = job.awaited_probe.and_then(known);
        if let Some(run) = &mut job.run {
            run.endpoints
                .iter_mut()
                .for_each(|r| *r = r.and_then(known));
        }
        let request = &mut job.request;
        request.team = new_teams
            .get(request.team as usize)
            .copied()
            .flatten()
            .unwrap_or(TeamId::MAX);
        request.priority = renumber_priority(old, new, request.priority);
        let target = request.target.renumber(old, new);
        let compatible = target.is_some_and(|t| is_compatible(old, new, request.target, t));
        job.not_resumable |= !compatible && (job.sent || job.tokens > 0 || job.run.is_some());
        request.target = target.unwrap_or(request.target);
        let waits = job.queue_entry.take().is_some();
        if target.is_none() && job.run.is_none() {
            return self.terminate(now, id, Reason::NoEndpoint, None);
        }
        if waits {
            self.enqueue(now, id);
        }
    }
}

impl Recoverable {
    fn new(plan: &Plan) -> Self {
        let models = plan
            .full
            .iter()
            .enumerate()
            .filter(|(_, g)| g.max_flow > 0.0);
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

/// Returns whether an answer begun under the old bundle may continue under the new one. The version
/// of the model must not change within an answer.
fn is_compatible(old: &Bundle, new: &Bundle, was: Target, is: Target) -> bool {
    let (Target::Model(a, _), Target::Model(b, _)) = (was, is) else {
        return true;
    };
    let (a, b) = (&old.models[a as usize], &new.models[b as usize]);
    a.version == b.version && a.layers == b.layers
}
