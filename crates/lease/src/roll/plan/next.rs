//! Selection of the next orders.

use super::{Pending, Roll};
use crate::Now;
use crate::roll::action::Action;
use crate::roll::coverage::Coverage;
use crate::roll::order::Order;
use crate::roll::phase::Phase;
use crate::roll::report::Holding;
use crate::roll::view::View;
use bundle::id::{EndpointId, ZoneId};

/// Reason why a load can't start.
enum Blocker {
    /// A model would lose its last ready replica.
    LastReplica,
    /// Another zone loads, the weight store's rate is used up, or new replicas are still watched.
    MustWait,
}

/// Coverage and fetches of the group during one step.
struct Snapshot<'a> {
    /// Number of endpoints that fetch weights.
    fetching: usize,
    /// Coverage by all endpoints.
    present: Coverage<'a>,
    /// Coverage without the endpoints that fetch, whose holdings may become unavailable at any
    /// time.
    steady: Coverage<'a>,
}

impl<'a> Snapshot<'a> {
    fn new(roll: &Roll, view: &View<'a>) -> Self {
        let is_fetching = |id| roll.is_fetching(view, id);
        Self {
            fetching: view.up().filter(|id| is_fetching(*id)).count(),
            present: Coverage::new(view, |_| false),
            steady: Coverage::new(view, is_fetching),
        }
    }

    /// Accounts for an order to the endpoint to fetch weights.
    fn add_fetch(&mut self, roll: &Roll, view: &View<'a>, endpoint: EndpointId) {
        if !roll.is_fetching(view, endpoint) {
            self.fetching += 1;
            self.steady.remove(view.holdings(endpoint));
        }
    }
}

impl Roll {
    pub(super) fn next_orders(
        &mut self,
        now: Now,
        view: &View,
        actions: &mut Vec<Action>,
    ) -> Phase {
        self.resend(now, view, actions);
        self.unload_stale(now, view, actions);
        self.load_missing(now, view, actions)
    }

    /// Sends orders again whose load the endpoint does not report, since they may have been lost.
    fn resend(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        for (name, pending) in &mut self.pending {
            let Some(endpoint) = view.bundle.endpoint(name) else {
                continue;
            };
            let current = pending.bundle_number == self.bundle_number;
            if !current
                || now < pending.last_sent + self.settings.resend_interval
                || has_begun(view, endpoint, &pending.order)
            {
                continue;
            }
            pending.last_sent = now;
            actions.push(Action::Order(endpoint, pending.order.clone()));
        }
    }

    /// Unloads holdings that the bundle does not assign to the endpoint, once all requests that
    /// were started on them must have ended.
    fn unload_stale(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        let endpoints: Vec<EndpointId> = view.up().collect();
        for endpoint in endpoints {
            let name = &view.bundle.endpoints[endpoint as usize].name;
            let stale = self.stale_holding(now, view, endpoint);
            if let (Some(held), false) = (stale, self.pending.contains_key(name)) {
                self.order(now, view, endpoint, Order::unload(held), actions);
            }
        }
    }

