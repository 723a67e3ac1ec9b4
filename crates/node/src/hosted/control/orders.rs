//! Gives endpoints the orders to hold layers.
//!
//! Any number of nodes may believe that it is theirs to give orders: an endpoint takes an order
//! only if it has accepted as many before as the order says, so of two orders one is refused, and
//! one that arrives late changes nothing. That few nodes do so, the first of those that are known to
//! live, saves orders; no lease is needed for it, and it goes on while the store is out. All of them
//! plan for all endpoints, by the same rows, and each gives the orders of its own share.

use super::input::{Input, Inputs, Ordered};
use super::readers::Part;
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
const SHOWN: Duration = Duration::from_secs(4);
/// Time after an order that was not taken until another is given: what is known of the endpoint
/// is new by then.
const AGAIN: Duration = Duration::from_millis(700);

/// Orders that are being given at once, each on a connection of its own: a small node that begins too
/// many has none of them answered in time.
pub const GIVEN: usize = 24;

/// Time between the announcement that an endpoint gives up layers and the order: what is announced is
/// with all nodes by then, so that none sends requests there that would be refused.
pub const ANNOUNCED: Duration = Duration::from_millis(600);

/// What is under way at an endpoint.
#[derive(Clone, Copy, Debug)]
enum Under {
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
    load: Duration,
}

/// The orders of one node.
pub struct Orders {
    journal: Journal,
    inputs: Inputs,
    under: BTreeMap<Run, Under>,
    /// Orders of the last plan that have not been given yet.
    planned: VecDeque<Planned>,
    /// Orders to give up layers, in the order of their times.
    moves: VecDeque<(Instant, Planned)>,
    /// Endpoints whose moves are to be announced.
    moving: Vec<Run>,
    /// Orders that are being given.
    giving: usize,
    /// How long endpoints take to register that started together.
    gather: Duration,
    /// When an endpoint was last seen that had not been seen before.
    arrived: Instant,
    seen: BTreeSet<Run>,
}

impl Orders {
    /// No order is under way.
    pub fn new(journal: Journal, inputs: Inputs, gather: Duration) -> Self {
        Self {
            journal,
            inputs,
            under: BTreeMap::new(),
            planned: VecDeque::new(),
            moves: VecDeque::new(),
            moving: Vec::new(),
            giving: 0,
            gather,
            arrived: Instant::now(),
            seen: BTreeSet::new(),
        }
    }

