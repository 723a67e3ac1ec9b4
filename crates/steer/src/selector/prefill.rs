//! Prefill in progress, by the attempts of this worker.

use super::Selector;
use crate::Timestamp;
use crate::chain::Need;
use crate::prefill::backlog::Prompt;
use crate::prefill::means::Means;
use crate::prefill::pricing::{Pricing, token_secs};
use crate::prefill::{Policy, SizeClass};
use crate::search::Segment;
use crate::target::ReservationId;
use catalog::engine::Engine;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Policy of one service, and the means of this worker's requests to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prefill {
    policy: Policy,
    means: Means,
}

impl Selector {
    /// Sets the policies of all services by the catalog in force; the means are kept.
    pub(super) fn update_prefill_policies(&mut self) {
        let catalog = &self.fleet.catalog;
        let mut previous = std::mem::take(&mut self.prefills);
        for (id, service) in (0..).zip(&catalog.services) {
            let Some((policy, engine)) = Policy::of(catalog, id).zip(service.engine.as_ref())
            else {
                continue;
            };
            let means = previous.remove(&service.name).map(|p| p.means);
            let means = means.unwrap_or_else(|| Means::new(engine));
            let prefill = Prefill { policy, means };
            self.prefills.insert(service.name.clone(), prefill);
        }
    }

    /// Returns the pricing of prefill for a request; `None` if the service has no policy.
    pub(super) fn prefill_pricing(
        &self,
        service: &str,
        engine: &Engine,
        residence: Duration,
        need: &Need,
    ) -> Option<Pricing> {
        let Prefill { policy, means } = self.prefills.get(service)?;
        let nodes = self.nodes();
        Some(Pricing::new(*policy, engine, means, residence, nodes, need))
    }

    /// Records the dispatch of an attempt over the stages of a chain.
    pub(super) fn begin_prefill(
        &mut self,
        now: Timestamp,
        service: &str,
        engine: &Engine,
        need: &Need,
        attempt: ReservationId,
        segments: &[Segment],
    ) {
        let nodes = self.nodes();
        let Some(Prefill { policy, means }) = self.prefills.get_mut(service) else {
            return;
        };
        let work = engine.prefill_work(need.size.prompt);
        means.record_sent(work, need.tokens());
        let (mut own, mut wait) = (Vec::with_capacity(segments.len()), 0.0);
        for segment in segments {
            let row = &self.rows[segment.row];
            let fraction = engine.model_fraction(segment.span.len());
            own.push(work * token_secs(policy, row) * fraction);
            wait += row.prefill.remaining_secs(now);
        }
        let expected = means.expected_first_event(own.iter().sum::<f64>() + wait);
        let is_long = policy.class(need.size.prompt) == SizeClass::Long;
        let overtaking = segments.iter().map(|s| &self.rows[s.row].overtaking);
        let excess: f64 = overtaking.map(|o| o.excess_at(now, policy, nodes)).sum();
        let overtakes = !is_long && excess < 0.0;
        if let Some(reservation) = self.reservations.get_mut(&attempt) {
            reservation.overtakes = overtakes;
        }
        for (segment, secs) in segments.iter().zip(own) {
            let row = &mut self.rows[segment.row];
            if overtakes {
                row.overtaking.record(now, policy, nodes, secs);
            }
            row.prefill.begin(Prompt {
                attempt,
                secs,
                began: now,
                expected,
            });
        }
    }

    /// Returns whether the prefill of an attempt may overtake long prompts at its endpoints.
    pub fn may_overtake(&self, attempt: ReservationId) -> bool {
        let reservation = self.reservations.get(&attempt);
        reservation.is_some_and(|r| r.overtakes)
    }

    /// Records that the first event of an attempt arrived, which ends its prefill at all stages.
    pub fn record_first_event(&mut self, now: Timestamp, attempt: ReservationId) {
        let Some(reservation) = self.reservations.get(&attempt) else {
            return;
        };
        let began = reservation.began;
        let shares = reservation.shares.iter();
        let stages: Vec<usize> = shares
            .filter_map(|s| self.index.get(&s.run).copied())
            .collect();
        let ended = stages
            .iter()
            .filter_map(|&at| self.rows[at].prefill.end(attempt));
        let prefill_secs: f64 = ended.map(|p| p.secs).sum();
        let service = stages.first().map(|&at| &self.rows[at].endpoint.service);
        if prefill_secs > 0.0
            && let Some(Prefill { policy, means }) = service.and_then(|s| self.prefills.get_mut(s))
        {
            let time = now.saturating_sub(began);
            means.record_first_event(time, prefill_secs, policy.latency_target);
        }
    }

    /// Returns the prefill that this worker has in progress at all endpoints of each service with a
    /// policy, in seconds.
    pub fn prefill_in_progress(&self, now: Timestamp) -> BTreeMap<&str, f64> {
        let names = self.prefills.keys();
        let mut sums: BTreeMap<&str, f64> = names.map(|n| (n.as_str(), 0.0)).collect();
        for row in &self.rows {
            if let Some(sum) = sums.get_mut(row.endpoint.service.as_str()) {
                *sum += row.prefill.remaining_secs(now);
            }
        }
        sums
    }

    /// Writes the lines of the state dump about services with a policy.
    pub(super) fn write_prefills(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.prefills
            .iter()
            .try_for_each(|(service, Prefill { policy, means })| {
                writeln!(
                    f,
                    "prefill {service} bound {:.3} s mean work {:.0} tokens first event {:.3} s",
                    policy.max_backlog().as_secs_f64(),
                    means.work(),
                    means.first_event_time().as_secs_f64()
                )
            })
    }
}
