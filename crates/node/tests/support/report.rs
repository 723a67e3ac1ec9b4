//! Reports of engines.

use adapter::report::Report;
use catalog::endpoint::Span;

/// The report of an engine that has `used` of its room of 1,000 in use.
pub fn report(used: f64) -> Report {
    Report {
        born: 1,
        span: Span { from: 0, to: 4 },
        busy: false,
        orders: 0,
        used,
        room: 1000.0,
        pace: 1.0,
        queued: 0,
        stalled: Vec::new(),
    }
}
