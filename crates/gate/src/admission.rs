//! Memory of a worker for its callers: who gets it, and who gives way when it runs out.
//!
//! What callers can make a node hold is counted in one [`Budget`]: requests in flight, bodies, and the buffers
//! of connections that make a node wait. Memory is taken as bytes arrive, so that announcing a body takes
//! nothing. When the budget is full, holders that made little progress give way. If there is none, the request
//! that asks is refused. A part of the budget is kept for requests of the usual size.
//!
//! The design and all bounds are in `docs/design/memory.md`.

mod holder;
mod reception;

pub(crate) use holder::{Droppable, Holder, Registration, Way};
pub(crate) use reception::Arrival;

use crate::metrics::Metrics;
use crate::refusal::Reason;
use catalog::{Catalog, Version};
use holder::Holders;
use memory::budget::{Budget, Class, Lease, Part};
pub(crate) use memory::shares::SMALL_BODY_BYTES;
use memory::shares::{self, Shares};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Memory of a request in flight beside its head and its bodies, in bytes: its state, and the buffers of the
/// connection to its endpoint.
const REQUEST_BYTES: usize = 48 << 10;
/// Bytes that each byte of a head takes while the request is in flight: it is held as received and as
/// parsed.
const HEAD_FACTOR: usize = 2;
/// Bytes that a header field or a part of a prompt takes beside its text.
const FIELD_BYTES: usize = 96;
/// Part of the budget that is freed at once when it is full, so that the holders are not searched for each
/// segment.
const BATCH_FRACTION: usize = 32;
/// Longest wait for memory that is being given back.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of times that a request waits for memory before it is refused.
const MAX_ROOM_TRIES: usize = 4;

/// The budget of a worker, and those who hold it.
pub(crate) struct Admission {
    budget: Budget,
    holders: RefCell<Holders>,
    /// Notified when a holder has given its memory back.
    freed: Notify,
    metrics: Metrics,
    /// Refusals for want of memory or of progress since the last line about them.
    refused: Cell<u64>,
    /// Version of the catalog that was reported last.
    checked_version: Cell<Version>,
}

impl Admission {
    /// Creates an unused budget for a machine with `memory_bytes` bytes of memory.
    pub(crate) fn new(memory_bytes: usize, metrics: Metrics) -> Rc<Self> {
        let shares = Shares::of(memory_bytes);
        metrics.record_memory_limit(shares.budget_bytes);
        Rc::new(Self {
            budget: shares.budget(),
            holders: RefCell::default(),
            freed: Notify::new(),
            metrics,
            refused: Cell::new(0),
            checked_version: Cell::default(),
        })
    }

    /// Returns the size of the largest body that is accepted.
    pub(crate) fn max_body_bytes(&self) -> usize {
        shares::max_body_bytes(&self.budget)
    }

    /// Reports a catalog that allows bodies for which the budget has no room.
    pub(crate) fn check_limits(&self, catalog: &Catalog) {
        let (allowed, max) = (catalog.limits.body_bytes, self.max_body_bytes());
        if allowed > max && self.checked_version.replace(catalog.version) != catalog.version {
            log::warn!(
                "version {} allows bodies of {allowed} bytes, and the memory of this node {max}; longer ones are refused",
                catalog.version
            );
        }
    }

    /// Returns an empty lease.
    pub(crate) fn lease(&self, part: Part) -> Lease {
        self.budget.lease(part)
    }

    /// Takes the memory of a request with this head.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Overloaded`] if there is no room.
    pub(crate) async fn request(&self, cost: usize) -> Result<Lease, Reason> {
        let mut lease = self.lease(Part::Requests);
        for _ in 0..MAX_ROOM_TRIES {
            if lease.try_grow(cost, Class::Small) {
                return Ok(lease);
            }
            if !self.make_room(cost, Class::Small, None).await {
                break;
            }
        }
        Err(Reason::Overloaded)
    }

    /// Makes others give way for `bytes`, and waits until one has. Returns false if nobody has to.
    pub(crate) async fn make_room(
        &self,
        bytes: usize,
        class: Class,
        asking: Option<&Rc<Holder>>,
    ) -> bool {
        let freed = self.freed.notified();
        if !self.evict(bytes, class, asking) {
            return false;
        }
        if self.used() + bytes <= self.budget.capacity(class) {
            return true;
        }
        // The caller looks again in any case.
        let _ = timeout(ROOM_TIMEOUT, freed).await;
        true
    }

    /// Makes holders give way until `bytes` fit. Returns false if none has to.
    pub(crate) fn evict(&self, bytes: usize, class: Class, asking: Option<&Rc<Holder>>) -> bool {
        let excess = (self.used() + bytes).saturating_sub(self.budget.capacity(class));
        let wanted = excess.max(self.budget.capacity(class) / BATCH_FRACTION);
        let evicted = self
            .holders
            .borrow_mut()
            .evict(Instant::now(), wanted, asking);
        for way in &evicted.ways {
            self.metrics.record_eviction(way);
        }
        evicted.bytes > 0
    }

    /// Returns the bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.budget.used()
    }

    /// Returns whether more is in use than the budget has.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used() > self.budget.capacity(Class::Small)
    }

    /// Registers what holds memory and may have to give it back.
    pub(crate) fn register(self: &Rc<Self>, holder: Holder) -> Registration {
        Registration::new(self.clone(), holder)
    }

    /// Ends holders whose time is over, and records what is in use.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.holders.borrow_mut().expire(now);
        for part in Part::ALL {
            self.metrics
                .record_memory(part.name(), self.budget.used_by(part));
        }
        let refused = self.refused.take();
        if refused > 0 {
            log::warn!("{refused} requests were refused for want of memory or of progress");
        }
    }

    /// Counts a refusal for want of memory or of progress.
    pub(crate) fn record_refusal(&self, reason: Reason) {
        self.refused.set(self.refused.get() + 1);
        self.metrics.record_memory_refusal(reason.label());
    }
}

/// Returns the memory that a request takes, with a head of `head_bytes` in `fields` header fields and parts of
/// a prompt.
pub(crate) fn request_cost(head_bytes: usize, fields: usize) -> usize {
    REQUEST_BYTES + HEAD_FACTOR * head_bytes + FIELD_BYTES * fields
}
