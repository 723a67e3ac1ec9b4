//! Selection of a chain for a request.

use super::Router;
use super::capacity::{Capacity, Mode};
use crate::Now;
use crate::action::Hop;
use crate::choose::{Choice, Load};
use crate::job::Job;
use crate::meter::Meter;
use crate::plan::graph::Graph;
use crate::request::{Id, Target};
use bundle::id::{EndpointId, ModelId, ZoneId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a request waits for an endpoint with its prefix before it may take one with ample free
/// capacity instead.
const MIN_SPREAD_WAIT: Duration = Duration::from_millis(200);

impl Router {
    pub(super) fn select_cached(
        &self,
        now: Now,
        id: Id,
        mode: Mode,
        reserved: &BTreeSet<EndpointId>,
    ) -> Option<Vec<Hop>> {
        let job = self.jobs.get(&id)?;
        let Target::Model(model, _) = job.request.target else {
            return None;
        };
        let (_, preference) = job.preference.as_ref()?;
        let spare = mode == Mode::Spare;
        let none = BTreeMap::new();
        let capacity = self.capacity(now, mode, &job.avoid, reserved, &none);
        let graph = self.graph(model)?;
        let choice = Choice {
            cached: if spare {
                &preference.spare
            } else {
                &preference.home
            },
            ..self.choice(graph, &capacity, job, 0)?
        };
        let chain = choice.draw(&mut self.rng.clone())?;
        Some(hops(graph, &chain))
    }

    /// Starts the wait of a request for endpoints that are likely to have its prefix in their
    /// cache; returns whether there are any.
    pub(super) fn begin_cache_wait(&mut self, now: Now, id: Id) -> bool {
        self.update_preference(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let preference = job.preference.as_ref();
        let prefers = preference.is_some_and(|(_, p)| !p.home.is_empty());
        if prefers {
            job.cache_wait_since.get_or_insert(now);
        }
        prefers
    }

    /// Returns whether a request should keep waiting for an endpoint that has its prefix in the
    /// cache.
    pub(super) fn waits_for_cache(&self, now: Now, id: Id, meter: &Meter) -> bool {
        self.jobs.get(&id).is_some_and(|j| {
            let has_time = j.request.deadline >= now + meter.service_time(j.request.max_tokens) * 2;
            has_time
                && j.cache_wait_since.is_some()
                && cache_wait(now, j) < self.settings.cache_wait
        })
    }

    /// Returns whether a request has waited long enough to take an endpoint with ample free
    /// capacity instead of one with its prefix. Otherwise all requests with the same prefix would
    /// queue for a few endpoints while the fleet is idle.
    pub(super) fn may_spread(&self, now: Now, id: Id) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|j| cache_wait(now, j) >= MIN_SPREAD_WAIT)
    }

    /// Computes where a request's prefix is likely to be cached, once for each plan.
    fn update_preference(&mut self, id: Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Target::Model(model, adapter) = job.request.target else {
            return;
        };
        if job
            .preference
            .as_ref()
            .is_some_and(|(epoch, _)| *epoch == self.epoch)
        {
            return;
        }
        let prefix = salt_prefix(&job.request.prefix, model, adapter);
        let found = self
            .graph(model)
            .map(|g| self.locality.find(&prefix, g))
            .unwrap_or_default();
        let epoch = self.epoch;
        self.jobs.get_mut(&id).into_iter().for_each(|j| {
            j.preference = Some((epoch, found.clone()));
        });
    }

    /// Returns the preferred graph of a model: the subset if there is one.
    fn graph(&self, model: ModelId) -> Option<&Graph> {
        let subset = self.plan.subset.get(model as usize)?.as_ref();
        subset.or(self.plan.full.get(model as usize))
    }

    fn capacity<'a>(
        &'a self,
        now: Now,
        mode: Mode,
        avoid: &'a [EndpointId],
        reserved: &'a BTreeSet<EndpointId>,
        preemptible: &'a BTreeMap<EndpointId, u32>,
    ) -> Capacity<'a> {
        let (fleet, links, settings) = (&self.fleet, &self.plan.links, &self.settings);
        Capacity {
            fleet,
            links,
            settings,
            now,
            mode,
            avoid,
            reserved,
            preemptible,
        }
    }

    fn choice<'a>(
        &'a self,
        graph: &'a Graph,
        load: &'a Capacity<'a>,
        job: &'a Job,
        draws: usize,
    ) -> Option<Choice<'a, Capacity<'a>>> {
        let zone = self.view.as_ref()?.zone;
        let preference = job.preference.as_ref().map(|(_, p)| p);
        let cached = preference.map_or(&[][..], |p| &p.home);
        Some(Choice {
            graph,
            links: &self.plan.links,
            zone,
            load,
            draws,
            cached,
        })
    }

    /// Selects a chain, without the endpoints on which the request failed if possible.
    pub(super) fn select_chain(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        reserved: &BTreeSet<EndpointId>,
        preemptible: &BTreeMap<EndpointId, u32>,
    ) -> Option<Vec<Hop>> {
        self.update_preference(id);
        // The generator is cloned so that the selection can borrow the rest of the router.
        let mut rng = self.rng.clone();
        let job = self.jobs.get(&id)?;
        let capacity = self.capacity(now, mode, &job.avoid, reserved, preemptible);
        let mut found = self.choose(job, &capacity, &mut rng);
        if found.is_none() && !job.avoid.is_empty() {
            let capacity = self.capacity(now, mode, &[], reserved, preemptible);
            found = self.choose(job, &capacity, &mut rng);
        }
        self.rng = rng;
        let (hops, searched) = found?;
        self.report.searched += u64::from(searched);
        Some(hops)
    }

    /// Returns a chain that accepts the request, and whether it took a search.
    fn choose(
        &self,
        job: &Job,
        capacity: &Capacity,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Vec<Hop>, bool)> {
        let draws = self.settings.hop_draws;
        match job.request.target {
            Target::Service(service) => {
                let endpoints = self.plan.services.get(service as usize)?;
                let zone = self.view.as_ref()?.zone;
                choose_endpoint(capacity, endpoints, zone, draws, rng).map(|hops| (hops, false))
            }
            Target::Model(model, _) => {
                let preferred = self.graph(model)?;
                if let Some(chain) = self.choice(preferred, capacity, job, draws)?.draw(rng) {
                    return Some((hops(preferred, &chain), false));
                }
                let full = self.plan.full.get(model as usize)?;
                let chain = self.choice(full, capacity, job, draws)?.search()?;
                Some((hops(full, &chain), true))
            }
        }
    }
}

