//! The choice of a chain for a request.

use super::Router;
use super::eyes::{Eyes, Mode};
use crate::Now;
use crate::action::Hop;
use crate::choose::{Choice, Load};
use crate::flight::Flight;
use crate::meter::Meter;
use crate::plan::graph::Graph;
use crate::request::{Id, Target};
use bundle::id::{EndpointId, ModelId, ZoneId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Wait for a cached place after which one with much room elsewhere is taken.
const SPREAD: Duration = Duration::from_millis(200);

impl Router {
    pub(super) fn pick_cached(
        &self,
        now: Now,
        id: Id,
        mode: Mode,
        held: &BTreeSet<EndpointId>,
    ) -> Option<Vec<Hop>> {
        let flight = self.flights.get(&id)?;
        let Target::Model(model, _) = flight.request.target else {
            return None;
        };
        let (_, preference) = flight.preference.as_ref()?;
        let wide = mode == Mode::Spare;
        let none = BTreeMap::new();
        let eyes = self.eyes(now, mode, &flight.avoid, held, &none);
        let graph = self.graph(model)?;
        let choice = Choice {
            cached: if wide {
                &preference.spare
            } else {
                &preference.home
            },
            ..self.choice(graph, &eyes, flight, 0)?
        };
        let chain = choice.draw(&mut self.rng.clone())?;
        Some(hops(graph, &chain))
    }

    /// Whether a request has places where its prefix is likely to be cached; its wait for one of
    /// them begins.
    pub(super) fn prefers(&mut self, now: Now, id: Id) -> bool {
        self.prefer(id);
        let Some(flight) = self.flights.get_mut(&id) else {
            return false;
        };
        let preference = flight.preference.as_ref();
        let prefers = preference.is_some_and(|(_, p)| !p.home.is_empty());
        if prefers {
            flight.lingers.get_or_insert(now);
        }
        prefers
    }

    /// Whether a request should rather wait for a place where its prefix is cached.
    pub(super) fn lingers(&self, now: Now, id: Id, meter: &Meter) -> bool {
        self.flights.get(&id).is_some_and(|f| {
            let time = f.request.deadline >= now + meter.service(f.request.most) * 2;
            time && f.lingers.is_some() && lingered(now, f) < self.limits.linger
        })
    }

    /// Whether a request has waited long enough for a cached place to take one with much room.
    /// Else all requests with one prefix would queue before a few endpoints of an idle fleet.
    pub(super) fn spreads(&self, now: Now, id: Id) -> bool {
        self.flights
            .get(&id)
            .is_some_and(|f| lingered(now, f) >= SPREAD)
    }

    /// Finds where a request's prefix is likely to be cached, once for each plan.
    fn prefer(&mut self, id: Id) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Target::Model(model, adapter) = flight.request.target else {
            return;
        };
        if flight
            .preference
            .as_ref()
            .is_some_and(|(epoch, _)| *epoch == self.epoch)
        {
            return;
        }
        let prefix = keyed(&flight.request.prefix, model, adapter);
        let found = self
            .graph(model)
            .map(|g| self.locality.find(&prefix, g))
            .unwrap_or_default();
        let epoch = self.epoch;
        self.flights.get_mut(&id).into_iter().for_each(|f| {
            f.preference = Some((epoch, found.clone()));
        });
    }

    /// The preferred graph of a model.
    fn graph(&self, model: ModelId) -> Option<&Graph> {
        let near = self.plan.near.get(model as usize)?.as_ref();
        near.or(self.plan.whole.get(model as usize))
    }

    fn eyes<'a>(
        &'a self,
        now: Now,
        mode: Mode,
        avoid: &'a [EndpointId],
        held: &'a BTreeSet<EndpointId>,
        yields: &'a BTreeMap<EndpointId, u32>,
    ) -> Eyes<'a> {
        let (fleet, wires, limits) = (&self.fleet, &self.plan.wires, &self.limits);
        Eyes {
            fleet,
            wires,
            limits,
            now,
            mode,
            avoid,
            held,
            yields,
        }
    }

    fn choice<'a>(
        &'a self,
        graph: &'a Graph,
        load: &'a Eyes<'a>,
        flight: &'a Flight,
        draws: usize,
    ) -> Option<Choice<'a, Eyes<'a>>> {
        let zone = self.view.as_ref()?.zone;
        let preference = flight.preference.as_ref().map(|(_, p)| p);
        let cached = preference.map_or(&[][..], |p| &p.home);
        Some(Choice {
            graph,
            wires: &self.plan.wires,
            zone,
            load,
            draws,
            cached,
        })
    }

    /// Chooses a chain; without the endpoints that failed the request if there is such a one.
    pub(super) fn pick(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        held: &BTreeSet<EndpointId>,
        yields: &BTreeMap<EndpointId, u32>,
    ) -> Option<Vec<Hop>> {
        self.prefer(id);
        // The generator is moved out so that the choice can borrow the rest.
        let mut rng = self.rng.clone();
        let flight = self.flights.get(&id)?;
        let eyes = self.eyes(now, mode, &flight.avoid, held, yields);
        let mut found = self.choose(flight, &eyes, &mut rng);
        if found.is_none() && !flight.avoid.is_empty() {
            let eyes = self.eyes(now, mode, &[], held, yields);
            found = self.choose(flight, &eyes, &mut rng);
        }
        self.rng = rng;
        let (hops, searched) = found?;
        self.report.searched += u64::from(searched);
        Some(hops)
    }

    /// A chain that takes the request, and whether it had to be searched.
    fn choose(
        &self,
        flight: &Flight,
        eyes: &Eyes,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Vec<Hop>, bool)> {
        let draws = self.limits.candidates;
        match flight.request.target {
            Target::Service(service) => {
                let endpoints = self.plan.services.get(service as usize)?;
                let zone = self.view.as_ref()?.zone;
                serve(eyes, endpoints, zone, draws, rng).map(|hops| (hops, false))
            }
            Target::Model(model, _) => {
                let near = self.graph(model)?;
                if let Some(chain) = self.choice(near, eyes, flight, draws)?.draw(rng) {
                    return Some((hops(near, &chain), false));
                }
                let whole = self.plan.whole.get(model as usize)?;
                let chain = self.choice(whole, eyes, flight, draws)?.search()?;
                Some((hops(whole, &chain), true))
            }
        }
    }
}

