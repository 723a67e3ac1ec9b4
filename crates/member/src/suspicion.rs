//! States of peers: suspicion, refutation, and the verdict whether an unresponsive peer is dead or parted.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::message::Run;
use crate::peer::{Peer, Refutations, State};
use crate::roster::age;
use std::time::Duration;

/// Peers that were lost within this time of each other are taken to have been lost by one cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(20);
/// Time for which a peer stays parted after most of its availability zone returned, before it is suspected
/// on its own. The updates of many peers that return at once take a while to spread.
const PARTED_RECHECK_TIMEOUT: Duration = Duration::from_secs(30);

impl Group {
    /// Takes note of proof that the known run of a peer is alive.
    pub(crate) fn mark_alive(&mut self, now: Now, id: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        peer.heard_at = Some(now);
        if peer.state == State::Up || id == self.me {
            return;
        }
        let was_lost = peer.state > State::Suspect;
        peer.state = State::Up;
        peer.state_since = now;
        let run = crate::dissemination::to_run(peer);
        self.counters.returned += u64::from(was_lost);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Up,
            restarted: false,
        });
        self.notify_suspect(id, run, out);
    }

    /// Notifies a peer that it was suspected, so that it refutes. This node sees it up, but the suspicion may
    /// still spread to other nodes, which would judge the peer dead.
    fn notify_suspect(&mut self, id: Id, run: Run, out: &mut Vec<Action>) {
        let Some(to) = self.addr(id) else { return };
        self.updates
            .retain(|p| p.update != crate::message::Update::Suspect(run));
        self.send_updates(id, to, vec![crate::message::Update::Suspect(run)], out);
    }

    /// Applies the refutations that an update or a row holds; a higher number than the known one proves that
    /// the peer is up.
    pub(crate) fn apply_refutation(
        &mut self,
        now: Now,
        id: Id,
        refutations: Refutations,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        if refutations <= peer.refutations {
            return;
        }
        peer.refutations = refutations;
        if peer.state == State::Up {
            return;
        }
        let was_lost = peer.state > State::Suspect;
        peer.state = State::Up;
        peer.state_since = now;
        self.counters.returned += u64::from(was_lost);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Up,
            restarted: false,
        });
    }

    /// Records that this node's own probe of a peer had no answer, direct or indirect, and suspects the peer
    /// if it was up.
    pub(crate) fn probe_failed(&mut self, now: Now, id: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        peer.probe_failed_at = Some(now);
        if peer.state != State::Up {
            return;
        }
        self.counters.suspected += 1;
        self.suspect(now, id, out);
        // The neighbours of the peer in the ring may have failed with it: probe the ring without delay.
        self.probes.next_ring_probe = now;
    }

    /// Suspects a peer and disseminates the suspicion. The peer then has the suspicion timeout to refute.
    pub(crate) fn suspect(&mut self, now: Now, id: Id, out: &mut Vec<Action>) {
        let Some(run) = self.begin_suspicion(now, id, out) else {
            return;
        };
        self.queue_update(crate::message::Update::Suspect(run));
        self.flush_pending = true;
    }

    /// Adopts the suspicion of a run whose row came in the same message, unless this node has heard from that
    /// run itself. The sender knows the run better than this node, so it stays suspected until it answers.
    pub(crate) fn adopt_suspicion(&mut self, now: Now, run: Run, out: &mut Vec<Action>) {
        let unheard = |p: &Peer| {
            p.heard_at.is_none()
                && p.identity.incarnation == run.incarnation
                && p.refutations <= run.refutations
        };
        if self.roster.get(run.id).is_some_and(unheard) {
            self.begin_suspicion(now, run.id, out);
        }
    }

    /// Marks a peer that is up as suspected and returns its run; `None` if it is not up or is this node.
    fn begin_suspicion(&mut self, now: Now, id: Id, out: &mut Vec<Action>) -> Option<Run> {
        let peer = self.roster.get_mut(id)?;
        if peer.state != State::Up || id == self.me {
            return None;
        }
        peer.state = State::Suspect;
        peer.state_since = now;
        peer.lost_at = now;
        peer.zone_alive_since = None;
        let run = crate::dissemination::to_run(peer);
        self.prioritize(id);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Suspect,
            restarted: false,
        });
        Some(run)
    }

    /// Judges the suspects whose time to refute is over.
    pub(crate) fn judge_suspects(&mut self, now: Now, out: &mut Vec<Action>) {
        let wait = self.settings.suspicion_timeout(self.roster.len());
        let suspects = self.roster.iter().filter(|p| p.state == State::Suspect);
        let suspects: Vec<(Id, Now)> = suspects.map(|p| (p.id, p.state_since)).collect();
        for (id, since) in suspects {
            self.check_zone(now, id);
            if age(now, since) < wait {
                continue;
            }
            match self.verdict(id) {
                Some(state) => self.set_state(now, id, state, out),
                None => self.prioritize(id),
            }
        }
    }

    /// Records the time at which the availability zone of a suspect was first known to answer.
    fn check_zone(&mut self, now: Now, id: Id) {
        let Some(peer) = self.roster.get(id) else {
            return;
        };
        let alive = self.tally(peer, |p| same_zone(p, peer)).zone_alive();
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        if alive && peer.zone_alive_since.is_none() {
            peer.zone_alive_since = Some(now);
        }
    }

    /// Returns whether a probe by this node failed that began after the zone was known to answer.
    pub(crate) fn probed_since_zone_alive(&self, peer: &Peer) -> bool {
        let earliest = peer
            .zone_alive_since
            .map(|z| z + self.settings.probe_timeout);
        earliest.is_some_and(|e| peer.probe_failed_at.is_some_and(|f| f >= e))
    }

    /// Judges dead and parted peers again: whether their availability zone answers may become known only
    /// later.
    pub(crate) fn rejudge_lost(&mut self, now: Now, out: &mut Vec<Action>) {
        let is_lost = |p: &&Peer| p.state > State::Suspect;
        let lost: Vec<(Id, State, Now)> = self
            .roster
            .iter()
            .filter(is_lost)
            .map(|p| (p.id, p.state, p.state_since))
            .collect();
        for (id, state, since) in lost {
            match (state, self.verdict(id)) {
                (State::Dead, Some(State::Parted)) => self.set_state(now, id, State::Parted, out),
                (State::Parted, Some(State::Parted)) => self.renew_state(now, id),
                (State::Parted, _) if age(now, since) >= PARTED_RECHECK_TIMEOUT => {
                    self.reset_zone(id);
                    self.set_state(now, id, State::Suspect, out);
                }
                (State::Parted, _) => self.probe_next(id),
                _ => {}
            }
        }
    }

    /// Discards when the zone of a peer was known to answer: the time before the peer parted proves nothing.
    fn reset_zone(&mut self, id: Id) {
        if let Some(peer) = self.roster.get_mut(id) {
            peer.zone_alive_since = None;
        }
    }

    /// Restarts the time that a peer has been in its state.
    fn renew_state(&mut self, now: Now, id: Id) {
        if let Some(peer) = self.roster.get_mut(id) {
            peer.state_since = now;
        }
    }

    fn set_state(&mut self, now: Now, id: Id, state: State, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        peer.state = state;
        peer.state_since = now;
        match state {
            State::Dead => self.counters.dead += 1,
            State::Parted => self.counters.parted += 1,
            _ => {}
        }
        out.push(Action::StateChanged {
            peer: id,
            state,
            restarted: false,
        });
    }

    /// Returns the state of an unresponsive peer, or `None` if it can't be judged yet.
    ///
    /// The peer is parted if most of its availability zone or of the group is unresponsive too. It then
    /// keeps its row and its share, since it most likely runs on the other side of a network partition.
    /// It is dead only if a probe by this node failed while the zone answered. An update of another node
    /// is not sufficient, nor is a probe from before a parted zone returned.
    fn verdict(&self, id: Id) -> Option<State> {
        let peer = self.roster.get(id)?;
        let zone = self.tally(peer, |p| same_zone(p, peer));
        let group = self.tally(peer, |_| true);
        match (
            zone.majority_away() || group.majority_away(),
            self.probed_since_zone_alive(peer),
        ) {
            (true, _) => Some(State::Parted),
            (false, true) => Some(State::Dead),
            (false, false) => None,
        }
    }

    /// Counts the peers that `like` selects, without dead ones whose loss is unrelated to that of `peer`.
    fn tally(&self, peer: &Peer, like: impl Fn(&Peer) -> bool) -> Tally {
        let others = self.roster.iter().filter(|p| p.id != self.me && like(p));
        let unrelated = |p: &Peer| p.lost_at.abs_diff(peer.lost_at) > COMMON_CAUSE_WINDOW;
        let mut tally = Tally::default();
        for other in others.filter(|p| p.state != State::Dead || !unrelated(p)) {
            tally.total += 1;
            tally.away += usize::from(other.state != State::Up);
            tally.heard += usize::from(other.heard_at.is_some_and(|h| h > peer.lost_at));
        }
        tally
    }

    /// Removes the peers that are neither listed nor reachable. Absence from the instance list alone removes
    /// no peer: the list lags, and a node that is up may not be in it yet.
    pub(crate) fn remove_lost(&mut self, now: Now, out: &mut Vec<Action>) {
        let retention = self.settings.tombstone_retention;
        self.tombstones
            .retain(|_, t| age(now, t.removed_at) < retention);
        if self.listed.is_none() {
            return;
        }
        let unlisted_retention = self.settings.unlisted_retention;
        let is_unreachable = |p: &&Peer| {
            p.id != self.me
                && p.state > State::Suspect
                && p.listed.is_none()
                && age(now, p.lost_at) >= unlisted_retention
        };
        let unreachable: Vec<Id> = self
            .roster
            .iter()
            .filter(is_unreachable)
            .map(|p| p.id)
            .collect();
        unreachable
            .into_iter()
            .for_each(|id| self.remove(now, id, false, out));
    }
}

/// Returns whether two peers are in the same availability zone.
fn same_zone(a: &Peer, b: &Peer) -> bool {
    a.identity.zone == b.identity.zone && a.identity.region == b.identity.region
}

/// Counts of selected peers.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    total: usize,
    /// Peers that are not up.
    away: usize,
    /// Peers that were heard from since the judged peer was lost.
    heard: usize,
}

impl Tally {
    /// Returns whether more than half of at least two peers are not up.
    fn majority_away(self) -> bool {
        self.total >= 2 && self.away * 2 > self.total
    }

    /// Returns whether the zone is known to answer: a peer was heard from, or the judged peer is the only one.
    fn zone_alive(self) -> bool {
        self.total <= 1 || self.heard > 0
    }
}
