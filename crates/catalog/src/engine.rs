//! Performance model of the inference engines of a model service.

use crate::Layer;
use crate::bounds;
use std::time::Duration;

/// Number of requests that are assumed to share one decode step when the cost of a request is
/// estimated.
const TYPICAL_BATCH_SIZE: f64 = 50.0;

/// Size of a model, and the time and memory that its layers cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of layers of the model.
    pub layers: Layer,
    /// Size of one layer's weights, in bytes.
    pub layer_bytes: f64,
    /// Size of the KV cache of one token at one layer, in bytes.
    pub kv_bytes_per_token: f64,
    /// Size of the activations that a stage passes to the next one for each token, in bytes.
    pub activation_bytes: f64,
    /// Base time of one decode step through all layers, at step factor 1.
    pub step_time: Duration,
    /// Time that each decoding request adds to a step.
    pub step_time_per_request: Duration,
    /// Time that each 1,000 tokens of context of the decoding requests add to a step.
    pub step_time_per_1k_context: Duration,
    /// Prompt tokens that are prefilled per second through all layers, at prefill factor 1.
    pub prefill_rate: f64,
    /// Largest number of prompt tokens that are prefilled in one step; `None` if the operator does
    /// not state it. Not 0 in a checked catalog.
    pub prefill_chunk: Option<u32>,
    /// Time that each million pairs of a prompt token and any earlier one adds to the prefill
    /// through all layers, at prefill factor 1, in milliseconds. Finite and not negative in a
    /// checked catalog.
    pub prefill_ms_per_1m_pairs: f64,
    /// Number of decode steps between two events of a response.
    pub steps_per_event: u32,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Number of concurrent loads beyond which each load takes longer.
    pub parallel_loads: usize,
    /// Largest number of concurrent requests that one endpoint accepts as the head of a chain.
    pub slots: u32,
    /// Bandwidth between two availability zones, in bits per second, shared by all traffic.
    pub inter_zone_bps: f64,
    /// Kinds of accelerators that endpoints of the service may have.
    pub accelerators: Vec<Accelerator>,
    /// Size of a typical request.
    pub typical_size: Size,
    /// Delays between availability zones; a pair that is not listed has no delay.
    pub delays: Vec<Delay>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name of the kind, which endpoints register with.
    pub name: String,
    /// Memory, in bytes.
    pub memory_bytes: f64,
    /// Factor on the base time and on the additional time of decode steps.
    pub step_factor: f64,
    /// Factor on the time of prefill; a higher one is slower.
    pub prefill_factor: f64,
}

/// Numbers of tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Number of tokens of the answer.
    pub answer: u32,
}

/// Network delay between two availability zones; the same in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delay {
    /// One of the two zones.
    pub from: String,
    /// The other zone.
    pub to: String,
    /// One-way delay.
    pub delay: Duration,
}

impl Engine {
    /// Returns the accelerator kind called `name`.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Returns the largest number of layers that fit into the memory of `accelerator` together with
    /// the KV cache of `tokens` tokens at each of them.
    pub fn max_layers(&self, accelerator: &Accelerator, tokens: f64) -> Layer {
        let bytes_per_layer = self.layer_bytes + tokens.max(0.0) * self.kv_bytes_per_token;
        let layers = (accelerator.memory_bytes / bytes_per_layer).floor();
        (layers.max(0.0) as Layer).min(self.layers)
    }

    /// Returns the KV cache capacity, in token-layers, that `accelerator` has left beside the
    /// weights of `held` layers.
    pub fn kv_capacity(&self, accelerator: &Accelerator, held: Layer) -> f64 {
        let free_bytes = accelerator.memory_bytes - f64::from(held) * self.layer_bytes;
        (free_bytes / self.kv_bytes_per_token).max(0.0)
    }

    /// Returns the time for which one request of this size occupies one layer. The base time of a
    /// step is divided among the requests of a typical batch, since a batch shares each step.
    pub fn layer_busy_time(&self, accelerator: &Accelerator, size: Size) -> Duration {
        let context = f64::from(size.prompt) / 1000.0;
        let extra = self.step_time_per_request.as_secs_f64()
            + self.step_time_per_1k_context.as_secs_f64() * context;
        let step_time =
            (self.step_time.as_secs_f64() / TYPICAL_BATCH_SIZE + extra) * accelerator.step_factor;
        let prefill = accelerator.prefill_factor / self.prefill_rate.max(1.0);
        let total = step_time * f64::from(size.answer) + prefill * f64::from(size.prompt);
        let per_layer = total / f64::from(self.layers.max(1));
        bounds::duration(per_layer)
    }

    /// Returns the work of the prefill of a prompt: the number of tokens whose prefill without
    /// attention to earlier ones takes as long.
    pub fn prefill_work(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let million_pairs = tokens * (tokens - 1.0).max(0.0) / 2.0 / 1e6;
        tokens + million_pairs * self.prefill_ms_per_1m_pairs / 1000.0 * self.prefill_rate
    }

    /// Returns the time that a typical request spends in a chain under moderate load: the base time
    /// of all its decode steps, at twice the step factor of the fastest accelerator kind, since
    /// chains mix kinds.
    pub fn residence_time(&self) -> Duration {
        let factors = self.accelerators.iter().map(|a| a.step_factor);
        let fastest = factors.fold(f64::INFINITY, f64::min);
        let factor = if fastest.is_finite() {
            2.0 * fastest
        } else {
            1.0
        };
        let steps = f64::from(self.typical_size.answer) * factor;
        bounds::duration(self.step_time.as_secs_f64() * steps)
    }

    /// Returns the fraction of the model that `layers` layers make up.
    pub fn model_fraction(&self, layers: Layer) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Returns the one-way delay between two availability zones.
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
