//! Start of attempts and their bookkeeping.

use super::Router;
use super::eyes::Mode;
use crate::Now;
use crate::action::{Action, Hop};
use crate::finding::{Fault, Finding, Place};
use crate::flight::{Flight, Phase, Run};
use crate::queue;
use crate::request::{Id, Target};
use bundle::id::{EndpointId, ZoneId};
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
        self.guarded |= alone;
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

/// Work that a request is charged with, in tokens.
pub(super) fn cost(flight: &Flight) -> f64 {
    let left = flight.request.most.saturating_sub(flight.tokens);
    f64::from(left.max(1)) + f64::from(flight.request.prompt) / PROMPT_PART
}
