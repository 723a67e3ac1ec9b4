//! The steps of a request at a stage.

use super::io::Io;
use super::{Gone, Result};
use crate::engine::Span;
use crate::engine::counts::Counters;
use crate::engine::fault::Crossed;
use crate::engine::hash;
use crate::engine::kv::{self, Broken, Kv};
use crate::engine::state::{Slot, State, lock};
use crate::engine::vocabulary;
use crate::life;
use bytes::Bytes;
use engine::frame::{Call, Input, Open, Place, Reply, Step};
use engine::prefix;
use futures::future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A step that runs longer says so as often as this.
const WORKING: Duration = Duration::from_millis(250);
/// Weight of a new sample in the mean time between tokens, as one part in so many.
const SMOOTHING: u64 = 8;

/// A request at this stage.
pub(super) struct Stage {
    state: Arc<State>,
    open: Open,
    span: Span,
    kv: Kv,
    last: Option<Instant>,
    _slot: Slot,
}

/// What a step made.
struct Made {
    reply: Reply,
    payload: Bytes,
}

impl Stage {
    pub(super) fn new(state: Arc<State>, open: Open, span: Span, slot: Slot) -> Self {
        let salt = hash::name(&open.model, &open.version, open.adapter.as_deref());
        let kv = Kv::new(open.from, open.to, salt, state.fault.broken());
        Self {
            state,
            open,
            span,
            kv,
            last: None,
            _slot: slot,
        }
    }

    pub(super) async fn run(mut self, io: &mut Io) -> Result<()> {
        let Open {
            request, attempt, ..
        } = self.open;
        io.reply(&Reply::Opened(request, attempt), Bytes::new(), false)?;
        while let Some(call) = io.call().await? {
            let Call::Step(step) = call else {
                return Err(Gone);
            };
            let payload = io.payload(step.payload).await?;
            self.step(io, step, payload).await?;
        }
        io.send(Bytes::new(), true)
    }

