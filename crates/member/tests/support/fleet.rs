//! Shares of team limits on all nodes of a simulated network, and their sums.
#![allow(dead_code)]

use crate::net::{Net, ms};
use member::Now;
use member::demand::{Demand, Limit};
use member::event::Event;
use member::item::{Observation, team};
use member::share::{self, Input};
use member::team::{Settings, Share, Teams};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Policy by which shares are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the crate: own demand counts as the smallest value within a window.
    Window,
    /// The limit divided by the number of nodes, whatever the demand.
    Equal,
    /// By demand, with own demand counted at once: the error that the window avoids.
    Now,
}

/// Summary of a run, as fractions of the limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Largest excess of a sum of shares over its limit.
    pub max_overshoot: f64,
    /// Fraction of the samples above the limit.
    pub time_above: f64,
    /// Mean sum of shares.
    pub mean_sum: f64,
    /// Mean fraction of the demand within the limits that the shares admit.
    pub served: f64,
}

/// The shares of all teams on all nodes.
pub struct Fleet {
    /// Limits of the teams.
    pub limits: Vec<Limit>,
    /// Demand by node and team.
    pub demands: Vec<Vec<Demand>>,
    policy: Policy,
    settings: Settings,
    teams: Vec<Teams>,
    shares: Vec<Vec<Share>>,
    next_step: Vec<Now>,
    rng: ChaCha8Rng,
    /// Sum of shares as a fraction of the limit, served fraction of the demand within the limit, and demand in
    /// requests per second, for each sample and team.
    samples: Vec<(f64, f64, f64)>,
}

impl Fleet {
    /// Creates a fleet with `teams` teams, whose demand [`Fleet::change_demand`] changes.
    pub fn new(nodes: usize, teams: usize, seed: u64, policy: Policy) -> Self {
        let limit = |t: usize| {
            let rate = 100.0 * (1 + t % 5) as f64;
            Limit {
                team: team(&format!("team-{t}")),
                rate,
                in_flight: rate * 2.0,
            }
        };
        let mut fleet = Self {
            limits: (0..teams).map(limit).collect(),
            demands: vec![vec![Demand::default(); teams]; nodes],
            policy,
            settings: Settings::default(),
            teams: (0..nodes)
                .map(|_| Teams::new(Settings::default()))
                .collect(),
            shares: vec![vec![Share::default(); teams]; nodes],
            next_step: vec![Now::ZERO; nodes],
            rng: ChaCha8Rng::seed_from_u64(seed),
            samples: Vec::new(),
        };
        fleet.change_demand();
        fleet
    }

    /// Changes the demand: each team demands 0.3 to 3 times its limit, at a random subset of the nodes,
    /// sometimes at a single one.
    pub fn change_demand(&mut self) {
        let nodes = self.demands.len();
        for (row, limit) in self.limits.iter().enumerate() {
            let total = limit.rate * self.rng.random_range(0.3..3.0);
            let busy_ratio: f64 = [0.0, 0.2, 0.6, 1.0][self.rng.random_range(0..4)];
            let mut weights: Vec<f64> = (0..nodes)
                .map(|_| {
                    if self.rng.random_bool(busy_ratio) {
                        self.rng.random_range(0.1..1.0)
                    } else {
                        0.0
                    }
                })
                .collect();
            weights[self.rng.random_range(0..nodes)] += 1.0;
            let sum: f64 = weights.iter().sum();
            for (node, weight) in weights.iter().enumerate() {
                let rate = total * weight / sum;
                self.demands[node][row] = Demand {
                    rate,
                    in_flight: rate * 2.0,
                };
            }
        }
    }

    /// Restarts the shares of all nodes with other settings.
    pub fn reset_with(&mut self, settings: &Settings) {
        self.settings = settings.clone();
        self.teams
            .iter_mut()
            .for_each(|t| *t = Teams::new(settings.clone()));
    }

    /// Restarts the shares of one node, as after a restart of its process.
    pub fn restart(&mut self, node: usize) {
        self.teams[node] = Teams::new(self.settings.clone());
        self.shares[node] = vec![Share::default(); self.limits.len()];
    }

