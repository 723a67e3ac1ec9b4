//! Queue of the requests of one service that wait for capacity at one node, without I/O.
//!
//! Order: resumptions of responses in progress; then strictly by priority; then fair shares of the
//! teams; then deadline; then arrival. One request at a time has the turn, which is the permission
//! to look for capacity: the first one, and after it failed, those behind it that need less. A
//! request that gets no capacity, or leaves, passes the turn on, so no slot stays unused.
//!
//! Events are methods; each returns what the requests are to be told. Handles up to 64 waiting
//! requests, apart from resumptions, which are bounded by the responses in progress: the cost of an
//! event is the number of requests times the number of waiting teams.

mod estimate;
mod refusal;
pub(crate) mod reserve;
mod share;

use crate::Timestamp;
use crate::budget::Purpose;
use catalog::{Catalog, ServiceId};
use estimate::SlotRate;
pub use refusal::{Cause, Refused};
use share::Class;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of waiting requests, without resumptions. With more of them, the last one would need
/// over 320 slots a second to be served within its wait, at a latency target of 500 ms.
pub const MAX_WAITING: usize = 64;
/// Maximum number of requests that look for capacity after each change: the first one, and those
/// behind it that may use what it can't.
const LOOK_AHEAD: usize = 8;
/// Maximum number of smaller requests of its priority that get capacity past a request. Without a
/// limit, small requests would take the capacity that a large one waits for as it becomes free.
const MAX_PASSED: u32 = 8;
/// Time after which a request that has the turn and does nothing loses it. The task of a resumption
/// does not run while its caller does not read, and must not block the others.
const TURN_TIMEOUT: Duration = Duration::from_millis(50);
/// Fraction of its remaining wait within which a request must be expected to get a slot to be
/// admitted. The rest covers later requests that are more urgent, and the error of the rate.
const ADMISSION_FRACTION: f64 = 0.8;
/// Fraction of its wait after which an admitted request is judged once more as at its admission. If the
/// rate has fallen, it is refused before half of its wait is over, with time left for a retry.
const REVIEW_FRACTION: f64 = 0.4;

/// Number of a waiting request, in the order of arrival.
pub type Ticket = u64;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Whether the request resumes a response in progress, which is never refused by an estimate.
    pub purpose: Purpose,
    /// Priority, 0 first.
    pub priority: u8,
    /// Name of the team; empty if there is none.
    pub team: String,
    /// Requested tokens, at least 1.
    pub tokens: f64,
    /// Whether the request may use the capacity that is kept for urgent ones.
    pub urgent: bool,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// End of its wait.
    pub until: Timestamp,
}

impl Entry {
    /// Returns the position of the request's class; lower ones go strictly first.
    fn rank(&self) -> u16 {
        match self.purpose {
            Purpose::Resumption => 0,
            Purpose::Answer => u16::from(self.priority) + 1,
        }
    }
}

/// A message to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// It has the turn, or is the first now and must call [`Queue::poll`] at intervals.
    Wake(Ticket),
    /// It is refused, and no longer in the queue.
    Refuse(Ticket, Refused),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    entry: Entry,
    joined_at: Timestamp,
    /// Whether it found no capacity in the current round.
    missed: bool,
    /// Whether it ever found no capacity.
    ever_missed: bool,
    /// Whether it did not use its last turn, and has done nothing since.
    unresponsive: bool,
    /// Number of smaller requests that got capacity past it.
    passed: u32,
    /// Number of requests before it when it joined.
    joined_behind: usize,
    /// Whether it was expected to get a slot once the rate was known.
    admitted: bool,
    /// Whether it was expected to get one after [`REVIEW_FRACTION`] of its wait too.
    reviewed: bool,
}

