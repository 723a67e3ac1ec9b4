//! A bound on the memory of several users together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Requests in flight, without their bodies.
    Requests,
    /// Bodies of requests.
    Bodies,
    /// Bodies of responses.
    Responses,
    /// Buffers of connections.
    Connections,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 4] = [
        Self::Requests,
        Self::Bodies,
        Self::Responses,
        Self::Connections,
    ];

    /// Returns the name of the part in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Bodies => "bodies",
            Self::Responses => "responses",
            Self::Connections => "connections",
        }
    }
}

/// How much of the budget a lease may draw on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// All of it.
    Small,
    /// All but the reserve.
    Large,
}

/// A budget; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Size in bytes.
    total: usize,
    /// Bytes at the end of the budget that only small leases may draw on.
    reserve: usize,
    /// Bytes in use.
    used: AtomicUsize,
    /// Bytes in use, by part.
    parts: [AtomicUsize; Part::ALL.len()],
}

/// Memory that is taken from a budget; dropping it gives the memory back.
#[derive(Debug)]
pub struct Lease {
    budget: Budget,
    part: Part,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `total` bytes, `reserve` of which are kept for small leases.
    pub fn new(total: usize, reserve: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                total,
                reserve: reserve.min(total),
                used: AtomicUsize::new(0),
                parts: Default::default(),
            }),
        }
    }

    /// Returns the bytes that leases of a class may use together.
    pub fn capacity(&self, class: Class) -> usize {
        match class {
            Class::Small => self.shared.total,
            Class::Large => self.shared.total - self.shared.reserve,
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns the bytes in use by a part.
    pub fn used_by(&self, part: Part) -> usize {
        self.shared.parts[part as usize].load(Ordering::Relaxed)
    }

    /// Returns an empty lease.
    pub fn lease(&self, part: Part) -> Lease {
        Lease {
            budget: self.clone(),
            part,
            bytes: 0,
        }
    }

    /// Takes `bytes` if they fit below `limit`.
    fn take(&self, part: Part, bytes: usize, limit: usize) -> bool {
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let used = &self.shared.used;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        if taken.is_ok() {
            self.shared.parts[part as usize].fetch_add(bytes, Ordering::Relaxed);
        }
        taken.is_ok()
    }

    fn give_back(&self, part: Part, bytes: usize) {
        self.shared.used.fetch_sub(bytes, Ordering::Relaxed);
        self.shared.parts[part as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Lease {
    /// Returns the bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `bytes` more. Returns false, and takes nothing, if they don't fit.
    pub fn try_grow(&mut self, bytes: usize, class: Class) -> bool {
        let limit = self.budget.capacity(class);
        let taken = self.budget.take(self.part, bytes, limit);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    /// Takes `bytes` more, also if they exceed the budget. For memory that is in use already.
    pub fn grow(&mut self, bytes: usize) {
        self.budget.take(self.part, bytes, usize::MAX);
        self.bytes += bytes;
    }

    /// Gives all bytes above `bytes` back.
    pub fn shrink_to(&mut self, bytes: usize) {
        let rest = self.bytes.saturating_sub(bytes);
        self.budget.give_back(self.part, rest);
        self.bytes -= rest;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
