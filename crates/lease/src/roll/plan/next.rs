//! Which order comes next.

use super::{Pending, Roll};
use crate::Now;
use crate::roll::action::Action;
use crate::roll::cover::Cover;
use crate::roll::order::Order;
use crate::roll::phase::Phase;
use crate::roll::report::Held;
use crate::roll::view::View;
use bundle::id::{EndpointId, ZoneId};

/// What holds a load up.
enum Hold {
    /// It would take a model's last ready replica.
    Last,
    /// Another zone, the rate, or the watch.
    Wait,
}

/// The group as it is looked at in one step.
struct State<'a> {
    /// Endpoints that fetch.
    fetching: usize,
    /// What is ready.
    present: Cover<'a>,
    /// The same without endpoints that fetch: those may drop out at any moment.
    steady: Cover<'a>,
}

impl<'a> State<'a> {
    fn new(roll: &Roll, view: &View<'a>) -> Self {
        let fetches = |id| roll.fetches(view, id);
        Self {
            fetching: view.up().filter(|id| fetches(*id)).count(),
            present: Cover::new(view, |_| false),
            steady: Cover::new(view, fetches),
        }
    }

    /// The endpoint gets an order to fetch.
    fn begin(&mut self, roll: &Roll, view: &View<'a>, endpoint: EndpointId) {
        if !roll.fetches(view, endpoint) {
            self.fetching += 1;
            self.steady.remove(view.held(endpoint));
        }
    }
}

impl Roll {
    pub(super) fn next(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) -> Phase {
        self.again(now, view, actions);
        self.unload(now, view, actions);
        self.load(now, view, actions)
    }

    /// Gives orders again that show no effect: the first may have been lost.
    fn again(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        for (name, pending) in &mut self.pending {
            let Some(endpoint) = view.bundle.endpoint(name) else {
                continue;
            };
            let current = pending.number == self.number;
            if !current
                || now < pending.given + self.settings.again
                || begun(view, endpoint, &pending.order)
            {
                continue;
            }
            pending.given = now;
            actions.push(Action::Order(endpoint, pending.order.clone()));
        }
    }

    /// Drops what the bundle does not want, once requests that started on it must have ended.
    fn unload(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) {
        let endpoints: Vec<EndpointId> = view.up().collect();
        for endpoint in endpoints {
            let name = &view.bundle.endpoints[endpoint as usize].name;
            let stale = self.stale(now, view, endpoint);
            if let (Some(held), false) = (stale, self.pending.contains_key(name)) {
                self.give(now, view, endpoint, Order::unload(held), actions);
            }
        }
    }

