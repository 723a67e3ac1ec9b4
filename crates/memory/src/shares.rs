//! Division of the memory of a machine.

use crate::budget::{Budget, Class};

/// Memory of a small machine in bytes, for which the defaults are made.
pub const DEFAULT_MEMORY_BYTES: usize = 260 << 20;
/// Least memory of a machine in bytes. Below it the process has no room beside its own state.
pub const MIN_MEMORY_BYTES: usize = 48 << 20;
/// Size up to which a body is of the usual size, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Share of the memory for what callers make a node hold.
const BUDGET_SHARE: f64 = 0.35;
/// Share of the memory for connections, with what the kernel holds for them.
const CONNECTIONS_SHARE: f64 = 0.35;
/// Share of the budget that only requests of the usual size may use.
const RESERVE_SHARE: f64 = 0.125;
/// Size of the kernel's receive buffer of a caller's connection in bytes, which the caller may fill while its
/// request is served. It is the window of a body on its way, so a far smaller one would make distant callers
/// slow.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Size of the kernel's send buffer of a caller's connection in bytes, which a response fills whose caller does not
/// read.
pub const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Memory of a connection in bytes that is idle or sends a short head, beside what its receive buffer holds.
const IDLE_CONNECTION_BYTES: usize = 12 << 10;
/// Share of the connections that each auxiliary listener has.
const AUXILIARY_SHARE: f64 = 0.1;
/// Share of the memory for reports of engines and their answers to orders that are being received, a part of
/// that of the process's own state.
const REPORTS_SHARE: f64 = 0.02;
/// Maximum number of connections of an auxiliary listener.
const MAX_AUXILIARY_CONNECTIONS: usize = 256;
/// Number of the largest bodies that the budget holds at the same time.
const MIN_LARGE_BODIES: usize = 2;

/// Shares of the memory of a machine. What they leave is for the process's own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Bytes of the budget.
    pub budget_bytes: usize,
    /// Bytes of the budget that only small requests may use.
    pub reserve_bytes: usize,
    /// Maximum number of connections, of all listeners.
    pub connections: usize,
    /// Maximum number of connections of a listener that serves no requests of callers; part of
    /// `connections`.
    pub auxiliary_connections: usize,
    /// Bytes for what engines report.
    pub report_bytes: usize,
}

impl Shares {
    /// Divides the memory of a machine, in bytes.
    pub fn of(memory_bytes: usize) -> Self {
        let share = |of: usize, share: f64| (of as f64 * share) as usize;
        let budget_bytes = share(memory_bytes, BUDGET_SHARE);
        let connection_bytes = RECEIVE_BUFFER_BYTES + IDLE_CONNECTION_BYTES;
        let connections = share(memory_bytes, CONNECTIONS_SHARE) / connection_bytes;
        let auxiliary = share(connections, AUXILIARY_SHARE);
        Self {
            budget_bytes,
            reserve_bytes: share(budget_bytes, RESERVE_SHARE),
            connections,
            auxiliary_connections: auxiliary.min(MAX_AUXILIARY_CONNECTIONS),
            report_bytes: share(memory_bytes, REPORTS_SHARE),
        }
    }

    /// Returns an unused budget.
    pub fn budget(&self) -> Budget {
        Budget::new(self.budget_bytes, self.reserve_bytes)
    }

    /// Returns an unused budget for what engines report.
    pub fn reports(&self) -> Budget {
        Budget::new(self.report_bytes, 0)
    }
}

/// Returns the size in bytes of the largest body for which a budget has room.
pub fn max_body_bytes(budget: &Budget) -> usize {
    budget.capacity(Class::Large) / MIN_LARGE_BODIES
}
