//! Claims of idempotency keys.

use super::State;
use crate::control::claims::Owners;
use crate::control::observed;
use entry::claim::{Ended, Request};
use entry::core::ControlEvent;
use lease::Owner;
use lease::claim::Event;
use member::group::Group;
use member::peer::State as PeerState;
use route::request::Id;

/// Owners of keys, as the group knows them.
struct GroupOwners<'a>(&'a Group);

impl Owners for GroupOwners<'_> {
    fn url(&self, owner: Owner) -> Option<String> {
        let peer = self.0.roster().get(owner.node)?;
        let is_alive = peer.identity.incarnation == owner.incarnation
            && !matches!(peer.state, PeerState::Dead | PeerState::Left);
        let (addr, tls) = observed::callers_address(self.0, owner.node).filter(|_| is_alive)?;
        let scheme = if tls { "https" } else { "http" };
        Some(format!("{scheme}://{addr}"))
    }
}

impl State {
    /// Takes an event of the claims' streams, or time that passed.
    pub fn handle_claim_event(&mut self, event: Event) {
        let now = self.now();
        self.claims.handle(now, event, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// A worker asks for a key.
    pub(super) fn request_claim(&mut self, worker: usize, request: Request) {
        let now = self.now();
        self.claims
            .request(now, worker, request, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// The caller of a request that waits for its key went away.
    pub(super) fn cancel_claim(&mut self, id: Id) {
        let now = self.now();
        self.claims.cancel(now, id, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// A run under a key ended.
    pub(super) fn finish_claim(&mut self, ended: Ended) {
        let now = self.now();
        self.claims.finish(now, ended, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Follows the shards that this node is the home of.
    pub(super) fn follow_claims(&mut self) {
        let rows = self.group.roster().iter();
        let up = rows.filter(|p| p.state == PeerState::Up && !p.leaving);
        let nodes: Vec<u64> = up.map(|p| p.id).collect();
        let me = Owner {
            node: self.group.me(),
            incarnation: self.incarnation,
        };
        let now = self.now();
        // Keys carry dates by their makers' wall clocks; this node's may be set while it runs.
        let clock = Event::Clock(super::unix_time());
        self.claims.handle(now, clock, &GroupOwners(&self.group));
        self.claims
            .follow_home_shards(now, me, &nodes, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Gives workers their verdicts. One that finds the ring full is kept for the next time: its
    /// request would wait for it until its caller gives up.
    fn deliver_replies(&mut self) {
        self.replies.extend(self.claims.take_replies());
        while let Some(reply) = self.replies.pop_front() {
            let event = ControlEvent::Claim(reply.id, reply.verdict);
            let Some(ring) = self.control_events.get_mut(reply.worker) else {
                continue;
            };
            if let Err(ControlEvent::Claim(id, verdict)) = ring.push(event) {
                let worker = reply.worker;
                self.replies.push_front(crate::control::claims::Reply {
                    worker,
                    id,
                    verdict,
                });
                return;
            }
        }
    }
}
