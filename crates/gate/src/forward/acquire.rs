//! Acquires the target of an attempt, waiting for capacity if necessary, and refuses a request that
//! gets none.

use super::{Forwarder, jitter, random_part};
use crate::dialect::Dialect;
use crate::refusal::{Reason, Refusal};
use std::ops::RangeInclusive;
use std::time::Duration;
use steer::budget::Purpose;
use steer::chain::Need;
use steer::queue::{self, Cause, Entry};
use steer::shortage::Shortage;
use steer::target::Target;
use tokio::time::Instant;

/// Maximum wait for an endpoint with free capacity, as a fraction of the route's latency target.
/// After that time another node that the caller retries on is as likely to find capacity as this
/// one.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.4;
/// Retry-after delay when all endpoints are full: a fraction of a response's duration.
pub(super) const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);
/// Retry-after delay when endpoints are missing: about the time in which an endpoint loads its
/// layers.
const RETRY_AFTER_MISSING: Duration = Duration::from_millis(800);
/// Range of the time over which the callers that were refused are spread after the end of a rest; in
/// between, it is as long as what is left of the rest.
const REST_SPREAD: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(1);
/// Retry-after delay when no endpoint is large enough for the request: an additional endpoint is
/// needed.
const RETRY_AFTER_TOO_LARGE: Duration = Duration::from_secs(3);

impl<D: Dialect> Forwarder<D> {
    /// Returns the maximum wait of a new request for an endpoint.
    pub(super) fn max_queue_time(&self) -> Duration {
        let latency_target = self.job.route().latency_target;
        let max_wait = latency_target.mul_f64(MAX_QUEUE_TIME_FRACTION);
        max_wait.min(self.job.time_left())
    }

    /// Selects a target and reserves its capacity. Waits for free capacity for up to `max_wait`,
    /// which only resumptions of a response have, or a fraction of the route's latency target.
    pub(crate) async fn acquire_target(
        &self,
        max_wait: Option<Duration>,
    ) -> Result<Target, Shortage> {
        let purpose = match max_wait {
            Some(_) => Purpose::Resumption,
            None => Purpose::Answer,
        };
        let max_wait =
            max_wait.map_or_else(|| self.max_queue_time(), |w| w.min(self.job.time_left()));
        self.queue_refusal.set(None);
        match queue::is_ordered(&self.job.catalog, self.job.service) {
            true => self.acquire_in_order(purpose, max_wait).await,
            false => self.acquire_unordered(max_wait).await,
        }
    }

    /// Acquires a target for a service whose requests do not differ: those that wait look for capacity
    /// whenever it may have become free.
    async fn acquire_unordered(&self, max_wait: Duration) -> Result<Target, Shortage> {
        let started = Instant::now();
        let need = self.job.need();
        loop {
            let shortage = match self.select(&need) {
                Ok(target) => {
                    self.worker.metrics.record_queue_time(started.elapsed());
                    return Ok(target);
                }
                Err(shortage) => shortage,
            };
            let remaining = max_wait.saturating_sub(started.elapsed());
            if self.is_in_vain(shortage, remaining) || remaining.is_zero() {
                return Err(shortage);
            }
            self.worker.wait_for_capacity(remaining).await;
        }
    }

    /// Acquires a target in the order of the service's queue.
    async fn acquire_in_order(
        &self,
        purpose: Purpose,
        max_wait: Duration,
    ) -> Result<Target, Shortage> {
        let started = Instant::now();
        let need = self.ordered_need(purpose);
        let now = self.worker.now();
        let until = now + max_wait;
        let entry = Entry {
            purpose,
            priority: self.job.priority,
            team: self.job.team.clone().unwrap_or_default(),
            // Requests of a plain service have no size.
            tokens: need.tokens().max(1.0),
            urgent: need.urgent,
            deadline: now + self.job.time_left(),
            until,
        };
        let place = self.worker.join_queue(&self.job.service().name, entry);
        let mut shortage = None;
        loop {
            if let Err(refused) = place.turn().await {
                self.queue_refusal.set(Some(refused));
                return Err(match refused.cause {
                    Cause::Removed => Shortage::Endpoints,
                    // One that never had the turn does not know what is missing.
                    _ => shortage.unwrap_or_else(|| self.current_shortage(&need)),
                });
            }
            let found = match self.select(&need) {
                Ok(target) => {
                    place.granted();
                    self.worker.metrics.record_queue_time(started.elapsed());
                    return Ok(target);
                }
                Err(shortage) => shortage,
            };
            let remaining = until.saturating_sub(self.worker.now());
            if self.is_in_vain(found, remaining) {
                return Err(found);
            }
            place.missed(found == Shortage::Capacity);
            shortage = Some(found);
        }
    }

    /// Returns what a request lacks that did not look for capacity itself.
    fn current_shortage(&self, need: &Need) -> Shortage {
        let found = self.query_untried(|selector, now, service, tried| {
            selector.can_select(now, service, need, tried)
        });
        found.err().unwrap_or(Shortage::Capacity)
    }

    /// Returns the need by which a request in a queue is placed. What less urgent requests leave free
    /// for urgent ones is available to responses in progress too, since those can't be refused.
    fn ordered_need(&self, purpose: Purpose) -> Need {
        let need = self.job.need();
        let reserves = queue::has_priorities(&self.job.catalog, self.job.service);
        Need {
            urgent: need.urgent || (reserves && purpose == Purpose::Resumption),
            ..need
        }
    }

    fn select(&self, need: &Need) -> Result<Target, Shortage> {
        self.query_untried(|selector, now, service, tried| {
            selector.select(now, service, need, tried)
        })
    }

    /// Returns whether a wait of this time can't end a shortage.
    fn is_in_vain(&self, shortage: Shortage, remaining: Duration) -> bool {
        match shortage {
            Shortage::Size => true,
            Shortage::Rest { until } => until > self.worker.now() + remaining,
            _ => self.worker.is_isolated(&self.job.service().name),
        }
    }

    /// Records a shortage and returns the refusal when no endpoint can take the request.
    pub(super) fn refuse_for_shortage(&mut self, shortage: Shortage) -> Refusal {
        self.log.set_reason(shortage.as_str());
        let scarcity = self.current_service().map(|service| {
            self.worker
                .with_selector(|selector, now| selector.scarcity(now, service))
        });
        self.log
            .record_shortage(shortage, &scarcity.unwrap_or_default());
        let refused = self.queue_refusal.take();
        let retry_after = match shortage {
            Shortage::Capacity => {
                jitter(refused.map_or(RETRY_AFTER_FULL, |refused| refused.retry_after()))
            }
            Shortage::Endpoints | Shortage::Layers => jitter(RETRY_AFTER_MISSING),
            Shortage::Size => jitter(RETRY_AFTER_TOO_LARGE),
            Shortage::Rest { until } => {
                let left = until.saturating_sub(self.worker.now());
                let spread = left.clamp(*REST_SPREAD.start(), *REST_SPREAD.end());
                left + random_part(spread)
            }
        };
        if let Some(refused) = refused {
            let service = &self.job.service().name;
            self.log
                .record_queue_refusal(service, &refused, retry_after);
        }
        let promise = Refusal::with_retry_after(Reason::Unavailable, retry_after);
        self.executions.refuse(promise, Reason::OutcomeUnknown)
    }
}