    /// Plans anew, and gives what orders of this node's part can be given now.
    pub fn step<'a>(
        &mut self,
        now: Instant,
        part: &Part,
        catalog: &Catalog,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        let endpoints: Vec<&Endpoint> = endpoints.collect();
        self.forget(now, &endpoints);
        self.planned.clear();
        for endpoint in &endpoints {
            if self.seen.insert(endpoint.run.clone()) {
                self.arrived = now;
            }
        }
        for service in &catalog.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let own = endpoints.iter().copied();
            let own = own.filter(|e| e.service == service.name && e.state == State::Ready);
            self.service(now, part, engine, own);
        }
        self.give_planned(now);
    }

    /// Gives more of the orders that were planned last, as others end. An order that no longer fits
    /// its endpoint is found out when it is given.
    pub fn give_planned(&mut self, now: Instant) {
        while self.giving < GIVEN
            && let Some(Planned { order, load }) = self.next(now)
        {
            self.expect(&order, now + load);
            self.give(order);
        }
    }

    /// The next order to give: a move whose time has come, or one to an endpoint that holds nothing.
    fn next(&mut self, now: Instant) -> Option<Planned> {
        let due = self.moves.pop_front_if(|(at, _)| *at <= now);
        due.map(|(_, planned)| planned)
            .or_else(|| self.planned.pop_front())
    }

    /// Takes in what a plan orders. Moves wait until they are announced; the plans until then count
    /// them as given.
    fn plan(&mut self, now: Instant, planned: Planned) {
        let Planned { order, load } = &planned;
        if order.held.is_empty() {
            return self.planned.push_back(planned);
        }
        let at = now + ANNOUNCED;
        self.expect(order, at + *load);
        self.moving.push(order.run.clone());
        self.moves.push_back((at, planned));
    }

    /// Counts an order as given whose layers are loaded at `loaded`.
    fn expect(&mut self, order: &Order, loaded: Instant) {
        let (span, until) = (order.span, loaded + SHOWN);
        self.under
            .insert(order.run.clone(), Under::Holds { span, until });
    }

    /// Drops moves that wait and are no longer this node's to order, or would now leave the endpoint's
    /// zone without a layer: another holder may have died since they were planned.
    fn reconsider(&mut self, part: &Part, engine: &Engine, holders: &[Holder]) {
        let under = &mut self.under;
        self.moves.retain(|(_, Planned { order, .. })| {
            let own = holders.iter().any(|h| h.run == order.run);
            let kept = !own || (part.first && plan::preserves_coverage(engine, holders, order));
            if !kept {
                under.remove(&order.run);
            }
            kept
        });
    }

    /// Endpoints that are about to give up layers, since the last call.
    pub fn take_moving(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.moving)
    }

    /// Orders that are being given, and whose outcome is not known yet.
    pub fn giving(&self) -> usize {
        self.giving
    }

    fn service<'a>(
        &mut self,
        now: Instant,
        part: &Part,
        engine: &Engine,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        let mut holders: Vec<Holder> = Vec::new();
        for endpoint in endpoints {
            let Some(mut holder) = Holder::from_endpoint(endpoint) else {
                continue;
            };
            match self.under.get(&holder.run) {
                Some(Under::Holds { span, .. }) => {
                    holder.span = *span;
                    holder.loading = true;
                }
                Some(Under::Wait(_)) => holder.busy = true,
                None => {}
            }
            holders.push(holder);
        }
        self.reconsider(part, engine, &holders);
        // A fleet that holds nothing is planned as a whole, once all have registered: planned by
        // ones and twos, the first take what the larger ones that follow should hold.
        let fresh = holders.iter().all(|h| h.span.is_empty());
        if fresh && now < self.arrived + self.gather {
            return;
        }
        let crowd = holders.len().div_ceil(engine.parallel_loads.max(1)) as u32;
        let orders = plan::next_orders(engine, &holders).into_iter();
        let orders = orders.filter(|o| part.orders_to(&o.run, o.held));
        for order in orders {
            let load = engine
                .load_time
                .mul_f64(engine.model_fraction(order.span.len()))
                * crowd;
            self.plan(now, Planned { order, load });
        }
    }

    fn give(&mut self, order: Order) {
        self.giving += 1;
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let ordered = give(&order).await;
            // Control has ended if nobody takes it.
            let _ = inputs.send(Input::Ordered(order, ordered)).await;
        });
    }

    /// An order was given, or found not to fit.
    pub fn ordered(&mut self, now: Instant, order: Order, ordered: &Ordered) {
        self.giving = self.giving.saturating_sub(1);
        let report = ordered.report.as_ref();
        self.journal.record(Event::Order {
            run: order.run.to_string(),
            held: order.held.to_string(),
            layers: order.span.to_string(),
            after: report.map(|r| r.accepted_orders),
            outcome: format!("{:?}", ordered.given),
        });
        let under = match (ordered.given, report) {
            (Outcome::Taken, _) => return,
            // It holds something else than its row says.
            (Outcome::Refused, Some(report)) if !report.busy && report.span != order.held => {
                Under::Holds {
                    span: report.span,
                    until: now + SHOWN,
                }
            }
            _ => Under::Wait(now + AGAIN),
        };
        self.under.insert(order.run, under);
    }

    /// Forgets what is over, what its row shows by now, and runs that are gone.
    fn forget(&mut self, now: Instant, endpoints: &[&Endpoint]) {
        let spans: BTreeMap<&Run, Span> = endpoints.iter().map(|e| (&e.run, e.span)).collect();
        self.seen.retain(|run| spans.contains_key(run));
        self.moves.retain(|(_, m)| spans.contains_key(&m.order.run));
        self.under
            .retain(|run, under| match (spans.get(run), under) {
                (None, _) => false,
                (Some(_), Under::Wait(until)) => now < *until,
                (Some(shown), Under::Holds { span, until }) => now < *until && shown != span,
            });
    }
}

/// Gives an order to an endpoint that still is what the order was planned for.
///
/// Its row does not say how many orders it has accepted, and may be seconds old. So it is asked
/// first, and the order carries the count from its report.
async fn give(order: &Order) -> Ordered {
    let control = Control::new(order.addr);
    let Ok(report) = control.fetch_report().await else {
        let (report, given) = (None, Outcome::Refused);
        return Ordered { report, given };
    };
    let given =
        match report.is_from_another_run(&order.run) || report.busy || report.span != order.held {
            true => Outcome::Refused,
            false => control.place(order, report.accepted_orders).await,
        };
    let report = Some(report);
    Ordered { report, given }
}
