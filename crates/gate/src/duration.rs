//! Expected durations of responses, by those of recent ones.

use catalog::bounds;
use catalog::service::Service;
use std::collections::HashMap;
use std::time::Duration;

/// Number of responses over which the mean is computed.
const SAMPLES: u32 = 32;

/// Mean time for each unit of work of a service's responses.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    secs: f64,
    samples: u32,
}

/// Expected durations of the responses of each service. The duration of a model's response is
/// proportional to the number of its tokens, that of any other response does not depend on the request.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    means: HashMap<String, Mean>,
}

impl Durations {
    /// Records the duration of a response of `tokens` tokens that ended.
    pub(crate) fn record(&mut self, service: &Service, tokens: u32, time: Duration) {
        let mean = match self.means.get_mut(&service.name) {
            Some(mean) => mean,
            None => self.means.entry(service.name.clone()).or_default(),
        };
        mean.samples = (mean.samples + 1).min(SAMPLES);
        let secs = time.as_secs_f64() / units(service, tokens);
        mean.secs += (secs - mean.secs) / f64::from(mean.samples);
    }

    /// Returns the expected duration of a response of `tokens` tokens. Before the first one has ended, it
    /// follows from the operator's description of the engine; `None` without one.
    pub(crate) fn expected(&self, service: &Service, tokens: u32) -> Option<Duration> {
        let secs = match (self.means.get(&service.name), &service.engine) {
            (Some(mean), _) => mean.secs,
            (None, Some(engine)) => {
                let typical = f64::from(engine.typical_size.answer.max(1));
                engine.residence_time().as_secs_f64() / typical
            }
            (None, None) => return None,
        };
        Some(bounds::duration(secs * units(service, tokens)))
    }
}

fn units(service: &Service, tokens: u32) -> f64 {
    match service.engine {
        Some(_) => f64::from(tokens.max(1)),
        None => 1.0,
    }
}
