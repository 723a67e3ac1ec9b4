//! Decisions of a roll.

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

/// An order that was sent and is not fulfilled yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The order.
    pub order: Order,
    /// Number of the bundle that the order belongs to.
    pub bundle_number: Number,
    /// Time at which the order was first sent.
    pub first_sent: Now,
    /// Time at which the order was last sent.
    pub last_sent: Now,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Whether the order loads a version that has been covered for the soak time into an endpoint
    /// that runs nothing of the model. Such loads are not limited to one zone at a time.
    pub repair: bool,
    /// Whether an earlier holder of the lease sent the order.
    pub adopted: bool,
}

/// Time at which the desired version of a model became covered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Covered {
    pub(super) version: String,
    pub(super) since: Now,
}

/// State of the roll of one group, kept by the holder of the group's lease.
///
/// A new holder starts with an empty state: the endpoints report loads in progress, and the lease
/// contains the number of a stopped roll.
#[derive(Clone, Debug)]
pub struct Roll {
    pub(super) settings: Settings,
    /// Pending orders by name of the endpoint.
    pub(super) pending: BTreeMap<String, Pending>,
    /// Times at which the watched new replicas became ready, by name of the endpoint.
    pub(super) watched: BTreeMap<String, Now>,
    pub(super) covered: BTreeMap<String, Covered>,
    pub(super) bundle_number: Number,
    pub(super) failures: Vec<Failure>,
    pub(super) zone: Option<ZoneId>,
    /// Earliest time of the next fetch that the rate of the weight store allows.
    pub(super) next_fetch: Option<Now>,
    pub(super) phase: Phase,
    /// Orders sent since the start of this state.
    orders: u64,
    /// New replicas that failed since the start of this state.
    failed: u64,
    /// Violated invariants. Any value other than 0 is a bug.
    broken: u64,
}

impl Roll {
    /// Returns a roll without pending orders.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            watched: BTreeMap::new(),
            covered: BTreeMap::new(),
            bundle_number: 0,
            failures: Vec::new(),
            zone: None,
            next_fetch: None,
            phase: Phase::Settled,
            orders: 0,
            failed: 0,
            broken: 0,
        }
    }

    /// Updates the state from the view and appends the resulting actions to `actions`. Must be
    /// called about once a second, and only while this node holds the group's lease.
    pub fn step(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        if view.bundle.number > self.bundle_number {
            self.bundle_number = view.bundle.number;
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

    /// Handles the refusal of an order by its endpoint. Must not be called for an order that was
    /// refused because of an old fencing number.
    pub fn record_refusal(&mut self, now: Now, endpoint: &str) {
        let Some(pending) = self.pending.remove(endpoint) else {
            return;
        };
        if pending.bundle_number == self.bundle_number && pending.order.fetches_weights() {
            self.record_failure(now, endpoint, Cause::Refused);
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the orders that are not fulfilled yet, by name of the endpoint.
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
        let stopped = Phase::Stopped(self.bundle_number);
        if view.stopped >= self.bundle_number && self.bundle_number > 0 {
            return stopped;
        }
        if self.failures.len() >= self.settings.max_failures {
            if self.phase != stopped {
                actions.push(Action::Stop(self.bundle_number, self.failures.clone()));
            }
            return stopped;
        }
        self.next_orders(now, view, actions)
    }
}

impl fmt::Display for Roll {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "roll of bundle {}: {}", self.bundle_number, self.phase)?;
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
