//! Team limits across all nodes: own demand announced, peers' demand added up, shares computed.

use crate::Now;
use crate::demand::{Announcer, Budget, Demand, Limit};
use crate::group::Group;
use crate::identity::Id;
use crate::item::{Body, Team};
use crate::level::Level;
use crate::peer::{Peer, State};
use crate::settings::SMALL;
use crate::share::{self, Input};
use crate::store::LOW;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// Times and bounds of shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Shares are computed and demand is announced once per step.
    pub step: Duration,
    /// Steps of the window of a small group.
    pub small: usize,
    /// Steps of the window in which a report must reach every node and be counted there, without
    /// those that grow with the group.
    pub window: usize,
    /// Steps of the window per factor of ten in the number of nodes.
    pub grow: f64,
    /// Demand items per second that all nodes together may publish.
    pub items: f64,
    /// Demand items per second that one node may publish.
    pub own: f64,
    /// How long a dead peer's demand still counts.
    pub hold: Duration,
    /// Steps after a start or a pause in which a node takes only its floor, until it has
    /// caught up with what the others announced.
    pub settle: usize,
    /// A gap between steps above this is a pause.
    pub pause: Duration,
    /// Nodes that exist at least, until the instance list was read.
    pub expected: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_secs(1),
            small: 5,
            window: 4,
            grow: 3.0,
            items: 500.0,
            own: 50.0,
            hold: Duration::from_secs(10),
            settle: 3,
            pause: Duration::from_secs(2),
            expected: 8,
        }
    }
}

impl Settings {
    /// Steps of the window among `nodes`: exchanges spread in a time that grows with the
    /// logarithm of the group.
    pub fn window(&self, nodes: usize) -> usize {
        if nodes <= SMALL {
            return self.small;
        }
        let scale = (nodes as f64).log10();
        self.window + (self.grow * scale).ceil() as usize
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
    pub publish: Vec<Body>,
    /// By team, in the order of the limits.
    pub shares: Vec<Share>,
}

/// Demand announced by peers of one team.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    near: Demand,
    far: Demand,
    /// The least that the near ones announced of late.
    low: Demand,
}

/// Part of a team's pools that belongs to this side.
#[derive(Clone, Copy, Debug)]
struct Side {
    rate: f64,
    in_flight: f64,
}

const WHOLE: Side = Side {
    rate: 1.0,
    in_flight: 1.0,
};

