//! Endpoints that are about to stop serving, and stages of chains in flight on them.

use super::Selector;
use crate::Timestamp;
use crate::target::{Stage, Target};
use crate::transition::Transition;
use catalog::endpoint::{Run, State};
use std::net::SocketAddr;

impl Selector {
    /// Records that the endpoint at `addr` announced that it leaves. From now on nothing new is sent
    /// to this run, whatever the views say.
    pub fn record_leaving(&mut self, now: Timestamp, run: &Run, addr: SocketAddr) {
        if !self.departures.record(now, run) {
            return;
        }
        if let Some(&at) = self.index.get(run) {
            self.rows[at].leaving = true;
        }
        let run = run.clone();
        self.transitions.push(Transition::Leaving { run, addr });
    }

    /// Returns whether an endpoint of the target announced that it leaves.
    pub fn is_leaving(&self, target: &Target) -> bool {
        let mut stages = target.stages.iter();
        stages.any(|s| self.departures.contains(&s.run))
    }

    /// Returns whether an endpoint announced that it leaves.
    pub fn has_announced(&self, run: &Run) -> bool {
        self.departures.contains(run)
    }

    /// Returns whether an endpoint is registered as ready and has not announced that it leaves.
    pub fn is_serving(&self, run: &Run) -> bool {
        let row = self.index.get(run).map(|&at| &self.rows[at]);
        row.is_some_and(|row| row.endpoint.state == State::Ready && !row.leaving)
    }

    /// Returns the address of the first stage of a chain in flight, other than the head, that will
    /// not serve until the end of the answer: its endpoint is draining, announced that it leaves, is
    /// no longer registered, or has released or is about to release the layers of the stage. The
    /// head cannot be replaced, since it holds the request.
    pub fn departing(&self, target: &Target) -> Option<SocketAddr> {
        let mut stages = target.stages.iter().skip(1);
        stages.find(|s| self.departs(s)).map(|s| s.addr)
    }

    fn departs(&self, stage: &Stage) -> bool {
        let Some(&at) = self.index.get(&stage.run) else {
            return true;
        };
        let row = &self.rows[at];
        let endpoint = &row.endpoint;
        let (held, used) = (endpoint.span, stage.span);
        let holds = held.from <= used.from && used.to <= held.to;
        endpoint.state != State::Ready || row.leaving || row.releasing || !holds
    }
}
