//! What claims decide: whether a request with an idempotency key runs here, waits, or gets the
//! answer that was kept.

use super::message::{Reply, WorkerEvent};
use super::session::Session;
use super::{COMPLETE_CALL_END, Core};
use crate::attempt::Work;
use crate::claim::{self, CachedAnswer, Verdict};
use route::event::Event;
use route::outcome::Outcome;
use route::request::Id;
use std::sync::Arc;

impl Core {
    /// What becomes of a request that asked for its key.
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

    /// Runs a request whose key it now holds. If its caller has left, control has been told so
    /// and releases the key.
    pub(super) fn run_claimed(&mut self, id: Id) {
        let session = self.sessions.get_mut(&id);
        if let Some(request) = session.and_then(|s| s.unclaimed.take()) {
            self.refresh();
            self.handle(Event::Arrive(request));
        }
    }

    /// Gives a resend the answer of its key's run.
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

    /// Tells control that a run under a key ended. Lost, the key would stay taken.
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

    /// Sends notes that must reach control, in order.
    pub(super) fn flush_outbox(&mut self) {
        while let Some(event) = self.outbox.pop_front() {
            if let Err(event) = self.worker_events.push(event) {
                self.outbox.push_front(event);
                return;
            }
        }
    }
}