    fn stale_holding<'a>(
        &self,
        now: Now,
        view: &View<'a>,
        endpoint: EndpointId,
    ) -> Option<&'a Holding> {
        let endpoint_row = &view.bundle.endpoints[endpoint as usize];
        let report = view.report(endpoint)?;
        let orders: Vec<Order> = endpoint_row
            .spans
            .iter()
            .filter_map(|span| Order::load(view.bundle, span))
            .collect();
        let same = |held: &Holding, order: &Order| match order {
            Order::Load { model, version, .. } => held.model == *model && held.version == *version,
            Order::Unload { .. } => false,
        };
        let unwanted = report
            .holdings
            .iter()
            .filter(|h| !orders.iter().any(|o| same(h, o)));
        let ready = orders.iter().all(|order| order.is_fulfilled(report));
        unwanted
            .into_iter()
            .find(|held| ready && self.is_unneeded(now, view, held))
    }

    /// Returns whether no request needs the holding: the bundle no longer contains its model, or
    /// the model's desired version has been covered for the maximum duration of a request.
    fn is_unneeded(&self, now: Now, view: &View, held: &Holding) -> bool {
        if view.bundle.model(&held.model).is_none() {
            return true;
        }
        let covered = self.covered.get(&held.model);
        covered.is_some_and(|covered| now >= covered.since + self.settings.drain)
    }

    fn load_missing(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) -> Phase {
        let mut phase = Phase::Settled;
        let mut snapshot = Snapshot::new(self, view);
        for zone in view.zones {
            let endpoints = view.up().filter(|id| view.zone(*id) == *zone);
            for endpoint in endpoints {
                let Some(order) = missing_load(view, endpoint) else {
                    continue;
                };
                if self.is_in_progress(now, view, endpoint, &order) {
                    phase = Phase::Rolling(*zone);
                    continue;
                }
                match self.blocker(now, view, endpoint, &order, &snapshot) {
                    None => {
                        snapshot.add_fetch(self, view, endpoint);
                        self.start_load(now, view, endpoint, order, actions);
                        phase = Phase::Rolling(*zone);
                    }
                    Some(Blocker::LastReplica)
                        if phase == Phase::Settled || phase == Phase::Waiting =>
                    {
                        phase = Phase::Blocked(view.name(endpoint).to_owned());
                    }
                    Some(Blocker::MustWait) if phase == Phase::Settled => phase = Phase::Waiting,
                    Some(_) => {}
                }
            }
        }
        phase
    }

    /// Returns whether this holder or an earlier one has sent the order and it is still pending.
    fn is_in_progress(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: &Order,
    ) -> bool {
        let name = view.name(endpoint);
        let ordered = self
            .pending
            .get(name)
            .is_some_and(|p| p.bundle_number == self.bundle_number);
        if !ordered && has_begun(view, endpoint, order) {
            let pending = self.new_pending(now, view, endpoint, order.clone());
            self.pending.insert(
                name.to_owned(),
                Pending {
                    adopted: true,
                    ..pending
                },
            );
            return true;
        }
        ordered
    }

    fn blocker(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: &Order,
        snapshot: &Snapshot,
    ) -> Option<Blocker> {
        let start = *self.next_fetch.get_or_insert(now + view.rate.spacing());
        // The order replaces a fetch that the endpoint already has in progress.
        let own = usize::from(self.is_fetching(view, endpoint));
        if now < start || snapshot.fetching - own >= view.rate.at_once as usize {
            return Some(Blocker::MustWait);
        }
        if !self.can_enter_zone(view.zone(endpoint)) && !self.is_repair(now, view, endpoint, order)
        {
            return Some(Blocker::MustWait);
        }
        let adapters_only = order.changes_only_adapters(view.report(endpoint)?);
        (!adapters_only && self.is_last_replica(view, endpoint, snapshot))
            .then_some(Blocker::LastReplica)
    }

    fn start_load(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        self.next_fetch = Some(now + view.rate.spacing());
        if !self.is_repair(now, view, endpoint, &order) {
            self.zone = Some(view.zone(endpoint));
        }
        self.order(now, view, endpoint, order, actions);
    }

    /// Returns whether a load in the zone may start. Only one zone loads at a time: the next one
    /// starts when no other zone loads and no new replica is watched.
    fn can_enter_zone(&self, zone: ZoneId) -> bool {
        let changes = self
            .pending
            .values()
            .filter(|p| p.order.fetches_weights() && !p.repair);
        let elsewhere = changes.into_iter().any(|p| p.zone != zone);
        let none_watched = self.watched.is_empty();
        !elsewhere && (none_watched || self.zone.is_none_or(|z| z == zone))
    }

    /// Returns whether the order loads a model into an endpoint that runs nothing of it, while the
    /// model's desired version has been covered for the soak time.
    fn is_repair(&self, now: Now, view: &View, endpoint: EndpointId, order: &Order) -> bool {
        let Order::Load { model, .. } = order else {
            return false;
        };
        let runs = view
            .holdings(endpoint)
            .any(|h| h.ready && h.model == *model);
        let covered = self.covered.get(model);
        !runs && covered.is_some_and(|c| now >= c.since + self.settings.soak)
    }

    /// Returns whether a model that the endpoint runs would be left without a ready replica.
    fn is_last_replica(&self, view: &View, endpoint: EndpointId, snapshot: &Snapshot) -> bool {
        let held: Vec<&Holding> = view.holdings(endpoint).filter(|held| held.ready).collect();
        let counted: &[&Holding] = if self.is_fetching(view, endpoint) {
            &[]
        } else {
            &held
        };
        held.iter().any(|h| {
            snapshot.present.is_complete(&h.model)
                && !snapshot.steady.is_complete_without(&h.model, counted)
        })
    }

    /// Returns whether the endpoint has a pending order to fetch weights or reports a load.
    fn is_fetching(&self, view: &View, endpoint: EndpointId) -> bool {
        let pending = self.pending.get(view.name(endpoint));
        let ordered = pending.is_some_and(|p| p.order.fetches_weights());
        ordered || view.holdings(endpoint).any(|held| !held.ready)
    }

    fn order(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.new_pending(now, view, endpoint, order.clone());
        self.pending.insert(view.name(endpoint).to_owned(), pending);
        actions.push(Action::Order(endpoint, order));
    }

    fn new_pending(&self, now: Now, view: &View, endpoint: EndpointId, order: Order) -> Pending {
        let zone = view.zone(endpoint);
        let repair = self.is_repair(now, view, endpoint, &order);
        let bundle_number = self.bundle_number;
        Pending {
            order,
            bundle_number,
            first_sent: now,
            last_sent: now,
            zone,
            repair,
            adopted: false,
        }
    }
}

/// Returns the order for the first span of the endpoint that it does not hold.
fn missing_load(view: &View, endpoint: EndpointId) -> Option<Order> {
    let report = view.report(endpoint)?;
    let spans = view.bundle.endpoints[endpoint as usize].spans.iter();
    let mut orders = spans.filter_map(|span| Order::load(view.bundle, span));
    orders.find(|order| !order.is_fulfilled(report))
}

/// Returns whether the endpoint reports that it is executing the order.
pub(super) fn has_begun(view: &View, endpoint: EndpointId, order: &Order) -> bool {
    view.holdings(endpoint)
        .any(|held| !held.ready && order.matches(held))
}
