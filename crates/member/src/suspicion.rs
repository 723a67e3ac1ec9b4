//! States of peers: suspicion, refutation, and whether a silent peer is dead or parted.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::message::Run;
use crate::peer::{Peer, Refutations, State};
use crate::roster::age;
use std::time::Duration;

/// Peers that went silent within this time of each other are taken to have one cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(20);
/// How long a parted peer may stay away after most of its availability zone came back, before
/// it is suspected by itself: news of many returns at once take their time.
const PARTED_RECHECK_TIMEOUT: Duration = Duration::from_secs(30);

impl Group {
    /// Proof that the known run of a peer lives.
    pub(crate) fn mark_alive(&mut self, now: Now, id: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        peer.heard_at = Some(now);
        if peer.state == State::Up || id == self.me {
            return;
        }
        let back = peer.state > State::Suspect;
        peer.state = State::Up;
        peer.state_since = now;
        let run = crate::dissemination::to_run(peer);
        self.counters.returned += u64::from(back);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Up,
            restarted: false,
        });
        self.notify_suspect(id, run, out);
    }

    /// Tells a peer that it was suspected. It is up here, but the suspicion may still be on its
    /// way to others, who would judge it dead unless it refutes.
    fn notify_suspect(&mut self, id: Id, run: Run, out: &mut Vec<Action>) {
        let Some(to) = self.addr(id) else { return };
        self.updates
            .retain(|p| p.update != crate::message::Update::Suspect(run));
        self.send_updates(id, to, vec![crate::message::Update::Suspect(run)], out);
    }

    /// A refutation, or a row that holds one.
    pub(crate) fn apply_refutation(
        &mut self,
        now: Now,
        id: Id,
        turn: Refutations,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.roster.get_mut(id) else {
            return;
        };
        if turn <= peer.refutations {
            return;
        }
        peer.refutations = turn;
        if peer.state == State::Up {
            return;
        }
        let back = peer.state > State::Suspect;
        peer.state = State::Up;
        peer.state_since = now;
        self.counters.returned += u64::from(back);
        out.push(Action::StateChanged {
            peer: id,
            state: State::Up,
            restarted: false,
        });
    }

    /// This node's own probe of a peer had no answer, direct or by others.
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
        // Its neighbours in the ring may be gone as well.
        self.probes.next_ring_probe = now;
    }

    /// Starts the time in which a peer may refute, and tells the others.
    pub(crate) fn suspect(&mut self, now: Now, id: Id, out: &mut Vec<Action>) {
        let Some(run) = self.begin_suspicion(now, id, out) else {
            return;
        };
        self.queue_update(crate::message::Update::Suspect(run));
        self.flush_pending = true;
    }

    /// Takes over what a peer thinks of a run whose row came with it. This node has heard nothing of
    /// that run itself, so it is suspected here until it answers; the others know better than this node.
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

    /// Makes a suspect of a peer that is up; which run of it, if it was.
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

    /// Judges suspects whose time is over.
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

    /// Notes when a suspect's availability zone was first known to answer.
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

    /// Whether this node's own probe failed that began when the zone was known to answer.
    pub(crate) fn probed_since_zone_alive(&self, peer: &Peer) -> bool {
        let begun = peer
            .zone_alive_since
            .map(|z| z + self.settings.probe_timeout);
        begun.is_some_and(|b| peer.probe_failed_at.is_some_and(|f| f >= b))
    }

    /// Judges dead and parted peers anew: what happened to their availability zone may show
    /// only later.
    pub(crate) fn rejudge_lost(&mut self, now: Now, out: &mut Vec<Action>) {
        let gone = |p: &&Peer| p.state > State::Suspect;
        let gone: Vec<(Id, State, Now)> = self
            .roster
            .iter()
            .filter(gone)
            .map(|p| (p.id, p.state, p.state_since))
            .collect();
        for (id, state, since) in gone {
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

    /// What was known of its zone before it parted says nothing now.
    fn reset_zone(&mut self, id: Id) {
        if let Some(peer) = self.roster.get_mut(id) {
            peer.zone_alive_since = None;
        }
    }

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

    /// Silent together with most of its availability zone, or of the group: parted. That keeps
    /// its share and its row, since it most likely lives on the other side. Dead only if this
    /// node's own probe failed while the zone answered: no node is called dead on a rumour, or by
    /// a probe from before a parted zone came back. Else not yet known.
    fn verdict(&self, id: Id) -> Option<State> {
        let peer = self.roster.get(id)?;
        let near = self.tally(peer, |p| same_zone(p, peer));
        let all = self.tally(peer, |_| true);
        match (
            near.majority_away() || all.majority_away(),
            self.probed_since_zone_alive(peer),
        ) {
            (true, _) => Some(State::Parted),
            (false, true) => Some(State::Dead),
            (false, false) => None,
        }
    }

    /// Counts peers; those that died at another time than `peer` are left out.
    fn tally(&self, peer: &Peer, like: impl Fn(&Peer) -> bool) -> Tally {
        let others = self.roster.iter().filter(|p| p.id != self.me && like(p));
        let apart = |p: &Peer| p.lost_at.abs_diff(peer.lost_at) > COMMON_CAUSE_WINDOW;
        let mut tally = Tally::default();
        for other in others.filter(|p| p.state != State::Dead || !apart(p)) {
            tally.total += 1;
            tally.away += usize::from(other.state != State::Up);
            tally.heard += usize::from(other.heard_at.is_some_and(|h| h > peer.lost_at));
        }
        tally
    }

    /// Removes peers that nobody lists and nobody reaches. The list alone removes nobody: it
    /// lags, and a node that is up may not be in it yet.
    pub(crate) fn remove_lost(&mut self, now: Now, out: &mut Vec<Action>) {
        let bury = self.settings.tombstone_retention;
        self.tombstones.retain(|_, g| age(now, g.removed_at) < bury);
        if self.listed.is_none() {
            return;
        }
        let keep = self.settings.unlisted_retention;
        let gone = |p: &&Peer| {
            p.id != self.me
                && p.state > State::Suspect
                && p.listed.is_none()
                && age(now, p.lost_at) >= keep
        };
        let gone: Vec<Id> = self.roster.iter().filter(gone).map(|p| p.id).collect();
        gone.into_iter()
            .for_each(|id| self.remove(now, id, false, out));
    }
}

/// Whether two peers are in one availability zone.
fn same_zone(a: &Peer, b: &Peer) -> bool {
    a.identity.zone == b.identity.zone && a.identity.region == b.identity.region
}

/// Peers of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    total: usize,
    away: usize,
    /// Those that were heard since the peer in question was lost.
    heard: usize,
}

impl Tally {
    /// Whether more than half of two or more are away.
    fn majority_away(self) -> bool {
        self.total >= 2 && self.away * 2 > self.total
    }

    /// Whether one is known to live, or the peer in question is the only one.
    fn zone_alive(self) -> bool {
        self.total <= 1 || self.heard > 0
    }
}
