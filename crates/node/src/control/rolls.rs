//! Leases of endpoint groups, and the rolls of the groups whose leases this node holds.
//!
//! A group is the endpoints of a region. The nodes of the region compete for its lease; if the
//! region has no nodes, all nodes do.

use super::input::{Input, Inputs};
use super::log_stream::{self, Append};
use crate::settings::Settings;
use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use bytes::Bytes;
use engine::order::{Answer, Command};
use engine::pool::Pool;
use lease::Owner;
use lease::group_lease::{self, Candidacy, Event, Group, STREAM, Table, group};
use lease::roll::{Action, Health, Order, Rate, Report, Roll, View};
use member::identity::Id;
use member::peer::{Peer, State};
use member::roster::Roster;
use platform::http::Log as Client;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Rate of loads that is assumed until the weight store has reported its limit. It is low to
/// protect the store.
const INITIAL_RATE: Rate = Rate {
    per_minute: 6,
    at_once: 1,
};

/// Input of a step of the rolls.
pub struct Source<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// Reports of the endpoints, in the order of the bundle.
    pub reports: &'a [Option<Report>],
    /// Health of the endpoints, in the order of the bundle.
    pub health: &'a [Health],
}

/// Leases and rolls of this node.
pub struct Rolls {
    table: Table,
    rolls: BTreeMap<Group, Roll>,
    settings: lease::roll::Settings,
    /// Names of the bundle's groups, which are the names of their regions.
    groups: BTreeMap<Group, String>,
    rate: Rate,
    client: Arc<Client>,
    pool: Pool,
    inputs: Inputs,
    actions: Vec<group_lease::Action>,
}

/// Result of an order to an endpoint.
#[derive(Debug)]
pub struct OrderResult {
    /// Group of the endpoint.
    pub group: Group,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Answer of the endpoint; `None` if there was none in time.
    pub answer: Option<Answer>,
}

impl Rolls {
    /// Creates the state of a node that holds no lease.
    pub fn new(me: Owner, seed: u64, settings: &Settings, inputs: Inputs) -> Self {
        let platform = &settings.platform;
        Self {
            table: Table::new(me, seed, group_lease::Settings::default()),
            rolls: BTreeMap::new(),
            settings: settings.roll,
            groups: BTreeMap::new(),
            rate: INITIAL_RATE,
            client: Arc::new(Client::new(platform.log, platform.limits)),
            pool: Pool::default(),
            inputs,
            actions: Vec::new(),
        }
    }

    /// Sets the rate of loads that the weight store allows for all groups together.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Handles an event of the lease stream or a tick, and executes the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.table.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    /// Competes for the leases of the groups that this node is a candidate for. The rank among the
    /// candidates decides which of them takes a free lease first.
    pub fn request_leases(&mut self, now: Duration, me: Id, bundle: &Bundle, roster: &Roster) {
        let accepts_work = |p: &&Peer| p.state == State::Up && !p.leaving;
        let up: Vec<&Peer> = roster.iter().filter(accepts_work).collect();
        let regions = bundle.zones.iter().map(|z| z.region.as_str());
        self.groups = regions.map(|r| (group(r), r.to_owned())).collect();
        let wants = self.groups.iter().filter_map(|(&group, region)| {
            let near = up.iter().filter(|p| p.identity.region == *region);
            let mut nodes: Vec<u64> = near.map(|p| p.id).collect();
            if nodes.is_empty() {
                nodes = up.iter().map(|p| p.id).collect();
            }
            // The order depends on both node and group, which distributes the leases of the groups
            // among the nodes.
            nodes.sort_by_key(|node| node ^ group);
            let rank = nodes.iter().position(|node| *node == me)?;
            Some(Candidacy {
                group,
                rank: u32::try_from(rank).ok()?,
            })
        });
        let wants = wants.collect();
        self.handle(now, Event::Candidacies(wants));
    }

    /// Returns whether this node holds the lease of any group.
    pub fn holds_any(&self, now: Duration) -> bool {
        let mut groups = self.groups.keys();
        groups.any(|group| self.table.permit(now, *group).is_some())
    }

    /// Stops requesting leases, because this node is leaving. The leases that it holds permit no
    /// more orders and are released.
    pub fn release_leases(&mut self, now: Duration) {
        self.handle(now, Event::Candidacies(Vec::new()));
    }

    /// Advances the rolls of the groups whose leases this node holds.
    pub fn step(&mut self, now: Duration, source: &Source) {
        let groups: Vec<(Group, String)> = self.groups.clone().into_iter().collect();
        let rate = self.group_rate(groups.len());
        for (group, region) in groups {
            if self.table.permit(now, group).is_none() {
                continue;
            }
            let zones = zones(source.bundle, &region);
            let view = View {
                bundle: source.bundle,
                zones: &zones,
                reports: source.reports,
                health: source.health,
                rate,
                stopped: self.table.stopped_bundle(group),
            };
            let mut actions = Vec::new();
            let settings = self.settings;
            let roll = self
                .rolls
                .entry(group)
                .or_insert_with(|| Roll::new(settings));
            roll.step(now, &view, &mut actions);
            for action in actions {
                self.execute_roll_action(now, group, &region, source.bundle, action);
            }
        }
    }

