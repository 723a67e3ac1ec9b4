//! Connections of callers: their sockets, what they are doing, and which one gives way when there are too
//! many.

mod linger;
mod socket;

pub(crate) use linger::linger;
pub(crate) use socket::Socket;

use crate::admission::{Admission, Holder, Registration, Way};
use crate::metrics::Metrics;
use catalog::limits::Limits;
use memory::budget::{Class, Lease, Part};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without a request after which a connection may have to give way to a new one.
const MIN_QUIET_TIME: Duration = Duration::from_millis(300);
/// Part of a head that the buffer of a connection holds in any case, in bytes.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Bytes that each further byte of a head takes, since the buffer doubles as it grows.
const HEAD_BUFFER_FACTOR: usize = 2;
/// Memory of a connection whose caller does not read, in bytes, beside the response and what the HTTP library
/// buffers: that of the connection to the endpoint.
const BLOCKED_BYTES: usize = 128 << 10;
/// Time for a head, as a multiple of the operator's limit, that a connection may be cut off in its middle.
const HEAD_TIME_FACTOR: u32 = 2;

/// Minimum buffer for a head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Returns the most that the HTTP library buffers of what it reads, and of what it writes, in bytes.
pub(crate) fn max_buffer_bytes(limits: &Limits) -> usize {
    limits
        .head_bytes
        .max(MIN_HEAD_BUFFER_BYTES)
        .saturating_mul(2)
}

/// What a connection is doing, in the order in which connections give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// It is to be closed once its caller has read the response.
    Closing,
    /// It has sent a part of a head.
    Head,
    /// It has sent no part of the next request.
    Idle,
    /// A request is being served.
    Busy,
}

/// State of a connection, shared between its socket, its requests and the list of connections.
pub(crate) struct State {
    admission: Rc<Admission>,
    limits: Limits,
    phase: Cell<Phase>,
    /// Begin of the phase.
    since: Cell<Instant>,
    /// Whether it has carried a request.
    used: Cell<bool>,
    /// Bytes of the head that is being received.
    head_bytes: Cell<usize>,
    /// Length of the response that is being sent.
    response_bytes: Cell<usize>,
    /// The part of it that has not taken its memory.
    uncounted_bytes: Cell<usize>,
    /// Whether the response was sent before the request was read completely.
    unread: Cell<bool>,
    /// Whether a response is being sent whose end is that of the connection.
    ends_response: Cell<bool>,
    /// The memory of a long head, or of a response that is not read.
    held: RefCell<Option<Held>>,
    /// Whether its head was found to be overdue at the last check.
    was_overdue: Cell<bool>,
    closed: Cell<bool>,
    notify: Notify,
}

/// Memory beside that of an idle connection. It is given back before the registration is.
struct Held {
    lease: Lease,
    registration: Registration,
}

