//! Moves responses off endpoints that have ended.
//!
//! A node is notified when another node found that an endpoint has ended. A response whose chain
//! runs through it moves at once if the end is confirmed, else when it is idle by its own gaps. What it
//! does is decided by [`steer::Selector::evacuate`]. Responses that are idle at the same time are
//! planned together, so that those that can still be on time go first.

use super::Forwarder;
use super::attempt::Reservation;
use super::stall::PROBE_INTERVAL;
use crate::dialect::{Dialect, RerouteOutcome};
use crate::execution::Permit;
use crate::view::Changes;
use crate::worker::Worker;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use steer::budget::Purpose;
use steer::evacuation::gaps::Gaps;
use steer::evacuation::{Decision, Evacuee, Plan};
use steer::health::Outcome;
use steer::target::{Stage, Target};
use tokio::time::Instant;

/// Time after a resumption until the old chain is planned again, if the new one sends no event.
const RESUMPTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a response moves off an endpoint whose end is confirmed. Waiting for a missing
/// event would use a third of the pause target; the rest covers events that are still on their way.
const CONFIRMED_IDLE: Duration = Duration::from_millis(5);
/// Maximum number of orders in a row that the head refuses before the response is planned again at
/// the usual interval. Endpoints fail and fill up in groups.
const MAX_REFUSED_ORDERS: u32 = 4;
/// Why another endpoint is tried beside an attempt whose response is resumed.
const REASON: &str = "a stage of its chain has ended";

/// Whether an attempt's chain runs through an ended endpoint, and when it is to be moved.
pub(crate) struct Evacuation {
    changes: Changes,
    /// Version of the selector's table that was last checked.
    table_version: u64,
    has_ended_stage: bool,
    /// Whether the end of one of them is confirmed.
    is_confirmed: bool,
    /// Times between the events of the response.
    pub(crate) gaps: Gaps,
    place: f64,
    may_defer: bool,
    not_before: Instant,
    /// Whether a move was ordered since the last event.
    moved: bool,
    /// Whether it was recorded that the response can't move.
    stay_recorded: bool,
    /// Number of orders that the head refused since the last event.
    refused_orders: u32,
}

impl Evacuation {
    pub(crate) fn new<D: Dialect>(worker: &Worker<D>) -> Self {
        let mut changes = worker.changes.clone();
        changes.mark_unchanged();
        Self {
            changes,
            table_version: 0,
            has_ended_stage: false,
            is_confirmed: false,
            gaps: Gaps::default(),
            place: rand::rng().random_range(0.0..1.0),
            may_defer: true,
            not_before: Instant::now(),
            moved: false,
            stay_recorded: false,
            refused_orders: 0,
        }
    }

    /// Waits until the set of ended endpoints changed.
    pub(crate) async fn changed(&mut self) {
        if self.changes.changed().await.is_err() {
            // The control task has ended.
            std::future::pending().await
        }
    }

    /// Returns the time until the response is to be moved if it has no event until then; `None` if no
    /// stage of its chain has ended. `idle` is the time for which it has been waited for.
    pub(crate) fn due_in<D: Dialect>(
        &mut self,
        worker: &Worker<D>,
        target: &Target,
        idle: Duration,
        latency_target: Duration,
    ) -> Option<Duration> {
        let table_version = worker.table_version();
        if table_version != self.table_version {
            self.table_version = table_version;
            self.refresh(worker, target);
        }
        if !self.has_ended_stage {
            return None;
        }
        let idle_after = match self.is_confirmed {
            true => CONFIRMED_IDLE,
            false => self.gaps.idle_after(latency_target),
        };
        let left = idle_after.saturating_sub(idle);
        Some(left.max(self.not_before.saturating_duration_since(Instant::now())))
    }

    /// Checks whether a stage has ended. Plain endpoints are not polled, so none of theirs is listed.
    fn refresh<D: Dialect>(&mut self, worker: &Worker<D>, target: &Target) {
        self.has_ended_stage = !target.head().span.is_empty()
            && worker.with_selector(|selector, _| selector.has_ended_stage(target));
        self.is_confirmed = self.has_ended_stage
            && worker.with_selector(|selector, _| selector.has_confirmed_end(target));
    }

