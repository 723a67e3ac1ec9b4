//! The steps of an attempt.

use super::hops::{Failure, Hops, Result, place};
use super::ledger::Ledger;
use super::{Cause, Event, Hop, Job, Stop, Token, open};
use crate::frame::{self, Call, Input, Reply, Step};
use crate::pool::{Counters, Pool};
use bytes::{Bytes, BytesMut};

/// A piece of payload up to this length is copied behind its head, to leave in one write.
const JOIN_LIMIT: usize = 4 << 10;
/// Bytes of a payload relayed between two reports of progress.
const REPORT_BYTES: usize = 1 << 20;

/// Runs the attempt and reports its end.
pub(super) async fn drive(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) {
    let mut sent = false;
    let mut watch = |event: Event| {
        sent |= event == Event::Sent;
        out(event);
    };
    let ended = attempt(pool, job, &mut watch).await;
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

async fn attempt(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) -> Result<()> {
    let layers = check(&job.hops)?;
    let had = job.tokens.len() as u32;
    if had >= job.most {
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
    let ledger = Ledger::new(job.request, job.attempt, layers);
    let mut pass = Pass {
        job,
        hops,
        ledger,
        step: 0,
        prompt_tokens: 0,
    };
    out(Event::Sent);
    let stop = pass.steps(had, out).await?;
    out(Event::Finished {
        stop,
        prompt_tokens: pass.prompt_tokens,
    });
    pass.hops.close().await;
    Ok(())
}

/// The model's layers, if the hops cover them once and in order.
fn check(hops: &[Hop]) -> Result<u16> {
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

/// What the last stage made.
struct Made {
    token: Token,
    end: bool,
}

struct Pass<'a> {
    job: &'a Job,
    hops: Hops<'a>,
    ledger: Ledger,
    step: u32,
    prompt_tokens: u32,
}

impl Pass<'_> {
    /// Runs steps until the answer ends.
    async fn steps(&mut self, had: u32, out: &mut impl FnMut(Event)) -> Result<Stop> {
        let ids = self.job.tokens.iter().map(|token| token.id).collect();
        let mut input = Input::Prompt(ids);
        let mut payload = self.job.prompt.clone();
        let mut count = had;
        loop {
            let made = self.step(input, payload, out).await?;
            count += 1;
            input = Input::Token(made.token.id);
            payload = Bytes::new();
            out(Event::Token(made.token));
            if made.end {
                return Ok(Stop::End);
            }
            if count >= self.job.most {
                return Ok(Stop::Length);
            }
        }
    }

    /// Runs one step through all stages.
    async fn step(
        &mut self,
        input: Input,
        payload: Bytes,
        out: &mut impl FnMut(Event),
    ) -> Result<Made> {
        self.step += 1;
        let last = self.job.hops.len() - 1;
        let mut buf = BytesMut::new();
        self.head(0, input, payload.len(), &mut buf)?;
        if payload.len() <= JOIN_LIMIT {
            buf.extend_from_slice(&payload);
            self.hops.send(0, buf.freeze()).await?;
        } else {
            self.hops.send(0, buf.freeze()).await?;
            self.hops.send(0, payload).await?;
        }
        for at in 0..last {
            let length = self.done(at, out).await?;
            self.relay(at, length, out).await?;
        }
        let made = self.token(last, out).await?;
        if !self.ledger.close() {
            return Err(Failure::new(last, Cause::Protocol));
        }
        Counters::add(&self.hops.counters.steps, 1);
        Ok(made)
    }

    /// Encodes the head of this step for hop `at`.
    fn head(&self, at: usize, input: Input, payload: usize, buf: &mut BytesMut) -> Result<()> {
        let Job {
            request,
            attempt,
            hops,
            ..
        } = self.job;
        let place = place(*request, *attempt, self.step, &hops[at]);
        let payload = u32::try_from(payload).map_err(|_| Failure::new(at, Cause::Unfit))?;
        let step = Step {
            place,
            input,
            payload,
        };
        frame::encode(&Call::Step(step), buf).map_err(|_| Failure::new(at, Cause::Unfit))
    }

    /// Waits until hop `at`, not the last one, ran its layers; the length of its activations.
    async fn done(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<u32> {
        match self.reply(at, out).await? {
            Reply::Done {
                place,
                prompt_tokens,
                payload,
            } if self.ledger.enter(&place) => {
                if at == 0 {
                    self.prompt_tokens = self.prompt_tokens.max(prompt_tokens);
                }
                Ok(payload)
            }
            _ => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// Waits until the last hop made a token.
    async fn token(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<Made> {
        match self.reply(at, out).await? {
            Reply::Token {
                place,
                prompt_tokens,
                id,
                text,
                end,
            } if self.ledger.enter(&place) => {
                if at == 0 {
                    self.prompt_tokens = self.prompt_tokens.max(prompt_tokens);
                }
                Ok(Made {
                    token: Token { id, text },
                    end,
                })
            }
            _ => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// The reply that ends hop `at`'s part of the step, checked to be of exactly this place.
    async fn reply(&mut self, at: usize, out: &mut impl FnMut(Event)) -> Result<Reply> {
        let Job {
            request,
            attempt,
            hops,
            ..
        } = self.job;
        let expected = place(*request, *attempt, self.step, &hops[at]);
        loop {
            let reply = self.hops.head(at).await?;
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

    /// The progress that hop `at` makes: it did its part, or works and the one before it did.
    fn progress(&self, at: usize, works: bool) -> Event {
        let (hop, step) = match (works, at) {
            (false, _) => (at, self.step),
            (true, 0) => (self.job.hops.len() - 1, self.step - 1),
            (true, _) => (at - 1, self.step),
        };
        Event::Progress {
            hop: hop as u8,
            step,
        }
    }

    /// Relays hop `at`'s activations to the next one, piece by piece as they come.
    async fn relay(&mut self, at: usize, length: u32, out: &mut impl FnMut(Event)) -> Result<()> {
        let mut missing = length as usize;
        let mut buf = BytesMut::new();
        self.head(at + 1, Input::Activations, missing, &mut buf)?;
        let mut reported = missing;
        while missing > 0 {
            let piece = self.hops.piece(at).await?;
            missing -= piece.len();
            if buf.is_empty() {
                self.hops.send(at + 1, piece).await?;
            } else if piece.len() <= JOIN_LIMIT {
                buf.extend_from_slice(&piece);
                self.hops.send(at + 1, buf.split().freeze()).await?;
            } else {
                self.hops.send(at + 1, buf.split().freeze()).await?;
                self.hops.send(at + 1, piece).await?;
            }
            if reported - missing >= REPORT_BYTES {
                reported = missing;
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
