//! Probing: one peer per round beside the watched ones, then others are asked, then it is suspected.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::message::{Body, Seq, Update};
use crate::peer::State;
use crate::roster::age;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Peers that wait to be probed out of turn at most.
const MAX_PRIORITY_PROBES: usize = 4;
/// Probes for others that are open at most; more are not taken.
const MAX_OPEN_RELAYS: usize = 64;
/// Listed but unknown nodes that are probed per round while this node knows nobody.
const MAX_CONTACTS_PER_ROUND: usize = 3;

/// Why a peer is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It is its turn, or it is suspected.
    Schedule,
    /// This node watches it.
    Ring,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) seq: Seq,
    pub(crate) to: Id,
    pub(crate) sent_at: Now,
    pub(crate) cause: Cause,
    /// Whether others were asked.
    indirect_requested: bool,
    /// Whether a new connection to it failed.
    connect_failed: bool,
}

/// A probe for another node.
#[derive(Clone, Copy, Debug)]
struct Relay {
    seq: Seq,
    sent_at: Now,
    requester: (Id, SocketAddr, Seq),
}

/// Open probes and the order of the next ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pub(crate) open: Vec<Probe>,
    relays: Vec<Relay>,
    order: Vec<Id>,
    priority: VecDeque<Id>,
    seq: Seq,
    /// When digests are exchanged next.
    next_exchange: Now,
    /// When a peer is probed next.
    next_round: Now,
    /// When the watched peers are probed next.
    pub(crate) next_ring_probe: Now,
}

impl Probes {
    pub(crate) fn reset(&mut self, now: Now) {
        self.open.clear();
        self.relays.clear();
        self.next_exchange = now;
        self.next_round = now;
        self.next_ring_probe = now;
    }

    /// Whether a probe of `id` has no answer yet.
    pub(crate) fn is_open(&self, id: Id) -> bool {
        self.open.iter().any(|p| p.to == id)
    }

    pub(crate) fn forget(&mut self, id: Id) {
        self.open.retain(|p| p.to != id);
        self.priority.retain(|f| *f != id);
    }

