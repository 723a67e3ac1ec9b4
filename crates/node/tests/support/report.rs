//! Status reports of engines for tests.

use adapter::report::Report;
use catalog::endpoint::Span;

/// Returns the status report of an engine that uses `used` of its KV capacity of 1,000.
pub fn report(used: f64) -> Report {
    Report {
        started_at: 1,
        span: Span { from: 0, to: 4 },
        busy: false,
        accepted_orders: 0,
        kv_used: used,
        kv_capacity: 1000.0,
        slowdown: 1.0,
        queued: 0,
        stalled: Vec::new(),
        leaving: false,
    }
}
