//! Ring probes: in every round, each node probes its next neighbours in the ring of ids.
//!
//! Peers drawn at random would sometimes leave a dead one unprobed for many rounds. In the ring each node
//! is probed by fixed neighbours, so that the time until a dead node is probed is bounded.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::peer::State;
use crate::probe::Cause;

/// Number of neighbours that a node probes in the ring, and of nodes that probe it.
pub(crate) const RING_NEIGHBOURS: usize = 2;

impl Group {
    /// Probes the neighbours in the ring that have no open probe.
    pub(crate) fn probe_ring(&mut self, now: Now, out: &mut Vec<Action>) {
        if now < self.probes.next_ring_probe {
            return;
        }
        self.probes.next_ring_probe = now + self.settings.probe_interval(self.roster.len());
        for peer in self.ring_neighbours() {
            if !self.probes.is_open(peer) {
                self.probe(now, peer, Cause::Ring, out);
            }
        }
    }

    /// Returns the next peers in the ring of ids that are up.
    pub(crate) fn ring_neighbours(&self) -> Vec<Id> {
        let others = self.roster.iter().filter(|p| p.id != self.me);
        let mut up: Vec<Id> = others
            .filter(|p| p.state == State::Up)
            .map(|p| p.id)
            .collect();
        up.sort_by_key(|id| id.wrapping_sub(self.me));
        up.truncate(RING_NEIGHBOURS);
        up
    }
}
