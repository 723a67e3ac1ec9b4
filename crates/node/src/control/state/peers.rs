//! Peers: messages, the instance list's part about nodes, and what the group asks for.

use super::State;
use member::action::Action;
use member::event::Event;
use member::item::Observation;
use member::peer::{Entry, ListedState};
use platform::instance::{self, Instance};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wire::frame::Status;
use wire::peer::Inbound;

impl State {
    /// Tells peers where this node serves callers.
    pub(super) fn publish_callers(&mut self) {
        let callers = Observation::Callers {
            addr: self.callers,
            tls: self.settings.callers.tls.is_some(),
        };
        self.handle_group_event(Event::Publish(vec![callers]));
    }

    /// Gives the group an event and does what it asks for.
    pub(super) fn handle_group_event(&mut self, event: Event) {
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.group.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { to, message, .. } => {
                // A full queue is counted by the link; gossip repeats itself.
                let _ = self.link.send(to, message);
            }
            Action::StateChanged {
                peer,
                state,
                restarted,
            } => {
                self.dirty = true;
                let row = self.group.roster().get(peer);
                let name = row.map_or("?", |p| p.identity.name.as_str());
                let run = if restarted { " (another run)" } else { "" };
                log::info!("node {name} is {state:?}{run}");
            }
            // Demand and load of peers change all the time; the step reads them once a second.
            Action::Learned(item) => {
                self.dirty |=
                    !matches!(item.body, Observation::Demand { .. } | Observation::Load(_));
            }
            Action::FetchHead { head, addr, .. } => self.fetch_records(head, addr),
        }
    }

    /// Takes what came from a peer.
    pub(super) fn handle_inbound(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Member { from, message } => {
                self.handle_group_event(Event::Received { from, message })
            }
            Inbound::Head { ask, reply } => {
                let _ = reply.send(self.records_since(ask));
            }
            // Copies of tables belong to nodes on a platform's store; this one has none.
            Inbound::Copy { reply, .. } => {
                let _ = reply.send(None);
            }
            Inbound::Status { reply } => {
                let _ = reply.send(self.peer_status());
            }
            Inbound::Unreached(addr) => self.report_connect_failure(addr),
        }
    }

    fn peer_status(&self) -> Status {
        let head = self.fold.head();
        Status {
            number: head.map_or(0, |b| b.number),
            digest: head.map_or([0; 32], |b| b.digest.0),
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }

    fn report_connect_failure(&mut self, addr: SocketAddr) {
        let peers = self.group.roster().iter();
        let unreachable = peers.filter(|p| p.identity.addr == addr).map(|p| p.id);
        let unreachable: Vec<_> = unreachable.collect();
        for peer in unreachable {
            self.handle_group_event(Event::ConnectFailed(peer));
        }
    }

    /// Tells the group which nodes the instance list names. An instance is a node's if it has an
    /// address and no endpoint of the bundle is on it.
    pub(super) fn update_listed_nodes(&mut self) {
        let head = self.fold.head();
        let rows = head.iter().flat_map(|b| b.endpoints.iter());
        let endpoints: BTreeSet<&str> = rows.map(|e| e.instance.as_str()).collect();
        let nodes = self.instances.iter();
        let nodes = nodes.filter(|i| !endpoints.contains(i.name.as_str()));
        let mut entries: Vec<_> = nodes.filter_map(|i| self.listed_entry(i)).collect();
        entries.extend(self.seed_entries(&entries));
        if !entries.is_empty() {
            self.handle_group_event(Event::Listed(entries));
        }
    }

    fn listed_entry(&self, instance: &Instance) -> Option<Entry> {
        let bundle = self.fold.head();
        let zones = bundle.iter().flat_map(|b| b.zones.iter());
        let region = zones.filter(|z| z.name == instance.zone).map(|z| &z.region);
        let region = region.map(String::as_str).next();
        Some(Entry {
            name: instance.name.clone(),
            addr: instance.addr?,
            zone: instance.zone.clone(),
            region: region.unwrap_or(&instance.zone).to_owned(),
            state: match instance.state {
                instance::State::Live => ListedState::Live,
                instance::State::Leaving => ListedState::Leaving,
            },
        })
    }

    /// Seeds of the settings stand in for the list until it was read. Their names are not known;
    /// they tell them when asked who they are.
    fn seed_entries(&self, listed: &[Entry]) -> Vec<Entry> {
        if !listed.is_empty() {
            return Vec::new();
        }
        let node = &self.settings.node;
        let seeds = self.settings.peers.seeds.iter();
        seeds
            .map(|addr| Entry {
                name: format!("seed-{addr}"),
                addr: *addr,
                zone: node.zone.clone(),
                region: node.region.clone(),
                state: ListedState::Live,
            })
            .collect()
    }
}
