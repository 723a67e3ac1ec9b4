//! Baselines for comparison with the router: each selects an endpoint per range of layers.
#![allow(dead_code)]

use super::world::Handler;
use bundle::id::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::action::{Action, Hop};
use route::event::Event;
use route::failure::Cause;
use route::outcome::Outcome;
use route::request::{Id, Request, Target};
use route::view::View;
use route::{Attempt, Now};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Selection policy of a baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Next endpoint in turn.
    RoundRobin,
    /// Endpoint with the fewest requests in flight: its own, and those of others by the latest
    /// report.
    LeastLoaded,
    /// Less loaded of two random endpoints.
    TwoRandom,
}

#[derive(Clone, Default)]
struct Row {
    own: u32,
    others: u32,
    backoff_until: Now,
}

struct Job {
    request: Request,
    attempt: Attempt,
    hops: Vec<Hop>,
}

/// Router without a plan: first come, first served, with immediate retries and no retry budget.
pub struct Baseline {
    policy: Policy,
    /// Maximum number of attempts of a request.
    max_attempts: u32,
    rng: ChaCha8Rng,
    view: Option<Arc<View>>,
    rows: Vec<Row>,
    ranges: Vec<(u16, u16, Vec<EndpointId>)>,
    positions: Vec<usize>,
    queue: VecDeque<Id>,
    jobs: BTreeMap<Id, Job>,
}

/// Time without new work after an endpoint answered that it is full.
const BUSY_BACKOFF: Duration = Duration::from_millis(100);

impl Baseline {
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            max_attempts: 12,
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: None,
            rows: Vec::new(),
            ranges: Vec::new(),
            positions: Vec::new(),
            queue: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    fn apply_view(&mut self, view: Arc<View>) {
        let mut ranges: BTreeMap<(u16, u16), Vec<EndpointId>> = BTreeMap::new();
        for (id, row) in view.bundle.endpoints.iter().enumerate() {
            let spans = row.spans.iter().filter(|s| s.model == 0);
            spans.for_each(|s| {
                ranges
                    .entry((s.from, s.to))
                    .or_default()
                    .push(id as EndpointId)
            });
        }
        self.ranges = ranges
            .into_iter()
            .map(|((from, to), ids)| (from, to, ids))
            .collect();
        self.positions = vec![self.rng.random_range(0..1000); self.ranges.len()];
        self.rows
            .resize(view.bundle.endpoints.len(), Row::default());
        self.view = Some(view);
    }

    fn pick(&mut self, now: Now, range: usize) -> Option<EndpointId> {
        let view = self.view.as_ref()?;
        let ids = &self.ranges[range].2;
        let free = |e: &EndpointId| {
            let row = &self.rows[*e as usize];
            let slots = view.bundle.endpoints[*e as usize].slots;
            view.available[*e as usize] && row.own < slots && row.backoff_until <= now
        };
        let load = |e: &EndpointId| self.rows[*e as usize].own + self.rows[*e as usize].others;
        let open: Vec<EndpointId> = ids.iter().copied().filter(free).collect();
        let any = |rng: &mut ChaCha8Rng| open[rng.random_range(0..open.len())];
        if open.is_empty() {
            return None;
        }
        match self.policy {
            Policy::RoundRobin => {
                let turn = &mut self.positions[range];
                let next = (1..=ids.len()).map(|i| ids[(*turn + i) % ids.len()]);
                let found = next.zip(1..).find(|(e, _)| free(e));
                let (e, steps) = found?;
                *turn += steps;
                Some(e)
            }
            Policy::LeastLoaded => open.iter().copied().min_by_key(load),
            Policy::TwoRandom => {
                let pair = [any(&mut self.rng), any(&mut self.rng)];
                pair.into_iter().min_by_key(load)
            }
        }
    }

    fn dispatch(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some(&id) = self.queue.front() {
            if !self.jobs.contains_key(&id) {
                self.queue.pop_front();
                continue;
            }
            let picks: Option<Vec<_>> = (0..self.ranges.len()).map(|r| self.pick(now, r)).collect();
            let Some(picks) = picks else { return };
            self.queue.pop_front();
            let hops = picks.into_iter().zip(&self.ranges);
            let hops: Vec<_> = hops
                .map(|(endpoint, &(from, to, _))| Hop { endpoint, from, to })
                .collect();
            hops.iter()
                .for_each(|h| self.rows[h.endpoint as usize].own += 1);
            let job = self.jobs.get_mut(&id).expect("just seen");
            job.attempt += 1;
            job.hops = hops.clone();
            out.push(Action::Start(id, job.attempt, hops));
        }
    }

    fn release(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for hop in job.hops.drain(..) {
            let row = &mut self.rows[hop.endpoint as usize];
            row.own = row.own.saturating_sub(1);
        }
    }
}

impl Handler for Baseline {
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.apply_view(view),
            Event::Arrive(request) => {
                if let Target::Model(..) = request.target {
                    self.queue.push_back(request.id);
                    let job = Job {
                        request,
                        attempt: 0,
                        hops: Vec::new(),
                    };
                    self.jobs.insert(job.request.id, job);
                }
            }
            Event::Finished(id, _) => {
                self.release(id);
                self.jobs.remove(&id);
                out.push(Action::Finish(id, Outcome::Complete));
            }
            Event::Failed(id, _, failure) => {
                self.release(id);
                let row = &mut self.rows[failure.endpoint as usize];
                if failure.cause == Cause::Busy {
                    row.backoff_until = now + BUSY_BACKOFF;
                }
                let Some(job) = self.jobs.get(&id) else {
                    return;
                };
                if job.attempt >= self.max_attempts && failure.cause != Cause::Busy {
                    self.jobs.remove(&id);
                    out.push(Action::Finish(id, Outcome::Unknown));
                } else {
                    self.queue.push_front(id);
                }
            }
            Event::Load(endpoint, report) => {
                let row = &mut self.rows[endpoint as usize];
                row.others = (report.running + report.waiting).saturating_sub(row.own);
            }
            _ => {}
        }
        self.dispatch(now, out);
    }
}
