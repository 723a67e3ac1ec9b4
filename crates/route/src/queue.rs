//! Queues: one line for each model and service, with urgent requests first and fair shares below.
//!
//! Within a line, urgent requests are ordered strictly by priority, then by arrival. The others are
//! ordered by stride scheduling on two levels: among priorities by their weights, then among teams
//! by theirs. A lane that was idle starts at the current pass of its level, so that idle time earns
//! no credit. Suspects wait separately, since they need endpoints of their own.

use crate::request::{Id, Target};
use bundle::id::{PriorityId, TeamId};
use std::collections::BTreeMap;

/// Entry of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Id of the request.
    pub id: Id,
    /// Sequence number of the request's arrival.
    pub seq: u64,
    /// Line that the request waits in.
    pub line: Target,
    /// Priority of the request.
    pub priority: PriorityId,
    /// Team of the request.
    pub team: TeamId,
    /// Scheduling rank.
    pub rank: Rank,
    /// Weight of the priority.
    pub priority_weight: u32,
    /// Weight of the team.
    pub team_weight: u32,
}

/// Scheduling rank of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Strictly before requests that are not urgent.
    Urgent,
    /// Needs endpoints of its own; the flag tells whether it is urgent.
    Suspect(bool),
    /// Ordered by fair shares.
    Fair,
}

/// Returns the line of a target. All adapters of a model share one line.
pub fn line(target: Target) -> Target {
    match target {
        Target::Model(model, _) => Target::Model(model, None),
        service => service,
    }
}

/// Maximum number of requests that one lane contributes to a window.
const WINDOW_PER_LANE: usize = 8;

/// Requests that wait for one model or service.
#[derive(Clone, Debug, Default)]
pub struct Line {
    urgent: BTreeMap<(PriorityId, u64), Id>,
    suspects: BTreeMap<(bool, u64), Id>,
    classes: BTreeMap<PriorityId, Class>,
    pass: f64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Class {
    weight: u32,
    pass: f64,
    /// Pass of the lane that was served last.
    current_pass: f64,
    len: usize,
    lanes: BTreeMap<TeamId, Lane>,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    weight: u32,
    pass: f64,
    ids: BTreeMap<u64, Id>,
}

/// Lines of all models and services.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Target, Line>,
    /// Number of waiting urgent requests.
    pub urgent_count: usize,
    /// Number of other waiting requests.
    pub fair_count: usize,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, entry: &Entry) {
        let line = self.lines.entry(entry.line).or_default();
        let inserted = match entry.rank {
            Rank::Urgent => line
                .urgent
                .insert((entry.priority, entry.seq), entry.id)
                .is_none(),
            Rank::Suspect(urgent) => line
                .suspects
                .insert((!urgent, entry.seq), entry.id)
                .is_none(),
            Rank::Fair => line.insert_fair(entry),
        };
        if inserted {
            line.len += 1;
            *self.counter(entry.rank) += 1;
        }
    }

    /// Removes a request; returns whether it was present.
    pub fn remove(&mut self, entry: &Entry) -> bool {
        let Some(line) = self.lines.get_mut(&entry.line) else {
            return false;
        };
        let found = match entry.rank {
            Rank::Urgent => line.urgent.remove(&(entry.priority, entry.seq)).is_some(),
            Rank::Suspect(urgent) => line.suspects.remove(&(!urgent, entry.seq)).is_some(),
            Rank::Fair => line.remove_fair(entry),
        };
        if found {
            line.len -= 1;
            *self.counter(entry.rank) -= 1;
        }
        found
    }

    fn counter(&mut self, rank: Rank) -> &mut usize {
        match rank {
            Rank::Urgent | Rank::Suspect(true) => &mut self.urgent_count,
            Rank::Fair | Rank::Suspect(false) => &mut self.fair_count,
        }
    }

    /// Returns the lines that have waiting requests.
    pub fn lines(&self) -> Vec<Target> {
        self.lines
            .iter()
            .filter(|(_, l)| l.len > 0)
            .map(|(&t, _)| t)
            .collect()
    }

    /// Returns the line of `target`.
    pub fn line(&self, target: Target) -> Option<&Line> {
        self.lines.get(&target)
    }

    /// Charges `cost` to the team and the priority of a request.
    pub fn charge(&mut self, entry: &Entry, cost: f64) {
        if let Some(line) = self.lines.get_mut(&entry.line) {
            line.charge(entry, cost);
        }
    }

    /// Removes all requests. Used before they are pushed again under the ids of a new bundle.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Recounts the waiting requests: urgent ones and others.
    pub fn recount(&self) -> (usize, usize) {
        let mut count = (0, 0);
        for line in self.lines.values() {
            let urgent = line
                .suspects
                .keys()
                .filter(|(not_urgent, _)| !not_urgent)
                .count();
            count.0 += line.urgent.len() + urgent;
            count.1 += line.suspects.len() - urgent;
            count.1 += line
                .classes
                .values()
                .flat_map(|c| c.lanes.values())
                .map(|l| l.ids.len())
                .sum::<usize>();
        }
        count
    }
}

