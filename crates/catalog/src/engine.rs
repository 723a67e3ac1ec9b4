//! What the endpoints of a model service can do.

use crate::Layer;
use std::time::Duration;

/// Requests of a batch that share a step, in estimates of work.
const TYPICAL_BATCH_SIZE: f64 = 50.0;

/// Layers of a model, and what it costs to run and to hold them.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Layers of the model.
    pub layers: Layer,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes that one token of a request takes in memory at one layer.
    pub kv_bytes_per_token: f64,
    /// Bytes that one token hands on from a stage to the next.
    pub activation_bytes: f64,
    /// Time of one token step through all layers, at pace 1 and without requests.
    pub step_time: Duration,
    /// Added to a step by each request that writes.
    pub step_time_per_request: Duration,
    /// Added to a step by 1,000 tokens of context of requests that write.
    pub step_time_per_1k_context: Duration,
    /// Prompt tokens read in a second through all layers, at read pace 1.
    pub prefill_rate: f64,
    /// Steps between two events.
    pub steps_per_event: u32,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Loads at once from which each takes longer.
    pub parallel_loads: usize,
    /// Requests at once that one endpoint takes as the first of a chain.
    pub slots: u32,
    /// Bits a second between two availability zones, shared by all.
    pub inter_zone_bps: f64,
    /// Kinds of accelerators.
    pub accelerators: Vec<Accelerator>,
    /// Usual size of requests.
    pub typical_size: Size,
    /// Delays between availability zones; 0 where none is given.
    pub delays: Vec<Delay>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Its name, by which endpoints tell theirs.
    pub name: String,
    /// Its memory.
    pub memory_bytes: f64,
    /// Factor on the time of steps.
    pub step_factor: f64,
    /// Factor on the time to read prompts.
    pub prefill_factor: f64,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

/// One way between two availability zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delay {
    /// One zone.
    pub from: String,
    /// The other.
    pub to: String,
    /// Time of one way.
    pub delay: Duration,
}

impl Engine {
    /// The accelerator called `name`.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Most layers that fit into `accelerator` with room for `tokens` tokens of requests through
    /// all of them.
    pub fn max_layers(&self, accelerator: &Accelerator, tokens: f64) -> Layer {
        let bytes_per_layer = self.layer_bytes + tokens.max(0.0) * self.kv_bytes_per_token;
        let layers = (accelerator.memory_bytes / bytes_per_layer).floor();
        (layers.max(0.0) as Layer).min(self.layers)
    }

    /// Room for requests, in tokens times layers, beside `held` layers.
    pub fn kv_capacity(&self, accelerator: &Accelerator, held: Layer) -> f64 {
        let free_bytes = accelerator.memory_bytes - f64::from(held) * self.layer_bytes;
        (free_bytes / self.kv_bytes_per_token).max(0.0)
    }

    /// Time for which one request of this size keeps one layer busy. Steps are shared by the
    /// requests of a batch; those of [`TYPICAL_BATCH_SIZE`] requests are taken.
    pub fn layer_busy_time(&self, accelerator: &Accelerator, size: Size) -> Duration {
        let context = f64::from(size.prompt) / 1000.0;
        let extra = self.step_time_per_request.as_secs_f64()
            + self.step_time_per_1k_context.as_secs_f64() * context;
        let step_time =
            (self.step_time.as_secs_f64() / TYPICAL_BATCH_SIZE + extra) * accelerator.step_factor;
        let prefill = accelerator.prefill_factor / self.prefill_rate.max(1.0);
        let total = step_time * f64::from(size.answer) + prefill * f64::from(size.prompt);
        let per_layer = total / f64::from(self.layers.max(1));
        Duration::try_from_secs_f64(per_layer).unwrap_or_default()
    }

    /// Time that a usual request spends in a chain that is neither idle nor full: all its steps at
    /// twice the pace of the fastest kind, since chains mix kinds.
    pub fn residence_time(&self) -> Duration {
        let factors = self.accelerators.iter().map(|a| a.step_factor);
        let fastest = factors.fold(f64::INFINITY, f64::min);
        let factor = if fastest.is_finite() {
            2.0 * fastest
        } else {
            1.0
        };
        self.step_time
            .mul_f64(f64::from(self.typical_size.answer) * factor)
    }

    /// Part of the model that `layers` are.
    pub fn model_fraction(&self, layers: Layer) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Delay of one way between two availability zones.
    pub fn delay(&self, a: &str, b: &str) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        let joins = |d: &&Delay| (d.from == a && d.to == b) || (d.from == b && d.to == a);
        self.delays
            .iter()
            .find(joins)
            .map_or(Duration::ZERO, |d| d.delay)
    }
}