/// Queue of one service at one node.
///
/// Invariants: the request with the turn is in the queue; the first request has been woken since it
/// became the first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<u16, Class>,
    waiting: BTreeMap<Ticket, Waiting>,
    next_ticket: Ticket,
    /// The request that may look for capacity.
    turn: Option<Ticket>,
    /// When that request got the turn.
    turn_since: Timestamp,
    /// The first request that responds; it polls.
    first: Option<Ticket>,
    rate: SlotRate,
    /// Whether capacity is missing for another reason than load, such as the loss of all endpoints.
    /// The rate says nothing then.
    suspended: bool,
}

/// Returns whether the requests for a service are ordered by a queue: its routes have more than one
/// priority, or there is more than one team.
pub fn is_ordered(catalog: &Catalog, service: ServiceId) -> bool {
    catalog.teams.len() > 1 || has_priorities(catalog, service)
}

/// Returns whether the routes of a service have more than one priority.
pub fn has_priorities(catalog: &Catalog, service: ServiceId) -> bool {
    let routes = catalog.routes.iter();
    let routes = routes.filter(|r| r.split.iter().any(|s| s.service == service));
    let mut priorities = routes.map(|r| r.priority);
    let first = priorities.next();
    priorities.any(|p| Some(p) != first)
}

impl Queue {
    /// Adds a request. It may look for capacity at once if [`Self::is_turn`] holds for it then.
    pub fn join(&mut self, now: Timestamp, entry: Entry) -> (Ticket, Vec<Action>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let class = self.classes.entry(entry.rank()).or_default();
        class.insert(&entry.team, entry.deadline, ticket, entry.tokens);
        let waiting = Waiting {
            ticket,
            entry,
            joined_at: now,
            missed: false,
            ever_missed: false,
            unresponsive: false,
            passed: 0,
            joined_behind: self.position(ticket),
            admitted: false,
            reviewed: false,
        };
        self.waiting.insert(ticket, waiting);
        (ticket, self.settle(now))
    }

    /// Capacity may have become free: a slot was released, or the state of the fleet changed.
    pub fn freed(&mut self, now: Timestamp) -> Vec<Action> {
        self.waiting.values_mut().for_each(|w| w.missed = false);
        self.settle(now)
    }

    /// The time between two checks of the request is over. Only the first request looks for capacity
    /// then, since endpoints also become available by the passage of time.
    pub fn poll(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Action> {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.unresponsive = false;
        }
        match self.is_first(ticket) {
            true => self.freed(now),
            false => self.settle(now),
        }
    }

    /// The task of the request runs again without having the turn.
    pub fn responds(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Action> {
        let waiting = self.waiting.get_mut(&ticket);
        match waiting.is_some_and(|w| std::mem::take(&mut w.unresponsive)) {
            true => self.settle(now),
            false => Vec::new(),
        }
    }

    /// The request with the turn found no capacity; `by_load` tells whether the endpoints are full.
    pub fn missed(&mut self, now: Timestamp, ticket: Ticket, by_load: bool) -> Vec<Action> {
        self.suspended = !by_load;
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.missed = true;
            waiting.ever_missed = true;
            waiting.unresponsive = false;
        }
        self.settle(now)
    }

