//! Failure detection by probes: one peer per round besides the neighbours in the ring. A peer that does not
//! answer is probed indirectly through other peers, then suspected.

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

/// Largest number of peers queued to be probed ahead of the regular order.
const MAX_PRIORITY_PROBES: usize = 4;
/// Largest number of open probes on behalf of other nodes. Further requests are dropped.
const MAX_OPEN_RELAYS: usize = 64;
/// Number of listed but unknown nodes that are probed per round while this node knows no peer.
const MAX_CONTACTS_PER_ROUND: usize = 3;

/// Why a peer is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It is next in the regular order or in the priority queue.
    Schedule,
    /// It is a neighbour in the ring.
    Ring,
}

/// An open probe of this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) seq: Seq,
    pub(crate) to: Id,
    pub(crate) sent_at: Now,
    pub(crate) cause: Cause,
    /// Whether indirect probes were requested.
    indirect_requested: bool,
    /// Whether a new connection to the peer failed.
    connect_failed: bool,
}

/// A probe on behalf of another node.
#[derive(Clone, Copy, Debug)]
struct Relay {
    seq: Seq,
    sent_at: Now,
    /// Id and address of the requesting node, and the number of its probe.
    requester: (Id, SocketAddr, Seq),
}

/// Open probes and the schedule of the next ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pub(crate) open: Vec<Probe>,
    relays: Vec<Relay>,
    /// Peers still to be probed in the current shuffled order.
    order: Vec<Id>,
    /// Peers to be probed ahead of the order.
    priority: VecDeque<Id>,
    seq: Seq,
    /// Time of the next exchange of digests.
    next_exchange: Now,
    /// Time of the next regular probe.
    next_round: Now,
    /// Time of the next probes of the neighbours in the ring.
    pub(crate) next_ring_probe: Now,
}

impl Probes {
    /// Drops all open probes and makes the next ones due.
    pub(crate) fn reset(&mut self, now: Now) {
        self.open.clear();
        self.relays.clear();
        self.next_exchange = now;
        self.next_round = now;
        self.next_ring_probe = now;
    }

    /// Returns whether a probe of `id` is open.
    pub(crate) fn is_open(&self, id: Id) -> bool {
        self.open.iter().any(|p| p.to == id)
    }

    /// Iterates over the open probes of neighbours in the ring whose direct answer is late.
    pub(crate) fn late(&self) -> impl Iterator<Item = &Probe> {
        let late = |p: &&Probe| p.cause == Cause::Ring && p.indirect_requested;
        self.open.iter().filter(late)
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

    /// Probes the next peer and exchanges digests with it if it is up, which needs one connection instead of
    /// two, else with a random peer. Where exchanges are more frequent than regular probes, those in between
    /// probe no peer, which keeps the number of open probes bounded.
    pub(crate) fn run_round(&mut self, now: Now, out: &mut Vec<Action>) {
        let jitter = self.rng.random_range(0.9..1.1);
        let uptime = self.first_tick.map_or(Now::ZERO, |first| age(now, first));
        let peers = self.roster.len();
        let next = self.settings.exchange_interval(peers, uptime);
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

    /// Probes listed nodes that are not in the roster. This is how a new node joins, and how the sides of a
    /// network partition find each other when each has removed the other. A node that left is not probed; a
    /// new run of it joins on its own.
    fn contact_unknown(&mut self, out: &mut Vec<Action>) {
        let left = |id: &Id| self.tombstones.get(id).is_some_and(|t| t.ended);
        let known = |id: &Id| self.roster.get(*id).is_some() || left(id);
        let listed = self.listed.iter().flatten();
        let unknown = listed
            .filter(|(id, _)| !known(id))
            .map(|(id, e)| (*id, e.addr));
        let mut unknown: Vec<(Id, SocketAddr)> = unknown.collect();
        unknown.shuffle(&mut self.rng);
        let max_contacts = if self.roster.len() == 1 {
            MAX_CONTACTS_PER_ROUND
        } else {
            1
        };
        for (to, addr) in unknown.into_iter().take(max_contacts) {
            let seq = self.probes.next_seq();
            self.send(to, addr, Body::Ping { seq, to }, out);
            let digest = self.summaries();
            self.send(to, addr, Body::Digest(digest), out);
        }
    }

    /// Returns the peer to probe next: a prioritized one, else the next in a shuffled order that holds each
    /// peer once, so that every peer is probed within a bounded time.
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

    /// Sends a direct probe.
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

    /// Requests indirect probes where a direct one is late, and ends the probes that timed out.
    pub(crate) fn check_probes(&mut self, now: Now, out: &mut Vec<Action>) {
        let (direct_timeout, timeout) = (
            self.settings.direct_probe_timeout,
            self.settings.probe_timeout,
        );
        let late = |p: &Probe| p.connect_failed || age(now, p.sent_at) >= direct_timeout;
        let mut late_probes = Vec::new();
        for probe in self
            .probes
            .open
            .iter_mut()
            .filter(|p| !p.indirect_requested)
        {
            if late(probe) {
                probe.indirect_requested = true;
                late_probes.push((probe.seq, probe.to));
                if probe.cause == Cause::Ring {
                    self.probes.next_ring_probe = now;
                }
            }
        }
        late_probes
            .into_iter()
            .for_each(|(seq, to)| self.request_indirect_probes(seq, to, out));
        let (open, timed_out): (Vec<Probe>, Vec<Probe>) = self
            .probes
            .open
            .iter()
            .partition(|p| age(now, p.sent_at) < timeout);
        self.probes.open = open;
        timed_out
            .into_iter()
            .for_each(|p| self.probe_failed(now, p.to, out));
        self.probes.relays.retain(|r| age(now, r.sent_at) < timeout);
    }

    /// Requests indirect probes from other peers, preferably in other availability zones: a network fault
    /// between this zone and the probed peer is then not taken for a failure of the peer.
    fn request_indirect_probes(&mut self, seq: Seq, to: Id, out: &mut Vec<Action>) {
        let Some(peer) = self.roster.get(to) else {
            return;
        };
        let addr = peer.identity.addr;
        let zone = self.roster.get(self.me).map(|p| p.identity.zone.clone());
        let count = self.settings.indirect_probers;
        let mut helpers = self.sample_up(count * 4, Some(to));
        let same = |id: &Id| self.roster.get(*id).map(|p| &p.identity.zone) == zone.as_ref();
        helpers.sort_by_key(same);
        for helper in helpers.into_iter().take(count) {
            let Some(at) = self.roster.get(helper).map(|p| p.identity.addr) else {
                continue;
            };
            self.counters.relays += 1;
            self.send(helper, at, Body::IndirectPing { seq, to, addr }, out);
        }
    }

    /// Returns up to `count` random peers that are up, without `excluded`.
    pub(crate) fn sample_up(&mut self, count: usize, excluded: Option<Id>) -> Vec<Id> {
        let up = self.roster.iter().filter(|p| p.state == State::Up);
        let ids: Vec<Id> = up
            .map(|p| p.id)
            .filter(|id| *id != self.me && Some(*id) != excluded)
            .collect();
        ids.sample(&mut self.rng, count).copied().collect()
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
        // The sender's row for this address is of an earlier process: send it the row of this one.
        self.send_identity(id, from, out);
    }

    /// Probes `to` on behalf of the requesting node.
    pub(crate) fn handle_indirect_ping(
        &mut self,
        now: Now,
        requester: (Id, SocketAddr, Seq),
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
            requester,
        });
        self.send(to, addr, Body::Ping { seq, to }, out);
    }

