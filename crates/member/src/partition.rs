//! Network partitions: the fraction of each team's pool that belongs to this node's side of a parted group.
//!
//! The pool stays split between the sides as it was when they parted, since neither side sees changes of
//! demand on the other one. Within a side it is split by demand, as in a joined group.

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

/// Input of one step.
pub(crate) struct Context<'a> {
    pub(crate) now: Now,
    pub(crate) group: &'a Group,
    pub(crate) limits: &'a [Limit],
    /// Index of each team in `limits`.
    pub(crate) index: &'a HashMap<Team, usize>,
    pub(crate) announcer: &'a Announcer,
    /// Number of existing nodes.
    pub(crate) nodes: usize,
    /// Time in which an announcement reaches every node.
    pub(crate) window: Duration,
    /// Time for which the demand of a dead peer still counts.
    pub(crate) dead_demand_retention: Duration,
}

/// Sums of the demands that peers announced for one team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    /// Demand of the peers on this side.
    pub(crate) near: Demand,
    /// Demand of the peers on other sides.
    far: Demand,
    /// Smallest recent demand of the peers on this side.
    near_min: Demand,
}

/// Fractions of a team's pools that belong to this side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolFraction {
    pub(crate) rate: f64,
    pub(crate) in_flight: f64,
}

/// The fractions of a side that is not parted from any node.
const WHOLE_POOL: PoolFraction = PoolFraction {
    rate: 1.0,
    in_flight: 1.0,
};

/// The division of the group into this side and the others, and of the pools of each team.
#[derive(Clone, Debug)]
pub(crate) struct Partition {
    /// Number of windows for which a peer that returned still counts as far.
    linger_windows: u32,
    /// Peers on other sides, and the time at which each was last parted.
    far: BTreeMap<Id, Now>,
    /// Fractions of the pools, by index of the team.
    pools: Vec<PoolFraction>,
}

impl Partition {
    pub(crate) fn new(linger_windows: u32) -> Self {
        Self {
            linger_windows,
            far: BTreeMap::new(),
            pools: Vec::new(),
        }
    }

    /// Reorders the table for the teams of a new bundle; `old` holds the former index of each.
    pub(crate) fn remap(&mut self, old: &[Option<usize>]) {
        let pool = |o: &Option<usize>| {
            o.and_then(|i| self.pools.get(i).copied())
                .unwrap_or(WHOLE_POOL)
        };
        self.pools = old.iter().map(pool).collect();
    }

    /// Returns the fractions of a team's pools that belong to this side.
    pub(crate) fn pool(&self, row: usize) -> PoolFraction {
        self.pools.get(row).copied().unwrap_or(WHOLE_POOL)
    }

    /// Returns whether no peer counts as far.
    pub(crate) fn is_joined(&self) -> bool {
        self.far.is_empty()
    }

    /// Returns the number of peers that count as far.
    pub(crate) fn len(&self) -> usize {
        self.far.len()
    }

    /// Returns the number of nodes on this side, including this one.
    pub(crate) fn near_nodes(&self, cx: &Context) -> usize {
        match self.far.is_empty() {
            true => cx.nodes,
            false => self.count_near(cx.group).max(1),
        }
    }

    /// Counts the nodes of the roster that are on this side.
    fn count_near(&self, group: &Group) -> usize {
        group
            .roster()
            .iter()
            .filter(|p| !self.far.contains_key(&p.id))
            .count()
    }

    /// Updates the division for peers that parted or returned.
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
        let has_returned = |id: &Id, last: &Now| {
            cx.now.saturating_sub(*last) > linger || cx.group.roster().get(*id).is_none()
        };
        let returning: Vec<Id> = self
            .far
            .iter()
            .filter(|(id, last)| has_returned(id, last))
            .map(|(id, _)| *id)
            .collect();
        if !returning.is_empty() {
            self.rejoin(cx, &returning);
        }
        if self.far.is_empty() {
            self.pools.iter_mut().for_each(|s| *s = WHOLE_POOL);
        }
    }

    /// Moves `gone` to the other sides and reduces the pools of this side. The other side splits the pools by
    /// the demand of this side that it knew before they parted, and an increase shortly before may not have
    /// reached it. This side therefore counts only the smallest recent demand of its own nodes, so that the
    /// fractions of both sides add up to at most 1.
    fn split_off(&mut self, cx: &Context, gone: &[Id]) {
        let before = self.demand_sums(cx);
        let remaining = self.count_near(cx.group).saturating_sub(gone.len()) as f64;
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
            let pool = &mut self.pools[row];
            let idle_weight = share::idle_weight(limit.rate, cx.nodes);
            let staying = own.rate + after.near_min.rate + idle_weight * remaining;
            let leaving = before.near.rate - after.near.rate + idle_weight * gone;
            pool.rate = share::side_after_split(pool.rate, staying, leaving);
            let idle_weight = share::idle_weight(limit.in_flight, cx.nodes);
            let staying = own.in_flight + after.near_min.in_flight + idle_weight * remaining;
            let leaving = before.near.in_flight - after.near.in_flight + idle_weight * gone;
            pool.in_flight = share::side_after_split(pool.in_flight, staying, leaving);
        }
    }

    /// Moves `returning` to this side and enlarges its pools by their fraction.
    fn rejoin(&mut self, cx: &Context, returning: &[Id]) {
        let before = self.demand_sums(cx);
        let far = self.far.len() as f64;
        returning.iter().for_each(|id| _ = self.far.remove(id));
        let after = self.demand_sums(cx);
        let returning = returning.len() as f64;
        for (row, limit) in cx.limits.iter().enumerate() {
            let (before, after) = (&before[row].far, &after[row].far);
            let pool = &mut self.pools[row];
            let idle_weight = share::idle_weight(limit.rate, cx.nodes);
            let returning_weight = before.rate - after.rate + idle_weight * returning;
            pool.rate = share::side_after_rejoin(
                pool.rate,
                before.rate + idle_weight * far,
                returning_weight,
            );
            let idle_weight = share::idle_weight(limit.in_flight, cx.nodes);
            let returning_weight = before.in_flight - after.in_flight + idle_weight * returning;
            pool.in_flight = share::side_after_rejoin(
                pool.in_flight,
                before.in_flight + idle_weight * far,
                returning_weight,
            );
        }
    }

    /// Returns the sums of the demands announced by peers. A dead peer counts for a while: it may only be
    /// unreachable from here, and its requests in flight may still run.
    pub(crate) fn demand_sums(&self, cx: &Context) -> Vec<Sum> {
        let mut sums = vec![Sum::default(); cx.limits.len()];
        let is_expired = |p: &Peer| {
            p.state == State::Dead
                && cx.now.saturating_sub(p.state_since) >= cx.dead_demand_retention
        };
        let peers = cx.group.roster().iter();
        for peer in peers.filter(|p| p.id != cx.group.me() && !is_expired(p)) {
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

/// Iterates over the peers that are parted.
fn parted_peers(group: &Group) -> impl Iterator<Item = Id> {
    group
        .roster()
        .iter()
        .filter(|p| p.state == State::Parted)
        .map(|p| p.id)
}