/// The state of a node's shares.
#[derive(Clone, Debug)]
pub struct Teams {
    settings: Settings,
    teams: Vec<Team>,
    index: HashMap<Team, usize>,
    announcer: Announcer,
    sides: Vec<Side>,
    /// Parted peers, and those back for less than a window, with when they were last parted.
    far: BTreeMap<Id, Now>,
    stepped: Option<Now>,
    steps: usize,
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
            sides: Vec::new(),
            far: BTreeMap::new(),
            stepped: None,
            steps: 0,
            shares: Vec::new(),
        }
    }

    /// Announces `demands` and computes the shares, unless the last step was less than a step
    /// ago; then the shares are those of the last step. Both slices go by the same teams.
    pub fn step(&mut self, now: Now, group: &Group, limits: &[Limit], demands: &[Demand]) -> Step {
        assert_eq!(limits.len(), demands.len(), "one demand per limit");
        let gap = self.stepped.map(|s| now.saturating_sub(s));
        let fresh = self.remap(limits);
        if !fresh && gap.is_some_and(|g| g < self.settings.step) {
            return Step {
                publish: Vec::new(),
                shares: self.shares.clone(),
            };
        }
        if gap.is_some_and(|g| g > self.settings.pause) {
            // What peers announced meanwhile was not read, so others may have grown at this
            // node's expense: it starts again from the floor.
            self.steps = 0;
            self.announcer.clear();
        }
        self.stepped = Some(now);
        self.steps += 1;
        let nodes = self.nodes(group);
        let budget = self.budget(nodes);
        let publish = self.announcer.step(now, budget, limits, demands);
        self.part(now, group, limits, nodes);
        let sums = self.sums(now, group);
        self.shares = self.compute(now, group, limits, &sums, nodes);
        self.check(limits);
        Step {
            publish,
            shares: self.shares.clone(),
        }
    }

    /// The shares of the last step.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }

    fn nodes(&self, group: &Group) -> usize {
        let unread = group.listed().next().is_none();
        let least = if unread { self.settings.expected } else { 1 };
        group.size().max(least)
    }

    fn budget(&self, nodes: usize) -> Budget {
        let rate = (self.settings.items / nodes as f64).min(self.settings.own);
        Budget {
            rate,
            window: self.settings.window(nodes),
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
        let side = |o: &Option<usize>| o.and_then(|i| self.sides.get(i).copied()).unwrap_or(WHOLE);
        self.sides = old.iter().map(side).collect();
        self.teams = limits.iter().map(|l| l.team).collect();
        self.index = self
            .teams
            .iter()
            .enumerate()
            .map(|(i, t)| (*t, i))
            .collect();
        true
    }

    /// Follows the group as it parts and joins again. The split between the sides stays as it
    /// was when they parted, since neither side sees how the demand of the other one changes.
    fn part(&mut self, now: Now, group: &Group, limits: &[Limit], nodes: usize) {
        let window = self.settings.step * self.settings.window(nodes) as u32;
        let gone: Vec<Id> = parted(group)
            .filter(|id| !self.far.contains_key(id))
            .collect();
        if !gone.is_empty() {
            self.depart(now, group, limits, nodes, &gone);
        }
        for id in parted(group) {
            self.far.insert(id, now);
        }
        let back = |(id, last): (&Id, &Now)| {
            let over = now.saturating_sub(*last) > window;
            (over || group.roster().get(*id).is_none()).then_some(*id)
        };
        let back: Vec<Id> = self.far.iter().filter_map(back).collect();
        if !back.is_empty() {
            self.rejoin(now, group, limits, nodes, &back);
        }
        if self.far.is_empty() {
            self.sides.iter_mut().for_each(|s| *s = WHOLE);
        }
    }

    /// The other side goes by what it knew of this one before they parted. Demand that grew here
    /// about then may not have got across, so this side counts only the least of it of late: the
    /// parts of both sides then add up to no more than the whole.
    fn depart(&mut self, now: Now, group: &Group, limits: &[Limit], nodes: usize, gone: &[Id]) {
        let before = self.sums(now, group);
        let near = self.near(group);
        gone.iter().for_each(|id| _ = self.far.insert(*id, now));
        let after = self.sums(now, group);
        let left = near.saturating_sub(gone.len()) as f64;
        let gone = gone.len() as f64;
        for (row, limit) in limits.iter().enumerate() {
            let own = self
                .announcer
                .row(row)
                .map(|r| r.lowest())
                .unwrap_or_default();
            let (before, after) = (&before[row], &after[row]);
            let side = &mut self.sides[row];
            let base = share::base(limit.rate, nodes);
            let stay = own.rate + after.low.rate + base * left;
            let go = before.near.rate - after.near.rate + base * gone;
            side.rate = share::part(side.rate, stay, go);
            let base = share::base(limit.in_flight, nodes);
            let stay = own.in_flight + after.low.in_flight + base * left;
            let go = before.near.in_flight - after.near.in_flight + base * gone;
            side.in_flight = share::part(side.in_flight, stay, go);
        }
    }

    fn rejoin(&mut self, now: Now, group: &Group, limits: &[Limit], nodes: usize, back: &[Id]) {
        let before = self.sums(now, group);
        let far = self.far.len();
        back.iter().for_each(|id| _ = self.far.remove(id));
        let after = self.sums(now, group);
        for (row, limit) in limits.iter().enumerate() {
            let side = &mut self.sides[row];
            let weigh = |before: f64, after: f64, base: f64| {
                (
                    before + base * far as f64,
                    before - after + base * back.len() as f64,
                )
            };
            let base = share::base(limit.rate, nodes);
            let (all, some) = weigh(before[row].far.rate, after[row].far.rate, base);
            side.rate = share::rejoin(side.rate, all, some);
            let base = share::base(limit.in_flight, nodes);
            let (b, a) = (before[row].far.in_flight, after[row].far.in_flight);
            let (all, some) = weigh(b, a, base);
            side.in_flight = share::rejoin(side.in_flight, all, some);
        }
    }

    /// Nodes on this side, this one among them.
    fn near(&self, group: &Group) -> usize {
        group
            .roster()
            .iter()
            .filter(|p| !self.far.contains_key(&p.id))
            .count()
    }

    /// Adds up what peers announced. A dead peer counts for a while: it may only be cut off, and
    /// its requests in flight may still run.
    fn sums(&self, now: Now, group: &Group) -> Vec<Sum> {
        let mut sums = vec![Sum::default(); self.teams.len()];
        let hold = self.settings.hold;
        let over = |p: &&Peer| p.state == State::Dead && now.saturating_sub(p.since) >= hold;
        let peers = group
            .roster()
            .iter()
            .filter(|p| p.id != group.me() && !over(p));
        for peer in peers {
            let far = self.far.contains_key(&peer.id);
            for (_, slot) in group.store().of(peer.id) {
                let Body::Demand {
                    team,
                    rate,
                    in_flight,
                } = &slot.body
                else {
                    continue;
                };
                let Some(row) = self.index.get(team) else {
                    continue;
                };
                if far {
                    add(&mut sums[*row].far, *rate, *in_flight);
                    continue;
                }
                add(&mut sums[*row].near, *rate, *in_flight);
                let (rate, in_flight) = slot.least(now, LOW);
                add(&mut sums[*row].low, rate, in_flight);
            }
        }
        sums
    }

    /// Steps since a peer that is suspected was lost. Until it is known whether it parted, the
    /// own demand of before then counts: what grew since may not have reached the other side.
    fn doubt(&self, now: Now, group: &Group) -> usize {
        let suspects = group.roster().iter().filter(|p| p.state == State::Suspect);
        let age = suspects
            .map(|p| now.saturating_sub(p.lost))
            .max()
            .unwrap_or_default();
        age.div_duration_f64(self.settings.step).ceil() as usize
    }

    fn compute(
        &self,
        now: Now,
        group: &Group,
        limits: &[Limit],
        sums: &[Sum],
        nodes: usize,
    ) -> Vec<Share> {
        let near = match self.far.is_empty() {
            true => nodes,
            false => self.near(group).max(1),
        };
        let window = self.settings.window(nodes) + self.doubt(now, group);
        let settled = self.steps > self.settings.settle;
        let share = |(row, limit): (usize, &Limit)| {
            if !settled {
                let rate = share::floor(limit.rate, nodes);
                return Share {
                    rate,
                    in_flight: share::floor(limit.in_flight, nodes),
                };
            }
            let own = self
                .announcer
                .row(row)
                .map(|r| r.least(window))
                .unwrap_or_default();
            let (sum, side) = (sums[row].near, self.sides[row]);
            let input = |limit, side, own, others| Input {
                limit,
                nodes,
                near,
                side,
                own,
                others,
            };
            let rate = input(limit.rate, side.rate, own.rate, sum.rate);
            let slots = input(
                limit.in_flight,
                side.in_flight,
                own.in_flight,
                sum.in_flight,
            );
            Share {
                rate: share::split(&rate),
                in_flight: share::split(&slots),
            }
        };
        limits.iter().enumerate().map(share).collect()
    }

    /// A share is never negative and never above the limit.
    fn check(&self, limits: &[Limit]) {
        for (share, limit) in self.shares.iter().zip(limits) {
            let fits = |s: f64, l: f64| s >= 0.0 && s <= l * (1.0 + 1e-9);
            let whole = fits(share.rate, limit.rate) && fits(share.in_flight, limit.in_flight);
            assert!(whole, "share {share:?} of {limit:?}");
        }
    }
}

fn add(sum: &mut Demand, rate: Level, in_flight: Level) {
    sum.rate += rate.amount();
    sum.in_flight += in_flight.amount();
}

fn parted(group: &Group) -> impl Iterator<Item = Id> {
    group
        .roster()
        .iter()
        .filter(|p| p.state == State::Parted)
        .map(|p| p.id)
}

impl fmt::Display for Teams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "steps {} parted {}", self.steps, self.far.len())?;
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
