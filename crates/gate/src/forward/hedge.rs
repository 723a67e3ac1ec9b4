//! Tries another endpoint for a request whose endpoint does not answer.
//!
//! A slow endpoint may be busy, and the next one may refuse the request. So both are awaited, and
//! the first one that accepts the request answers it.

use super::Forwarder;
use super::attempt::{Exchange, Failure, Progress, Reservation};
use super::stall;
use crate::dialect::Dialect;
use catalog::endpoint::Run;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use steer::health::Outcome;
use tokio::time::Instant;

/// Result of an attempt.
type Sent<D> = Result<Exchange<D>, Failure>;

/// An attempt that waits for the head of its response.
struct Pending<F> {
    sent: Pin<Box<F>>,
    /// Endpoint that the request was sent to.
    head: Run,
    progress: Rc<Progress>,
}

impl<D: Dialect> Forwarder<D> {
    /// Sends the request to a target. While its endpoint is idle, other endpoints are tried beside
    /// it, at intervals that double with each one that does not accept the request.
    pub(crate) async fn send_hedged(
        &self,
        reservation: Reservation<D>,
        limit: Duration,
    ) -> Sent<D> {
        let mut first = self.start(reservation, limit);
        let mut interval = stall::PROBE_INTERVAL;
        let mut next_hedge = Instant::now();
        loop {
            let reason = tokio::select! {
                biased;
                sent = &mut first.sent => return sent,
                reason = first.progress.idle() => reason,
            };
            if Instant::now() < next_hedge {
                continue;
            }
            let Some(reservation) = self.hedge_target(&first.head) else {
                continue;
            };
            self.log.record_idle(first.progress.attempt.get(), reason);
            let mut second = self.start(reservation, self.job.time_left());
            let sent = tokio::select! {
                biased;
                sent = &mut first.sent => Err(sent),
                sent = &mut second.sent => Ok(sent),
            };
            match sent {
                Err(Ok(exchange)) if exchange.is_accepted() => return Ok(exchange),
                Err(sent) => {
                    if let Ok(exchange) = sent {
                        self.end_refused(exchange).await;
                    }
                    first = second;
                }
                Ok(Ok(exchange)) if exchange.is_accepted() => {
                    self.log
                        .record_failure(first.progress.attempt.get(), reason, true);
                    first.progress.dropped_as.set(Outcome::Failed);
                    return Ok(exchange);
                }
                Ok(sent) => {
                    if let Ok(exchange) = sent {
                        self.end_refused(exchange).await;
                    }
                    next_hedge = Instant::now() + interval;
                    interval = interval.saturating_mul(2);
                }
            }
        }
    }

    fn start(
        &self,
        reservation: Reservation<D>,
        limit: Duration,
    ) -> Pending<impl Future<Output = Sent<D>>> {
        Pending {
            head: reservation.target.head().run.clone(),
            progress: reservation.progress.clone(),
            sent: Box::pin(self.send(reservation, None, limit)),
        }
    }
}
