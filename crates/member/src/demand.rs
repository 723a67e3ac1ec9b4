//! Announces a node's own demand: the largest changes first, within a budget of items.

use crate::Now;
use crate::item::{Observation, Team};
use crate::level::Level;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of levels (of 19% each) by which a demand must change to be announced again.
const MIN_LEVEL_CHANGE: u8 = 2;
/// Number of remembered steps: the longest time that a group may take to detect that it is parted.
const MAX_HISTORY_STEPS: usize = 30;

/// Demand of one team at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second that callers send, whether admitted or not.
    pub rate: f64,
    /// Requests in flight or waiting for a slot.
    pub in_flight: f64,
}

/// A team's limits across all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The team.
    pub team: Team,
    /// Requests started per second.
    pub rate: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// Announced demand of one team over the remembered steps.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    latest: (Level, Level),
    history: VecDeque<(Level, Level)>,
}

impl Announced {
    /// Records the announced levels of a step. Keeps at least `window` steps.
    fn record(&mut self, levels: (Level, Level), window: usize) {
        self.latest = levels;
        self.history.push_back(levels);
        while self.history.len() > window.max(MAX_HISTORY_STEPS) {
            self.history.pop_front();
        }
    }

    /// Returns the smallest demand announced within the last `window` steps; zero until that many steps
    /// are recorded.
    pub fn min_over(&self, window: usize) -> Demand {
        let window = window.min(MAX_HISTORY_STEPS);
        if self.history.len() < window {
            return Demand::default();
        }
        let recent = || self.history.iter().rev().take(window);
        let rate = recent().map(|l| l.0).min().unwrap_or_default();
        let in_flight = recent().map(|l| l.1).min().unwrap_or_default();
        Demand {
            rate: rate.amount(),
            in_flight: in_flight.amount(),
        }
    }

    /// Returns the smallest demand announced within the remembered steps.
    pub fn min_remembered(&self) -> Demand {
        self.min_over(MAX_HISTORY_STEPS.min(self.history.len()))
    }

    /// Returns the demand announced last.
    pub fn latest(&self) -> Demand {
        Demand {
            rate: self.latest.0.amount(),
            in_flight: self.latest.1.amount(),
        }
    }

    /// Discards the history, so that no own demand counts until the window is full again.
    fn clear(&mut self) {
        self.history.clear();
    }
}

/// Announced own demand of all teams, by index of the team.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    rows: Vec<Announced>,
    credit: f64,
    last_step: Option<Now>,
}

/// A change of demand that is large enough to be announced.
struct Change {
    row: usize,
    levels: (Level, Level),
    weight: f64,
}

impl Announcer {
    /// Reorders the rows for a new list of teams; `old` holds the former index of each team.
    pub(crate) fn remap(&mut self, old: &[Option<usize>]) {
        let row = |o: &Option<usize>| {
            o.and_then(|i| self.rows.get(i).cloned())
                .unwrap_or_default()
        };
        self.rows = old.iter().map(row).collect();
    }

    /// Discards the history of all teams.
    pub(crate) fn clear(&mut self) {
        self.rows.iter_mut().for_each(Announced::clear);
    }

    /// Returns the announced demand of the team with index `row`.
    pub fn row(&self, row: usize) -> Option<&Announced> {
        self.rows.get(row)
    }

    /// Returns the observations to publish now, at most `budget.items_per_second` on average. Demand
    /// within the floor, which every node has in any case, is announced as zero.
    pub(crate) fn step(
        &mut self,
        now: Now,
        budget: Budget,
        limits: &[Limit],
        demands: &[Demand],
    ) -> Vec<Observation> {
        let gap = self
            .last_step
            .map_or(Duration::from_secs(1), |s| now.saturating_sub(s));
        self.last_step = Some(now);
        let max_credit = (budget.items_per_second * 4.0).max(1.0);
        self.credit = (self.credit + budget.items_per_second * gap.as_secs_f64()).min(max_credit);
        let mut changes = self.changes(budget.nodes, limits, demands);
        changes.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.row.cmp(&b.row)));
        changes.truncate(self.credit as usize);
        self.credit -= changes.len() as f64;
        let mut levels: Vec<(Level, Level)> = self.rows.iter().map(|r| r.latest).collect();
        changes.iter().for_each(|c| levels[c.row] = c.levels);
        for (row, levels) in self.rows.iter_mut().zip(levels) {
            row.record(levels, budget.window_steps);
        }
        let body = |c: Change| {
            let (rate, in_flight) = c.levels;
            Observation::Demand {
                team: limits[c.row].team,
                rate,
                in_flight,
            }
        };
        changes.into_iter().map(body).collect()
    }

    fn changes(&self, nodes: usize, limits: &[Limit], demands: &[Demand]) -> Vec<Change> {
        let rows = self.rows.iter().zip(limits.iter().zip(demands)).enumerate();
        let change = |(row, (old, (limit, demand))): (usize, (&Announced, (&Limit, &Demand)))| {
            let rate = announced_level(demand.rate, limit.rate, nodes);
            let in_flight = announced_level(demand.in_flight, limit.in_flight, nodes);
            let weight = change_weight(old.latest.0, rate, limit.rate).max(change_weight(
                old.latest.1,
                in_flight,
                limit.in_flight,
            ));
            (weight > 0.0).then_some(Change {
                row,
                levels: (rate, in_flight),
                weight,
            })
        };
        rows.filter_map(change).collect()
    }
}

/// Bounds of the announcements of one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// Items per second.
    pub(crate) items_per_second: f64,
    /// Number of steps in the window.
    pub(crate) window_steps: usize,
    /// Number of existing nodes.
    pub(crate) nodes: usize,
}

/// Returns the level to announce for a demand; zero if the floor covers it.
fn announced_level(demand: f64, limit: f64, nodes: usize) -> Level {
    // Demand beyond the limit cannot be served anywhere and would only reduce the shares of other nodes.
    let demand = demand.min(limit);
    match demand <= crate::share::floor(limit, nodes) {
        true => Level(0),
        false => Level::of(demand),
    }
}

/// Returns the change as a fraction of the limit, by which changes are ranked; zero if the change is too
/// small to announce.
fn change_weight(old: Level, new: Level, limit: f64) -> f64 {
    let zero = (old.0 == 0) != (new.0 == 0);
    if limit <= 0.0 || (!zero && old.distance(new) < MIN_LEVEL_CHANGE) {
        return 0.0;
    }
    (old.amount() - new.amount()).abs() / limit
}
