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
/// Largest number of open probes of neighbours.
const MAX_OPEN_RING_PROBES: usize = 4 * RING_NEIGHBOURS;

impl Group {
    /// Probes the neighbours in the ring that have no open probe. For each whose answer is late, two behind it
    /// are probed: where several nodes in a row die, the last ones are not left unprobed until the first ones are
    /// suspected.
    pub(crate) fn probe_ring(&mut self, now: Now, out: &mut Vec<Action>) {
        if now < self.probes.next_ring_probe {
            return;
        }
        self.probes.next_ring_probe = now + self.settings.probe_interval(self.roster.len());
        let open = self.probes.open.iter();
        let open = open.filter(|p| p.cause == Cause::Ring).count();
        let late = self.probes.late().count();
        let mut neighbours = self.next_in_ring(|id| self.probes.late().all(|p| p.to != id));
        neighbours.truncate(RING_NEIGHBOURS + late);
        let due = neighbours
            .into_iter()
            .filter(|id| !self.probes.is_open(*id));
        let due: Vec<Id> = due
            .take(MAX_OPEN_RING_PROBES.saturating_sub(open))
            .collect();
        due.into_iter()
            .for_each(|peer| self.probe(now, peer, Cause::Ring, out));
    }

    /// Returns the next peers in the ring of ids that are up.
    pub(crate) fn ring_neighbours(&self) -> Vec<Id> {
        let mut neighbours = self.next_in_ring(|_| true);
        neighbours.truncate(RING_NEIGHBOURS);
        neighbours
    }

    /// Returns the peers that are up and that `test` selects, in the order of the ring.
    fn next_in_ring(&self, test: impl Fn(Id) -> bool) -> Vec<Id> {
        let others = self.roster.iter().filter(|p| p.id != self.me);
        let mut up: Vec<Id> = others
            .filter(|p| p.state == State::Up && test(p.id))
            .map(|p| p.id)
            .collect();
        up.sort_by_key(|id| id.wrapping_sub(self.me));
        up
    }
}
