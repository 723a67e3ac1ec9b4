//! Capacity that less urgent requests leave free for urgent ones.
//!
//! Load reports do not show the urgent requests that arrived since at all nodes. What those are
//! expected to need is left free at each layer, so that the next urgent request finds a chain
//! although less urgent ones are waiting for the same capacity. Handles any load of urgent requests:
//! beyond 30% of the capacity the reservation stays at that.

use crate::Timestamp;
use crate::chain::{MAX_FILL, MAX_FILL_URGENT, MIN_FILL};
use crate::unreported::Flow;
use catalog::Layer;
use catalog::endpoint::Span;
use std::time::Duration;

/// Age of load reports above which nothing is reserved: they say too little of the free capacity.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Maximum number of requests over which the mean size is computed.
const MAX_SAMPLES: u32 = 32;

/// Recent urgent requests for one service at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UrgentDemand {
    arrivals: Flow,
    mean_tokens: f64,
    samples: u32,
}

impl Default for UrgentDemand {
    fn default() -> Self {
        Self {
            arrivals: Flow::new(Duration::ZERO),
            mean_tokens: 0.0,
            samples: 0,
        }
    }
}

impl UrgentDemand {
    /// Records the arrival of an urgent request of `tokens` tokens.
    pub(crate) fn record(&mut self, now: Timestamp, tokens: f64) {
        self.arrivals.record_arrival(now);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.mean_tokens += (tokens - self.mean_tokens) / f64::from(self.samples);
    }

    /// Returns the tokens of the urgent requests that all `nodes` nodes are expected to get in the
    /// time between two load reports, at reports of this age.
    pub(crate) fn expected_tokens(&self, now: Timestamp, nodes: f64, age: Duration) -> f64 {
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        self.arrivals.rate(now) * nodes * age.as_secs_f64() * self.mean_tokens
    }
}

/// Fraction of the capacity that less urgent requests may fill, by layer.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Reserve {
    fills: Vec<f64>,
}

impl Reserve {
    /// Reserves `tokens` tokens at each layer; `endpoints` are the spans and capacities of the
    /// usable endpoints.
    pub(crate) fn new(
        layers: Layer,
        tokens: f64,
        endpoints: impl Iterator<Item = (Span, f64)>,
    ) -> Self {
        if tokens <= 0.0 {
            return Self::default();
        }
        let mut capacity = vec![0.0; layers as usize];
        for (span, token_layers) in endpoints {
            let held = &mut capacity[range(span, layers)];
            let tokens = token_layers / f64::from(span.len().max(1));
            held.iter_mut().for_each(|c| *c += tokens);
        }
        let fill = |c: f64| (MAX_FILL_URGENT - tokens / c.max(1.0)).clamp(MIN_FILL, MAX_FILL);
        Self {
            fills: capacity.into_iter().map(fill).collect(),
        }
    }

    /// Returns the fraction of its capacity up to which less urgent requests may fill an endpoint.
    pub(crate) fn max_fill(&self, span: Span) -> f64 {
        let held = &self.fills[range(span, self.fills.len() as Layer)];
        held.iter().copied().fold(MAX_FILL, f64::min)
    }
}

fn range(span: Span, layers: Layer) -> std::ops::Range<usize> {
    let to = span.to.min(layers);
    span.from.min(to) as usize..to as usize
}
