//! Claims of idempotency keys for the workers.

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

/// Looks up the owners of keys in the group of nodes.
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
    /// Handles an event of the claim streams or a tick.
    pub fn handle_claim_event(&mut self, event: Event) {
        let now = self.now();
        self.claims.handle(now, event, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Claims a key for a worker.
    pub(super) fn request_claim(&mut self, worker: usize, request: Request) {
        let now = self.now();
        self.claims
            .request(now, worker, request, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Withdraws a request whose caller disconnected while it waited for its key.
    pub(super) fn cancel_claim(&mut self, id: Id) {
        let now = self.now();
        self.claims.cancel(now, id, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Records the end of a request that ran under a key.
    pub(super) fn finish_claim(&mut self, ended: Ended) {
        let now = self.now();
        self.claims.finish(now, ended, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Follows the shards of keys whose home is this node.
    pub(super) fn follow_claim_shards(&mut self) {
        let rows = self.group.roster().iter();
        let up = rows.filter(|p| p.state == PeerState::Up && !p.leaving);
        let nodes: Vec<u64> = up.map(|p| p.id).collect();
        let me = Owner {
            node: self.group.me(),
            incarnation: self.incarnation,
        };
        let now = self.now();
        // Keys are dated by the wall clocks of their issuers. The table gets this node's wall clock
        // regularly, because it may be adjusted while the node runs.
        let clock = Event::Clock(super::unix_time());
        self.claims.handle(now, clock, &GroupOwners(&self.group));
        self.claims
            .follow_home_shards(now, me, &nodes, &GroupOwners(&self.group));
        self.deliver_replies();
    }

    /// Delivers verdicts to the workers. A verdict that does not fit into a full ring is kept for
    /// the next call: if it were dropped, its request would wait until the caller times out.
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
