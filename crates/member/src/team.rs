//! Team limits across all nodes: own demand announced, peers' demand added up, shares computed.

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

/// Times and bounds of shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Shares are computed and demand is announced once per step.
    pub step_interval: Duration,
    /// Steps of the window of a small group.
    pub small_group_window_steps: usize,
    /// Steps of the window in which a report must reach every node and be counted there, without
    /// those that grow with the group.
    pub base_window_steps: usize,
    /// Steps of the window per factor of ten in the number of nodes.
    pub window_steps_per_decade: f64,
    /// Demand items per second that all nodes together may publish.
    pub max_group_items_per_second: f64,
    /// Demand items per second that one node may publish.
    pub max_node_items_per_second: f64,
    /// How long a dead peer's demand still counts.
    pub dead_demand_retention: Duration,
    /// Steps after a start or a pause in which a node takes only its floor, until it has
    /// caught up with what the others announced.
    pub settle_steps: usize,
    /// A gap between steps above this is a pause.
    pub pause_threshold: Duration,
    /// Nodes that exist at least, until the instance list was read.
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
    /// Steps of the window among `nodes`: exchanges spread in a time that grows with the
    /// logarithm of the group.
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

/// What one step gives.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// To be given to [`crate::event::Event::Publish`].
    pub publish: Vec<Observation>,
    /// By team, in the order of the limits.
    pub shares: Vec<Share>,
}

/// Windows that a peer which came back counts as far, in the two ways to see it. For a window
/// the peers' reports are on their way. For one more the smaller of both shares is taken, since
/// the nodes do not change over all at once: a node that already counts with the others must not
/// meet one that still has its side's old part.
const LINGER_WINDOWS: [u32; 2] = [1, 2];

/// The state of a node's shares.
#[derive(Clone, Debug)]
pub struct Teams {
    settings: Settings,
    teams: Vec<Team>,
    index: HashMap<Team, usize>,
    announcer: Announcer,
    partitions: [Partition; 2],
    last_step: Option<Now>,
    steps_since_start: usize,
    shares: Vec<Share>,
}

impl Teams {
    /// No teams yet.
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

    /// Announces `demands` and computes the shares, unless the last step was less than a step
    /// ago; then the shares are those of the last step. Both slices go by the same teams.
    ///
    /// Shares hold for a step. Whoever enforces them must take only the floor if the next ones
    /// are more than [`Settings::pause`] late, since peers may have grown meanwhile.
    pub fn step(&mut self, now: Now, group: &Group, limits: &[Limit], demands: &[Demand]) -> Step {
        assert_eq!(limits.len(), demands.len(), "one demand per limit");
        let gap = self.last_step.map(|s| now.saturating_sub(s));
        let fresh = self.remap(limits);
        if !fresh && gap.is_some_and(|g| g < self.settings.step_interval) {
            return Step {
                publish: Vec::new(),
                shares: self.shares.clone(),
            };
        }
        if gap.is_some_and(|g| g > self.settings.pause_threshold) {
            // What peers announced meanwhile was not read, so others may have grown at this
            // node's expense: it starts again from the floor.
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

    /// The shares of the last step.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    fn existing_nodes(&self, group: &Group) -> usize {
        let unread = group.listed().next().is_none();
        let least = if unread {
            self.settings.expected_nodes
        } else {
            1
        };
        group.node_count().max(least)
    }

    fn budget(&self, nodes: usize) -> Budget {
        let rate = (self.settings.max_group_items_per_second / nodes as f64)
            .min(self.settings.max_node_items_per_second);
        Budget {
            items_per_second: rate,
            window_steps: self.settings.window_steps(nodes),
            nodes,
        }
    }

    /// Matches the tables to the teams of a new bundle. Whether they changed.
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

    /// Steps since a suspect was lost whose zone was not heard since. Until it is known whether the
    /// zone parted, the own demand of before then counts: what grew since may not have reached the other side.
    fn suspicion_steps(&self, now: Now, group: &Group) -> usize {
        let parting = |p: &&Peer| p.state == State::Suspect && p.zone_alive_since.is_none();
        let suspects = group.roster().iter().filter(parting);
        let age = suspects
            .map(|p| now.saturating_sub(p.lost_at))
            .max()
            .unwrap_or_default();
        age.div_duration_f64(self.settings.step_interval).ceil() as usize
    }

    /// A share is never negative and never above the limit.
    fn assert_within_limits(&self, limits: &[Limit]) {
        for (share, limit) in self.shares.iter().zip(limits) {
            let fits = |s: f64, l: f64| s >= 0.0 && s <= l * (1.0 + 1e-9);
            let whole = fits(share.rate, limit.rate) && fits(share.in_flight, limit.in_flight);
            assert!(whole, "share {share:?} of {limit:?}");
        }
    }
}

fn floor_share(limit: &Limit, nodes: usize) -> Share {
    let rate = share::floor(limit.rate, nodes);
    Share {
        rate,
        in_flight: share::floor(limit.in_flight, nodes),
    }
}

fn shares_for(cx: &Context, sides: &Partition, steps: usize) -> Vec<Share> {
    let sums = sides.demand_sums(cx);
    let near = sides.near_nodes(cx);
    let rows = cx.limits.iter().enumerate();
    rows.map(|(row, limit)| team_share(cx, sides, near, steps, (row, limit, &sums[row])))
        .collect()
}

fn team_share(
    cx: &Context,
    sides: &Partition,
    near: usize,
    steps: usize,
    team: (usize, &Limit, &Sum),
) -> Share {
    let (row, limit, sum) = team;
    let own = cx
        .announcer
        .row(row)
        .map(|r| r.min_over(steps))
        .unwrap_or_default();
    let (side, others) = (sides.pool(row), sum.near);
    let input = |limit, side, own, others| Input {
        limit,
        nodes: cx.nodes,
        near_nodes: near,
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
