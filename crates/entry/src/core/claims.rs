//! Requests with an idempotency key: they wait for the control thread's verdict, then run, are
//! answered from the cache or fail.

use super::message::{End, Reply, WorkerEvent};
use super::session::Session;
use super::{COMPLETE_CALL_END, Core};
use crate::account::token_bytes;
use crate::attempt::Work;
use crate::claim::{self, CachedAnswer, Verdict};
use route::outcome::Outcome;
use route::request::Id;
use std::sync::Arc;

impl Core {
    /// Applies the verdict on a request that waits for its key.
    pub(super) fn handle_verdict(&mut self, id: Id, verdict: Verdict) {
        match verdict {
            Verdict::Run => self.run_claimed(id),
            Verdict::Replay(answer) => self.replay(id, &answer),
            Verdict::Error(error) => {
                if let Some(session) = self.sessions.remove(&id) {
                    self.metrics.record_end(error.outcome);
                    let _ = session.reply.send(Reply::Error(error));
                }
            }
        }
    }

    /// Runs a request that has claimed its key. If the caller has left, there is no session any
    /// more, and the control thread has been notified and releases the key.
    pub(super) fn run_claimed(&mut self, id: Id) {
        let session = self.sessions.get_mut(&id);
        if let Some((request, bundle)) = session.and_then(|s| s.unclaimed.take()) {
            self.submit(request, &bundle);
        }
    }

    /// Answers a request with the cached answer of an earlier run under its key.
    pub(super) fn replay(&mut self, id: Id, answer: &CachedAnswer) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        self.metrics.replayed.add(1, &[]);
        let reply = |reply| {
            let _ = session.reply.send(reply);
        };
        match (answer, &session.work) {
            (CachedAnswer::Completion(tokens, end), _) => {
                let room = tokens.iter().map(token_bytes).sum();
                if !session.account.try_grow(room) {
                    self.metrics.exhausted_answers.add(1, &[]);
                    return reply(Reply::Done(End {
                        outcome: Outcome::Unknown,
                        ..*end
                    }));
                }
                tokens.iter().for_each(|t| reply(Reply::Token(t.clone())));
                reply(Reply::Done(*end));
            }
            (CachedAnswer::Call(head, body), Work::Call(call)) => {
                reply(Reply::Head(head.clone()));
                let _ = call.chunks.try_send(body.clone());
                reply(Reply::Done(COMPLETE_CALL_END));
            }
            (CachedAnswer::Call(..), Work::Completion(_)) => {}
        }
    }

    /// Notifies the control thread that a run under a key has ended. The event goes through the
    /// outbox: if it were lost, the key would stay claimed.
    pub(super) fn notify_run_ended(&mut self, id: Id, session: &Session, outcome: Outcome) {
        let Some(hash) = session.key_hash else {
            return;
        };
        if session.unclaimed.is_some() {
            self.outbox.push_back(WorkerEvent::ClaimAbandoned(id));
        } else {
            let answer = (outcome == Outcome::Complete)
                .then(|| session.cached_answer())
                .flatten();
            let ended = claim::Ended {
                id,
                hash,
                outcome,
                answer: answer.map(Arc::new),
            };
            self.outbox.push_back(WorkerEvent::Ended(ended));
        }
        self.flush_outbox();
    }

    /// Sends the events of the outbox in order, until the ring is full.
    pub(super) fn flush_outbox(&mut self) {
        while let Some(event) = self.outbox.pop_front() {
            if let Err(event) = self.worker_events.push(event) {
                self.outbox.push_front(event);
                return;
            }
        }
    }
}
