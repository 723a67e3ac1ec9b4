//! A stand-in for a model engine that holds ranges of layers.
//!
//! It computes a running hash over token, position and layer, with a state per layer that stands
//! for the key-value cache. A layer that is skipped, doubled, out of order or fed by another request
//! changes every later token; [`crate::oracle`] tells what the tokens must be.

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
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Layers of the whole model.
    pub layers: u16,
    /// First layer held.
    pub from: u16,
    /// One past the last layer held.
    pub to: u16,
    /// Adapters loaded; `None` takes any.
    pub adapters: Option<Vec<String>>,
}

impl Span {
    /// A range that takes any adapter.
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

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen; port 0 takes any.
    pub addr: SocketAddr,
    /// What it holds from the start.
    pub models: Vec<Span>,
    /// Requests that hold a slot at once; others are refused as busy.
    pub slots: usize,
    /// Steps computed at once; 0 means as many as slots. The bound of its throughput is
    /// `batch / (layers * layer_time)` steps a second.
    pub batch: usize,
    /// Time for one layer and token.
    pub layer_time: Duration,
    /// Time for one layer and token of a prompt, where the prefix cache doesn't hold it.
    pub prefill_time: Duration,
    /// Bytes of activation per token, at least 8.
    pub activation_bytes: usize,
    /// Blocks that the prefix cache holds.
    pub prefix_blocks: usize,
    /// One cache event in so many is lost; 0 loses none.
    pub event_loss: u64,
    /// How old a load report may be.
    pub report_lag: Duration,
    /// Time to load a range of layers.
    pub load_time: Duration,
    /// Whether an order with an old fencing number is refused; otherwise the number is ignored.
    pub fenced: bool,
    /// When it comes back by itself after a crash; `None` waits for [`Handle::restart`].
    pub restart_after: Option<Duration>,
    /// Attempts whose runs of layers are kept for [`Handle::runs`]; 0 keeps none.
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

/// A running engine: its switches for faults and its counts. Dropping it leaves the engine running.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Handle {
    /// Dies now: the listener and all connections close, all state is lost.
    pub fn crash(&self) {
        lifecycle::crash(&self.state);
    }

    /// Dies while it computes the `count`-th step from now, 1 for the next one.
    pub fn crash_at_step(&self, count: u64) {
        self.state.fault.crash_at.store(count, Ordering::SeqCst);
    }

    /// Dies each time it gets a prompt that contains `text`; an empty text switches this off.
    pub fn crash_on_prompt(&self, text: &str) {
        self.state.fault.set_crash_text(text);
    }

    /// Comes back on the same address, with nothing cached.
    pub async fn restart(&self) -> io::Result<()> {
        lifecycle::restart(&self.state).await
    }

    /// Goes silent on the connections open now; new ones work.
    pub fn hang_open_connections(&self) {
        self.state.lifecycle.hang_open_connections();
    }

    /// Goes silent wholly: connections are accepted and nothing is answered.
    pub fn set_unresponsive(&self, on: bool) {
        self.state.lifecycle.set_unresponsive(on);
    }

    /// Answers each step this much late.
    pub fn set_delay(&self, delay: Duration) {
        self.state.fault.set_delay(delay);
    }

    /// Holds all steps back until this is switched off.
    pub fn hold_steps(&self, on: bool) {
        self.state.fault.hold_steps.send_replace(on);
    }

    /// Computes slower by a factor; 1 is its usual speed.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.fault.set_slowdown(factor);
    }

    /// Answers with frames that belong elsewhere.
    pub fn set_reply_fault(&self, fault: Option<ReplyFault>) {
        self.state.fault.set_reply_fault(fault);
    }

    /// Computes wrongly, for requests opened from now on.
    pub fn set_compute_fault(&self, fault: Option<ComputeFault>) {
        self.state.fault.set_compute_fault(fault);
    }

    /// Answers steps with "could not compute".
    pub fn set_failing(&self, on: bool) {
        self.state.fault.failing.store(on, Ordering::SeqCst);
    }

    /// Refuses all new requests as busy.
    pub fn set_busy(&self, on: bool) {
        self.state.fault.busy.store(on, Ordering::SeqCst);
    }

    /// Refuses all new requests as leaving; those that run go on.
    pub fn set_leaving(&self, on: bool) {
        self.state.fault.leaving.store(on, Ordering::SeqCst);
    }

    /// Its counts.
    pub fn counters(&self) -> &Counters {
        &self.state.counters
    }

    /// Deaths so far.
    pub fn crash_count(&self) -> u64 {
        self.state.lifecycle.crash_count()
    }

    /// Connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state.lifecycle.connection_count()
    }

    /// Requests that hold a slot now.
    pub fn running(&self) -> usize {
        self.state.running()
    }

    /// Which layers ran how often for an attempt, if it is still kept.
    pub fn runs(&self, request: u128, attempt: u32) -> Option<Runs> {
        self.state.ledger.get(request, attempt)
    }

    /// What it holds now.
    pub fn spans(&self) -> Vec<Span> {
        self.state.spans()
    }
}