    /// The request with the turn got a slot.
    pub fn granted(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Action> {
        self.suspended = false;
        let order = self.order();
        // It may have been refused by a change that its own search made known.
        if let Some(entry) = self.waiting.get(&ticket).map(|w| w.entry.clone()) {
            let ever_missed = self.waiting[&ticket].ever_missed;
            for earlier in order.iter().take_while(|&&t| t != ticket) {
                if let Some(earlier) = self.waiting.get_mut(earlier) {
                    earlier.passed += 1;
                }
            }
            // A request that waits for nothing says nothing of the rate at which slots become free.
            if ever_missed || order.len() > 1 {
                self.rate.record_slot(now);
            }
            if let Some(class) = self.classes.get_mut(&entry.rank()) {
                class.charge(&entry.team, entry.tokens);
            }
        }
        self.remove(ticket);
        self.settle(now)
    }

    /// The request leaves: its caller left, or it can't be served.
    pub fn left(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Action> {
        self.remove(ticket);
        self.settle(now)
    }

    /// The service was removed: all its requests are refused.
    pub fn close(&mut self, now: Timestamp) -> Vec<Action> {
        let order = self.order().into_iter().enumerate();
        let refused = order.filter_map(|(at, ticket)| self.refuse(now, ticket, Cause::Removed, at));
        let mut actions: Vec<Action> = refused.collect();
        actions.extend(self.settle(now));
        actions
    }

    /// Returns whether the request may look for capacity.
    pub fn is_turn(&self, ticket: Ticket) -> bool {
        self.turn == Some(ticket)
    }

    /// Returns whether the request is the first one.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.first == Some(ticket)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the waiting requests in their order.
    pub fn order(&self) -> Vec<Ticket> {
        self.classes.values().flat_map(Class::order).collect()
    }

    /// Returns the number of requests before this one.
    fn position(&self, ticket: Ticket) -> usize {
        let order = self.order();
        order.iter().take_while(|&&t| t != ticket).count()
    }

    /// Refuses the requests that can't get a slot in time, hands out the turn, and appoints the
    /// request that polls.
    fn settle(&mut self, now: Timestamp) -> Vec<Action> {
        self.rate.set_busy(now, !self.waiting.is_empty());
        let mut actions = self.refuse_late(now);
        self.refuse_beyond_bound(now, &mut actions);
        if now > self.turn_since + TURN_TIMEOUT
            && let Some(waiting) = self.turn.and_then(|t| self.waiting.get_mut(&t))
        {
            waiting.unresponsive = true;
        }
        let order = self.order();
        let turn = self.next_to_look(&order);
        if turn != self.turn {
            self.turn = turn;
            self.turn_since = now;
            actions.extend(turn.map(Action::Wake));
        }
        let first = self.first_responding(&order).map(|w| w.ticket);
        if first != self.first {
            self.first = first;
            // It may have missed in this round already, and has to poll from now on.
            actions.extend(first.filter(|_| first != turn).map(Action::Wake));
        }
        self.rate.set_busy(now, !self.waiting.is_empty());
        debug_assert!(self.turn.is_none_or(|t| self.waiting.contains_key(&t)));
        actions
    }

    /// Returns the queue's lines of the state dump, without its name.
    pub fn dump(&self, now: Timestamp) -> String {
        let slots = self.rate.per_second(now);
        let slots = slots.map_or("unknown".to_owned(), |r| format!("{r:.1} a second"));
        let mut lines = format!("waiting {} slots {slots}\n", self.len());
        let order = self.order();
        for waiting in order.iter().filter_map(|t| self.waiting.get(t)) {
            let entry = &waiting.entry;
            lines += &format!(
                "  {:?} priority {} team {} tokens {:.0} since {:.3} until {:.3}\n",
                entry.purpose,
                entry.priority,
                entry.team,
                entry.tokens,
                waiting.joined_at.as_secs_f64(),
                entry.until.as_secs_f64(),
            );
        }
        lines
    }

    /// Returns the first request whose task runs.
    fn first_responding(&self, order: &[Ticket]) -> Option<&Waiting> {
        let mut waiting = order.iter().filter_map(|t| self.waiting.get(t));
        waiting.find(|w| !w.unresponsive)
    }

    /// Refuses the requests whose wait is over, or that are not expected to get a slot within it.
    fn refuse_late(&mut self, now: Timestamp) -> Vec<Action> {
        let order = self.order();
        // While any of them may still look for capacity, nothing is known of the others.
        let is_full = !order.is_empty() && self.next_to_look(&order).is_none();
        let mut actions = Vec::new();
        let mut ahead = 0;
        for ticket in order {
            let refused = self
                .judge(now, ticket, ahead, is_full)
                .and_then(|cause| self.refuse(now, ticket, cause, ahead));
            ahead += usize::from(refused.is_none());
            actions.extend(refused);
        }
        actions
    }

    /// Returns why a request with `ahead` others before it is refused, if it is.
    fn judge(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        ahead: usize,
        is_full: bool,
    ) -> Option<Cause> {
        let estimate = self.estimate(now, ahead).filter(|_| is_full);
        let waiting = self.waiting.get_mut(&ticket)?;
        if now > waiting.entry.until {
            return Some(Cause::Expired);
        }
        let estimate = estimate?;
        // The first one gets whatever becomes free, so a mean rate does not tell that it gets none.
        if ahead == 0 || waiting.entry.purpose == Purpose::Resumption {
            waiting.admitted = true;
            return None;
        }
        let remaining = waiting.entry.until.saturating_sub(now);
        let max_wait = waiting.entry.until.saturating_sub(waiting.joined_at);
        let is_due = now >= waiting.joined_at + max_wait.mul_f64(REVIEW_FRACTION);
        let limit = match waiting.admitted && (waiting.reviewed || !is_due) {
            true => remaining,
            false => remaining.mul_f64(ADMISSION_FRACTION),
        };
        waiting.admitted = true;
        waiting.reviewed = is_due;
        (estimate > limit).then_some(match ahead > waiting.joined_behind {
            true => Cause::Overtaken,
            false => Cause::TooLate,
        })
    }

    /// Refuses the last requests beyond the maximum number. Resumptions are not counted.
    fn refuse_beyond_bound(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let bounded = |w: &&Waiting| w.entry.purpose != Purpose::Resumption;
        let mut count = self.waiting.values().filter(bounded).count();
        while count > MAX_WAITING {
            let order = self.order();
            let Some(&last) = order.last() else {
                return;
            };
            actions.extend(self.refuse(now, last, Cause::Full, order.len() - 1));
            count -= 1;
        }
    }

    /// Returns the request that looks for capacity next: the first of the look-ahead that did not
    /// miss in this round and may pass all before it.
    fn next_to_look(&self, order: &[Ticket]) -> Option<Ticket> {
        let ahead = order.iter().take(LOOK_AHEAD);
        let ahead = ahead.filter_map(|t| self.waiting.get(t));
        let mut before: Vec<&Waiting> = Vec::new();
        for waiting in ahead.filter(|w| !w.unresponsive) {
            if !waiting.missed && before.iter().all(|b| waiting.may_pass(b)) {
                return Some(waiting.ticket);
            }
            before.push(waiting);
        }
        None
    }

    /// Returns the time until a request with `ahead` others before it is expected to get a slot.
    fn estimate(&self, now: Timestamp, ahead: usize) -> Option<Duration> {
        let wait = self.rate.wait(now, ahead);
        wait.filter(|_| !self.suspended)
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        cause: Cause,
        ahead: usize,
    ) -> Option<Action> {
        let estimate = self.estimate(now, ahead);
        let waiting = self.remove(ticket)?;
        let refused = Refused {
            cause,
            ahead,
            estimate,
            waited: now.saturating_sub(waiting.joined_at),
        };
        Some(Action::Refuse(ticket, refused))
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let entry = &waiting.entry;
        let rank = entry.rank();
        if let Some(class) = self.classes.get_mut(&rank) {
            class.remove(&entry.team, entry.deadline, ticket);
            if class.is_empty() {
                self.classes.remove(&rank);
            }
        }
        Some(waiting)
    }
}

impl Waiting {
    /// Returns whether this request may look for capacity while one before it found none. It may if
    /// it can use capacity that the other one can't: as an urgent request, or, within one priority,
    /// as a smaller one. A less urgent request that is smaller may not, since it would take the
    /// capacity that an urgent one waits for piece by piece.
    fn may_pass(&self, before: &Self) -> bool {
        let (own, other) = (&self.entry, &before.entry);
        // A resumption may wait for longer than new requests do at all.
        let same_class = own.rank() == other.rank() || other.purpose == Purpose::Resumption;
        let is_smaller = same_class && own.tokens < other.tokens;
        (own.urgent && !other.urgent) || (is_smaller && before.passed < MAX_PASSED)
    }
}
