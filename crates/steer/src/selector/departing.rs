//! Stages of chains under way that are about to go.

use super::Selector;
use crate::target::{Stage, Target};
use catalog::endpoint::State;
use std::net::SocketAddr;

impl Selector {
    /// The first stage of a chain under way, its head left out, that will not serve to the answer's
    /// end: its endpoint leaves, is no longer registered, or gives up the stage's layers or is about
    /// to. The head can't be replaced, since the request is there.
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