    /// Records the result of an order.
    pub fn record_result(&mut self, now: Duration, result: &OrderResult) {
        match result.answer {
            Some(Answer::Refused) => {
                log::warn!("endpoint {} refused its order", result.endpoint);
                if let Some(roll) = self.rolls.get_mut(&result.group) {
                    roll.record_refusal(now, &result.endpoint);
                }
            }
            Some(Answer::OldFence) => {
                log::warn!(
                    "endpoint {} rejected an order because it has executed one of a newer lease holder",
                    result.endpoint
                );
            }
            // An order without an answer is sent again if the reports do not show its effect.
            Some(Answer::Done) | None => {}
        }
    }

    /// Returns the rate of loads that one group may use: an even share of the weight store's rate,
    /// but at least 1.
    fn group_rate(&self, groups: usize) -> Rate {
        let groups = u32::try_from(groups).unwrap_or(u32::MAX).max(1);
        Rate {
            per_minute: (self.rate.per_minute / groups).max(1),
            at_once: (self.rate.at_once / groups).max(1),
        }
    }

    fn execute(&mut self, action: group_lease::Action) {
        match action {
            group_lease::Action::Append { batch, body } => self.append(batch, body),
            group_lease::Action::Read { from, wait } => self.read(from, wait),
            group_lease::Action::Gained(group, fence) => {
                let name = self.groups.get(&group).map_or("?", String::as_str);
                log::info!("acquired the lease of group {name}, fencing number {fence}");
            }
            group_lease::Action::Lost(group) => {
                let name = self.groups.get(&group).map_or("?", String::as_str);
                log::info!("no longer holding the lease of group {name}");
                self.rolls.remove(&group);
            }
        }
    }

    fn execute_roll_action(
        &mut self,
        now: Duration,
        group: Group,
        region: &str,
        bundle: &Bundle,
        action: Action,
    ) {
        match action {
            Action::Order(endpoint, order) => self.send_order(now, group, bundle, endpoint, &order),
            Action::Phase(phase) => log::info!("roll in {region}: {phase}"),
            Action::Stop(number, failures) => {
                log::error!("the roll of bundle {number} in {region} stopped: {failures:?}");
                self.handle(now, Event::RollStopped(group, number));
            }
        }
    }

    /// Sends an order to an endpoint if this node still holds the lease of the group.
    fn send_order(
        &self,
        now: Duration,
        group: Group,
        bundle: &Bundle,
        endpoint: EndpointId,
        order: &Order,
    ) {
        let Some(fence) = self.table.permit(now, group) else {
            return;
        };
        let Some(row) = bundle.endpoints.get(endpoint as usize) else {
            return;
        };
        log::info!("sending an order to endpoint {}: {order}", row.name);
        let (name, addr) = (row.name.clone(), row.addr);
        let order = engine::order::Order {
            fence,
            command: to_engine_order(order),
        };
        let pool = self.pool.clone();
        let inputs = self.inputs.clone();
        let order_timeout = group_lease::Settings::default().max_order_time;
        tokio::spawn(async move {
            let sent = timeout(order_timeout, engine::order::send(&pool, addr, order)).await;
            let result = OrderResult {
                group,
                endpoint: name,
                answer: sent.ok().and_then(|answer| answer.ok()),
            };
            let _ = inputs.send(Input::OrderEnded(result)).await;
        });
    }

    fn append(&self, batch: group_lease::Batch, body: Bytes) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let event = match log_stream::append(&client, STREAM, body).await {
                Append::Done => Event::Appended(batch),
                Append::Unsure => Event::AppendUnsure(batch),
                Append::Failed => Event::AppendFailed(batch),
            };
            let _ = inputs.send(Input::Lease(event)).await;
        });
    }

    fn read(&self, from: u64, wait: bool) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let event = match log_stream::read(&client, STREAM, from, wait).await {
                Some(page) => Event::Page(page),
                None => Event::ReadFailed,
            };
            let _ = inputs.send(Input::Lease(event)).await;
        });
    }
}

/// Returns the availability zones of a region, in the order in which they are rolled.
fn zones(bundle: &Bundle, region: &str) -> Vec<ZoneId> {
    let zones = (0..).zip(&bundle.zones);
    zones
        .filter(|(_, z)| z.region == region)
        .map(|(id, _)| id)
        .collect()
}

/// Converts an order to the form that is sent to the engine.
fn to_engine_order(order: &Order) -> Command {
    match order {
        Order::Load {
            model,
            version,
            layers,
            adapters,
            from,
            to,
        } => Command::Load {
            model: model.clone(),
            version: version.clone(),
            layers: *layers,
            adapters: adapters.clone(),
            from: *from,
            to: *to,
        },
        Order::Unload { model, version } => Command::Unload {
            model: model.clone(),
            version: version.clone(),
        },
    }
}

impl fmt::Display for Rolls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.table)?;
        for (group, roll) in &self.rolls {
            let name = self.groups.get(group).map_or("?", String::as_str);
            writeln!(f, "group {name}: {roll}")?;
        }
        Ok(())
    }
}
