//! Execution of the steps of an attempt.

use super::hops::{Failure, Hops, Result, place};
use super::layer_check::LayerCheck;
use super::{Cause, Event, Hop, Job, Stop, Token, open};
use crate::frame::{self, Call, Input, Reply, Step};
use crate::pool::{Counters, Pool};
use bytes::{Bytes, BytesMut};

/// Maximum length of a payload chunk that is copied behind its head, so that both are sent in one
/// write.
const MAX_JOINED_BYTES: usize = 4 << 10;
/// Number of relayed bytes of a payload between two progress events.
const PROGRESS_INTERVAL_BYTES: usize = 1 << 20;

/// Runs the attempt and emits its events, including the final one.
pub(super) async fn drive(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) {
    let mut sent = false;
    let mut record = |event: Event| {
        sent |= event == Event::Sent;
        out(event);
    };
    let ended = run_attempt(pool, job, &mut record).await;
    if let Err(Failure {
        hop,
        cause,
        retry_after,
    }) = ended
    {
        out(Event::Failed {
            hop: hop as u8,
            cause,
            sent,
            retry_after,
        });
    }
}

/// Runs the attempt up to [`Event::Finished`], or returns its failure.
async fn run_attempt(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) -> Result<()> {
    let layers = layer_count(&job.hops)?;
    let earlier_tokens = job.tokens.len() as u32;
    if earlier_tokens >= job.max_tokens {
        out(Event::Finished {
            stop: Stop::Length,
            prompt_tokens: 0,
        });
        return Ok(());
    }
    let links = open::open(pool, job, out).await?;
    let hops = Hops {
        links,
        counters: pool.counters(),
    };
    let layer_check = LayerCheck::new(job.request, job.attempt, layers);
    let mut attempt = Attempt {
        job,
        hops,
        layer_check,
        step: 0,
        prompt_tokens: 0,
    };
    let stop = attempt.run_steps(earlier_tokens, out).await?;
    out(Event::Finished {
        stop,
        prompt_tokens: attempt.prompt_tokens,
    });
    attempt.hops.close().await;
    Ok(())
}

/// Returns the model's number of layers if the hops cover each layer once, in order.
fn layer_count(hops: &[Hop]) -> Result<u16> {
    let mut next = 0;
    for (i, hop) in hops.iter().enumerate() {
        if hop.from != next || hop.to <= hop.from || i > usize::from(u8::MAX) {
            return Err(Failure::new(i.min(u8::MAX.into()), Cause::Unfit));
        }
        next = hop.to;
    }
    if next == 0 {
        Err(Failure::new(0, Cause::Unfit))
    } else {
        Ok(next)
    }
}

/// Token that the last stage generated, and whether it ends the answer.
struct Generated {
    token: Token,
    end: bool,
}

/// State of an attempt whose streams are open.
struct Attempt<'a> {
    job: &'a Job,
    hops: Hops<'a>,
    layer_check: LayerCheck,
    step: u32,
    prompt_tokens: u32,
}

