//! Tries another endpoint for a response whose endpoint is idle.
//!
//! An idle endpoint may be busy, and the next one may refuse the request. So the idle one is not
//! given up before the other one has sent the next event; whichever sends it first goes on with the
//! response.

use super::Splice;
use super::source::{EventSource, Step};
use crate::dialect::Dialect;
use http::StatusCode;
use tokio::time::Instant;

/// Result of trying another endpoint.
pub(super) enum Hedged {
    /// One of the endpoints has made this step and is the source now.
    Step(Step),
    /// The idle endpoint failed, and the other one has accepted the request and is the source now.
    Replaced,
    /// The other endpoint does not continue the response.
    Declined,
    /// The request may not be retried, or no other endpoint can take it now.
    NoTarget,
}

impl<D: Dialect> Splice<D> {
    /// Tries another endpoint while the current source, which is idle for `reason`, may still
    /// continue.
    pub(super) async fn hedge(&mut self, reason: &'static str) -> Hedged {
        let Some(current) = &mut self.source else {
            return Hedged::NoTarget;
        };
        let head = current.reservation.target.head().run.clone();
        let Some(reservation) = self.forwarder.hedge_target(&head) else {
            return Hedged::NoTarget;
        };
        self.forwarder
            .log
            .record_idle(current.reservation.attempt, reason);
        let position = self.last_event_id;
        let limit = self.forwarder.job.time_left();
        let mut failure = None;
        let mut attempt = Box::pin(self.forwarder.send(reservation, position, limit));
        let sent = loop {
            tokio::select! {
                biased;
                step = current.reader.next(position), if failure.is_none() => match step {
                    Step::Failed(reason) => failure = Some(reason),
                    step => return Hedged::Step(current.received(step)),
                },
                sent = &mut attempt => break sent,
            }
        };
        drop(attempt);
        let accepted = match sent {
            Ok(exchange) if exchange.response.status() == StatusCode::OK => {
                Some(EventSource::new(exchange, Instant::now()))
            }
            Ok(exchange) => {
                self.forwarder.end_refused(exchange).await;
                None
            }
            Err(_) => None,
        };
        match (accepted, failure) {
            (None, None) => Hedged::Declined,
            (None, Some(reason)) => Hedged::Step(Step::Failed(reason)),
            (Some(successor), Some(reason)) => self.replace(successor, reason),
            (Some(successor), None) => self.race(successor, reason).await,
        }
    }

    /// Waits for the next event of the current source or of its successor.
    async fn race(&mut self, mut successor: EventSource<D>, reason: &'static str) -> Hedged {
        let Some(current) = &mut self.source else {
            return self.replace(successor, reason);
        };
        let position = self.last_event_id;
        let result = tokio::select! {
            biased;
            step = current.reader.next(position) => Err(current.received(step)),
            step = successor.watch(&self.forwarder, position) => Ok(step),
        };
        match result {
            Err(Step::Failed(reason)) => self.replace(successor, reason),
            Err(step) => Hedged::Step(step),
            Ok(Step::Events(batch)) => {
                self.replace(successor, reason);
                Hedged::Step(Step::Events(batch))
            }
            Ok(Step::End) => self.decline(successor, "ended without an event"),
            Ok(Step::Failed(reason) | Step::Idle(reason)) => self.decline(successor, reason),
        }
    }

    /// Ends the current source, which failed for `reason`, and goes on with its successor.
    fn replace(&mut self, successor: EventSource<D>, reason: &'static str) -> Hedged {
        if let Some(current) = self.source.replace(successor) {
            current.fail(&self.forwarder, reason);
        }
        Hedged::Replaced
    }

    /// Ends a successor that does not continue the response.
    fn decline(&self, successor: EventSource<D>, reason: &'static str) -> Hedged {
        successor.fail(&self.forwarder, reason);
        Hedged::Declined
    }
}