    /// Records that an event arrived `gap` after the one before. A gap in which the response moved is
    /// no sample of the chain's speed.
    pub(crate) fn record_event(&mut self, gap: Option<Duration>) {
        match gap {
            Some(gap) if !self.moved => self.gaps.record(gap),
            _ => {}
        }
        (self.moved, self.may_defer, self.stay_recorded) = (false, true, false);
        self.refused_orders = 0;
    }

    fn pause(&mut self, time: Duration) {
        self.not_before = Instant::now() + time;
    }
}

/// An attempt on a new chain that is ready to be sent.
pub(crate) struct PlannedAttempt<D: Dialect> {
    pub(crate) reservation: Reservation<D>,
    pub(crate) permit: Permit,
}

/// Responses that are planned together.
#[derive(Debug, Default)]
pub(crate) struct Evacuees {
    entries: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
}

#[derive(Debug)]
enum Entry {
    Waiting(Evacuee),
    Planned(Decision),
}

/// Entry of one response; it is removed when this is dropped.
struct Ticket<D: Dialect> {
    worker: Rc<Worker<D>>,
    number: u64,
}

impl<D: Dialect> Ticket<D> {
    fn new(worker: Rc<Worker<D>>, evacuee: Evacuee) -> Self {
        let evacuees = &worker.evacuees;
        let number = evacuees.next.get();
        evacuees.next.set(number + 1);
        let mut entries = evacuees.entries.borrow_mut();
        entries.insert(number, Entry::Waiting(evacuee));
        drop(entries);
        Self { worker, number }
    }

    /// Returns the decision; it is made for all entries that wait.
    fn decision(self) -> Option<Decision> {
        let is_planned = matches!(
            self.worker.evacuees.entries.borrow().get(&self.number),
            Some(Entry::Planned(_))
        );
        if !is_planned {
            self.worker.plan_evacuation();
        }
        match self
            .worker
            .evacuees
            .entries
            .borrow_mut()
            .remove(&self.number)
        {
            Some(Entry::Planned(decision)) => Some(decision),
            _ => None,
        }
    }
}

impl<D: Dialect> Drop for Ticket<D> {
    fn drop(&mut self) {
        let entry = self
            .worker
            .evacuees
            .entries
            .borrow_mut()
            .remove(&self.number);
        // Replaced stages belong to the reservation of the attempt, which has ended.
        if let Some(Entry::Planned(decision)) = entry
            && let Plan::Resume(target) = decision.plan
        {
            self.worker
                .release(target.reservation, Outcome::Unknown, None);
        }
    }
}

