//! Start of attempts, with their accounting.

use super::Router;
use super::capacity::Mode;
use crate::Now;
use crate::action::{Action, Hop};
use crate::finding::{Fault, Finding, Place};
use crate::job::{Job, Phase, Run};
use crate::queue;
use crate::request::{Id, Target};
use bundle::id::{EndpointId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 8.0;
/// Minimum target time of a hop, as a multiple of the hardware's time for a single token.
const MIN_TARGET_MULTIPLE: f64 = 3.0;

impl Router {
    /// Starts a request if a chain accepts it; returns whether it did.
    pub(super) fn launch(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        reserved: &BTreeSet<EndpointId>,
    ) -> bool {
        let Some(hops) = self.select_chain(now, id, mode, reserved, &BTreeMap::new()) else {
            return false;
        };
        self.start(now, id, hops, mode);
        true
    }

    /// Starts a request if a chain accepts it where its prefix is likely to be cached; returns
    /// whether it did.
    pub(super) fn launch_cached(
        &mut self,
        now: Now,
        id: Id,
        mode: Mode,
        reserved: &BTreeSet<EndpointId>,
    ) -> bool {
        let Some(hops) = self.select_cached(now, id, mode, reserved) else {
            return false;
        };
        self.start(now, id, hops, mode);
        true
    }

    /// Starts an attempt on `hops`.
    pub(super) fn start(&mut self, now: Now, id: Id, hops: Vec<Hop>, mode: Mode) {
        self.dequeue(id);
        self.release_reservation(id);
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        let entry = self.queue_entry(&job);
        self.queue.charge(&entry, charged_tokens(&job));
        let waiting = self.queue.line(entry.line).is_some_and(|l| !l.is_empty());
        self.meters
            .entry(entry.line)
            .or_default()
            .record_start(now, waiting);
        self.record_start(&mut job);
        let alone = matches!(mode, Mode::Isolated(_));
        let run = self.run(now, &job, &hops, alone);
        self.occupy(now, id, &run, alone);
        job.attempt += 1;
        job.phase = Phase::Running;
        job.run = Some(run);
        self.actions.push(Action::Start(id, job.attempt, hops));
        self.jobs.insert(id, job);
    }

    fn record_start(&mut self, job: &mut Job) {
        self.report.attempts += 1;
        if std::mem::take(&mut job.paused) {
            self.report.resumed += 1;
        }
        if job.attempt == 0 {
            let running = self.running_count();
            self.budget.earn(
                self.settings.retry_ratio,
                self.settings.retry_burst,
                running,
            );
        }
    }

    fn run(&self, now: Now, job: &Job, hops: &[Hop], alone: bool) -> Run {
        let zones: Vec<_> = hops.iter().map(|h| self.zone(h.endpoint)).collect();
        Run {
            endpoints: hops.iter().map(|h| Some(h.endpoint)).collect(),
            zone_pairs: zones.windows(2).map(|w| (w[0], w[1])).collect(),
            target_times: hops.iter().map(|h| self.target_time(job, h)).collect(),
            hops: hops.to_vec(),
            started: now,
            tokens: 0,
            next_hop: 0,
            last_progress: now,
            silent: false,
            isolated: alone,
        }
    }

    /// Returns the target time of a hop for the concurrency limits: its share of the layers in the
    /// target token gap, but no less than a few times the hardware's time for one token.
    fn target_time(&self, job: &Job, hop: &Hop) -> Duration {
        let Some(view) = &self.view else {
            return self.settings.target_token_gap;
        };
        let Target::Model(model, _) = job.request.target else {
            return self.settings.target_token_gap;
        };
        let bundle = &view.bundle;
        let layers = f64::from(hop.to - hop.from);
        let all_layers = f64::from(bundle.models[model as usize].layers);
        let share = self
            .settings
            .target_token_gap
            .mul_f64(layers / all_layers.max(1.0));
        let row = &bundle.endpoints[hop.endpoint as usize];
        let Some(kind) = row.kind else { return share };
        let token_time = layers / bundle.kinds[kind as usize].layers_per_second;
        let latency = self.plan.links.latency(view.zone, row.zone) * 2;
        share.max(Duration::from_secs_f64(token_time * MIN_TARGET_MULTIPLE)) + latency
    }

    fn zone(&self, endpoint: EndpointId) -> ZoneId {
        self.fleet.get(endpoint).map_or(0, |r| r.zone)
    }

    /// Adds the attempt to its endpoints and links, and checks each of them for violations.
    fn occupy(&mut self, now: Now, id: Id, run: &Run, alone: bool) {
        for &(a, b) in &run.zone_pairs {
            self.fleet.add_crossing(self.plan.links.pair_index(a, b));
        }
        self.has_reservations |= alone;
        for endpoint in run.endpoints.iter().flatten().copied() {
            let Some(row) = self.fleet.get_mut(endpoint) else {
                continue;
            };
            let place = Place::Endpoint(endpoint);
            if !row.accepts_work(now) {
                self.findings.push(Finding {
                    place,
                    fault: Fault::Closed(endpoint),
                });
            }
            if row.reserved_for.is_some_and(|suspect| suspect != id) {
                self.findings.push(Finding {
                    place,
                    fault: Fault::Shared(endpoint),
                });
            }
            let in_flight = row.in_flight + 1;
            row.set_in_flight(now, in_flight);
            row.reserved_for = if alone { Some(id) } else { row.reserved_for };
            if in_flight > row.slots.max(1) {
                let fault = Fault::Bound(u64::from(in_flight), u64::from(row.slots));
                self.findings.push(Finding { place, fault });
            }
        }
    }

    /// Returns the measurements of the line of `target`.
    pub(super) fn meter(&mut self, target: Target) -> &mut crate::meter::Meter {
        self.meters.entry(queue::line(target)).or_default()
    }
}

/// Returns the work charged for a request, in generated tokens.
pub(super) fn charged_tokens(job: &Job) -> f64 {
    let left = job.request.max_tokens.saturating_sub(job.tokens);
    f64::from(left.max(1)) + f64::from(job.request.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN
}
