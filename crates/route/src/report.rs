//! Counters and gauges of one router, for metrics and the dump.

use std::fmt;

/// Defines the fields of the report once, for the struct and its text form.
macro_rules! report {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters (since the start) and gauges (current values).
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Report {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Report {
            /// Returns names and values in a fixed order.
            pub fn rows(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

report! {
    /// Counter: requests that arrived.
    arrived,
    /// Counter: requests with a complete answer.
    complete,
    /// Counter: requests that ended with an unknown outcome.
    unknown,
    /// Counter: requests refused because of a team's limit.
    refused_limit,
    /// Counter: requests refused because the queue was full or the deadline out of reach.
    refused_overload,
    /// Counter: requests refused because the deadline passed while they waited.
    refused_deadline,
    /// Counter: requests refused because no endpoint serves them.
    refused_no_endpoint,
    /// Counter: requests refused because requests with their fingerprint crash endpoints.
    refused_condemned,
    /// Counter: requests refused because the node is leaving.
    refused_leaving,
    /// Counter: requests refused because they can't be sent to any endpoint.
    refused_invalid,
    /// Counter: requests whose caller disconnected.
    left,
    /// Counter: attempts started.
    attempts,
    /// Counter: attempts started after a failure, granted by the retry budget.
    retries,
    /// Counter: attempts resumed after a pause for urgent work.
    resumed,
    /// Counter: attempts paused for urgent work.
    paused,
    /// Counter: attempts moved to other endpoints so that a suspect runs alone.
    moved,
    /// Counter: attempts moved away from endpoints that became slow.
    slow,
    /// Counter: attempts that failed.
    failed,
    /// Counter: refusals by endpoints that are full.
    busy,
    /// Counter: events of attempts that had already ended.
    stale,
    /// Counter: probes sent.
    probes,
    /// Counter: endpoints ejected.
    ejected,
    /// Counter: endpoints restored.
    restored,
    /// Counter: probes that found an endpoint alive behind silent connections, which were dropped.
    silent,
    /// Counter: fingerprints that became suspect.
    suspected,
    /// Counter: fingerprints condemned.
    condemned,
    /// Counter: chain selections that needed a search because no drawn stage accepted work.
    searched,
    /// Counter: violated invariants; must stay 0.
    findings,
    /// Gauge: waiting requests that are urgent.
    waiting_urgent,
    /// Gauge: waiting requests that are not urgent.
    waiting,
    /// Gauge: requests that wait for the retry budget or a probe.
    parked,
    /// Gauge: running requests.
    running,
    /// Gauge: endpoints that accept no work because of their health.
    out,
    /// Gauge: retries available in the budget.
    budget,
    /// Gauge: suspects by this router's own evidence.
    suspects,
    /// Gauge: remembered prefixes.
    prefixes,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rows()
            .iter()
            .try_for_each(|(name, value)| writeln!(f, "{name} = {value}"))
    }
}