impl Line {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the urgent requests in scheduling order.
    pub fn urgent(&self) -> impl Iterator<Item = Id> + '_ {
        self.urgent.values().copied()
    }

    /// Returns the suspects in scheduling order.
    pub fn suspects(&self) -> impl Iterator<Item = Id> + '_ {
        self.suspects.values().copied()
    }

    /// Returns the first `max` requests in the order of fair shares; the requests of one lane stay
    /// together.
    pub fn window(&self, max: usize) -> Vec<Id> {
        let mut classes: Vec<_> = self.classes.values().filter(|c| c.len > 0).collect();
        classes.sort_by(|a, b| a.pass.total_cmp(&b.pass));
        let mut ids = Vec::new();
        for class in classes {
            let mut lanes: Vec<_> = class.lanes.values().filter(|l| !l.ids.is_empty()).collect();
            lanes.sort_by(|a, b| a.pass.total_cmp(&b.pass));
            for lane in lanes {
                ids.extend(
                    lane.ids
                        .values()
                        .take((max - ids.len()).min(WINDOW_PER_LANE)),
                );
                if ids.len() == max {
                    return ids;
                }
            }
        }
        ids
    }

    /// Estimates how many requests start before a new one of `team` at `priority`, by fair shares.
    pub fn expected_ahead(
        &self,
        priority: PriorityId,
        team: TeamId,
        weight: u32,
        class: u32,
    ) -> f64 {
        let urgent = (self.urgent.len() + self.suspects.len()) as f64;
        let classes: u32 = self
            .classes
            .values()
            .filter(|c| c.len > 0)
            .map(|c| c.weight)
            .sum();
        let own = self.classes.get(&priority);
        let (lanes, own_waiting, all) = own.map_or((0, 0, 0), |c| {
            let busy = c
                .lanes
                .iter()
                .filter(|(t, l)| **t != team && !l.ids.is_empty());
            let lanes = busy.map(|(_, l)| l.weight).sum();
            (lanes, c.lanes.get(&team).map_or(0, |l| l.ids.len()), c.len)
        });
        let others = if own.is_some_and(|c| c.len > 0) {
            classes - class.min(classes)
        } else {
            classes
        };
        let within = (own_waiting as f64 * f64::from(lanes + weight) / f64::from(weight.max(1)))
            .min(all as f64);
        let across = within * f64::from(others + class) / f64::from(class.max(1));
        urgent + across.min((self.len as f64 - urgent).max(0.0))
    }

    fn insert_fair(&mut self, entry: &Entry) -> bool {
        let pass = self.pass;
        let class = self.classes.entry(entry.priority).or_default();
        class.weight = entry.priority_weight.max(1);
        if class.len == 0 {
            class.pass = class.pass.max(pass);
        }
        let now = class.current_pass;
        let lane = class.lanes.entry(entry.team).or_default();
        lane.weight = entry.team_weight.max(1);
        if lane.ids.is_empty() {
            lane.pass = lane.pass.max(now);
        }
        let inserted = lane.ids.insert(entry.seq, entry.id).is_none();
        class.len += usize::from(inserted);
        inserted
    }

    fn remove_fair(&mut self, entry: &Entry) -> bool {
        let Some(class) = self.classes.get_mut(&entry.priority) else {
            return false;
        };
        let Some(lane) = class.lanes.get_mut(&entry.team) else {
            return false;
        };
        let found = lane.ids.remove(&entry.seq).is_some();
        class.len -= usize::from(found);
        found
    }

    fn charge(&mut self, entry: &Entry, cost: f64) {
        let Some(class) = self.classes.get_mut(&entry.priority) else {
            return;
        };
        let Some(lane) = class.lanes.get_mut(&entry.team) else {
            return;
        };
        self.pass = self.pass.max(class.pass);
        class.current_pass = class.current_pass.max(lane.pass);
        class.pass += cost / f64::from(class.weight.max(1));
        lane.pass += cost / f64::from(lane.weight.max(1));
    }
}