/// How long a request has waited for a place where its prefix is cached.
fn lingered(now: Now, flight: &Flight) -> Duration {
    flight
        .lingers
        .map_or(Duration::ZERO, |since| now.saturating_sub(since))
}

/// Prefix hashes told apart by model and adapter.
pub(super) fn keyed(prefix: &[u64], model: u16, adapter: Option<u16>) -> Vec<u64> {
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

/// Chooses an endpoint of a plain service: the best of a few drawn, else the best of all.
fn serve(
    eyes: &Eyes,
    endpoints: &[EndpointId],
    zone: ZoneId,
    draws: usize,
    rng: &mut impl rand::Rng,
) -> Option<Vec<Hop>> {
    let cost = |e: EndpointId| {
        let row = eyes.fleet.get(e)?;
        let load = eyes.endpoint(e)? / f64::from(row.slots.max(1));
        Some((load + eyes.wires.latency(zone, row.zone).as_secs_f64(), e))
    };
    if endpoints.is_empty() {
        return None;
    }
    let drawn = (0..draws).filter_map(|_| cost(endpoints[rng.random_range(0..endpoints.len())]));
    let best = least(drawn).or_else(|| least(endpoints.iter().filter_map(|&e| cost(e))));
    best.map(|endpoint| {
        vec![Hop {
            endpoint,
            from: 0,
            to: 0,
        }]
    })
}

fn least(found: impl Iterator<Item = (f64, EndpointId)>) -> Option<EndpointId> {
    found.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, e)| e)
}