    fn next_seq(&mut self) -> Seq {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

impl Group {
    pub(crate) fn exchange_due(&self, now: Now) -> bool {
        now >= self.probes.next_exchange
    }

    /// Probes the next peer and exchanges digests: with the same one where it is up, since that
    /// needs one connection instead of two. Where exchanges come sooner than rounds, those between
    /// two rounds probe nobody, so that no more probes are open than ever.
    pub(crate) fn run_round(&mut self, now: Now, out: &mut Vec<Action>) {
        let jitter = self.rng.random_range(0.9..1.1);
        let alive = self.first_tick.map_or(Now::ZERO, |began| age(now, began));
        let peers = self.roster.len();
        let next = self.settings.exchange_interval(peers, alive);
        self.probes.next_exchange = now + next.mul_f64(jitter);
        self.contact_unknown(out);
        let Some(target) = self.next_target() else {
            return;
        };
        if now >= self.probes.next_round {
            self.probes.next_round = now + self.settings.probe_interval(peers).mul_f64(jitter);
            self.probe(now, target, Cause::Schedule, out);
        }
        let up = self
            .roster
            .get(target)
            .is_some_and(|p| p.state == State::Up);
        let partner = if up {
            Some(target)
        } else {
            self.sample_up(1, None).first().copied()
        };
        if let Some(partner) = partner {
            self.send_digest(partner, out);
        }
    }

    /// Probes listed nodes that are not known here: that is how a new node finds the others, and
    /// how sides that were parted for longer than the list named them find each other. One that
    /// left is not asked; a new run of it comes by itself.
    fn contact_unknown(&mut self, out: &mut Vec<Action>) {
        let left = |id: &Id| self.tombstones.get(id).is_some_and(|g| g.left);
        let known = |id: &Id| self.roster.get(*id).is_some() || left(id);
        let listed = self.listed.iter().flatten();
        let unknown = listed
            .filter(|(id, _)| !known(id))
            .map(|(id, e)| (*id, e.addr));
        let mut unknown: Vec<(Id, SocketAddr)> = unknown.collect();
        unknown.shuffle(&mut self.rng);
        let most = if self.roster.len() == 1 {
            MAX_CONTACTS_PER_ROUND
        } else {
            1
        };
        for (to, addr) in unknown.into_iter().take(most) {
            let seq = self.probes.next_seq();
            self.send(to, addr, Body::Ping { seq, to }, out);
            let digest = self.summaries();
            self.send(to, addr, Body::Digest(digest), out);
        }
    }

    /// The next peer in a shuffled order that has each once, so that every peer is probed
    /// within a bounded time.
    fn next_target(&mut self) -> Option<Id> {
        while let Some(id) = self.probes.priority.pop_front() {
            if self
                .roster
                .get(id)
                .is_some_and(|p| p.state <= State::Parted)
            {
                return Some(id);
            }
        }
        loop {
            if self.probes.order.is_empty() {
                let others = self.roster.iter().map(|p| p.id).filter(|id| *id != self.me);
                self.probes.order = others.collect();
                self.probes.order.shuffle(&mut self.rng);
            }
            let id = self.probes.order.pop()?;
            if self.roster.get(id).is_some() {
                return Some(id);
            }
        }
    }

    pub(crate) fn probe(&mut self, now: Now, to: Id, cause: Cause, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(to) else {
            return;
        };
        let addr = peer.identity.addr;
        let seq = self.probes.next_seq();
        let probe = Probe {
            seq,
            to,
            sent_at: now,
            cause,
            indirect_requested: false,
            connect_failed: false,
        };
        self.probes.open.push(probe);
        self.counters.probes += 1;
        self.send(to, addr, Body::Ping { seq, to }, out);
    }

    pub(crate) fn check_probes(&mut self, now: Now, out: &mut Vec<Action>) {
        let (direct, most) = (
            self.settings.direct_probe_timeout,
            self.settings.probe_timeout,
        );
        let late = |p: &Probe| p.connect_failed || age(now, p.sent_at) >= direct;
        let mut asked = Vec::new();
        for probe in self
            .probes
            .open
            .iter_mut()
            .filter(|p| !p.indirect_requested)
        {
            if late(probe) {
                probe.indirect_requested = true;
                asked.push((probe.seq, probe.to));
            }
        }
        asked
            .into_iter()
            .for_each(|(seq, to)| self.request_indirect_probes(seq, to, out));
        let (open, over): (Vec<Probe>, Vec<Probe>) = self
            .probes
            .open
            .iter()
            .partition(|p| age(now, p.sent_at) < most);
        self.probes.open = open;
        over.into_iter()
            .for_each(|p| self.probe_failed(now, p.to, out));
        self.probes.relays.retain(|r| age(now, r.sent_at) < most);
    }

    /// Asks others to probe, first those of other availability zones: a fault on the way from
    /// here then does not look like the peer's.
    fn request_indirect_probes(&mut self, seq: Seq, to: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(to) else {
            return;
        };
        let addr = peer.identity.addr;
        let zone = self.roster.get(self.me).map(|p| p.identity.zone.clone());
        let most = self.settings.indirect_probers;
        let mut helpers = self.sample_up(most * 4, Some(to));
        let same = |id: &Id| self.roster.get(*id).map(|p| &p.identity.zone) == zone.as_ref();
        helpers.sort_by_key(same);
        for helper in helpers.into_iter().take(most) {
            let Some(at) = self.roster.get(helper).map(|p| p.identity.addr) else {
                continue;
            };
            self.counters.relays += 1;
            self.send(helper, at, Body::IndirectPing { seq, to, addr }, out);
        }
    }

    /// Some peers that are up, chosen at random.
    pub(crate) fn sample_up(&mut self, most: usize, but: Option<Id>) -> Vec<Id> {
        let up = self.roster.iter().filter(|p| p.state == State::Up);
        let ids: Vec<Id> = up
            .map(|p| p.id)
            .filter(|id| *id != self.me && Some(*id) != but)
            .collect();
        ids.sample(&mut self.rng, most).copied().collect()
    }

    pub(crate) fn handle_ping(
        &mut self,
        id: Id,
        from: SocketAddr,
        seq: Seq,
        to: Id,
        out: &mut Vec<Action>,
    ) {
        if to == self.me {
            self.send(id, from, Body::Ack { seq, of: to }, out);
            return;
        }
        // The sender's row for this address is of an earlier process: tell it who is here now.
        self.send_identity(id, from, out);
    }

    pub(crate) fn handle_indirect_ping(
        &mut self,
        now: Now,
        asker: (Id, SocketAddr, Seq),
        to: Id,
        addr: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.probes.relays.len() >= MAX_OPEN_RELAYS {
            self.counters.dropped += 1;
            return;
        }
        let seq = self.probes.next_seq();
        self.probes.relays.push(Relay {
            seq,
            sent_at: now,
            requester: asker,
        });
        self.send(to, addr, Body::Ping { seq, to }, out);
    }

    pub(crate) fn handle_ack(&mut self, now: Now, seq: Seq, of: Id, out: &mut Vec<Action>) {
        if let Some(at) = self
            .probes
            .open
            .iter()
            .position(|p| p.seq == seq && p.to == of)
        {
            self.probes.open.remove(at);
            self.counters.acks += 1;
            self.mark_alive(now, of, out);
            return;
        }
        let Some(at) = self.probes.relays.iter().position(|r| r.seq == seq) else {
            return;
        };
        let (asker, addr, seq) = self.probes.relays.remove(at).requester;
        self.send(asker, addr, Body::Ack { seq, of }, out);
    }

    /// A failed connection is no proof of death, only a reason not to wait for the answer.
    pub(crate) fn connect_failed(&mut self, peer: Id, out: &mut Vec<Action>) {
        let open = self.probes.open.iter_mut().filter(|p| p.to == peer);
        open.for_each(|p| p.connect_failed = true);
        if let Some(now) = self.last_tick {
            self.check_probes(now, out);
        }
    }

    /// Puts the suspect next in the order, and a peer of its availability zone unless that is known to
    /// answer: this node judges by its own probes, and whether the zone answers tells a dead node from
    /// a parted zone.
    pub(crate) fn prioritize(&mut self, suspect: Id) {
        let Some(row) = self.roster.get(suspect) else {
            return;
        };
        let zone = row.identity.zone.clone();
        let (tried, zoned) = (
            self.probed_since_zone_alive(row),
            row.zone_alive_since.is_some(),
        );
        let mates = self
            .roster
            .iter()
            .filter(|p| p.identity.zone == zone && p.state == State::Up);
        let mates: Vec<Id> = mates.map(|p| p.id).filter(|id| *id != self.me).collect();
        let mate = mates.choose(&mut self.rng).copied();
        let next = [(!tried).then_some(suspect), mate.filter(|_| !zoned)];
        next.into_iter()
            .flatten()
            .for_each(|id| self.probe_next(id));
    }

    /// Puts a peer next in the order, if there is room and no probe of it is open.
    pub(crate) fn probe_next(&mut self, id: Id) {
        let open = self.probes.is_open(id);
        let focus = &mut self.probes.priority;
        if focus.len() < MAX_PRIORITY_PROBES && !open && !focus.contains(&id) {
            focus.push_back(id);
        }
    }

    /// Update that concern the receiver: that it is suspected, so that it can refute.
    pub(crate) fn suspicion_of_receiver(&self, peer: Id) -> Option<Update> {
        let row = self.roster.get(peer)?;
        (row.state > State::Up).then(|| Update::Suspect(crate::dissemination::to_run(row)))
    }
}
