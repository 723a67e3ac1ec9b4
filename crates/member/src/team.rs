//! Team limits over all nodes: announces own demand, adds up the demand of peers and computes this node's shares.

use crate::Now;
use crate::demand::{Announcer, Budget, Demand, Limit};
use crate::group::Group;
use crate::item::{Observation, Team};
use crate::partition::{Context, Partition, Sum};
use crate::peer::{Peer, State};
use crate::settings::SMALL_GROUP_NODES;
use crate::share::{self, Input};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Times and bounds of the computation of shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two steps. In each, demand is announced and shares are computed.
    pub step_interval: Duration,
    /// Length of the window of a small group, in steps.
    pub small_group_window_steps: usize,
    /// Constant part of the window, in steps. Within the window an announcement must reach every node and be
    /// counted there.
    pub base_window_steps: usize,
    /// Number of steps added to the window per factor of ten in the number of nodes.
    pub window_steps_per_decade: f64,
    /// Largest number of demand items that all nodes together publish per second.
    pub max_group_items_per_second: f64,
    /// Largest number of demand items that one node publishes per second.
    pub max_node_items_per_second: f64,
    /// Time for which the demand of a dead peer still counts.
    pub dead_demand_retention: Duration,
    /// Number of steps after a start or a pause in which a node takes only its floor, because it does not yet
    /// know what its peers have announced.
    pub settle_steps: usize,
    /// Time between two steps above which this process counts as having been paused.
    pub pause_threshold: Duration,
    /// Smallest number of nodes assumed until the instance list was read.
    pub expected_nodes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step_interval: Duration::from_secs(1),
            small_group_window_steps: 5,
            base_window_steps: 4,
            window_steps_per_decade: 3.0,
            max_group_items_per_second: 400.0,
            max_node_items_per_second: 50.0,
            dead_demand_retention: Duration::from_secs(10),
            settle_steps: 3,
            pause_threshold: Duration::from_secs(2),
            expected_nodes: 8,
        }
    }
}

impl Settings {
    /// Returns the length of the window in a group of `nodes` nodes, in steps. The time in which an item spreads
    /// by exchanges grows with the logarithm of that number.
    pub fn window_steps(&self, nodes: usize) -> usize {
        if nodes <= SMALL_GROUP_NODES {
            return self.small_group_window_steps;
        }
        let scale = (nodes as f64).log10();
        self.base_window_steps + (self.window_steps_per_decade * scale).ceil() as usize
    }
}

/// A node's share of a team's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests started per second.
    pub rate: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// Result of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Observations to be passed to [`crate::event::Event::Publish`].
    pub publish: Vec<Observation>,
    /// Shares by team, in the order of the limits.
    pub shares: Vec<Share>,
}

/// Number of windows for which a peer that returned from another side still counts as far, for the early and
/// the late partition. Within the first window, announcements of the peer are still in flight. Within the
/// second, the smaller of the two shares applies, since nodes do not switch at the same time: one that
/// already splits the pool with the returned peers must not coincide with one that still has the old
/// fraction of its side.
const LINGER_WINDOWS: [u32; 2] = [1, 2];

/// State of the computation of a node's shares.
#[derive(Clone, Debug)]
pub struct Teams {
    settings: Settings,
    teams: Vec<Team>,
    index: HashMap<Team, usize>,
    announcer: Announcer,
    /// The division of the group, as it is after the first and after the second linger time.
    partitions: [Partition; 2],
    last_step: Option<Now>,
    /// Steps since the start or the last pause.
    steps_since_start: usize,
    shares: Vec<Share>,
}

