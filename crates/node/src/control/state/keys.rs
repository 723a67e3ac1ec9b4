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
struct Known<'a>(&'a Group);

impl Owners for Known<'_> {
    fn url(&self, owner: Owner) -> Option<String> {
        let peer = self.0.roster().get(owner.node)?;
        let lives = peer.identity.incarnation == owner.incarnation
            && !matches!(peer.state, PeerState::Dead | PeerState::Left);
        let (addr, tls) = observed::callers(self.0, owner.node).filter(|_| lives)?;
        let scheme = if tls { "https" } else { "http" };
        Some(format!("{scheme}://{addr}"))
    }
}

impl State {
    /// Takes an event of the claims' streams, or time that passed.
    pub fn claim(&mut self, event: Event) {
        let now = self.now();
        self.claims.handle(now, event, &Known(&self.group));
        self.tell_claims();
    }

    /// A worker asks for a key.
    pub(super) fn ask_claim(&mut self, worker: usize, ask: Request) {
        let now = self.now();
        self.claims.ask(now, worker, ask, &Known(&self.group));
        self.tell_claims();
    }

    /// The caller of a request that waits for its key went away.
    pub(super) fn unclaim(&mut self, id: Id) {
        let now = self.now();
        self.claims.left(now, id, &Known(&self.group));
        self.tell_claims();
    }

    /// A run under a key ended.
    pub(super) fn end_claim(&mut self, ended: Ended) {
        let now = self.now();
        self.claims.ended(now, ended, &Known(&self.group));
        self.tell_claims();
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
        let clock = Event::Clock(super::wall());
        self.claims.handle(now, clock, &Known(&self.group));
        self.claims.follow(now, me, &nodes, &Known(&self.group));
        self.tell_claims();
    }

    /// Gives workers their verdicts. One that finds the ring full is kept for the next time: its
    /// request would wait for it until its caller gives up.
    fn tell_claims(&mut self) {
        self.verdicts.extend(self.claims.told());
        while let Some(told) = self.verdicts.pop_front() {
            let notice = ControlEvent::Claim(told.id, told.verdict);
            let Some(ring) = self.notices.get_mut(told.worker) else {
                continue;
            };
            if let Err(ControlEvent::Claim(id, verdict)) = ring.push(notice) {
                let worker = told.worker;
                self.verdicts.push_front(crate::control::claims::Told {
                    worker,
                    id,
                    verdict,
                });
                return;
            }
        }
    }
}
