//! Execution of a request's steps at a stage.

use super::io::FrameStream;
use super::{Result, StreamClosed};
use crate::engine::Span;
use crate::engine::counts::Counters;
use crate::engine::fault::ReplyFault;
use crate::engine::hash;
use crate::engine::kv::{self, ComputeFault, Kv};
use crate::engine::state::{Slot, State, lock};
use crate::engine::vocabulary;
use crate::lifecycle;
use bytes::Bytes;
use engine::frame::{Call, Input, Open, Place, Reply, Step};
use engine::prefix;
use futures::future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between the progress replies of a long step.
const WORKING_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of a new sample's weight in the moving average of the time between tokens: 8 weighs it
/// by one eighth.
const MEAN_WINDOW: u64 = 8;

/// A request at this stage.
pub(super) struct Stage {
    state: Arc<State>,
    open: Open,
    span: Span,
    kv: Kv,
    last: Option<Instant>,
    _slot: Slot,
}

/// Output of a step.
struct StepOutput {
    reply: Reply,
    payload: Bytes,
}

impl Stage {
    pub(super) fn new(state: Arc<State>, open: Open, span: Span, slot: Slot) -> Self {
        let salt = hash::name(&open.model, &open.version, open.adapter.as_deref());
        let kv = Kv::new(open.from, open.to, salt, state.fault.compute_fault());
        Self {
            state,
            open,
            span,
            kv,
            last: None,
            _slot: slot,
        }
    }

    pub(super) async fn run(mut self, io: &mut FrameStream) -> Result<()> {
        let Open {
            request, attempt, ..
        } = self.open;
        io.reply(&Reply::Opened(request, attempt), Bytes::new(), false)?;
        while let Some(call) = io.call().await? {
            let Call::Step(step) = call else {
                return Err(StreamClosed);
            };
            let payload = io.payload(step.payload).await?;
            self.step(io, step, payload).await?;
        }
        io.send(Bytes::new(), true)
    }

    async fn step(&mut self, io: &mut FrameStream, step: Step, payload: Bytes) -> Result<()> {
        let Open {
            request,
            attempt,
            from,
            to,
            ..
        } = self.open;
        let place = Place {
            request,
            attempt,
            step: step.place.step,
            from,
            to,
        };
        if step.place != place {
            return Err(StreamClosed);
        }
        self.crash(&step, &payload).await;
        let Some(inputs) = self.inputs(&step.input, &payload) else {
            return io.reply(&Reply::Failed(place), Bytes::new(), false);
        };
        self.wait_for_step(io, place, inputs.len()).await?;
        if self.state.fault.failing.load(Ordering::SeqCst) {
            return io.reply(&Reply::Failed(place), Bytes::new(), false);
        }
        let made = self.compute(place, &step.input, inputs);
        Counters::add(&self.state.counters.steps);
        self.respond(io, made)
    }

    /// Crashes the engine if a fault switch selects this step or prompt, and then never returns.
    async fn crash(&self, step: &Step, payload: &[u8]) {
        let is_prompt = matches!(step.input, Input::Prompt(_));
        let is_crash_prompt = is_prompt && self.state.fault.matches_crash_text(payload);
        if is_crash_prompt || self.state.fault.is_crash_step() {
            lifecycle::crash(&self.state);
            future::pending::<()>().await;
        }
    }

    /// Returns the input activations of a step, by position; `None` if the payload is malformed.
    fn inputs(&self, input: &Input, payload: &[u8]) -> Option<Vec<u64>> {
        match input {
            Input::Prompt(tokens) => Some(kv::embed(payload, tokens)),
            Input::Token(id) => Some(vec![kv::token(*id)]),
            Input::Activations => kv::unpack(payload, self.state.config.activation_bytes),
        }
    }

    /// Waits for the step's simulated compute time, added delay and release from hold. Sends a
    /// progress reply every [`WORKING_INTERVAL`].
    async fn wait_for_step(
        &mut self,
        io: &mut FrameStream,
        place: Place,
        positions: usize,
    ) -> Result<()> {
        let cost = self.cost(positions);
        let delay = self.state.fault.delay();
        let lanes = self.state.lanes.clone();
        let mut hold = self.state.fault.hold_steps.subscribe();
        let is_held = *hold.borrow();
        let rank = self.open.priority;
        let work = async move {
            if !cost.is_zero() {
                lanes.run(rank, cost).await;
            }
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let _ = hold.wait_for(|on| !on).await;
        };
        if cost.is_zero() && delay.is_zero() && !is_held {
            return Ok(());
        }
        tokio::pin!(work);
        while io
            .until_reset(tokio::time::timeout(WORKING_INTERVAL, &mut work))
            .await?
            .is_err()
        {
            io.reply(&Reply::Working(place), Bytes::new(), false)?;
        }
        Ok(())
    }

