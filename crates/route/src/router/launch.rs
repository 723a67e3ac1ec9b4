//! Start of attempts: the choice of a chain and its bookkeeping.

use super::Router;
use super::eyes::{Eyes, Mode};
use crate::Now;
use crate::action::{Action, Hop};
use crate::choose::{Choice, Load};
use crate::finding::{Fault, Finding, Place};
use crate::flight::{Flight, Phase, Run};
use crate::plan::graph::Graph;
use crate::queue;
use crate::request::{Id, Target};
use bundle::id::{EndpointId, ModelId, ZoneId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Tokens of a prompt that cost as much as one generated token.
const PROMPT_PART: f64 = 8.0;
/// Single-token times that a hop may always take, whatever the aimed gap.
const LEAST_HOPS: f64 = 3.0;

impl Router {
    /// Starts a request if a chain takes it; whether it did.
    pub(super) fn launch(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        held: &BTreeSet<EndpointId>,
    ) -> bool {
        let Some(hops) = self.pick(now, id, mode, held, &BTreeMap::new()) else {
            return false;
        };
        self.start(now, id, hops, mode);
        true
    }

    /// Starts a request if a chain takes it where its prefix is likely to be cached.
    pub(super) fn launch_cached(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        held: &BTreeSet<EndpointId>,
    ) -> bool {
        let Some(hops) = self.pick_cached(now, id, mode, held) else {
            return false;
        };
        self.start(now, id, hops, mode);
        true
    }

    fn pick_cached(
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

    /// Whether a request should rather wait for a place where its prefix is cached.
    pub(super) fn lingers(&mut self, now: Now, id: Id) -> bool {
        self.prefer(id);
        let longest = self.limits.linger;
        let Some(flight) = self.flights.get_mut(&id) else {
            return false;
        };
        flight.lingers.get_or_insert(now);
        let preference = flight.preference.as_ref();
        preference.is_some_and(|(_, p)| !p.home.is_empty()) && lingered(now, flight) < longest
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

    /// Starts an attempt on `hops`.
    pub(super) fn start(&mut self, now: Now, id: Id, hops: Vec<Hop>, mode: Mode) {
        self.unqueue(id);
        self.unward(id);
        let Some(mut flight) = self.flights.remove(&id) else {
            return;
        };
        let entry = self.entry(&flight);
        self.queue.charge(&entry, cost(&flight));
        let waiting = self.queue.line(entry.line).is_some_and(|l| !l.is_empty());
        self.meters
            .entry(entry.line)
            .or_default()
            .start(now, waiting);
        self.count(&mut flight);
        let alone = matches!(mode, Mode::Alone(_));
        let run = self.run(now, &flight, &hops, alone);
        self.occupy(now, id, &run, alone);
        flight.attempt += 1;
        flight.phase = Phase::Running;
        flight.run = Some(run);
        self.out.push(Action::Start(id, flight.attempt, hops));
        self.flights.insert(id, flight);
    }

    fn count(&mut self, flight: &mut Flight) {
        self.report.attempts += 1;
        if std::mem::take(&mut flight.paused) {
            self.report.resumed += 1;
        }
        if flight.attempt == 0 {
            let running = self.running();
            self.budget
                .earn(self.limits.retry_ratio, self.limits.retry_burst, running);
        }
    }

    fn run(&self, now: Now, flight: &Flight, hops: &[Hop], alone: bool) -> Run {
        let zones: Vec<_> = hops.iter().map(|h| self.zone(h.endpoint)).collect();
        Run {
            rows: hops.iter().map(|h| Some(h.endpoint)).collect(),
            pairs: zones.windows(2).map(|w| (w[0], w[1])).collect(),
            allowed: hops.iter().map(|h| self.allowed(flight, h)).collect(),
            hops: hops.to_vec(),
            started: now,
            made: 0,
            hop: 0,
            since: now,
            silent: false,
            alone,
        }
    }

    /// Time for a hop that the concurrency limits aim at: its part of the layers in the aimed
    /// gap, but no less than a few times what the hardware needs for one token.
    fn allowed(&self, flight: &Flight, hop: &Hop) -> Duration {
        let Some(view) = &self.view else {
            return self.limits.gap;
        };
        let Target::Model(model, _) = flight.request.target else {
            return self.limits.gap;
        };
        let bundle = &view.bundle;
        let layers = f64::from(hop.to - hop.from);
        let all = f64::from(bundle.models[model as usize].layers);
        let part = self.limits.gap.mul_f64(layers / all.max(1.0));
        let row = &bundle.endpoints[hop.endpoint as usize];
        let Some(kind) = row.kind else { return part };
        let single = layers / bundle.kinds[kind as usize].layers_per_second;
        let away = self.plan.wires.latency(view.zone, row.zone) * 2;
        part.max(Duration::from_secs_f64(single * LEAST_HOPS)) + away
    }

    fn zone(&self, endpoint: EndpointId) -> ZoneId {
        self.fleet.get(endpoint).map_or(0, |r| r.zone)
    }

    /// Counts the attempt on its endpoints and links, and checks each by itself.
    fn occupy(&mut self, now: Now, id: Id, run: &Run, alone: bool) {
        for &(a, b) in &run.pairs {
            self.fleet.cross(self.plan.wires.at(a, b));
        }
        for endpoint in run.rows.iter().flatten().copied() {
            let Some(row) = self.fleet.get_mut(endpoint) else {
                continue;
            };
            let place = Place::Endpoint(endpoint);
            if !row.takes(now) {
                self.findings.push(Finding {
                    place,
                    fault: Fault::Closed(endpoint),
                });
            }
            if row.ward.is_some_and(|w| w != id) {
                self.findings.push(Finding {
                    place,
                    fault: Fault::Shared(endpoint),
                });
            }
            let flying = row.flying + 1;
            row.fly(now, flying);
            row.ward = if alone { Some(id) } else { row.ward };
            if flying > row.slots.max(1) {
                let fault = Fault::Bound(u64::from(flying), u64::from(row.slots));
                self.findings.push(Finding { place, fault });
            }
        }
    }

    /// Expected tokens and prompt work left for `flight`'s line are measured by the meter.
    pub(super) fn meter(&mut self, target: Target) -> &mut crate::meter::Meter {
        self.meters.entry(queue::line(target)).or_default()
    }
}

/// How long a request has waited for a place where its prefix is cached.
fn lingered(now: Now, flight: &Flight) -> Duration {
    flight
        .lingers
        .map_or(Duration::ZERO, |since| now.saturating_sub(since))
}

/// Work that a request is charged with, in tokens.
pub(super) fn cost(flight: &Flight) -> f64 {
    let left = flight.request.most.saturating_sub(flight.tokens);
    f64::from(left.max(1)) + f64::from(flight.request.prompt) / PROMPT_PART
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
        let load = (eyes.endpoint(e)? + 1.0) / f64::from(row.slots.max(1));
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
