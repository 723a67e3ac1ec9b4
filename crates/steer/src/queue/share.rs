//! Order of the requests of one priority: fair shares of the teams, then deadline, then arrival.
//!
//! Stride scheduling by requested tokens with equal weights: each team has a lane with a pass, which
//! is the number of tokens that the team has been granted. The lane with the lowest pass is next. A
//! lane that was empty starts at the class's virtual time, so that idle time earns no credit.

use super::Ticket;
use crate::Timestamp;
use std::collections::BTreeMap;

/// Requests of one priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    /// Pass at which the last grant began.
    virtual_time: f64,
    lanes: BTreeMap<String, Lane>,
}

/// Requests of one team.
#[derive(Clone, Debug, Default)]
struct Lane {
    pass: f64,
    /// Requested tokens by deadline and arrival.
    requests: BTreeMap<(Timestamp, Ticket), f64>,
}

impl Class {
    /// Adds a request of `tokens` tokens.
    pub(super) fn insert(&mut self, team: &str, deadline: Timestamp, ticket: Ticket, tokens: f64) {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(team.to_owned()).or_default();
        if lane.requests.is_empty() {
            lane.pass = lane.pass.max(virtual_time);
        }
        lane.requests.insert((deadline, ticket), tokens);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, team: &str, deadline: Timestamp, ticket: Ticket) {
        if let Some(lane) = self.lanes.get_mut(team) {
            lane.requests.remove(&(deadline, ticket));
        }
        self.prune();
    }

    /// Charges a grant of `tokens` tokens to a team, before its request is removed.
    pub(super) fn charge(&mut self, team: &str, tokens: f64) {
        if let Some(lane) = self.lanes.get_mut(team) {
            self.virtual_time = self.virtual_time.max(lane.pass);
            lane.pass += tokens;
        }
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the requests in their order.
    pub(super) fn order(&self) -> Vec<Ticket> {
        let lanes = self.lanes.values();
        let mut lanes: Vec<_> = lanes
            .map(|lane| (lane.pass, lane.requests.iter().peekable()))
            .collect();
        let mut order = Vec::new();
        loop {
            let heads = lanes.iter_mut().enumerate();
            let heads = heads.filter_map(|(at, (pass, requests))| {
                let &(&key, _) = requests.peek()?;
                Some((*pass, key, at))
            });
            let next = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((_, (_, ticket), at)) = next else {
                return order;
            };
            let (pass, requests) = &mut lanes[at];
            *pass += requests.next().map_or(0.0, |(_, &tokens)| tokens);
            order.push(ticket);
        }
    }

    /// Drops lanes whose state no longer matters: empty ones that virtual time has caught up with,
    /// and all of them once no request waits.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        if self.lanes.values().all(|lane| lane.requests.is_empty()) {
            *self = Self::default();
        }
        self.lanes
            .retain(|_, lane| !lane.requests.is_empty() || lane.pass > virtual_time);
    }
}
