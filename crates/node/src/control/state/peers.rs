//! Messages from peers, nodes in the instance list, and actions of the group.

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
    /// Publishes to the peers the address at which this node serves callers.
    pub(super) fn publish_callers(&mut self) {
        let callers = Observation::Callers {
            addr: self.callers,
            tls: self.settings.callers.tls.is_some(),
        };
        self.handle_group_event(Event::Publish(vec![callers]));
    }

    /// Passes an event to the group and executes the resulting actions.
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
                // The link counts messages dropped from a full queue. They are not sent again,
                // because gossip repeats its updates.
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
            // Demand and load of peers change constantly and do not require a new snapshot at once.
            // `step_teams` reads them once a second.
            Action::Learned(item) => {
                self.dirty |=
                    !matches!(item.body, Observation::Demand { .. } | Observation::Load(_));
            }
            Action::FetchHead { head, addr, .. } => self.fetch_records(head, addr),
        }
    }

    /// Handles a message from a peer.
    pub(super) fn handle_inbound(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Member { from, message } => {
                self.handle_group_event(Event::Received { from, message })
            }
            Inbound::Head { request, reply } => {
                let _ = reply.send(self.records_since(request));
            }
            // Only nodes on a platform's store have copies of tables.
            Inbound::Copy { reply, .. } => {
                let _ = reply.send(None);
            }
            Inbound::Status { reply } => {
                let _ = reply.send(self.peer_status());
            }
            Inbound::ConnectFailed(addr) => self.report_connect_failure(addr),
        }
    }

    /// Returns the status that peers request.
    fn peer_status(&self) -> Status {
        let head = self.fold.head();
        Status {
            number: head.map_or(0, |b| b.number),
            digest: head.map_or([0; 32], |b| b.digest.0),
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }

    /// Reports to the group that the nodes with this address could not be connected to.
    fn report_connect_failure(&mut self, addr: SocketAddr) {
        let peers = self.group.roster().iter();
        let unreachable = peers.filter(|p| p.identity.addr == addr).map(|p| p.id);
        let unreachable: Vec<_> = unreachable.collect();
        for peer in unreachable {
            self.handle_group_event(Event::ConnectFailed(peer));
        }
    }

    /// Passes the nodes of the instance list to the group. An instance is that of a node if it has
    /// an address and no endpoint of the bundle runs on it.
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

    /// Converts an instance to an entry for the group; `None` if it has no address.
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

    /// Returns the seed nodes of the settings, which are used while no node is listed. Their names
    /// are unknown here; the nodes identify themselves when they are contacted.
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