    /// Discards the samples.
    pub fn clear_samples(&mut self) {
        self.samples.clear();
    }

    /// Runs the network until `to` and samples all shares every 250 ms.
    pub fn run(&mut self, net: &mut Net, to: Now) {
        while net.now < to {
            let at = (net.now + ms(250)).min(to);
            net.run_with(at, |net, index| self.step(net, index));
            self.sample(net);
        }
        net.verify();
    }

    fn step(&mut self, net: &mut Net, index: usize) {
        if net.now < self.next_step[index] {
            return;
        }
        self.next_step[index] = net.now + ms(1000);
        let now = net.now.saturating_sub(net.nodes[index].started);
        let Some(group) = net.group(index) else {
            return;
        };
        let step = self.teams[index].step(now, group, &self.limits, &self.demands[index]);
        let shares = match self.policy {
            Policy::Window => step.shares,
            Policy::Equal => self.equal_shares(group.node_count()),
            Policy::Now => self.immediate_shares(group, index),
        };
        self.shares[index] = shares;
        net.event(index, Event::Publish(step.publish));
    }

    fn equal_shares(&self, nodes: usize) -> Vec<Share> {
        let part = |l: &Limit| Share {
            rate: l.rate / nodes as f64,
            in_flight: l.in_flight / nodes as f64,
        };
        self.limits.iter().map(part).collect()
    }

    fn immediate_shares(&self, group: &member::group::Group, index: usize) -> Vec<Share> {
        let nodes = group.node_count();
        let row = |(row, limit): (usize, &Limit)| {
            let others = group.roster().iter().filter(|p| p.id != group.me());
            let items = others
                .flat_map(|p| group.store().items(p.id))
                .map(|(_, s)| &s.body);
            let rate = |b: &Observation| match b {
                Observation::Demand { team, rate, .. } if *team == limit.team => rate.amount(),
                _ => 0.0,
            };
            let others = items.map(rate).sum();
            let own = self.demands[index][row].rate;
            let input = Input {
                limit: limit.rate,
                nodes,
                near_nodes: nodes,
                side_fraction: 1.0,
                own_demand: own,
                others_demand: others,
            };
            let rate = share::node_share(&input);
            Share {
                rate,
                in_flight: rate * 2.0,
            }
        };
        self.limits.iter().enumerate().map(row).collect()
    }

    fn sample(&mut self, net: &Net) {
        for (row, limit) in self.limits.iter().enumerate() {
            // A paused process admits no request.
            let runs = |i: &usize| net.group(*i).is_some() && net.nodes[*i].paused_until <= net.now;
            let live = (0..self.shares.len()).filter(runs);
            let (mut sum, mut slots, mut used, mut wanted) = (0.0, 0.0, 0.0, 0.0);
            for node in live {
                let (share, demand) = (self.shares[node][row], self.demands[node][row]);
                sum += share.rate;
                slots += share.in_flight;
                used += share.rate.min(demand.rate);
                wanted += demand.rate;
            }
            let could = wanted.min(limit.rate);
            let served = if could > 0.0 {
                (used / could).min(1.0)
            } else {
                1.0
            };
            let whole = (sum / limit.rate).max(slots / limit.in_flight);
            self.samples.push((whole, served, wanted));
        }
    }

    /// Returns the largest sum of shares of any team, as a fraction of its limit.
    pub fn max_share_sum(&self) -> f64 {
        self.samples.iter().map(|s| s.0).fold(0.0, f64::max)
    }

    /// Returns the summary of the samples.
    pub fn summary(&self) -> Summary {
        let n = self.samples.len().max(1) as f64;
        let above = self.samples.iter().filter(|s| s.0 > 1.0 + 1e-9).count() as f64;
        Summary {
            max_overshoot: (self.max_share_sum() - 1.0).max(0.0),
            time_above: above / n,
            mean_sum: self.samples.iter().map(|s| s.0).sum::<f64>() / n,
            served: self.samples.iter().map(|s| s.1).sum::<f64>() / n,
        }
    }
}
