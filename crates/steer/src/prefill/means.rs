//! Means over the requests that a worker sends to one service.

use catalog::engine::{Engine, Size};
use std::time::Duration;

/// Maximum number of requests over which a mean is computed.
const MAX_SAMPLES: u32 = 32;
/// Smallest expected time to a first event: prefill that is only estimated is never counted as done
/// at once.
const MIN_FIRST_EVENT_TIME: Duration = Duration::from_millis(10);

/// A running mean.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    /// Number of samples; the initial estimate counts as one.
    samples: u32,
}

impl Mean {
    fn new(value: f64) -> Self {
        Self { value, samples: 1 }
    }

    fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }
}

/// Means over the requests of one worker to one service. Callers are spread evenly over the nodes,
/// so they hold for the requests of the other nodes too.
#[derive(Clone, Copy, Debug)]
pub struct Means {
    work: Mean,
    tokens: Mean,
    first_event_secs: Mean,
    /// Time to the first event beyond the request's own prefill: waits, hops and steps.
    overhead_secs: Mean,
}

impl Means {
    /// Creates the means before the first request, by the service's usual request. Chains mix kinds
    /// of accelerators, so twice the prefill factor of the fastest kind is assumed.
    pub fn new(engine: &Engine) -> Self {
        let work = engine.prefill_work(engine.typical_size.prompt);
        let factors = engine.accelerators.iter().map(|a| a.prefill_factor);
        let fastest = factors.fold(f64::INFINITY, f64::min);
        let factor = if fastest.is_finite() {
            2.0 * fastest
        } else {
            1.0
        };
        let overhead = engine.step_time.as_secs_f64();
        let Size { prompt, answer } = engine.typical_size;
        Self {
            work: Mean::new(work),
            tokens: Mean::new(f64::from(prompt) + f64::from(answer)),
            first_event_secs: Mean::new(work * factor / engine.prefill_rate.max(1.0) + overhead),
            overhead_secs: Mean::new(overhead),
        }
    }

    /// Records a request whose prefill is `work` (see [`Engine::prefill_work`]) and that occupies
    /// `tokens` tokens at each layer.
    pub fn record_sent(&mut self, work: f64, tokens: f64) {
        self.work.record(work);
        self.tokens.record(tokens);
    }

    /// Records a first event `time` after the dispatch of a request whose own prefill takes
    /// `prefill_secs`. A time above `latency_target` is due to a failure rather than to prefill and
    /// counts as the target.
    pub fn record_first_event(
        &mut self,
        time: Duration,
        prefill_secs: f64,
        latency_target: Duration,
    ) {
        let secs = time.min(latency_target).as_secs_f64();
        self.first_event_secs.record(secs);
        self.overhead_secs.record((secs - prefill_secs).max(0.0));
    }

    /// Returns the mean work of the prefill of a request.
    pub fn work(&self) -> f64 {
        self.work.value
    }

    /// Returns the mean number of tokens that a request occupies at each layer.
    pub fn tokens(&self) -> f64 {
        self.tokens.value
    }

    /// Returns the mean time from dispatch to the first event.
    pub fn first_event_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_event_secs.value).unwrap_or_default()
    }

    /// Returns the expected time to the first event of a request whose own prefill takes
    /// `prefill_secs`.
    pub fn expected_first_event(&self, prefill_secs: f64) -> Duration {
        let secs = prefill_secs + self.overhead_secs.value;
        let expected = Duration::try_from_secs_f64(secs).unwrap_or_default();
        expected.max(MIN_FIRST_EVENT_TIME)
    }
}
