//! Gives endpoints the orders to hold layers.
//!
//! Any number of nodes may believe that it is theirs to give orders: an endpoint takes an order
//! only if it has accepted as many before as the order says, so of two orders one is refused, and
//! one that arrives late changes nothing. That few nodes do so, the first of those that are known to
//! live, saves orders; no lease is needed for it, and it goes on while the store is out. All of them
//! plan for all endpoints, by the same rows, and each gives the orders of its own share.

use super::assignment::Assignment;
use super::input::{Attempt, Input, InputSender};
use adapter::report::Control;
use catalog::endpoint::{Run, Span, State};
use catalog::engine::Engine;
use catalog::{Catalog, Endpoint};
use journal::Journal;
use journal::event::Event;
use place::holder::Holder;
use place::order::{Order, Outcome};
use place::plan;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time beyond the load itself until a row must show the layers: a row is written every second or
/// so, and read about as often.
const ROW_LAG: Duration = Duration::from_secs(4);
/// Time after an order that was not taken until another is given: what is known of the endpoint
/// is new by then.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Orders that are being given at once, each on a connection of its own: a small node that begins too
/// many has none of them answered in time.
pub const MAX_CONCURRENT_ORDERS: usize = 24;

/// Time between the announcement that an endpoint gives up layers and the order: what is announced is
/// with all nodes by then, so that none sends requests there that would be refused.
pub const MOVE_NOTICE: Duration = Duration::from_millis(600);

/// What is under way at an endpoint.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// An order was given, or it reported these layers; its row will show them.
    Holds { span: Span, until: Instant },
    /// It is left alone until then.
    Wait(Instant),
}

/// An order that waits to be given.
#[derive(Debug)]
struct Planned {
    order: Order,
    /// How long the layers take to load beside the others of the plan.
    load_time: Duration,
}

/// The orders of one node.
pub struct Orders {
    journal: Journal,
    inputs: InputSender,
    pending: BTreeMap<Run, Pending>,
    /// Orders of the last plan that have not been given yet.
    planned: VecDeque<Planned>,
    /// Orders to give up layers, in the order of their times.
    moves: VecDeque<(Instant, Planned)>,
    /// Endpoints whose moves are to be announced.
    moving: Vec<Run>,
    /// Orders that are being given.
    in_flight: usize,
    /// How long endpoints take to register that started together.
    gather_time: Duration,
    /// When an endpoint was last seen that had not been seen before.
    last_arrival: Instant,
    seen: BTreeSet<Run>,
}

impl Orders {
    /// No order is under way.
    pub fn new(journal: Journal, inputs: InputSender, gather_time: Duration) -> Self {
        Self {
            journal,
            inputs,
            pending: BTreeMap::new(),
            planned: VecDeque::new(),
            moves: VecDeque::new(),
            moving: Vec::new(),
            in_flight: 0,
            gather_time,
            last_arrival: Instant::now(),
            seen: BTreeSet::new(),
        }
    }