    /// Completes an own probe, or forwards the answer to the node that requested it.
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
        let (requester, addr, seq) = self.probes.relays.remove(at).requester;
        self.send(requester, addr, Body::Ack { seq, of }, out);
    }

    /// Handles a failed connection to a peer. It does not prove that the peer is dead, but indirect probes are
    /// requested without waiting for the direct timeout.
    pub(crate) fn connect_failed(&mut self, peer: Id, out: &mut Vec<Action>) {
        let open = self.probes.open.iter_mut().filter(|p| p.to == peer);
        open.for_each(|p| p.connect_failed = true);
        if let Some(now) = self.last_tick {
            self.check_probes(now, out);
        }
    }

    /// Prioritizes probes that are needed to judge a suspect: one of the suspect, unless one failed since its
    /// availability zone answered, and one of another peer of the zone, unless the zone is known to answer.
    /// Whether the zone answers distinguishes a dead node from a parted zone.
    pub(crate) fn prioritize(&mut self, suspect: Id) {
        let Some(row) = self.roster.get(suspect) else {
            return;
        };
        let zone = row.identity.zone.clone();
        let (probed, zone_alive) = (
            self.probed_since_zone_alive(row),
            row.zone_alive_since.is_some(),
        );
        let zone_peers = self
            .roster
            .iter()
            .filter(|p| p.identity.zone == zone && p.state == State::Up);
        let zone_peers: Vec<Id> = zone_peers
            .map(|p| p.id)
            .filter(|id| *id != self.me)
            .collect();
        let zone_peer = zone_peers.choose(&mut self.rng).copied();
        let next = [
            (!probed).then_some(suspect),
            zone_peer.filter(|_| !zone_alive),
        ];
        next.into_iter()
            .flatten()
            .for_each(|id| self.probe_next(id));
    }

    /// Queues a peer to be probed ahead of the order, if the queue is not full and no probe of it is open.
    pub(crate) fn probe_next(&mut self, id: Id) {
        let open = self.probes.is_open(id);
        let priority = &mut self.probes.priority;
        if priority.len() < MAX_PRIORITY_PROBES && !open && !priority.contains(&id) {
            priority.push_back(id);
        }
    }

    /// Returns the suspicion of the receiver of a message, if there is one, so that it can refute.
    pub(crate) fn suspicion_of_receiver(&self, peer: Id) -> Option<Update> {
        let row = self.roster.get(peer)?;
        (row.state > State::Up).then(|| Update::Suspect(crate::dissemination::to_run(row)))
    }
}