impl Teams {
    /// Creates a state without teams.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            teams: Vec::new(),
            index: HashMap::new(),
            announcer: Announcer::default(),
            partitions: LINGER_WINDOWS.map(Partition::new),
            last_step: None,
            steps_since_start: 0,
            shares: Vec::new(),
        }
    }

    /// Announces `demands` and computes the shares. Returns the previous shares if less than a step has passed
    /// since the last one. Both slices have the same teams in the same order.
    ///
    /// Shares are valid for one step. If the next ones are late by more than [`Settings::pause_threshold`],
    /// the caller must enforce only the floor, since the shares of peers may have grown in the meantime.
    pub fn step(&mut self, now: Now, group: &Group, limits: &[Limit], demands: &[Demand]) -> Step {
        assert_eq!(limits.len(), demands.len(), "one demand per limit");
        let gap = self.last_step.map(|s| now.saturating_sub(s));
        let teams_changed = self.remap(limits);
        if !teams_changed && gap.is_some_and(|g| g < self.settings.step_interval) {
            return Step {
                publish: Vec::new(),
                shares: self.shares.clone(),
            };
        }
        if gap.is_some_and(|g| g > self.settings.pause_threshold) {
            // Announcements of peers were not read during the pause, and the shares of peers may have grown
            // at the expense of this node: it restarts from the floor.
            self.steps_since_start = 0;
            self.announcer.clear();
        }
        self.last_step = Some(now);
        self.steps_since_start += 1;
        let nodes = self.existing_nodes(group);
        let publish = self
            .announcer
            .step(now, self.budget(nodes), limits, demands);
        self.shares = self.compute_shares(now, group, limits, nodes);
        self.assert_within_limits(limits);
        Step {
            publish,
            shares: self.shares.clone(),
        }
    }

    /// Returns the shares of the last step.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    /// Returns the number of existing nodes, at least the expected one until the instance list was read.
    fn existing_nodes(&self, group: &Group) -> usize {
        let list_unread = group.listed().next().is_none();
        let min_nodes = if list_unread {
            self.settings.expected_nodes
        } else {
            1
        };
        group.node_count().max(min_nodes)
    }

    /// Returns the bounds of the announcements of a step.
    fn budget(&self, nodes: usize) -> Budget {
        let rate = (self.settings.max_group_items_per_second / nodes as f64)
            .min(self.settings.max_node_items_per_second);
        Budget {
            items_per_second: rate,
            window_steps: self.settings.window_steps(nodes),
            nodes,
        }
    }

    /// Reorders all tables for the teams of a new bundle. Returns whether the teams changed.
    fn remap(&mut self, limits: &[Limit]) -> bool {
        if limits.iter().map(|l| l.team).eq(self.teams.iter().copied()) {
            return false;
        }
        let old: Vec<Option<usize>> = limits
            .iter()
            .map(|l| self.index.get(&l.team).copied())
            .collect();
        self.announcer.remap(&old);
        self.partitions.iter_mut().for_each(|s| s.remap(&old));
        self.teams = limits.iter().map(|l| l.team).collect();
        self.index = self
            .teams
            .iter()
            .enumerate()
            .map(|(i, t)| (*t, i))
            .collect();
        true
    }

    fn compute_shares(
        &mut self,
        now: Now,
        group: &Group,
        limits: &[Limit],
        nodes: usize,
    ) -> Vec<Share> {
        if self.steps_since_start <= self.settings.settle_steps {
            return limits.iter().map(|l| floor_share(l, nodes)).collect();
        }
        let window = self.settings.step_interval * self.settings.window_steps(nodes) as u32;
        let cx = Context {
            now,
            group,
            limits,
            index: &self.index,
            announcer: &self.announcer,
            nodes,
            window,
            dead_demand_retention: self.settings.dead_demand_retention,
        };
        self.partitions.iter_mut().for_each(|s| s.update(&cx));
        let steps = self.settings.window_steps(nodes) + self.suspicion_steps(now, group);
        let [early, late] = &self.partitions;
        let shares = shares_for(&cx, early, steps);
        if late.is_joined() {
            return shares;
        }
        let others = shares_for(&cx, late, steps);
        shares
            .into_iter()
            .zip(others)
            .map(|(a, b)| a.min(b))
            .collect()
    }

    /// Returns the number of steps since the loss of the earliest suspect whose availability zone has not
    /// answered since. Until it is known whether that zone parted, own demand counts as it was before the
    /// loss: an increase since then may not have reached the other side.
    fn suspicion_steps(&self, now: Now, group: &Group) -> usize {
        let undecided = |p: &&Peer| p.state == State::Suspect && p.zone_alive_since.is_none();
        let suspects = group.roster().iter().filter(undecided);
        let age = suspects
            .map(|p| now.saturating_sub(p.lost_at))
            .max()
            .unwrap_or_default();
        age.div_duration_f64(self.settings.step_interval).ceil() as usize
    }

    /// Asserts that no share is negative or above its limit.
    fn assert_within_limits(&self, limits: &[Limit]) {
        for (share, limit) in self.shares.iter().zip(limits) {
            let fits = |s: f64, l: f64| s >= 0.0 && s <= l * (1.0 + 1e-9);
            let within = fits(share.rate, limit.rate) && fits(share.in_flight, limit.in_flight);
            assert!(within, "share {share:?} of {limit:?}");
        }
    }
}

/// Returns the floor of a node.
fn floor_share(limit: &Limit, nodes: usize) -> Share {
    let rate = share::floor(limit.rate, nodes);
    Share {
        rate,
        in_flight: share::floor(limit.in_flight, nodes),
    }
}

/// Computes the shares of all teams for one division of the group. `steps` is the window of own demand.
fn shares_for(cx: &Context, partition: &Partition, steps: usize) -> Vec<Share> {
    let sums = partition.demand_sums(cx);
    let near_nodes = partition.near_nodes(cx);
    let rows = cx.limits.iter().enumerate();
    rows.map(|(row, limit)| team_share(cx, partition, near_nodes, steps, (row, limit, &sums[row])))
        .collect()
}

/// Computes the share of one team, given its index, its limit and the demand of peers.
fn team_share(
    cx: &Context,
    partition: &Partition,
    near_nodes: usize,
    steps: usize,
    team: (usize, &Limit, &Sum),
) -> Share {
    let (row, limit, sum) = team;
    let own = cx
        .announcer
        .row(row)
        .map(|r| r.min_over(steps))
        .unwrap_or_default();
    let (side, others) = (partition.pool(row), sum.near);
    let input = |limit, side, own, others| Input {
        limit,
        nodes: cx.nodes,
        near_nodes,
        side_fraction: side,
        own_demand: own,
        others_demand: others,
    };
    let rate = input(limit.rate, side.rate, own.rate, others.rate);
    let slots = input(
        limit.in_flight,
        side.in_flight,
        own.in_flight,
        others.in_flight,
    );
    Share {
        rate: share::node_share(&rate),
        in_flight: share::node_share(&slots),
    }
}

impl Share {
    fn min(self, other: Self) -> Self {
        let rate = self.rate.min(other.rate);
        Self {
            rate,
            in_flight: self.in_flight.min(other.in_flight),
        }
    }
}

impl fmt::Display for Teams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "steps {} parted {}",
            self.steps_since_start,
            self.partitions[0].len()
        )?;
        for (team, share) in self.teams.iter().zip(&self.shares) {
            writeln!(
                f,
                "team {team:x} rate {:.3} in-flight {:.3}",
                share.rate, share.in_flight
            )?;
        }
        Ok(())
    }
}
