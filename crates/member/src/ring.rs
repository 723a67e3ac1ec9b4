//! Watching: each node probes the next few in the ring of ids in every round.
//!
//! Probes of peers drawn at random leave one that died unprobed for many rounds now and then. In the
//! ring each node has its own watchers, so that the time until a dead one is probed has a bound.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::peer::State;
use crate::probe::Cause;

/// Peers that a node watches, and nodes that watch it.
pub(crate) const RING_NEIGHBOURS: usize = 2;

impl Group {
    /// Probes the watched peers, unless a probe of them is open.
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

    /// The next peers in the ring of ids that are up.
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