impl<D: Dialect> Worker<D> {
    /// Plans all responses that wait for it.
    fn plan_evacuation(&self) {
        let mut entries = self.evacuees.entries.borrow_mut();
        let waiting = entries.iter_mut().filter_map(|(_, entry)| match entry {
            Entry::Waiting(evacuee) => Some((evacuee.clone(), entry)),
            Entry::Planned(_) => None,
        });
        let (evacuees, waiting): (Vec<_>, Vec<_>) = waiting.unzip();
        let decisions = self.with_selector(|selector, now| selector.evacuate(now, &evacuees));
        for (entry, decision) in waiting.into_iter().zip(decisions) {
            *entry = Entry::Planned(decision);
        }
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Moves a response that is idle and whose chain has an ended stage. `position` is the last event
    /// that the caller has. Returns the reason why another attempt is to be started, for which the
    /// chain is reserved.
    pub(crate) async fn evacuate(
        &self,
        reservation: &mut Reservation<D>,
        evacuation: &mut Evacuation,
        idle: Duration,
        position: Option<u64>,
    ) -> Option<&'static str> {
        evacuation.pause(PROBE_INTERVAL);
        let ended = self
            .worker
            .with_selector(|selector, _| selector.ended_stages(&reservation.target));
        if ended.is_empty() {
            // The stages were replaced on another path meanwhile.
            evacuation.refresh(&self.worker, &reservation.target);
            return None;
        }
        let may_retry = !self.worker.is_suspect(&self.job) && self.planned.borrow().is_none();
        let permit = may_retry.then(|| self.further_permit()).flatten();
        let evacuee = self.evacuee(reservation, evacuation, idle, position, permit.is_some());
        let ticket = Ticket::new(self.worker.clone(), evacuee?);
        // Lets the other responses that the same notification woke join.
        tokio::task::yield_now().await;
        let decision = ticket.decision()?;
        let first = !evacuation.stay_recorded;
        if first || !matches!(decision.plan, Plan::Stay) {
            self.log
                .record_move(reservation.attempt(), &ended, &decision, idle);
        }
        evacuation.may_defer = false;
        match decision.plan {
            Plan::Replace(stages) => {
                evacuation.moved = true;
                let outcome = self.order_replacement(reservation, &ended, stages).await;
                evacuation.refresh(&self.worker, &reservation.target);
                if let RerouteOutcome::Missing(stage) = outcome {
                    self.worker
                        .with_selector(|selector, now| selector.report_missing(now, stage));
                    evacuation.refused_orders += 1;
                    // Without this stage, a new chain may be the faster option.
                    if evacuation.refused_orders < MAX_REFUSED_ORDERS {
                        evacuation.pause(Duration::ZERO);
                    }
                }
                None
            }
            Plan::Resume(target) => {
                evacuation.moved = true;
                evacuation.pause(RESUMPTION_TIMEOUT);
                let new = Reservation::new(self.worker.clone(), target);
                crate::stats::increment(&self.worker.stats.retries);
                self.reached.set(true);
                // The head is only at fault if it has ended itself.
                let head = reservation.target.head().addr;
                reservation.progress.was_idle.set(ended.contains(&head));
                self.planned.replace(Some(PlannedAttempt {
                    reservation: new,
                    permit: permit?,
                }));
                Some(REASON)
            }
            Plan::Defer(time) => {
                evacuation.pause(time);
                None
            }
            Plan::Stay => {
                evacuation.stay_recorded = true;
                None
            }
        }
    }

    /// Returns what the decision depends on; `None` if the service is not in the catalog any more.
    fn evacuee(
        &self,
        reservation: &Reservation<D>,
        evacuation: &Evacuation,
        idle: Duration,
        position: Option<u64>,
        may_retry: bool,
    ) -> Option<Evacuee> {
        let need = self.job.need();
        let engine = self.job.service().engine.as_ref()?;
        let events = position
            .unwrap_or_default()
            .min(u64::from(need.size.answer)) as u32;
        let answered = events.saturating_mul(engine.steps_per_event);
        let context = need.size.prompt + answered.min(need.size.answer);
        let (idle, pause_target, purpose) = match self.log.has_started() {
            true => {
                let pause = self.job.kind().stream().and_then(|s| s.pause);
                (idle, pause, Purpose::Resumption)
            }
            false => {
                let target = self.job.route().latency_target;
                (
                    self.job.received_at.elapsed(),
                    Some(target),
                    Purpose::Answer,
                )
            }
        };
        Some(Evacuee {
            target: reservation.target.clone(),
            service: self.current_service().ok()?,
            need,
            context,
            idle,
            pause_target,
            retry: may_retry.then_some(purpose),
            place: evacuation.place,
            may_defer: evacuation.may_defer,
        })
    }

    /// Orders the head to continue over other stages, which are reserved already.
    async fn order_replacement(
        &self,
        reservation: &mut Reservation<D>,
        ended: &[std::net::SocketAddr],
        stages: Vec<Stage>,
    ) -> RerouteOutcome {
        let crossings = self.crossings(&stages);
        for &stage in ended {
            self.log
                .record_reroute(reservation.attempt(), stage, &stages, crossings);
        }
        let previous = std::mem::replace(&mut reservation.target.stages, stages);
        let dialect = &self.worker.dialect;
        let ordered = dialect.reroute(self.job.id(), &reservation.target.stages);
        let outcome = ordered.await;
        self.settle(reservation, previous, Some(outcome));
        outcome
    }
}
