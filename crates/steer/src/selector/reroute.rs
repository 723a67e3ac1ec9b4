//! Replacement of one stage of a chain in flight.
//!
//! The new stages prefill all tokens of the request again, and receive the activations from the
//! previous stage. The search therefore prefers the zone of the neighboring stages. After an
//! endpoint dies, all nodes reroute its requests within half a second. The search therefore first
//! simulates the reroutes of the other nodes, as for new requests ([`crate::unreported`]): if all
//! nodes took the cheapest endpoint, its prefill would take longer than callers wait, and if all
//! crossed the same link, so would its transfers.

use super::Selector;
use super::moves::Scope;
use super::others::Others;
use crate::chain::Need;
use crate::evacuation::INCREMENTS;
use crate::search::Segment;
use crate::shortage::Shortage;
use crate::target::{Stage, Target};
use crate::{Result, Timestamp};
use catalog::ServiceId;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

impl Selector {
    /// Replaces the stage at address `faulty_stage` of a chain in flight, and returns the stages of
    /// the new chain, whose capacity the attempt reserves from now on. The head cannot be replaced,
    /// since it holds the request.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if `faulty_stage` is the head or not part of the chain, or if no
    /// other endpoints can take over its layers.
    pub fn reroute(
        &mut self,
        now: Timestamp,
        target: &Target,
        service: ServiceId,
        need: &Need,
        faulty_stage: SocketAddr,
    ) -> Result<Vec<Stage>> {
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service).ok_or(Shortage::Endpoints)?;
        let engine = service.engine.as_ref().ok_or(Shortage::Endpoints)?;
        let gaps = self.gaps(target, &[faulty_stage])?;
        let increments = self.rng.random_range(0..INCREMENTS);
        let scope = Scope {
            now,
            service,
            engine,
            residence: self.flow(service, engine).residence(),
            queue_factor: 1.0,
        };
        let lost: Vec<_> = gaps
            .iter()
            .flat_map(|gap| self.losses_of_gap(gap))
            .collect();
        let tokens = need.tokens();
        let mut others = Others::new(self, scope, need, tokens, &lost, Duration::ZERO);
        others.advance(self, increments);
        let paths = self.replacement(scope, &gaps, &others.queues, need)?;
        Ok(self.commit_replacement(scope, target, &gaps, &paths, need, tokens))
    }

    /// Reverts a reroute that the head of the chain did not accept: the attempt reserves the stages
    /// of `target` again.
    pub fn revert_reroute(&mut self, target: &Target, need: &Need) {
        let Some(mut reservation) = self.reservations.remove(&target.reservation) else {
            return;
        };
        reservation
            .shares
            .iter()
            .for_each(|share| self.release(share));
        let segment = |stage: &Stage| {
            let row = *self.index.get(&stage.run)?;
            let span = stage.span;
            Some(Segment { row, span })
        };
        let segments: Vec<Segment> = target.stages.iter().filter_map(segment).collect();
        (reservation.shares, _) = self.reserve_segments(&segments, need.tokens());
        self.reservations.insert(target.reservation, reservation);
    }
}