impl State {
    pub(crate) fn new(admission: Rc<Admission>, limits: Limits) -> Self {
        Self {
            admission,
            limits,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            used: Cell::new(false),
            head_bytes: Cell::new(0),
            response_bytes: Cell::new(0),
            uncounted_bytes: Cell::new(0),
            unread: Cell::new(false),
            ends_response: Cell::new(false),
            held: RefCell::new(None),
            was_overdue: Cell::new(false),
            closed: Cell::new(false),
            notify: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Records that a request has arrived, up to the end of its head.
    pub(crate) fn begin_request(self: &Rc<Self>) -> Response {
        self.enter(Phase::Busy);
        self.used.set(true);
        self.unread.set(false);
        self.head_bytes.set(0);
        self.response_bytes.set(0);
        self.uncounted_bytes.set(0);
        self.held.take();
        Response(self.clone())
    }

    /// Records that the response is sent before the request was read. The connection is closed after it.
    pub(crate) fn set_unread(&self) {
        self.unread.set(true);
    }

    /// Returns whether the caller may still be sending a request that was answered.
    pub(crate) fn is_unread(&self) -> bool {
        self.unread.get()
    }

    /// Records whether a response is being sent whose end is that of the connection. Until it is written
    /// completely, the connection must not be closed in order.
    pub(crate) fn set_ends_response(&self, ends: bool) {
        self.ends_response.set(ends);
    }

    /// Returns whether closing the connection in order would make a response look complete that is not.
    pub(crate) fn ends_response(&self) -> bool {
        self.ends_response.get()
    }

    /// Records that the connection is closed once its caller has read the response.
    pub(crate) fn begin_closing(&self) {
        self.enter(Phase::Closing);
    }

    /// Records received bytes.
    fn record_read(&self, bytes: usize) {
        match self.phase.get() {
            Phase::Idle => self.enter(Phase::Head),
            Phase::Head => {}
            Phase::Busy | Phase::Closing => return,
        }
        let head_bytes = self.head_bytes.get() + bytes;
        self.head_bytes.set(head_bytes);
        if head_bytes > FREE_HEAD_BYTES {
            self.hold_head(HEAD_BUFFER_FACTOR * (head_bytes - FREE_HEAD_BYTES));
            self.record_progress(bytes);
        }
    }

    /// Records that the socket takes no more bytes for now.
    fn record_blocked(&self) {
        let buffered = BLOCKED_BYTES.saturating_add(max_buffer_bytes(&self.limits));
        let bytes = buffered.saturating_add(self.uncounted_bytes.get());
        self.with_held(bytes, |held, added| {
            // The memory is in use already.
            held.lease.grow(added);
            if self.admission.is_exceeded() {
                let holder = held.registration.holder();
                self.admission.evict(0, Class::Small, Some(holder));
            }
        });
    }

    /// Records that the socket has taken all bytes.
    fn record_flushed(&self) {
        if self.phase.get() != Phase::Head {
            self.held.take();
        }
    }

    /// Records bytes of a long head, or of a response that was not read, that have passed.
    fn record_progress(&self, bytes: usize) {
        if let Some(held) = &*self.held.borrow() {
            held.registration.holder().record(bytes);
        }
    }

    /// Takes memory for a long head. Others, or else this connection, give way if there is no room.
    fn hold_head(&self, bytes: usize) {
        self.with_held(bytes, |held, added| {
            if held.lease.try_grow(added, Class::Large) {
                return;
            }
            let holder = held.registration.holder();
            match self.admission.evict(added, Class::Large, Some(holder)) {
                true => held.lease.grow(added),
                false => self.close(),
            }
        });
    }

    /// Registers that the connection holds `bytes`, and passes on how many of them it had not taken.
    fn with_held(&self, bytes: usize, take: impl FnOnce(&mut Held, usize)) {
        let mut held = self.held.borrow_mut();
        let held = held.get_or_insert_with(|| {
            let holder = Holder::new(Way::Connection, None, self.limits.idle_time);
            // Whoever waits for the end of the connection waits for that of the holder from now on.
            self.notify.notify_one();
            Held {
                lease: self.admission.lease(Part::Connections),
                registration: self.admission.register(holder),
            }
        });
        let added = bytes.saturating_sub(held.lease.bytes());
        if added > 0 {
            take(held, added);
            let freed = held.lease.bytes().saturating_add(self.response_bytes.get());
            held.registration.holder().set_bytes(freed);
        }
    }

    /// Closes the connection.
    fn close(&self) {
        self.closed.set(true);
        self.notify.notify_one();
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        let holder = || {
            let held = self.held.borrow();
            held.as_ref().map(|h| h.registration.holder().clone())
        };
        while !self.closed.get() {
            match holder() {
                Some(holder) => tokio::select! {
                    _ = holder.ended() => return,
                    () = self.notify.notified() => {}
                },
                None => self.notify.notified().await,
            }
        }
    }

    /// Returns its rank among those that may be closed for a new connection, lowest first.
    fn rank(&self, now: Instant) -> Option<(Phase, bool, Instant)> {
        let is_quiet = now.duration_since(self.since.get()) >= MIN_QUIET_TIME;
        let may_close = is_quiet && self.phase.get() != Phase::Busy;
        may_close.then(|| (self.phase.get(), self.used.get(), self.since.get()))
    }

    /// Returns whether its head takes too long, and did so at the check before. A process that was suspended
    /// finds heads overdue whose rest has arrived.
    fn is_overdue(&self, now: Instant) -> bool {
        let limit = self.limits.head_time.saturating_mul(HEAD_TIME_FACTOR);
        let is_late = now.duration_since(self.since.get()) >= limit;
        let is_overdue = self.phase.get() == Phase::Head && is_late;
        self.was_overdue.replace(is_overdue) && is_overdue
    }
}

/// The response to a request, until its body was passed to the connection.
pub(crate) struct Response(Rc<State>);

impl Response {
    /// Returns the connection.
    pub(crate) fn state(&self) -> &Rc<State> {
        &self.0
    }

    /// Sets the length of the body, as far as it is known, and whether its memory is still to be taken.
    pub(crate) fn set_length(&self, bytes: usize, is_uncounted: bool) {
        self.0.response_bytes.set(bytes);
        self.0
            .uncounted_bytes
            .set(if is_uncounted { bytes } else { 0 });
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// The open connections of a listener.
pub(crate) struct Connections {
    max: usize,
    list: RefCell<BTreeMap<u64, Rc<State>>>,
    last_id: Cell<u64>,
    metrics: Metrics,
}

/// An open connection, which is listed until this is dropped.
pub(crate) struct Listed {
    connections: Rc<Connections>,
    id: u64,
}

impl Connections {
    /// Creates a list of at most `max` connections.
    pub(crate) fn new(max: usize, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            max,
            list: RefCell::default(),
            last_id: Cell::new(0),
            metrics,
        })
    }

    /// Lists a new connection. If there are too many, the one that has sent no whole request for longest is
    /// closed. Returns `None` if all of them are being served or are new.
    pub(crate) fn add(self: &Rc<Self>, state: Rc<State>) -> Option<Listed> {
        let mut list = self.list.borrow_mut();
        if list.len() >= self.max {
            let now = Instant::now();
            let ranks = list.iter().filter_map(|(id, s)| Some((s.rank(now)?, *id)));
            let Some((_, id)) = ranks.min() else {
                self.metrics.record_eviction("new connection");
                return None;
            };
            if let Some(state) = list.remove(&id) {
                self.metrics.record_eviction("quiet connection");
                state.close();
            }
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        list.insert(id, state);
        Some(Listed {
            connections: self.clone(),
            id,
        })
    }

    /// Closes the connections whose heads take too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        for state in self.list.borrow().values() {
            if state.is_overdue(now) {
                self.metrics.record_eviction("slow head");
                state.close();
            }
        }
    }

    /// Returns whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.borrow().is_empty()
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.connections.list.borrow_mut().remove(&self.id);
    }
}
