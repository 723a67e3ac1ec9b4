//! Requests that wait for capacity: tells their tasks what the queue of their service decides.

use super::{POLL_INTERVAL, Worker};
use crate::dialect::Dialect;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use steer::Timestamp;
use steer::queue::{Action, Entry, Queue, Refused, Ticket};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time between two checks of a waiting request that is not the first one. They only end its own
/// wait, and that of a request whose task does not run.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Queues by the name of their service.
pub(super) type Lines = BTreeMap<String, Line>;

/// Queue of a service, and the tasks of its requests.
#[derive(Debug, Default)]
pub(super) struct Line {
    queue: Queue,
    seats: HashMap<Ticket, Rc<Seat>>,
}

/// Messages to the task of a waiting request.
#[derive(Debug, Default)]
struct Seat {
    woken: Notify,
    refused: Cell<Option<Refused>>,
}

/// Place of a request in the queue of its service. Dropping it passes its turn on.
pub(crate) struct Place<D: Dialect> {
    worker: Rc<Worker<D>>,
    service: String,
    ticket: Ticket,
    until: Timestamp,
    seat: Rc<Seat>,
    granted: bool,
}

impl<D: Dialect> Worker<D> {
    /// Adds a request to the queue of its service.
    pub(crate) fn join_queue(self: &Rc<Self>, service: &str, entry: Entry) -> Place<D> {
        let mut place = Place {
            worker: self.clone(),
            service: service.to_owned(),
            ticket: Ticket::default(),
            until: entry.until,
            seat: Rc::default(),
            granted: false,
        };
        self.lines
            .borrow_mut()
            .entry(service.to_owned())
            .or_default();
        self.update_line(service, |line, now| {
            let (ticket, actions) = line.queue.join(now, entry);
            place.ticket = ticket;
            line.seats.insert(ticket, place.seat.clone());
            actions
        });
        place
    }

    /// Tells the queue of a service that capacity may have become free; that of all services if it is
    /// not known which. Returns whether any request waits there.
    pub(super) fn notify_queues(&self, service: Option<&str>) -> bool {
        let lines = self.lines.borrow();
        let busy = lines.iter().filter(|(_, line)| !line.queue.is_empty());
        let busy = busy.map(|(name, _)| name.clone());
        let busy = busy.filter(|name| service.is_none_or(|s| s == name));
        let busy: Vec<String> = busy.collect();
        drop(lines);
        for service in &busy {
            self.update_line(service, |line, now| line.queue.freed(now));
        }
        !busy.is_empty()
    }

    /// Refuses the requests that wait for services which `is_known` does not hold for.
    pub(super) fn close_queues(&self, is_known: impl Fn(&str) -> bool) {
        let lines = self.lines.borrow();
        let removed = lines.keys().filter(|name| !is_known(name)).cloned();
        let removed: Vec<String> = removed.collect();
        drop(lines);
        for service in &removed {
            self.update_line(service, |line, now| line.queue.close(now));
            self.lines.borrow_mut().remove(service);
        }
    }

    /// Returns the queues' part of the state dump.
    pub(super) fn dump_queues(&self) -> String {
        let lines = self.lines.borrow();
        let dumps = lines.iter().map(|(service, line)| {
            let dump = line.queue.dump(self.now());
            format!("queue {service} {dump}")
        });
        dumps.collect()
    }

    /// Passes an event to the queue of a service, and notifies the tasks of its decisions.
    fn update_line(&self, service: &str, event: impl FnOnce(&mut Line, Timestamp) -> Vec<Action>) {
        let now = self.now();
        let mut lines = self.lines.borrow_mut();
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        let before = line.queue.len();
        for action in event(line, now) {
            match action {
                Action::Wake(ticket) => {
                    if let Some(seat) = line.seats.get(&ticket) {
                        seat.woken.notify_one();
                    }
                }
                Action::Refuse(ticket, refused) => {
                    self.metrics
                        .record_queue_refusal(service, refused.cause.as_str());
                    if let Some(seat) = line.seats.remove(&ticket) {
                        seat.refused.set(Some(refused));
                        seat.woken.notify_one();
                    }
                }
            }
        }
        if line.queue.len() != before {
            self.metrics.record_waiting(service, line.queue.len());
        }
    }
}

impl<D: Dialect> Place<D> {
    /// Waits until the request may look for capacity.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue refuses the request.
    pub(crate) async fn turn(&self) -> Result<(), Refused> {
        loop {
            // A new view may change the order of those who look for capacity.
            self.worker.view();
            if let Some(refused) = self.seat.refused.get() {
                return Err(refused);
            }
            let (is_turn, is_first) = self.status();
            if is_turn {
                return Ok(());
            }
            let interval = match is_first {
                true => POLL_INTERVAL,
                false => IDLE_POLL_INTERVAL,
            };
            // The wait is over after `until`, not at it.
            let left = self.until.saturating_sub(self.worker.now()) + Duration::from_millis(1);
            let woken = timeout(interval.min(left), self.seat.woken.notified()).await;
            // A poll wakes the first request again, so one after each wake-up would never end.
            if self.seat.refused.get().is_some() {
                continue;
            }
            self.update(|queue, now| match woken {
                Ok(()) => queue.responds(now, self.ticket),
                Err(_) => queue.poll(now, self.ticket),
            });
        }
    }

    /// The request had the turn and found no capacity; `by_load` tells whether the endpoints are full.
    pub(crate) fn missed(&self, by_load: bool) {
        self.update(|queue, now| queue.missed(now, self.ticket, by_load));
    }

    /// The request had the turn and got a slot.
    pub(crate) fn granted(mut self) {
        self.granted = true;
        self.update(|queue, now| queue.granted(now, self.ticket));
    }

    fn status(&self) -> (bool, bool) {
        let lines = self.worker.lines.borrow();
        let queue = lines.get(&self.service).map(|line| &line.queue);
        queue.map_or((false, false), |q| {
            (q.is_turn(self.ticket), q.is_first(self.ticket))
        })
    }

    fn update(&self, event: impl FnOnce(&mut Queue, Timestamp) -> Vec<Action>) {
        self.worker
            .update_line(&self.service, |line, now| event(&mut line.queue, now));
    }
}

impl<D: Dialect> Drop for Place<D> {
    fn drop(&mut self) {
        // A refused request is no longer in the queue, and its ticket may be another one's if the
        // service was removed and added again.
        if self.seat.refused.get().is_some() {
            return;
        }
        self.worker.update_line(&self.service, |line, now| {
            line.seats.remove(&self.ticket);
            match self.granted {
                true => Vec::new(),
                false => line.queue.left(now, self.ticket),
            }
        });
    }
}
