//! The sides of a parted group: what part of each team's pool belongs to this node's side.
//!
//! The split between the sides stays as it was when they parted, since neither side sees how the
//! demand of the other one changes. Within a side the demand decides as ever.

use crate::Now;
use crate::demand::{Announcer, Demand, Limit};
use crate::group::Group;
use crate::identity::Id;
use crate::item::{Observation, Team};
use crate::level::Level;
use crate::peer::{Peer, State};
use crate::share;
use crate::store::MIN_DEMAND_RETENTION;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What a step goes by.
pub(crate) struct Context<'a> {
    pub(crate) now: Now,
    pub(crate) group: &'a Group,
    pub(crate) limits: &'a [Limit],
    pub(crate) index: &'a HashMap<Team, usize>,
    pub(crate) announcer: &'a Announcer,
    /// Nodes that exist.
    pub(crate) nodes: usize,
    /// Time in which a report reaches every node.
    pub(crate) window: Duration,
    /// How long a dead peer's demand still counts.
    pub(crate) dead_demand_retention: Duration,
}

/// Demand announced by peers of one team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    pub(crate) near: Demand,
    far: Demand,
    /// The least that the near ones announced of late.
    near_min: Demand,
}

/// Part of a team's pools that belongs to this side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolFraction {
    pub(crate) rate: f64,
    pub(crate) in_flight: f64,
}

const WHOLE_POOL: PoolFraction = PoolFraction {
    rate: 1.0,
    in_flight: 1.0,
};

/// The sides, by team.
#[derive(Clone, Debug)]
pub(crate) struct Partition {
    /// Windows that a peer which came back still counts as far.
    linger_windows: u32,
    /// Peers that count as far, and when they were last parted.
    far: BTreeMap<Id, Now>,
    pools: Vec<PoolFraction>,
}

impl Partition {
    pub(crate) fn new(linger: u32) -> Self {
        Self {
            linger_windows: linger,
            far: BTreeMap::new(),
            pools: Vec::new(),
        }
    }

    /// Fits the table to the teams of a new bundle; `old` is the former index of each.
    pub(crate) fn remap(&mut self, old: &[Option<usize>]) {
        let side = |o: &Option<usize>| {
            o.and_then(|i| self.pools.get(i).copied())
                .unwrap_or(WHOLE_POOL)
        };
        self.pools = old.iter().map(side).collect();
    }

    /// The side's part of the pools of a team.
    pub(crate) fn pool(&self, row: usize) -> PoolFraction {
        self.pools.get(row).copied().unwrap_or(WHOLE_POOL)
    }

    /// Whether nobody is parted.
    pub(crate) fn is_joined(&self) -> bool {
        self.far.is_empty()
    }

    /// Number of peers that count as far.
    pub(crate) fn len(&self) -> usize {
        self.far.len()
    }

    /// Nodes on this side, this one among them.
    pub(crate) fn near_nodes(&self, cx: &Context) -> usize {
        match self.far.is_empty() {
            true => cx.nodes,
            false => self.count_near(cx.group).max(1),
        }
    }

    fn count_near(&self, group: &Group) -> usize {
        group
            .roster()
            .iter()
            .filter(|p| !self.far.contains_key(&p.id))
            .count()
    }

    /// Follows the group as it parts and joins again.
    pub(crate) fn update(&mut self, cx: &Context) {
        let gone: Vec<Id> = parted_peers(cx.group)
            .filter(|id| !self.far.contains_key(id))
            .collect();
        if !gone.is_empty() {
            self.split_off(cx, &gone);
        }
        for id in parted_peers(cx.group) {
            self.far.insert(id, cx.now);
        }
        let linger = cx.window * self.linger_windows;
        let over = |id: &Id, last: &Now| {
            cx.now.saturating_sub(*last) > linger || cx.group.roster().get(*id).is_none()
        };
        let back: Vec<Id> = self
            .far
            .iter()
            .filter(|(id, last)| over(id, last))
            .map(|(id, _)| *id)
            .collect();
        if !back.is_empty() {
            self.rejoin(cx, &back);
        }
        if self.far.is_empty() {
            self.pools.iter_mut().for_each(|s| *s = WHOLE_POOL);
        }
    }

