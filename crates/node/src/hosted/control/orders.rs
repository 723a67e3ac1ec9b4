//! Orders endpoints which layers to hold.
//!
//! It is safe for any number of nodes to give orders. An order names the number of orders that the
//! endpoint has accepted before, and the endpoint refuses it if that number differs: of two
//! concurrent orders one is refused, and a late one has no effect. Only the first few of the nodes
//! known to be alive give orders, to avoid redundant ones. This needs no lease and continues during
//! a store outage. Each of them plans for all endpoints from the same rows, and sends the orders of
//! its own shard.

use super::assignment::Assignment;
use super::input::{Attempt, Input, InputSender};
use adapter::report::Control;
use catalog::bounds::MAX_TIME;
use catalog::endpoint::{Run, Span, State};
use catalog::engine::Engine;
use catalog::{Catalog, Endpoint};
use journal::Journal;
use journal::event::Event;
use memory::budget::Budget;
use place::holder::Holder;
use place::order::{Order, Outcome};
use place::plan;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time after loading within which an endpoint's row must show its new layers: a row is written
/// about once a second and read about as often.
const ROW_LAG: Duration = Duration::from_secs(4);
/// Delay after an order that was not accepted until the endpoint may get another one. Its state as
/// known here is up to date again by then.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of orders in flight, each on a connection of its own. On a small node, too many
/// at once all time out.
pub const MAX_CONCURRENT_ORDERS: usize = 24;

/// Time from the announcement that an endpoint is to release layers until its order is sent. The
/// announcement has reached all nodes by then, so that none sends requests that the endpoint would
/// refuse.
pub const MOVE_NOTICE: Duration = Duration::from_millis(600);

/// Pending change at an endpoint.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// The endpoint was ordered to hold these layers, or reported them; its row is to show them by
    /// `until`.
    Holds { span: Span, until: Instant },
    /// The endpoint gets no order until this time.
    Wait(Instant),
}

/// A planned order that has not been sent yet.
#[derive(Debug)]
struct Planned {
    order: Order,
    /// Expected time to load the layers concurrently with the other loads of the plan.
    load_time: Duration,
}

/// Plans and sends the orders of one node.
pub struct Orders {
    journal: Journal,
    inputs: InputSender,
    pending: BTreeMap<Run, Pending>,
    /// Orders of the last plan to endpoints without layers, not sent yet.
    planned: VecDeque<Planned>,
    /// Moves, which are orders to endpoints that hold layers, with the time at which each is sent,
    /// in the order of these times.
    moves: VecDeque<(Instant, Planned)>,
    /// Endpoints whose moves have not been announced yet.
    moving: Vec<Run>,
    /// Number of orders sent whose outcome is not known yet.
    in_flight: usize,
    /// Time that endpoints which started together take to register.
    gather_time: Duration,
    /// When an endpoint was last seen for the first time.
    last_arrival: Instant,
    /// All endpoints of the last plan, to detect new ones.
    seen: BTreeSet<Run>,
    /// The memory of what endpoints answer.
    budget: Budget,
}

impl Orders {
    /// Creates the state without any order. `gather_time` is the time within which endpoints that
    /// started together register. What endpoints answer takes its memory from `budget`.
    pub fn new(
        journal: Journal,
        inputs: InputSender,
        gather_time: Duration,
        budget: Budget,
    ) -> Self {
        Self {
            journal,
            inputs,
            budget,
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

    /// Makes a new plan, and sends those of this node's orders that can be sent now.
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

    /// Sends further orders of the last plan, up to the limit of orders in flight. An order that no
    /// longer matches the state of its endpoint is detected when it is sent.
    pub fn send_planned(&mut self, now: Instant) {
        while self.in_flight < MAX_CONCURRENT_ORDERS
            && let Some(Planned { order, load_time }) = self.pop_due(now)
        {
            self.mark_pending(&order, now + load_time);
            self.send(order);
        }
    }

    /// Removes and returns the next order to send: a move that is due, or else an order to an
    /// endpoint that holds no layers.
    fn pop_due(&mut self, now: Instant) -> Option<Planned> {
        let due = self.moves.pop_front_if(|(at, _)| *at <= now);
        due.map(|(_, planned)| planned)
            .or_else(|| self.planned.pop_front())
    }

    /// Enqueues a planned order. A move is delayed by its announcement; plans made meanwhile count
    /// it as sent.
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

    /// Records an order as pending whose layers will have been loaded at `loaded`.
    fn mark_pending(&mut self, order: &Order, loaded: Instant) {
        let (span, until) = (order.span, loaded + ROW_LAG);
        self.pending
            .insert(order.run.clone(), Pending::Holds { span, until });
    }

    /// Drops waiting moves that are no longer this node's to give, or that would now leave the
    /// endpoint's zone without a layer because another holder has failed since they were planned.
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

    /// Removes and returns the endpoints whose moves were planned since the last call, for their
    /// announcement.
    pub fn take_moving(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.moving)
    }

    /// Returns the number of orders sent whose outcome is not known yet.
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
        // A fleet without any layers is planned as a whole, after all its endpoints have
        // registered. If it were planned in small groups, the first endpoints would get layers that
        // larger ones, which register later, should hold.
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
                .saturating_mul(concurrent_loads)
                .min(MAX_TIME);
            self.enqueue(now, Planned { order, load_time });
        }
    }

    fn send(&mut self, order: Order) {
        self.in_flight += 1;
        let (inputs, budget) = (self.inputs.clone(), self.budget.clone());
        tokio::spawn(async move {
            let attempt = send(&order, budget).await;
            // Sending fails only if control has ended.
            let _ = inputs.send(Input::OrderEnded(order, attempt)).await;
        });
    }

    /// Records the outcome of an order.
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
            // The endpoint holds other layers than its row says.
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

    /// Discards pending changes that have expired or that the row shows by now, moves of endpoints
    /// that are not ready any more, and runs that are gone.
    fn expire(&mut self, now: Instant, endpoints: &[&Endpoint]) {
        let spans: BTreeMap<&Run, Span> = endpoints.iter().map(|e| (&e.run, e.span)).collect();
        self.seen.retain(|run| spans.contains_key(run));
        let is_ready = |e: &&&Endpoint| e.state == State::Ready;
        let ready: BTreeSet<&Run> = endpoints.iter().filter(is_ready).map(|e| &e.run).collect();
        let pending = &mut self.pending;
        self.moves.retain(|(_, Planned { order, .. })| {
            let kept = ready.contains(&order.run);
            if !kept {
                pending.remove(&order.run);
            }
            kept
        });
        self.pending
            .retain(|run, pending| match (spans.get(run), pending) {
                (None, _) => false,
                (Some(_), Pending::Wait(until)) => now < *until,
                (Some(shown), Pending::Holds { span, until }) => now < *until && shown != span,
            });
    }
}

/// Sends an order to an endpoint if it is still in the state that the order was planned for.
///
/// The endpoint's row does not contain the number of orders that it has accepted, and may be
/// seconds old. So the status report is fetched first, and the order carries the number from that
/// report.
async fn send(order: &Order, budget: Budget) -> Attempt {
    let control = Control::new(order.addr, budget);
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
