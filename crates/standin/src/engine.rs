//! A stand-in for a model engine that holds ranges of layers.
//!
//! It computes a running hash over token, position and layer, with one state per layer in place of
//! the key-value cache. A layer that is skipped, run twice, run out of order or given the input of
//! another request changes every later token; [`crate::oracle`] computes the expected tokens.

mod cache;
mod counts;
mod fault;
pub mod hash;
mod kv;
mod lanes;
mod server;
mod stage;
mod state;
mod status;
pub mod vocabulary;

pub use counts::{Counters, Runs};
pub use fault::ReplyFault;
pub use kv::ComputeFault;

use crate::lifecycle;
use state::State;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A range of layers of one model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Number of layers of the whole model.
    pub layers: u16,
    /// First layer held.
    pub from: u16,
    /// One past the last layer held.
    pub to: u16,
    /// Adapters loaded; `None` accepts any adapter.
    pub adapters: Option<Vec<String>>,
}

impl Span {
    /// Creates a range of layers that accepts any adapter.
    pub fn new(model: &str, version: &str, layers: u16, from: u16, to: u16) -> Self {
        let (model, version) = (model.to_owned(), version.to_owned());
        Self {
            model,
            version,
            layers,
            from,
            to,
            adapters: None,
        }
    }
}

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub addr: SocketAddr,
    /// Ranges of layers loaded at the start.
    pub models: Vec<Span>,
    /// Maximum number of concurrent requests; further ones are refused as busy.
    pub slots: usize,
    /// Number of steps computed concurrently; 0 uses `slots`. Throughput is at most
    /// `batch / (layers * layer_time)` steps per second.
    pub batch: usize,
    /// Compute time per layer and token in decode.
    pub layer_time: Duration,
    /// Compute time per layer and token in prefill, for tokens that miss the prefix cache.
    pub prefill_time: Duration,
    /// Size of the activation of one token, in bytes; raised to 8 if lower.
    pub activation_bytes: usize,
    /// Capacity of the prefix cache, in blocks.
    pub prefix_blocks: usize,
    /// Drops every n-th cache event; 0 drops none.
    pub event_loss: u64,
    /// Interval at which the load report is refreshed; zero builds one for each request.
    pub report_lag: Duration,
    /// Time that loading a range of layers takes.
    pub load_time: Duration,
    /// Whether orders with a stale fencing number are refused; if false, the number is ignored.
    pub fenced: bool,
    /// Delay of the automatic restart after a crash; `None` waits for [`Handle::restart`].
    pub restart_after: Option<Duration>,
    /// Number of latest attempts recorded for [`Handle::runs`]; 0 records none.
    pub recorded_attempts: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            models: Vec::new(),
            slots: 16,
            batch: 0,
            layer_time: Duration::ZERO,
            prefill_time: Duration::ZERO,
            activation_bytes: kv::ACTIVATION_WORD_BYTES,
            prefix_blocks: 1024,
            event_loss: 0,
            report_lag: Duration::ZERO,
            load_time: Duration::ZERO,
            fenced: true,
            restart_after: None,
            recorded_attempts: 1024,
        }
    }
}

/// The stand-in engine.
#[derive(Debug)]
pub struct Engine;

impl Engine {
    /// Starts an engine on the current runtime.
    pub async fn start(config: Config) -> io::Result<Handle> {
        let listener = lifecycle::bind(config.addr).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::new(addr, config));
        lifecycle::start(&state, listener);
        Ok(Handle { addr, state })
    }
}

/// Controls the faults of a running engine and reads its counters. Dropping the handle leaves the
/// engine running.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address that the engine listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Handle {
    /// Crashes the engine: the listener and all connections close, and requests in flight and the
    /// prefix cache are lost.
    pub fn crash(&self) {
        lifecycle::crash(&self.state);
    }

    /// Crashes the engine during the `count`-th step from now; 1 is the next step, 0 turns this
    /// off.
    pub fn crash_at_step(&self, count: u64) {
        self.state.fault.crash_at.store(count, Ordering::SeqCst);
    }

    /// Crashes the engine on every prompt that contains `text`; an empty text turns this off.
    pub fn crash_on_prompt(&self, text: &str) {
        self.state.fault.set_crash_text(text);
    }

    /// Restarts a crashed engine on the same address, with an empty prefix cache.
    pub async fn restart(&self) -> io::Result<()> {
        lifecycle::restart(&self.state).await
    }

    /// Stops answering on the connections that are open now; new connections work.
    pub fn hang_open_connections(&self) {
        self.state.lifecycle.hang_open_connections();
    }

    /// Accepts connections but answers nothing on any of them while `on`. Connections that were
    /// used meanwhile stay unresponsive after it is turned off.
    pub fn set_unresponsive(&self, on: bool) {
        self.state.lifecycle.set_unresponsive(on);
    }

    /// Delays the reply to each step by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.state.fault.set_delay(delay);
    }

    /// Holds back all steps while `on`.
    pub fn hold_steps(&self, on: bool) {
        self.state.fault.hold_steps.send_replace(on);
    }

    /// Multiplies the compute time by `factor`; 1 is the configured speed.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.fault.set_slowdown(factor);
    }

    /// Sends misdirected, duplicate or malformed replies; `None` sends correct ones.
    pub fn set_reply_fault(&self, fault: Option<ReplyFault>) {
        self.state.fault.set_reply_fault(fault);
    }

    /// Introduces an error into the computation of requests that are opened from now on.
    pub fn set_compute_fault(&self, fault: Option<ComputeFault>) {
        self.state.fault.set_compute_fault(fault);
    }

    /// Answers every step with [`engine::frame::Reply::Failed`] while `on`.
    pub fn set_failing(&self, on: bool) {
        self.state.fault.failing.store(on, Ordering::SeqCst);
    }

    /// Ends answers only at their maximum length while `on`.
    pub fn set_endless(&self, on: bool) {
        self.state.fault.endless.store(on, Ordering::SeqCst);
    }

    /// Refuses new requests as busy while `on`.
    pub fn set_busy(&self, on: bool) {
        self.state.fault.busy.store(on, Ordering::SeqCst);
    }

    /// Refuses new requests as leaving while `on`; requests in flight continue.
    pub fn set_leaving(&self, on: bool) {
        self.state.fault.leaving.store(on, Ordering::SeqCst);
    }

    /// Counters of the engine.
    pub fn counters(&self) -> &Counters {
        &self.state.counters
    }

    /// Number of crashes so far.
    pub fn crash_count(&self) -> u64 {
        self.state.lifecycle.crash_count()
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state.lifecycle.connection_count()
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.state.running()
    }

    /// Number of times that each layer ran in an attempt, or `None` if the attempt is not recorded.
    pub fn runs(&self, request: u128, attempt: u32) -> Option<Runs> {
        self.state.ledger.get(request, attempt)
    }

    /// Ranges of layers that are loaded or being loaded.
    pub fn spans(&self) -> Vec<Span> {
        self.state.spans()
    }
}