    /// The other side goes by what it knew of this one before they parted. Demand that grew here
    /// about then may not have got across, so this side counts only the least of it of late: the
    /// parts of both sides then add up to no more than the whole.
    fn split_off(&mut self, cx: &Context, gone: &[Id]) {
        let before = self.demand_sums(cx);
        let left = self.count_near(cx.group).saturating_sub(gone.len()) as f64;
        gone.iter().for_each(|id| _ = self.far.insert(*id, cx.now));
        let after = self.demand_sums(cx);
        let gone = gone.len() as f64;
        for (row, limit) in cx.limits.iter().enumerate() {
            let own = cx
                .announcer
                .row(row)
                .map(|r| r.min_remembered())
                .unwrap_or_default();
            let (before, after) = (&before[row], &after[row]);
            let side = &mut self.pools[row];
            let base = share::idle_weight(limit.rate, cx.nodes);
            let stay = own.rate + after.near_min.rate + base * left;
            let go = before.near.rate - after.near.rate + base * gone;
            side.rate = share::side_after_split(side.rate, stay, go);
            let base = share::idle_weight(limit.in_flight, cx.nodes);
            let stay = own.in_flight + after.near_min.in_flight + base * left;
            let go = before.near.in_flight - after.near.in_flight + base * gone;
            side.in_flight = share::side_after_split(side.in_flight, stay, go);
        }
    }

    fn rejoin(&mut self, cx: &Context, back: &[Id]) {
        let before = self.demand_sums(cx);
        let far = self.far.len() as f64;
        back.iter().for_each(|id| _ = self.far.remove(id));
        let after = self.demand_sums(cx);
        let back = back.len() as f64;
        for (row, limit) in cx.limits.iter().enumerate() {
            let (before, after) = (&before[row].far, &after[row].far);
            let side = &mut self.pools[row];
            let base = share::idle_weight(limit.rate, cx.nodes);
            let some = before.rate - after.rate + base * back;
            side.rate = share::side_after_rejoin(side.rate, before.rate + base * far, some);
            let base = share::idle_weight(limit.in_flight, cx.nodes);
            let some = before.in_flight - after.in_flight + base * back;
            side.in_flight =
                share::side_after_rejoin(side.in_flight, before.in_flight + base * far, some);
        }
    }

    /// Adds up what peers announced. A dead peer counts for a while: it may only be cut off, and
    /// its requests in flight may still run.
    pub(crate) fn demand_sums(&self, cx: &Context) -> Vec<Sum> {
        let mut sums = vec![Sum::default(); cx.limits.len()];
        let over = |p: &Peer| {
            p.state == State::Dead
                && cx.now.saturating_sub(p.state_since) >= cx.dead_demand_retention
        };
        let peers = cx.group.roster().iter();
        for peer in peers.filter(|p| p.id != cx.group.me() && !over(p)) {
            let far = self.far.contains_key(&peer.id);
            for (_, slot) in cx.group.store().items(peer.id) {
                let Observation::Demand {
                    team,
                    rate,
                    in_flight,
                } = &slot.body
                else {
                    continue;
                };
                let Some(row) = cx.index.get(team) else {
                    continue;
                };
                let sum = &mut sums[*row];
                if far {
                    add_levels(&mut sum.far, *rate, *in_flight);
                    continue;
                }
                add_levels(&mut sum.near, *rate, *in_flight);
                let (rate, in_flight) = slot.min_demand(cx.now, MIN_DEMAND_RETENTION);
                add_levels(&mut sum.near_min, rate, in_flight);
            }
        }
        sums
    }
}

fn add_levels(sum: &mut Demand, rate: Level, in_flight: Level) {
    sum.rate += rate.amount();
    sum.in_flight += in_flight.amount();
}

fn parted_peers(group: &Group) -> impl Iterator<Item = Id> {
    group
        .roster()
        .iter()
        .filter(|p| p.state == State::Parted)
        .map(|p| p.id)
}
