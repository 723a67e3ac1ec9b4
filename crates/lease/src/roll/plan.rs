//! The decisions of a roll.

mod next;
mod settle;

use crate::Now;
use crate::roll::action::{Action, Cause, Failure};
use crate::roll::order::Order;
use crate::roll::phase::Phase;
use crate::roll::settings::Settings;
use crate::roll::view::View;
use bundle::id::{Number, ZoneId};
use std::collections::BTreeMap;
use std::fmt;

/// An order that was given and shows no effect yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The order.
    pub order: Order,
    /// Number of the bundle that it serves.
    pub number: Number,
    /// When it was first given.
    pub first_sent: Now,
    /// When it was last given.
    pub last_sent: Now,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
    /// Whether it fills an endpoint that runs nothing of the model with a version that has proved
    /// itself; such loads need not keep to one zone.
    pub repair: bool,
    /// Whether an earlier holder gave it.
    pub adopted: bool,
}

/// When a model's desired version became covered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Covered {
    pub(super) version: String,
    pub(super) since: Now,
}

/// A holder's state of one group's roll. A new holder starts with an empty one: what is under way
/// shows in the reports, and a stopped roll in the lease.
#[derive(Clone, Debug)]
pub struct Roll {
    pub(super) settings: Settings,
    /// By name of the endpoint.
    pub(super) pending: BTreeMap<String, Pending>,
    /// New replicas under watch, by name of the endpoint: when they became ready.
    pub(super) watched: BTreeMap<String, Now>,
    pub(super) covered: BTreeMap<String, Covered>,
    pub(super) number: Number,
    pub(super) failures: Vec<Failure>,
    pub(super) zone: Option<ZoneId>,
    /// Earliest time of the next fetch, as far as the rate goes.
    pub(super) next_fetch: Option<Now>,
    pub(super) phase: Phase,
    /// Orders given, and new replicas that failed, since the start.
    orders: u64,
    failed: u64,
    /// Invariants found broken; anything but 0 is a defect of the program.
    broken: u64,
}

impl Roll {
    /// A roll at its start.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            watched: BTreeMap::new(),
            covered: BTreeMap::new(),
            number: 0,
            failures: Vec::new(),
            zone: None,
            next_fetch: None,
            phase: Phase::Settled,
            orders: 0,
            failed: 0,
            broken: 0,
        }
    }

    /// Looks at the group and adds what is to be done. To be called about once a second, and by
    /// the holder of the group's lease only.
    pub fn step(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        if view.bundle.number > self.number {
            self.number = view.bundle.number;
            self.failures.clear();
        }
        let failure_window = self.settings.failure_window;
        self.failures
            .retain(|failure| now < failure.at + failure_window);
        self.settle_pending(now, view);
        self.update_coverage(now, view);
        let phase = self.decide(now, view, actions);
        if phase != self.phase {
            self.phase = phase.clone();
            actions.push(Action::Phase(phase));
        }
        let sent = actions
            .iter()
            .filter(|action| matches!(action, Action::Order(..)));
        self.orders += sent.count() as u64;
        let findings = self.check(view);
        self.broken += findings.len() as u64;
        debug_assert!(findings.is_empty(), "{findings:?}");
    }

    /// The endpoint refused its order for good, not for an old fencing number.
    pub fn refused(&mut self, now: Now, endpoint: &str) {
        let Some(pending) = self.pending.remove(endpoint) else {
            return;
        };
        if pending.number == self.number && pending.order.fetches_weights() {
            self.record_failure(now, endpoint, Cause::Refused);
        }
    }

    /// How far it is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Orders that show no effect yet, by name of the endpoint.
    pub fn pending(&self) -> &BTreeMap<String, Pending> {
        &self.pending
    }

    pub(super) fn record_failure(&mut self, at: Now, endpoint: &str, cause: Cause) {
        self.failed += 1;
        self.failures.push(Failure {
            endpoint: endpoint.to_owned(),
            cause,
            at,
        });
    }

    fn decide(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) -> Phase {
        let stopped = Phase::Stopped(self.number);
        if view.stopped >= self.number && self.number > 0 {
            return stopped;
        }
        if self.failures.len() >= self.settings.max_failures {
            if self.phase != stopped {
                actions.push(Action::Stop(self.number, self.failures.clone()));
            }
            return stopped;
        }
        self.next_orders(now, view, actions)
    }
}

impl fmt::Display for Roll {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "roll of bundle {}: {}", self.number, self.phase)?;
        writeln!(
            f,
            " orders {} failed {} broken {}",
            self.orders, self.failed, self.broken
        )?;
        for (name, pending) in &self.pending {
            writeln!(
                f,
                "{name}: {} since {:?}",
                pending.order, pending.first_sent
            )?;
        }
        for failure in &self.failures {
            writeln!(f, "{}: failed: {:?}", failure.endpoint, failure.cause)?;
        }
        Ok(())
    }
}