    async fn step(&mut self, io: &mut Io, step: Step, payload: Bytes) -> Result<()> {
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
            return Err(Gone);
        }
        self.crash(&step, &payload).await;
        let Some(inputs) = self.inputs(&step.input, &payload) else {
            return io.reply(&Reply::Failed(place), Bytes::new(), false);
        };
        self.pace(io, place, inputs.len()).await?;
        if self.state.fault.fail.load(Ordering::SeqCst) {
            return io.reply(&Reply::Failed(place), Bytes::new(), false);
        }
        let made = self.compute(place, &step.input, inputs);
        Counters::add(&self.state.counters.steps);
        self.respond(io, made)
    }

    /// Dies if this is the step or the prompt to die at.
    async fn crash(&self, step: &Step, payload: &[u8]) {
        let is_prompt = matches!(step.input, Input::Prompt(_));
        let is_poison = is_prompt && self.state.fault.is_poison(payload);
        if is_poison || self.state.fault.is_last_step() {
            life::die(&self.state);
            future::pending::<()>().await;
        }
    }

    /// The activations that a step starts from, by position.
    fn inputs(&self, input: &Input, payload: &[u8]) -> Option<Vec<u64>> {
        match input {
            Input::Prompt(tokens) => Some(kv::embed(payload, tokens)),
            Input::Token(id) => Some(vec![kv::token(*id)]),
            Input::Activations => kv::unpack(payload, self.state.config.activation),
        }
    }

    /// Waits as long as the step takes, and says so if that is long.
    async fn pace(&mut self, io: &mut Io, place: Place, positions: usize) -> Result<()> {
        let cost = self.cost(positions);
        let late = self.state.fault.late();
        let lanes = self.state.lanes.clone();
        let mut hold = self.state.fault.hold.subscribe();
        let is_held = *hold.borrow();
        let rank = self.open.priority;
        let work = async move {
            if !cost.is_zero() {
                lanes.run(rank, cost).await;
            }
            if !late.is_zero() {
                sleep(late).await;
            }
            let _ = hold.wait_for(|on| !on).await;
        };
        if cost.is_zero() && late.is_zero() && !is_held {
            return Ok(());
        }
        tokio::pin!(work);
        while io
            .until_reset(tokio::time::timeout(WORKING, &mut work))
            .await?
            .is_err()
        {
            io.reply(&Reply::Working(place), Bytes::new(), false)?;
        }
        Ok(())
    }

    /// Time that the step takes: a prefill counts the positions that the prefix cache lacks.
    fn cost(&mut self, positions: usize) -> Duration {
        let state = self.state.clone();
        let config = &state.config;
        let layers = u32::from(self.open.to - self.open.from);
        let slow = state.fault.slow();
        if self.kv.position() > 0 {
            self.sample();
            return (config.layer_time * layers).mul_f64(slow);
        }
        self.last = Some(Instant::now());
        let hits = lock(&state.cache).touch(&self.open.prefix);
        let cached = hits * prefix::BLOCK_BYTES / 4;
        let fresh = positions.saturating_sub(cached).max(1) as u32;
        (config.prefill_time * layers * fresh).mul_f64(slow)
    }

    /// Enters the time since the step before into the mean.
    fn sample(&mut self) {
        let now = Instant::now();
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let nanos = (now - last).as_nanos() as u64;
        let mean = self.state.inter_token.load(Ordering::Relaxed);
        let next = if mean == 0 {
            nanos
        } else {
            mean - mean / SMOOTHING + nanos / SMOOTHING
        };
        self.state.inter_token.store(next, Ordering::Relaxed);
    }

    fn compute(&mut self, place: Place, input: &Input, inputs: Vec<u64>) -> Made {
        let is_prompt = matches!(input, Input::Prompt(_));
        let had = if let Input::Prompt(tokens) = input {
            tokens.len()
        } else {
            0
        };
        let prompt_tokens = if is_prompt {
            (inputs.len() - had) as u32
        } else {
            0
        };
        let outputs: Vec<u64> = inputs
            .into_iter()
            .map(|input| self.position(input))
            .collect();
        if self.open.to < self.span.layers {
            let payload = kv::pack(&outputs, self.state.config.activation);
            let length = payload.len() as u32;
            return Made {
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
        let (id, text) = (token.id, token.text);
        Made {
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

    /// Runs one position, and enters the layers that ran.
    fn position(&mut self, input: u64) -> u64 {
        Counters::add(&self.state.counters.positions);
        let input = match self.kv.broken() {
            Some(Broken::Cross) => self.state.crossed.swap(input, Ordering::SeqCst),
            _ => input,
        };
        let position = self.kv.position();
        if !self.state.ledger.is_on() {
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
            .enter(request, attempt, from..to, &ran, position);
        output
    }

    /// Sends the reply, or what a fault makes of it.
    fn respond(&self, io: &mut Io, made: Made) -> Result<()> {
        let Made { reply, payload } = made;
        let Some(crossed) = self.state.fault.crossed() else {
            return io.reply(&reply, payload, false);
        };
        let other = elsewhere(&reply, crossed);
        match crossed {
            Crossed::OldAttempt | Crossed::Twice => {
                io.reply(&other, payload.clone(), false)?;
                io.reply(&reply, payload, false)
            }
            Crossed::Garbled => {
                let garbage = Bytes::from_static(&[0, 0, 0, 3, 255, 255, 255]);
                io.send(garbage, false)
            }
            Crossed::Ended => io.send(Bytes::new(), true),
            _ => io.reply(&other, payload, false),
        }
    }
}

/// The reply with the place that a fault gives it.
fn elsewhere(reply: &Reply, crossed: Crossed) -> Reply {
    let mut reply = reply.clone();
    let (Reply::Done { place, .. } | Reply::Token { place, .. }) = &mut reply else {
        return reply;
    };
    match crossed {
        Crossed::OldAttempt => place.attempt = place.attempt.saturating_sub(1).max(1),
        Crossed::OtherRequest => place.request ^= 1,
        Crossed::OldStep => place.step = place.step.saturating_sub(1).max(1),
        Crossed::OtherLayers => place.to += 1,
        Crossed::Twice | Crossed::Garbled | Crossed::Ended => {}
    }
    reply
}
