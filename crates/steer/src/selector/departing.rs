//! Stages of chains in flight whose endpoints are about to stop serving them.

use super::Selector;
use crate::target::{Stage, Target};
use catalog::endpoint::State;
use std::net::SocketAddr;

impl Selector {
    /// Returns the address of the first stage of a chain in flight, other than the head, that will
    /// not serve until the end of the answer: its endpoint is draining, is no longer registered, or
    /// has released or is about to release the layers of the stage. The head cannot be replaced,
    /// since it holds the request.
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
        endpoint.state != State::Ready || row.releasing || !holds
    }
}
