//! Those who hold memory of the budget, and may have to give it back.

use super::Admission;
use crate::kept;
use crate::refusal::Reason;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use steer::crash::Fingerprint;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time in which a holder need not have made progress.
const GRACE: Duration = Duration::from_secs(1);
/// Progress in bytes a second above which a holder does not have to give way.
const MIN_PROGRESS: usize = 64 << 10;

/// How a holder gives its memory back.
#[derive(Clone, Debug)]
pub(crate) enum Way {
    /// The body that is being received is refused.
    Body,
    /// The connection is closed, whose caller does not read or does not end a head.
    Connection,
    /// The body of a request that was answered in part is dropped, so that the response can't be resumed
    /// elsewhere.
    Kept(Droppable),
}

/// A body that may be dropped for others.
#[derive(Clone, Debug)]
pub(crate) struct Droppable {
    pub(crate) body: Rc<kept::Body>,
    /// Hash of the content of its request.
    pub(crate) fingerprint: Fingerprint,
}

impl Way {
    /// Returns the name of the way in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Connection => "connection",
            Self::Kept(_) => "kept",
        }
    }
}

/// Progress over about a second.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Begin of the current window.
    since: Instant,
    /// Bytes in it.
    bytes: usize,
    /// Bytes a second in the window before.
    rate: usize,
    /// Time of the last byte.
    last: Instant,
}

impl Progress {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            bytes: 0,
            rate: 0,
            last: now,
        }
    }

    fn record(&mut self, bytes: usize, now: Instant) {
        let window = now.duration_since(self.since);
        if window >= GRACE {
            self.rate = (self.bytes as f64 / window.as_secs_f64()) as usize;
            self.since = now;
            self.bytes = 0;
        }
        self.bytes += bytes;
        self.last = now;
    }

    /// Returns the bytes a second.
    fn rate(&self, now: Instant) -> usize {
        match now.duration_since(self.last) >= GRACE {
            true => 0,
            false => self.rate.max(self.bytes),
        }
    }
}

/// What holds memory.
#[derive(Debug)]
pub(crate) struct Holder {
    way: Way,
    /// Bytes that it gives back.
    bytes: Cell<usize>,
    begin: Instant,
    progress: Cell<Progress>,
    /// When its time is over, whatever its progress.
    deadline: Option<Instant>,
    /// Longest time without progress.
    idle_time: Duration,
    /// Whether it was found to be overdue once. A process that was suspended finds holders overdue whose
    /// bytes have arrived.
    overdue: Cell<bool>,
    /// Why it has to end.
    ended: Cell<Option<Reason>>,
    notify: Notify,
}

impl Holder {
    /// Creates a holder of nothing.
    pub(crate) fn new(way: Way, deadline: Option<Instant>, idle_time: Duration) -> Self {
        let now = Instant::now();
        Self {
            way,
            bytes: Cell::new(0),
            begin: now,
            progress: Cell::new(Progress::new(now)),
            deadline,
            idle_time,
            overdue: Cell::new(false),
            ended: Cell::new(None),
            notify: Notify::new(),
        }
    }

    /// Sets the bytes that it gives back.
    pub(crate) fn set_bytes(&self, bytes: usize) {
        self.bytes.set(bytes);
    }

    /// Records that it received or sent bytes.
    pub(crate) fn record(&self, bytes: usize) {
        let mut progress = self.progress.get();
        progress.record(bytes, Instant::now());
        self.progress.set(progress);
        self.overdue.set(false);
    }

    /// Waits until it has to end, and returns why.
    pub(crate) async fn ended(&self) -> Reason {
        loop {
            if let Some(reason) = self.ended.get() {
                return reason;
            }
            self.notify.notified().await;
        }
    }

    fn end(&self, reason: Reason) {
        self.ended.set(Some(reason));
        if let Way::Kept(kept) = &self.way {
            kept.body.release(kept.fingerprint);
        }
        self.notify.notify_one();
    }

    /// Returns its rank among those that have to give way, lowest first; `None` if it does not have to.
    fn rank(&self, now: Instant) -> Option<(usize, Instant)> {
        if let Way::Kept(kept) = &self.way {
            // A body that is being sent, or is about to be, frees nothing.
            return (!kept.body.is_in_use()).then_some((0, self.begin));
        }
        let rate = self.progress.get().rate(now);
        let is_slow = now.duration_since(self.begin) >= GRACE && rate < MIN_PROGRESS;
        is_slow.then_some((1 + rate, self.begin))
    }

    /// Returns why its time is over. A body that is kept has no time of its own.
    fn overdue(&self, now: Instant) -> Option<Reason> {
        if let Way::Kept(_) = self.way {
            return None;
        }
        if self.deadline.is_some_and(|d| now >= d) {
            return Some(Reason::ExpiredNotRun);
        }
        let idle = now.duration_since(self.progress.get().last);
        (idle >= self.idle_time).then_some(Reason::SlowBody)
    }
}

/// The holders of a budget.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    list: BTreeMap<u64, Rc<Holder>>,
    last_id: u64,
}

/// What was evicted.
pub(super) struct Evicted {
    /// Ways of the holders.
    pub(super) ways: Vec<&'static str>,
    /// Bytes that are given back, or are about to be.
    pub(super) bytes: usize,
}

impl Holders {
    /// Makes holders give way until `wanted` bytes are given back, except the one that asks.
    pub(super) fn evict(
        &mut self,
        now: Instant,
        wanted: usize,
        asking: Option<&Rc<Holder>>,
    ) -> Evicted {
        let mut evicted = Evicted {
            ways: Vec::new(),
            bytes: 0,
        };
        let mut candidates = Vec::new();
        for holder in self.list.values() {
            if holder.ended.get().is_some() {
                // A body that is kept was dropped at once.
                if !matches!(holder.way, Way::Kept(_)) {
                    evicted.bytes += holder.bytes.get();
                }
            } else if asking.is_none_or(|a| !Rc::ptr_eq(a, holder)) && holder.bytes.get() > 0 {
                candidates.extend(holder.rank(now).map(|rank| (rank, holder)));
            }
        }
        candidates.sort_by_key(|(rank, _)| *rank);
        for (_, holder) in candidates {
            if evicted.bytes >= wanted {
                break;
            }
            evicted.bytes += holder.bytes.get();
            evicted.ways.push(holder.way.name());
            holder.end(Reason::Overloaded);
        }
        evicted
    }

    /// Ends holders whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        for holder in self.list.values() {
            match holder.overdue(now) {
                Some(reason) if holder.overdue.get() => holder.end(reason),
                overdue => holder.overdue.set(overdue.is_some()),
            }
        }
    }
}

/// A holder that is registered until this is dropped. What it holds is to be dropped before.
pub(crate) struct Registration {
    admission: Rc<Admission>,
    id: u64,
    holder: Rc<Holder>,
}

impl Registration {
    pub(super) fn new(admission: Rc<Admission>, holder: Holder) -> Self {
        let holder = Rc::new(holder);
        let id = {
            let mut holders = admission.holders.borrow_mut();
            holders.last_id += 1;
            let id = holders.last_id;
            holders.list.insert(id, holder.clone());
            id
        };
        Self {
            admission,
            id,
            holder,
        }
    }

    /// Returns the holder.
    pub(crate) fn holder(&self) -> &Rc<Holder> {
        &self.holder
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.admission.holders.borrow_mut().list.remove(&self.id);
        self.admission.freed.notify_waiters();
    }
}
