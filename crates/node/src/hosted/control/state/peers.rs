//! Messages of the other nodes, membership, and the addresses at which callers reach the nodes.

use super::State;
use adapter::store::Table;
use gate::view::Relay;
use journal::event::Event as JournalEvent;
use member::action::Action;
use member::event::Event;
use member::head::Head;
use member::identity::Id;
use member::item::{Key, Observation};
use member::peer::{Entry, ListedState};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use tokio::time::Instant;
use wire::frame::Status;
use wire::peer::Inbound;

impl State {
    pub(super) fn handle_inbound(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Member { from, message } => {
                self.handle_event(Event::Received { from, message })
            }
            // Only nodes that read signed bundles from a log have heads.
            Inbound::Head { reply, .. } => {
                let _ = reply.send(None);
            }
            Inbound::Copy { request, reply } => self.handle_copy_request(request, reply),
            Inbound::Status { reply } => {
                let _ = reply.send(Status {
                    number: self.tables.catalog().map_or(0, |c| c.version),
                    incarnation: self.incarnation,
                    leaving: self.leaving,
                    ..Status::default()
                });
            }
            Inbound::ConnectFailed(addr) => {
                let peers = self.group.roster().iter();
                let unreachable: Vec<_> = peers
                    .filter(|p| p.identity.addr == addr)
                    .map(|p| p.id)
                    .collect();
                for peer in unreachable {
                    self.handle_event(Event::ConnectFailed(peer));
                }
            }
        }
    }

    /// Passes an event to the membership group and carries out the actions that it returns.
    pub(super) fn handle_event(&mut self, event: Event) {
        let now = self.start.elapsed();
        let mut actions = std::mem::take(&mut self.actions);
        self.group.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(action);
        }
        self.actions = actions;
    }

    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message, .. } => {
                // The link counts messages dropped at a full queue; gossip repeats its content.
                let _ = self.link.send(to, message);
            }
            Action::StateChanged { peer, state, .. } => {
                self.dirty = true;
                let row = self.group.roster().get(peer);
                let name = row.map_or("?", |p| p.identity.name.as_str()).to_owned();
                let state = format!("{state:?}");
                self.journal.record(JournalEvent::Node { name, state });
            }
            Action::Learned(item) => {
                self.learn_content(&item.body);
                self.dirty = true;
                if item.body.broadcast() {
                    self.refresh_ended(Instant::now());
                }
            }
            Action::FetchHead { addr, .. } => {
                self.fetch_catalog(Instant::now(), addr);
            }
        }
    }

    /// Announces the version of the catalog in force to the other nodes, which request the catalog
    /// from this one if theirs is older.
    pub(super) fn announce_catalog(&mut self) {
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let value = self.tables.copy(Table::Operator).get(adapter::CATALOG_KEY);
        let head = Head {
            number: catalog.version,
            digest: value.map_or([0; 32], |value| Sha256::digest(value).into()),
        };
        self.handle_event(Event::Head(head));
    }

    /// Returns the seeds as members with placeholder names. A seed reports its real identity when
    /// it is first contacted.
    pub(super) fn seeds(&self) -> Vec<Entry> {
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.filter(|addr| **addr != self.settings.peers);
        seeds
            .map(|addr| Entry {
                name: format!("seed-{addr}"),
                addr: *addr,
                zone: self.settings.zone.clone(),
                region: self.settings.region.clone(),
                state: ListedState::Live,
            })
            .collect()
    }

    /// Returns the addresses at which callers reach the nodes that accept new work, without those that
    /// are isolated.
    pub(super) fn caller_addrs(&self) -> Vec<SocketAddr> {
        let isolated = self.isolated_nodes();
        let serves = !self.leaving && !isolated.contains(&self.group.me());
        let own = serves.then_some(self.settings.callers);
        let peers = self.peer_addrs().filter(|(id, _)| !isolated.contains(id));
        own.into_iter().chain(peers.map(|(_, addr)| addr)).collect()
    }

    /// Returns the peers that accept new work, as relays for the services that this node is isolated
    /// from; none while it is isolated from none.
    pub(super) fn relays(&self) -> Vec<Relay> {
        if self.isolated.is_empty() {
            return Vec::new();
        }
        let isolated = self.group.isolated(self.start.elapsed());
        let relay = |(id, addr)| Relay {
            addr,
            isolated_from: isolated
                .get(&id)
                .map(|services| services.iter().map(|s| (*s).to_owned()).collect())
                .unwrap_or_default(),
        };
        self.peer_addrs().map(relay).collect()
    }

    /// Iterates over the peers that accept new work, with their addresses for callers.
    fn peer_addrs(&self) -> impl Iterator<Item = (Id, SocketAddr)> {
        let me = self.group.me();
        let peers = self.group.accepting().filter(move |p| p.id != me);
        peers.filter_map(|p| {
            let slot = self.group.store().get(p.id, &Key::Callers)?;
            match slot.body {
                Observation::Callers { addr, .. } => Some((p.id, addr)),
                _ => None,
            }
        })
    }

    /// Returns the number of nodes that share the retry budget: all known nodes that have not left.
    pub(super) fn budget_nodes(&self) -> usize {
        let peers = self.group.roster().iter();
        peers
            .filter(|p| p.state != member::peer::State::Left)
            .count()
    }
}
