//! Leases of endpoint groups, and the rolls of the groups that this node holds.
//!
//! A group is a region. The nodes of the region want its lease; where there are none, all nodes do.

use super::input::{Input, Inputs};
use super::log_stream::{self, Append};
use crate::settings::Settings;
use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use bytes::Bytes;
use engine::order::{Answer, What};
use engine::pool::Pool;
use lease::Owner;
use lease::hold::{self, Event, Group, STREAM, Table, Want, group};
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

/// What the weight store is taken to allow until it was asked.
const INITIAL_RATE: Rate = Rate {
    per_minute: 6,
    at_once: 1,
};

/// What a step of the rolls looks at.
pub struct Source<'a> {
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// By endpoint: what it reports.
    pub reports: &'a [Option<Report>],
    /// By endpoint: whether it is there.
    pub health: &'a [Health],
}

/// Leases and rolls of this node.
pub struct Rolls {
    table: Table,
    rolls: BTreeMap<Group, Roll>,
    settings: lease::roll::Settings,
    /// Names of the groups of the bundle.
    groups: BTreeMap<Group, String>,
    rate: Rate,
    client: Arc<Client>,
    pool: Pool,
    inputs: Inputs,
    actions: Vec<hold::Action>,
}

/// An order's end.
#[derive(Debug)]
pub struct OrderResult {
    /// The group.
    pub group: Group,
    /// Name of the endpoint.
    pub endpoint: String,
    /// What it answered; none if no answer came.
    pub answer: Option<Answer>,
}

impl Rolls {
    /// No lease yet.
    pub fn new(me: Owner, seed: u64, settings: &Settings, inputs: Inputs) -> Self {
        let platform = &settings.platform;
        Self {
            table: Table::new(me, seed, hold::Settings::default()),
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

    /// What the weight store allows all groups together.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Takes an event of the leases' stream, or time that passed.
    pub fn handle(&mut self, now: Duration, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.table.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    /// Wants the groups that are this node's to hold among the nodes of the roster.
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
            // A hash of node and group spreads the groups of one region over its nodes.
            nodes.sort_by_key(|node| node ^ group);
            let rank = nodes.iter().position(|node| *node == me)?;
            Some(Want {
                group,
                rank: u32::try_from(rank).ok()?,
            })
        });
        let wants = wants.collect();
        self.handle(now, Event::Want(wants));
    }

    /// Whether this node gives the orders in any group.
    pub fn holds_any(&self, now: Duration) -> bool {
        let mut groups = self.groups.keys();
        groups.any(|group| self.table.permit(now, *group).is_some())
    }

    /// Wants no group any more: this node leaves.
    pub fn release_leases(&mut self, now: Duration) {
        self.handle(now, Event::Want(Vec::new()));
    }

    /// Takes one step of each roll whose lease this node holds.
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
                stopped: self.table.stopped(group),
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

    /// An order ended.
    pub fn record_result(&mut self, now: Duration, result: &OrderResult) {
        match result.answer {
            Some(Answer::Refused) => {
                log::warn!("endpoint {} refused its order", result.endpoint);
                if let Some(roll) = self.rolls.get_mut(&result.group) {
                    roll.refused(now, &result.endpoint);
                }
            }
            Some(Answer::OldFence) => {
                log::warn!("endpoint {} knows a newer holder", result.endpoint);
            }
            // An order whose answer did not come is given again if its effect does not show.
            Some(Answer::Done) | None => {}
        }
    }

    /// A group's part of what the weight store allows.
    fn group_rate(&self, groups: usize) -> Rate {
        let groups = u32::try_from(groups).unwrap_or(u32::MAX).max(1);
        Rate {
            per_minute: (self.rate.per_minute / groups).max(1),
            at_once: (self.rate.at_once / groups).max(1),
        }
    }

    fn execute(&mut self, action: hold::Action) {
        match action {
            hold::Action::Append { batch, body } => self.append(batch, body),
            hold::Action::Read { from, wait } => self.read(from, wait),
            hold::Action::Gained(group, fence) => {
                let name = self.groups.get(&group).map_or("?", String::as_str);
                log::info!("this node gives the orders in {name}, fencing number {fence}");
            }
            hold::Action::Lost(group) => {
                let name = self.groups.get(&group).map_or("?", String::as_str);
                log::info!("this node gives no orders in {name} any more");
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
                self.handle(now, Event::Stop(group, number));
            }
        }
    }

    /// Sends an order, if the lease still holds at this very moment.
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
        log::info!("order to {}: {order}", row.name);
        let (name, addr) = (row.name.clone(), row.addr);
        let order = engine::order::Order {
            fence,
            what: to_engine_order(order),
        };
        let pool = self.pool.clone();
        let inputs = self.inputs.clone();
        let order_timeout = hold::Settings::default().longest;
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

    fn append(&self, batch: hold::Batch, body: Bytes) {
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

/// Availability zones of a region, in the order of the roll.
fn zones(bundle: &Bundle, region: &str) -> Vec<ZoneId> {
    let zones = (0..).zip(&bundle.zones);
    zones
        .filter(|(_, z)| z.region == region)
        .map(|(id, _)| id)
        .collect()
}

fn to_engine_order(order: &Order) -> What {
    match order {
        Order::Load {
            model,
            version,
            layers,
            adapters,
            from,
            to,
        } => What::Load {
            model: model.clone(),
            version: version.clone(),
            layers: *layers,
            adapters: adapters.clone(),
            from: *from,
            to: *to,
        },
        Order::Unload { model, version } => What::Unload {
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
