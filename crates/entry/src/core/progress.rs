//! Events of attempts: progress, tokens, ends and failures.

use super::Core;
use super::message::Reply;
use super::session::Session;
use crate::attempt::{CallEvent, Stage};
use crate::cause;
use bundle::id::EndpointId;
use engine::chain;
use route::Attempt;
use route::action::Hop;
use route::event::Event;
use route::failure::{Cause, Failure};
use route::request::Id;
use std::time::Duration;

impl Core {
    /// Returns the session if `attempt` is its current attempt. Otherwise the event is stale: it
    /// comes from an attempt that has ended, and is counted and ignored.
    pub(super) fn current_session(&mut self, id: Id, attempt: Attempt) -> Option<&mut Session> {
        let session = self.sessions.get_mut(&id);
        let session = session.filter(|s| s.running.as_ref().is_some_and(|r| r.attempt == attempt));
        if session.is_none() {
            self.metrics.stale_events.add(1, &[]);
        }
        session
    }

    pub(super) fn handle_chain_event(&mut self, id: Id, attempt: Attempt, event: chain::Event) {
        let Some(session) = self.current_session(id, attempt) else {
            return;
        };
        match event {
            chain::Event::Sent => {}
            chain::Event::Progress { hop, .. } => self.handle(Event::Progress(id, attempt, hop)),
            chain::Event::Token(token) if !session.try_add(&token) => self.exhaust(id),
            chain::Event::Token(token) => {
                let _ = session.reply.send(Reply::Token(token));
                self.metrics.tokens.add(1, &[]);
                self.handle(Event::Token(id, attempt));
            }
            chain::Event::Finished {
                stop,
                prompt_tokens,
            } => {
                session.end.stop = stop;
                session.end.prompt_tokens = prompt_tokens;
                // The chain driver is still closing its streams. If it were cancelled now, it would
                // reset them, and the engines would take the complete answer for an abandoned one.
                session.running = None;
                self.handle(Event::Finished(id, attempt));
            }
            chain::Event::Failed {
                hop,
                cause,
                sent,
                retry_after,
            } => {
                let position = usize::from(hop);
                let failure =
                    self.failure(id, position, cause::from_chain(cause), sent, retry_after);
                self.handle(Event::Failed(id, attempt, failure));
            }
        }
    }

    pub(super) fn handle_call_event(&mut self, id: Id, attempt: Attempt, event: CallEvent) {
        let Some(session) = self.current_session(id, attempt) else {
            return;
        };
        match event {
            CallEvent::Head(parts) => {
                session.head = session.key_hash.map(|_| parts.clone());
                let _ = session.reply.send(Reply::Head(parts));
                self.handle(Event::Committed(id, attempt));
            }
            CallEvent::Finished(body) => {
                session.body = body;
                self.handle(Event::Finished(id, attempt));
            }
            CallEvent::Failed(failure) => {
                let failure = self.failure(
                    id,
                    0,
                    cause::from_service(failure.cause),
                    failure.sent,
                    None,
                );
                self.handle(Event::Failed(id, attempt, failure));
            }
        }
    }

    pub(super) fn failure(
        &self,
        id: Id,
        hop: usize,
        cause: Cause,
        sent: bool,
        retry_after: Option<Duration>,
    ) -> Failure {
        let session = self.sessions.get(&id);
        let running = session.and_then(|s| s.running.as_ref());
        let stage = running.and_then(|r| r.stages.get(hop));
        Failure {
            endpoint: stage.map_or(EndpointId::MAX, |s| s.endpoint),
            cause,
            sent,
            retry_after,
        }
    }

    /// Returns the id of the named endpoint in the bundle that the router uses.
    pub(super) fn endpoint_id(&self, name: &str) -> Option<EndpointId> {
        let snapshot = self.snapshot.as_ref()?;
        snapshot.view.bundle.endpoint(name)
    }

    /// Returns the stage of a hop, with the name and address of its endpoint.
    pub(super) fn stage(&self, hop: &Hop) -> Option<Stage> {
        let snapshot = self.snapshot.as_ref()?;
        let endpoint = snapshot.view.bundle.endpoints.get(hop.endpoint as usize)?;
        Some(Stage {
            endpoint: hop.endpoint,
            name: endpoint.name.as_str().into(),
            addr: endpoint.addr,
            from: hop.from,
            to: hop.to,
        })
    }
}
