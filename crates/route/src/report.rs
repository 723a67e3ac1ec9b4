//! Counters and gauges of one router, for metrics and the dump.

use std::fmt;

/// Defines the report's fields once, for the struct and its text form.
macro_rules! report {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters (since the start) and gauges (now).
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Report {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Report {
            /// Names and values, in a fixed order.
            pub fn rows(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

report! {
    /// Counter: requests that arrived.
    arrived,
    /// Counter: requests whose answer was whole.
    complete,
    /// Counter: requests that ended with an unknown outcome.
    unknown,
    /// Counter: requests refused because of a team's limit.
    refused_limit,
    /// Counter: requests refused because the queue was full or the deadline out of reach.
    refused_overload,
    /// Counter: requests refused because the deadline passed while they waited.
    refused_deadline,
    /// Counter: requests refused because nothing serves them.
    refused_no_endpoint,
    /// Counter: requests refused because such requests crash endpoints.
    refused_condemned,
    /// Counter: requests refused because the node leaves.
    refused_leaving,
    /// Counter: requests whose caller went away.
    left,
    /// Counter: attempts started.
    attempts,
    /// Counter: attempts started after a failure, granted by the retry budget.
    retries,
    /// Counter: attempts started again after a pause for urgent work.
    resumed,
    /// Counter: attempts paused for urgent work.
    paused,
    /// Counter: attempts moved so that a suspect runs alone.
    moved,
    /// Counter: attempts that failed.
    failed,
    /// Counter: answers that an endpoint is full.
    busy,
    /// Counter: events of attempts that had ended.
    stale,
    /// Counter: probes sent.
    probes,
    /// Counter: endpoints ejected.
    ejected,
    /// Counter: endpoints restored.
    restored,
    /// Counter: silent connections dropped at a living endpoint.
    silent,
    /// Counter: fingerprints that became suspect.
    suspected,
    /// Counter: fingerprints condemned.
    condemned,
    /// Counter: choices that had to search, since no drawn stage took work.
    searched,
    /// Counter: findings of the invariants' checks; must stay 0.
    findings,
    /// Gauge: requests that wait and are urgent.
    waiting_urgent,
    /// Gauge: requests that wait and are not urgent.
    waiting,
    /// Gauge: requests that wait for the retry budget or a probe.
    parked,
    /// Gauge: requests that run.
    running,
    /// Gauge: endpoints that take no work because of their health.
    out,
    /// Gauge: retries saved up.
    budget,
    /// Gauge: suspects by own evidence.
    suspects,
    /// Gauge: prefixes remembered.
    prefixes,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rows()
            .iter()
            .try_for_each(|(name, value)| writeln!(f, "{name} = {value}"))
    }
}