    /// Plans anew, and gives what orders of this node's part can be given now.
    pub fn step<'a>(
        &mut self,
        now: Instant,
        assignment: &Assignment,
        catalog: &Catalog,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        let endpoints: Vec<&Endpoint> = endpoints.collect();
        self.expire(now, &endpoints);
        self.planned.clear();
        for endpoint in &endpoints {
            if self.seen.insert(endpoint.run.clone()) {
                self.last_arrival = now;
            }
        }
        for service in &catalog.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let ready = endpoints.iter().copied();
            let ready = ready.filter(|e| e.service == service.name && e.state == State::Ready);
            self.plan_service(now, assignment, engine, ready);
        }
        self.send_planned(now);
    }

    /// Gives more of the orders that were planned last, as others end. An order that no longer fits
    /// its endpoint is found out when it is given.
    pub fn send_planned(&mut self, now: Instant) {
        while self.in_flight < MAX_CONCURRENT_ORDERS
            && let Some(Planned { order, load_time }) = self.pop_due(now)
        {
            self.mark_pending(&order, now + load_time);
            self.send(order);
        }
    }

    /// The next order to give: a move whose time has come, or one to an endpoint that holds nothing.
    fn pop_due(&mut self, now: Instant) -> Option<Planned> {
        let due = self.moves.pop_front_if(|(at, _)| *at <= now);
        due.map(|(_, planned)| planned)
            .or_else(|| self.planned.pop_front())
    }

    /// Takes in what a plan orders. Moves wait until they are announced; the plans until then count
    /// them as given.
    fn enqueue(&mut self, now: Instant, planned: Planned) {
        let Planned { order, load_time } = &planned;
        if order.held.is_empty() {
            return self.planned.push_back(planned);
        }
        let at = now + MOVE_NOTICE;
        self.mark_pending(order, at + *load_time);
        self.moving.push(order.run.clone());
        self.moves.push_back((at, planned));
    }

    /// Counts an order as given whose layers are loaded at `loaded`.
    fn mark_pending(&mut self, order: &Order, loaded: Instant) {
        let (span, until) = (order.span, loaded + ROW_LAG);
        self.pending
            .insert(order.run.clone(), Pending::Holds { span, until });
    }

    /// Drops moves that wait and are no longer this node's to order, or would now leave the endpoint's
    /// zone without a layer: another holder may have died since they were planned.
    fn revalidate_moves(&mut self, assignment: &Assignment, engine: &Engine, holders: &[Holder]) {
        let pending = &mut self.pending;
        self.moves.retain(|(_, Planned { order, .. })| {
            let known = holders.iter().any(|h| h.run == order.run);
            let kept =
                !known || (assignment.first && plan::preserves_coverage(engine, holders, order));
            if !kept {
                pending.remove(&order.run);
            }
            kept
        });
    }

    /// Endpoints that are about to give up layers, since the last call.
    pub fn take_moving(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.moving)
    }

    /// Orders that are being given, and whose outcome is not known yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    fn plan_service<'a>(
        &mut self,
        now: Instant,
        assignment: &Assignment,
        engine: &Engine,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        let mut holders: Vec<Holder> = Vec::new();
        for endpoint in endpoints {
            let Some(mut holder) = Holder::from_endpoint(endpoint) else {
                continue;
            };
            match self.pending.get(&holder.run) {
                Some(Pending::Holds { span, .. }) => {
                    holder.span = *span;
                    holder.loading = true;
                }
                Some(Pending::Wait(_)) => holder.busy = true,
                None => {}
            }
            holders.push(holder);
        }
        self.revalidate_moves(assignment, engine, &holders);
        // A fleet that holds nothing is planned as a whole, once all have registered: planned by
        // ones and twos, the first take what the larger ones that follow should hold.
        let all_empty = holders.iter().all(|h| h.span.is_empty());
        if all_empty && now < self.last_arrival + self.gather_time {
            return;
        }
        let concurrent_loads = holders.len().div_ceil(engine.parallel_loads.max(1)) as u32;
        let orders = plan::next_orders(engine, &holders).into_iter();
        let orders = orders.filter(|o| assignment.may_order(&o.run, o.held));
        for order in orders {
            let load_time = engine
                .load_time
                .mul_f64(engine.model_fraction(order.span.len()))
                * concurrent_loads;
            self.enqueue(now, Planned { order, load_time });
        }
    }

    fn send(&mut self, order: Order) {
        self.in_flight += 1;
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let attempt = send(&order).await;
            // Control has ended if nobody takes it.
            let _ = inputs.send(Input::OrderEnded(order, attempt)).await;
        });
    }

    /// An order was given, or found not to fit.
    pub fn finish(&mut self, now: Instant, order: Order, attempt: &Attempt) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let report = attempt.report.as_ref();
        self.journal.record(Event::Order {
            run: order.run.to_string(),
            held: order.held.to_string(),
            layers: order.span.to_string(),
            after: report.map(|r| r.accepted_orders),
            outcome: format!("{:?}", attempt.outcome),
        });
        let pending = match (attempt.outcome, report) {
            (Outcome::Taken, _) => return,
            // It holds something else than its row says.
            (Outcome::Refused, Some(report)) if !report.busy && report.span != order.held => {
                Pending::Holds {
                    span: report.span,
                    until: now + ROW_LAG,
                }
            }
            _ => Pending::Wait(now + ORDER_RETRY_DELAY),
        };
        self.pending.insert(order.run, pending);
    }

    /// Forgets what is over, what its row shows by now, and runs that are gone.
    fn expire(&mut self, now: Instant, endpoints: &[&Endpoint]) {
        let spans: BTreeMap<&Run, Span> = endpoints.iter().map(|e| (&e.run, e.span)).collect();
        self.seen.retain(|run| spans.contains_key(run));
        self.moves.retain(|(_, m)| spans.contains_key(&m.order.run));
        self.pending
            .retain(|run, pending| match (spans.get(run), pending) {
                (None, _) => false,
                (Some(_), Pending::Wait(until)) => now < *until,
                (Some(shown), Pending::Holds { span, until }) => now < *until && shown != span,
            });
    }
}

/// Gives an order to an endpoint that still is what the order was planned for.
///
/// Its row does not say how many orders it has accepted, and may be seconds old. So it is asked
/// first, and the order carries the count from its report.
async fn send(order: &Order) -> Attempt {
    let control = Control::new(order.addr);
    let Ok(report) = control.fetch_report().await else {
        let (report, outcome) = (None, Outcome::Refused);
        return Attempt { report, outcome };
    };
    let outcome =
        match report.is_from_another_run(&order.run) || report.busy || report.span != order.held {
            true => Outcome::Refused,
            false => control.place(order, report.accepted_orders).await,
        };
    let report = Some(report);
    Attempt { report, outcome }
}