impl Attempt<'_> {
    /// Runs steps until the answer ends. `earlier_tokens` is the number of tokens of earlier
    /// attempts.
    async fn run_steps(
        &mut self,
        earlier_tokens: u32,
        out: &mut impl FnMut(Event),
    ) -> Result<Stop> {
        let ids = self.job.tokens.iter().map(|token| token.id).collect();
        let mut input = Input::Prompt(ids);
        let mut payload = self.job.prompt.clone();
        let mut count = earlier_tokens;
        loop {
            let generated = self.run_step(input, payload, out).await?;
            count += 1;
            input = Input::Token(generated.token.id);
            payload = Bytes::new();
            out(Event::Token(generated.token));
            if generated.end {
                return Ok(Stop::End);
            }
            if count >= self.job.max_tokens {
                return Ok(Stop::Length);
            }
        }
    }

    /// Runs one step on all stages.
    async fn run_step(
        &mut self,
        input: Input,
        payload: Bytes,
        out: &mut impl FnMut(Event),
    ) -> Result<Generated> {
        self.step += 1;
        let last = self.job.hops.len() - 1;
        let mut buf = BytesMut::new();
        self.encode_head(0, input, payload.len(), &mut buf)?;
        if self.step == 1 {
            out(Event::Sent);
        }
        if payload.len() <= MAX_JOINED_BYTES {
            buf.extend_from_slice(&payload);
            self.hops.send(0, buf.freeze()).await?;
        } else {
            self.hops.send(0, buf.freeze()).await?;
            self.hops.send(0, payload).await?;
        }
        for at in 0..last {
            let length = self.wait_done(at, out).await?;
            self.relay(at, length, out).await?;
        }
        let generated = self.wait_token(last, out).await?;
        if !self.layer_check.finish_step() {
            return Err(Failure::new(last, Cause::Protocol));
        }
        Counters::add(&self.hops.counters.steps, 1);
        Ok(generated)
    }

    /// Encodes the head of the current step for hop `at`.
    fn encode_head(
        &self,
        at: usize,
        input: Input,
        payload: usize,
        buf: &mut BytesMut,
    ) -> Result<()> {
        let Job {
            request,
            attempt,
            hops,
            ..
        } = self.job;
        let place = place(*request, *attempt, self.step, &hops[at]);
        let payload = u32::try_from(payload).ok();
        let payload = payload.filter(|bytes| *bytes <= frame::MAX_PAYLOAD_BYTES);
        let invalid = Failure::new(at, Cause::Invalid);
        let payload = payload.ok_or(invalid)?;
        let step = Step {
            place,
            input,
            payload,
        };
        frame::encode(&Call::Step(step), buf).map_err(|_| invalid)
    }

    /// Waits until hop `at`, which is not the last one, has run its layers. Returns the length of
    /// its activations in bytes.
    async fn wait_done(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<u32> {
        match self.next_reply(at, out).await? {
            Reply::Done {
                place,
                prompt_tokens,
                payload,
            } if self.layer_check.record(&place) => {
                if at == 0 {
                    self.prompt_tokens = self.prompt_tokens.max(prompt_tokens);
                }
                Ok(payload)
            }
            _ => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// Waits until hop `at`, the last one, has generated a token.
    async fn wait_token(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<Generated> {
        match self.next_reply(at, out).await? {
            Reply::Token {
                place,
                prompt_tokens,
                id,
                text,
                end,
            } if self.layer_check.record(&place) => {
                if at == 0 {
                    self.prompt_tokens = self.prompt_tokens.max(prompt_tokens);
                }
                Ok(Generated {
                    token: Token { id, text },
                    end,
                })
            }
            _ => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// Waits for the reply that ends hop `at`'s part of the step. Fails if a reply names another
    /// request, attempt, step or layer range.
    async fn next_reply(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<Reply> {
        let Job {
            request,
            attempt,
            hops,
            ..
        } = self.job;
        let expected = place(*request, *attempt, self.step, &hops[at]);
        loop {
            let reply = self.hops.next_head(at).await?;
            let place = match &reply {
                Reply::Working(place) | Reply::Failed(place) => *place,
                Reply::Done { place, .. } | Reply::Token { place, .. } => *place,
                Reply::Opened(..) | Reply::Refused(..) => {
                    return Err(Failure::new(at, Cause::Protocol));
                }
            };
            if place != expected {
                return Err(Failure::new(at, Cause::Protocol));
            }
            out(self.progress(at, matches!(reply, Reply::Working(_))));
            match reply {
                Reply::Working(_) => {}
                Reply::Failed(_) => return Err(Failure::new(at, Cause::Internal)),
                reply => return Ok(reply),
            }
        }
    }

    /// Returns the progress event for a reply of hop `at`. If the hop is still working, the last
    /// hop that completed its part is the previous one.
    fn progress(&self, at: usize, is_working: bool) -> Event {
        let (hop, step) = match (is_working, at) {
            (false, _) => (at, self.step),
            (true, 0) => (self.job.hops.len() - 1, self.step - 1),
            (true, _) => (at - 1, self.step),
        };
        Event::Progress {
            hop: hop as u8,
            step,
        }
    }

    /// Relays the activations of hop `at` to the next hop, chunk by chunk as they arrive.
    async fn relay(&mut self, at: usize, length: u32, out: &mut impl FnMut(Event)) -> Result<()> {
        let mut remaining = length as usize;
        let mut buf = BytesMut::new();
        self.encode_head(at + 1, Input::Activations, remaining, &mut buf)?;
        let mut reported = remaining;
        while remaining > 0 {
            let chunk = self.hops.next_payload(at).await?;
            remaining -= chunk.len();
            if buf.is_empty() {
                self.hops.send(at + 1, chunk).await?;
            } else if chunk.len() <= MAX_JOINED_BYTES {
                buf.extend_from_slice(&chunk);
                self.hops.send(at + 1, buf.split().freeze()).await?;
            } else {
                self.hops.send(at + 1, buf.split().freeze()).await?;
                self.hops.send(at + 1, chunk).await?;
            }
            if reported - remaining >= PROGRESS_INTERVAL_BYTES {
                reported = remaining;
                out(Event::Progress {
                    hop: at as u8,
                    step: self.step,
                });
            }
        }
        Counters::add(&self.hops.counters.relayed, length.into());
        Ok(())
    }
}