    fn stale<'a>(&self, now: Now, view: &View<'a>, endpoint: EndpointId) -> Option<&'a Held> {
        let row = &view.bundle.endpoints[endpoint as usize];
        let report = view.report(endpoint)?;
        let orders: Vec<Order> = row
            .spans
            .iter()
            .filter_map(|span| Order::load(view.bundle, span))
            .collect();
        let same = |held: &Held, order: &Order| match order {
            Order::Load { model, version, .. } => held.model == *model && held.version == *version,
            Order::Unload { .. } => false,
        };
        let unwanted = report
            .held
            .iter()
            .filter(|h| !orders.iter().any(|o| same(h, o)));
        let ready = orders.iter().all(|order| order.done(report));
        unwanted
            .into_iter()
            .find(|held| ready && self.spare(now, view, held))
    }

    /// Whether nobody needs what is held: its model is gone from the bundle, or its desired
    /// version has been covered for as long as the longest request.
    fn spare(&self, now: Now, view: &View, held: &Held) -> bool {
        if view.bundle.model(&held.model).is_none() {
            return true;
        }
        let covered = self.covered.get(&held.model);
        covered.is_some_and(|covered| now >= covered.since + self.settings.drain)
    }

    fn load(&mut self, now: Now, view: &View, actions: &mut Vec<Action>) -> Phase {
        let mut phase = Phase::Settled;
        let mut state = State::new(self, view);
        for zone in view.zones {
            let endpoints = view.up().filter(|id| view.zone(*id) == *zone);
            for endpoint in endpoints {
                let Some(order) = behind(view, endpoint) else {
                    continue;
                };
                if self.under_way(now, view, endpoint, &order) {
                    phase = Phase::Rolling(*zone);
                    continue;
                }
                match self.hold(now, view, endpoint, &order, &state) {
                    None => {
                        state.begin(self, view, endpoint);
                        self.begin(now, view, endpoint, order, actions);
                        phase = Phase::Rolling(*zone);
                    }
                    Some(Hold::Last) if phase == Phase::Settled || phase == Phase::Waiting => {
                        phase = Phase::Blocked(view.name(endpoint).to_owned());
                    }
                    Some(Hold::Wait) if phase == Phase::Settled => phase = Phase::Waiting,
                    Some(_) => {}
                }
            }
        }
        phase
    }

    /// Whether the order was given, by this holder or an earlier one, and is waited for.
    fn under_way(&mut self, now: Now, view: &View, endpoint: EndpointId, order: &Order) -> bool {
        let name = view.name(endpoint);
        let given = self
            .pending
            .get(name)
            .is_some_and(|p| p.number == self.number);
        if !given && begun(view, endpoint, order) {
            let entry = self.entry(now, view, endpoint, order.clone());
            self.pending.insert(
                name.to_owned(),
                Pending {
                    adopted: true,
                    ..entry
                },
            );
            return true;
        }
        given
    }

    fn hold(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: &Order,
        state: &State,
    ) -> Option<Hold> {
        let start = *self.start.get_or_insert(now + view.rate.spacing());
        // A fetch that the endpoint has under way is replaced by the order's.
        let own = usize::from(self.fetches(view, endpoint));
        if now < start || state.fetching - own >= view.rate.at_once as usize {
            return Some(Hold::Wait);
        }
        if !self.may_enter(view.zone(endpoint)) && !self.repair(now, view, endpoint, order) {
            return Some(Hold::Wait);
        }
        let gentle = order.gentle(view.report(endpoint)?);
        (!gentle && self.last(view, endpoint, state)).then_some(Hold::Last)
    }

    fn begin(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        self.start = Some(now + view.rate.spacing());
        if !self.repair(now, view, endpoint, &order) {
            self.zone = Some(view.zone(endpoint));
        }
        self.give(now, view, endpoint, order, actions);
    }

    /// One zone at a time: another one is begun when nothing loads and no new replica is watched.
    fn may_enter(&self, zone: ZoneId) -> bool {
        let changes = self
            .pending
            .values()
            .filter(|p| p.order.fetches() && !p.repair);
        let elsewhere = changes.into_iter().any(|p| p.zone != zone);
        let quiet = self.fresh.is_empty();
        !elsewhere && (quiet || self.zone.is_none_or(|z| z == zone))
    }

    /// Whether the load fills an endpoint that runs nothing of the model, with a version that has
    /// been covered for as long as new replicas are watched.
    fn repair(&self, now: Now, view: &View, endpoint: EndpointId, order: &Order) -> bool {
        let Order::Load { model, .. } = order else {
            return false;
        };
        let runs = view.held(endpoint).any(|h| h.ready && h.model == *model);
        let covered = self.covered.get(model);
        !runs && covered.is_some_and(|c| now >= c.since + self.settings.soak)
    }

    /// Whether a model that the endpoint runs would be left without a ready replica.
    fn last(&self, view: &View, endpoint: EndpointId, state: &State) -> bool {
        let held: Vec<&Held> = view.held(endpoint).filter(|held| held.ready).collect();
        let counted: &[&Held] = if self.fetches(view, endpoint) {
            &[]
        } else {
            &held
        };
        held.iter().any(|h| {
            state.present.whole(&h.model) && !state.steady.whole_without(&h.model, counted)
        })
    }

    /// Whether the endpoint has an order to fetch, or reports that it loads.
    fn fetches(&self, view: &View, endpoint: EndpointId) -> bool {
        let pending = self.pending.get(view.name(endpoint));
        let ordered = pending.is_some_and(|p| p.order.fetches());
        ordered || view.held(endpoint).any(|held| !held.ready)
    }

    fn give(
        &mut self,
        now: Now,
        view: &View,
        endpoint: EndpointId,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.entry(now, view, endpoint, order.clone());
        self.pending.insert(view.name(endpoint).to_owned(), pending);
        actions.push(Action::Order(endpoint, order));
    }

    fn entry(&self, now: Now, view: &View, endpoint: EndpointId, order: Order) -> Pending {
        let zone = view.zone(endpoint);
        let repair = self.repair(now, view, endpoint, &order);
        let number = self.number;
        Pending {
            order,
            number,
            since: now,
            given: now,
            zone,
            repair,
            adopted: false,
        }
    }
}

/// The first load that the endpoint lacks.
fn behind(view: &View, endpoint: EndpointId) -> Option<Order> {
    let report = view.report(endpoint)?;
    let spans = view.bundle.endpoints[endpoint as usize].spans.iter();
    let mut orders = spans.filter_map(|span| Order::load(view.bundle, span));
    orders.find(|order| !order.done(report))
}

/// Whether the endpoint shows that it carries the order out.
pub(super) fn begun(view: &View, endpoint: EndpointId, order: &Order) -> bool {
    view.held(endpoint)
        .any(|held| !held.ready && order.names(held))
}