/// Returns how long a request has waited for an endpoint that has its prefix in the cache.
fn cache_wait(now: Now, job: &Job) -> Duration {
    job.cache_wait_since
        .map_or(Duration::ZERO, |since| now.saturating_sub(since))
}

/// Combines prefix hashes with the model and the adapter, since a cache is valid for these only.
pub(super) fn salt_prefix(prefix: &[u64], model: u16, adapter: Option<u16>) -> Vec<u64> {
    let key = (u64::from(model) << 32) | adapter.map_or(0, |a| u64::from(a) + 1);
    prefix
        .iter()
        .map(|h| h ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect()
}

fn hops(graph: &Graph, chain: &[usize]) -> Vec<Hop> {
    let stages = chain.iter().map(|&s| &graph.stages[s]);
    stages
        .map(|s| Hop {
            endpoint: s.endpoint,
            from: s.from,
            to: s.to,
        })
        .collect()
}

/// Selects an endpoint of a plain service: the best of a few random ones, otherwise the best of
/// all.
fn choose_endpoint(
    capacity: &Capacity,
    endpoints: &[EndpointId],
    zone: ZoneId,
    draws: usize,
    rng: &mut impl rand::Rng,
) -> Option<Vec<Hop>> {
    let cost = |e: EndpointId| {
        let row = capacity.fleet.get(e)?;
        let load = capacity.endpoint(e)? / f64::from(row.slots.max(1));
        Some((
            load + capacity.links.latency(zone, row.zone).as_secs_f64(),
            e,
        ))
    };
    if endpoints.is_empty() {
        return None;
    }
    let drawn = (0..draws).filter_map(|_| cost(endpoints[rng.random_range(0..endpoints.len())]));
    let best = cheapest(drawn).or_else(|| cheapest(endpoints.iter().filter_map(|&e| cost(e))));
    best.map(|endpoint| {
        vec![Hop {
            endpoint,
            from: 0,
            to: 0,
        }]
    })
}

fn cheapest(found: impl Iterator<Item = (f64, EndpointId)>) -> Option<EndpointId> {
    found.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, e)| e)
}