    /// Returns the compute time of the step. A prefill counts only the positions that miss the
    /// prefix cache.
    fn cost(&mut self, positions: usize) -> Duration {
        let state = self.state.clone();
        let config = &state.config;
        let layers = u32::from(self.open.to - self.open.from);
        let slowdown = state.fault.slowdown();
        if self.kv.position() > 0 {
            self.record_step_interval();
            return (config.layer_time * layers).mul_f64(slowdown);
        }
        self.last = Some(Instant::now());
        let hits = lock(&state.cache).touch(&self.open.prefix);
        let cached = hits * prefix::BLOCK_BYTES / 4;
        let fresh = positions.saturating_sub(cached).max(1) as u32;
        (config.prefill_time * layers * fresh).mul_f64(slowdown)
    }

    /// Adds the time since the previous step to the moving average.
    fn record_step_interval(&mut self) {
        let now = Instant::now();
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let nanos = (now - last).as_nanos() as u64;
        let mean = self.state.inter_token.load(Ordering::Relaxed);
        let next = if mean == 0 {
            nanos
        } else {
            mean - mean / MEAN_WINDOW + nanos / MEAN_WINDOW
        };
        self.state.inter_token.store(next, Ordering::Relaxed);
    }

    /// Computes all positions of a step. The last stage of the model replies with a token, the
    /// others with activations.
    fn compute(&mut self, place: Place, input: &Input, inputs: Vec<u64>) -> StepOutput {
        let is_prompt = matches!(input, Input::Prompt(_));
        let resumed_tokens = if let Input::Prompt(tokens) = input {
            tokens.len()
        } else {
            0
        };
        let prompt_tokens = if is_prompt {
            (inputs.len() - resumed_tokens) as u32
        } else {
            0
        };
        let outputs: Vec<u64> = inputs
            .into_iter()
            .map(|input| self.run_position(input))
            .collect();
        if self.open.to < self.span.layers {
            let payload = kv::pack(&outputs, self.state.config.activation_bytes);
            let length = payload.len() as u32;
            return StepOutput {
                reply: Reply::Done {
                    place,
                    prompt_tokens,
                    payload: length,
                },
                payload,
            };
        }
        let last = outputs.last().copied().unwrap_or_default();
        let (token, end) = vocabulary::pick(self.kv.draw(last, self.open.seed));
        let end = end && !self.state.fault.endless.load(Ordering::SeqCst);
        let (id, text) = (token.id, token.text);
        StepOutput {
            reply: Reply::Token {
                place,
                prompt_tokens,
                id,
                text,
                end,
            },
            payload: Bytes::new(),
        }
    }

    /// Computes one position, and records the layers that ran.
    fn run_position(&mut self, input: u64) -> u64 {
        Counters::add(&self.state.counters.positions);
        let input = match self.kv.fault() {
            Some(ComputeFault::SwapInput) => self.state.swapped_input.swap(input, Ordering::SeqCst),
            _ => input,
        };
        let position = self.kv.position();
        if !self.state.ledger.is_enabled() {
            return self.kv.run(input, |_| {});
        }
        let mut ran = Vec::new();
        let output = self.kv.run(input, |layer| ran.push(layer));
        let Open {
            request,
            attempt,
            from,
            to,
            ..
        } = self.open;
        self.state
            .ledger
            .record(request, attempt, from..to, &ran, position);
        output
    }

    /// Sends the reply, altered by the active reply fault if there is one.
    fn respond(&self, io: &mut FrameStream, output: StepOutput) -> Result<()> {
        let StepOutput { reply, payload } = output;
        let Some(fault) = self.state.fault.reply_fault() else {
            return io.reply(&reply, payload, false);
        };
        let other = misdirect(&reply, fault);
        match fault {
            ReplyFault::StaleAttempt | ReplyFault::Duplicate => {
                io.reply(&other, payload.clone(), false)?;
                io.reply(&reply, payload, false)
            }
            ReplyFault::Garbled => {
                let garbage = Bytes::from_static(&[0, 0, 0, 3, 255, 255, 255]);
                io.send(garbage, false)
            }
            ReplyFault::EndOfStream => io.send(Bytes::new(), true),
            _ => io.reply(&other, payload, false),
        }
    }
}

/// Returns the reply with its place altered by the fault.
fn misdirect(reply: &Reply, fault: ReplyFault) -> Reply {
    let mut reply = reply.clone();
    let (Reply::Done { place, .. } | Reply::Token { place, .. }) = &mut reply else {
        return reply;
    };
    match fault {
        ReplyFault::StaleAttempt => place.attempt = place.attempt.saturating_sub(1).max(1),
        ReplyFault::OtherRequest => place.request ^= 1,
        ReplyFault::StaleStep => place.step = place.step.saturating_sub(1).max(1),
        ReplyFault::OtherLayers => place.to += 1,
        ReplyFault::Duplicate | ReplyFault::Garbled | ReplyFault::EndOfStream => {}
    }
    reply
}
