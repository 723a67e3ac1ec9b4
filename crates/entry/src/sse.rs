//! Streamed answers as server-sent events.
//!
//! An incomplete stream never ends like a complete one: it ends with an error event and without
//! `[DONE]`, and the transfer of its body is aborted. Clients that only check whether the transfer
//! ended properly thus notice it, too.

use crate::answer::{Answer, Part};
use crate::api::chat::{ChunkChoice, Delta, Usage};
use crate::api::chunk::Chunk;
use crate::api::completion;
use crate::api::error::Error;
use crate::api::params::Kind;
use crate::core::{End, Reply};
use bytes::Bytes;
use futures::Stream;
use futures::stream;
use route::outcome::Outcome;
use serde::Serialize;
use std::collections::VecDeque;
use std::io;

/// Object type of a chat completion's events.
const CHAT: &str = "chat.completion.chunk";
/// Object type of a text completion's events.
const TEXT: &str = "text_completion";
/// Choices of the event that carries only the usage.
const NO_CHOICE: Vec<()> = Vec::new();
/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// The events of an answer that is being streamed.
struct Events {
    answer: Answer,
    queue: VecDeque<Bytes>,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Complete,
    Failed,
    Ended,
}

/// Returns the body of a streamed answer; `first` is the reply that was already received.
pub fn body(answer: Answer, first: Reply) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut events = Events {
        answer,
        queue: VecDeque::new(),
        state: State::Open,
    };
    events.push_role();
    events.push_reply(first);
    stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item, events))
    })
}

/// Returns the body of a streamed answer whose text is already complete.
pub fn complete_body(
    answer: Answer,
    text: String,
    end: End,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut events = Events {
        answer,
        queue: VecDeque::new(),
        state: State::Open,
    };
    events.push_role();
    events.push_end(&text, end);
    stream::iter(events.queue.into_iter().map(Ok))
}

impl Events {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.queue.pop_front() {
                return Some(Ok(bytes));
            }
            match self.state {
                State::Open => {
                    let part = self.answer.next_part().await;
                    self.push_part(part);
                }
                State::Complete | State::Ended => return None,
                State::Failed => {
                    self.state = State::Ended;
                    // Lets the error event be sent before the transfer is aborted.
                    tokio::task::yield_now().await;
                    return Some(Err(io::Error::other("the answer is incomplete")));
                }
            }
        }
    }

    fn push_role(&mut self) {
        if self.answer.kind() == Kind::Chat {
            let delta = Delta {
                role: Some("assistant"),
                content: Some(""),
            };
            self.push_chat(delta, None, None);
        }
    }

    fn push_reply(&mut self, reply: Reply) {
        let part = self.answer.part(reply);
        self.push_part(part);
    }

    fn push_part(&mut self, part: Part) {
        match part {
            Part::Text(text) if text.is_empty() => {}
            Part::Text(text) => self.push_text(&text),
            Part::End(rest, end) if end.outcome == Outcome::Complete => self.push_end(&rest, end),
            Part::End(_, end) => self.push_error(Error::from_outcome(end.outcome)),
            Part::Refused(error) => self.push_error(error),
        }
    }

    fn push_text(&mut self, text: &str) {
        match self.answer.kind() {
            Kind::Chat => {
                let delta = Delta {
                    role: None,
                    content: Some(text),
                };
                self.push_chat(delta, None, None);
            }
            Kind::Text => self.push_completion(text, None, None),
        }
    }

    fn push_end(&mut self, rest: &str, end: End) {
        if !rest.is_empty() {
            self.push_text(rest);
        }
        let reason = Some(self.answer.finish_reason(end));
        let outcome = Some(end.outcome.as_str());
        match self.answer.kind() {
            Kind::Chat => self.push_chat(Delta::default(), reason, outcome),
            Kind::Text => self.push_completion("", reason, outcome),
        }
        if self.answer.wants_usage() {
            let usage = self.answer.usage(end);
            self.push_usage(usage);
        }
        self.queue.push_back(event(DONE));
        self.state = State::Complete;
    }

    fn push_error(&mut self, error: Error) {
        self.queue.push_back(event(&error.json()));
        self.state = State::Failed;
    }

    fn push_chat(
        &mut self,
        delta: Delta<'_>,
        finish_reason: Option<&'static str>,
        outcome: Option<&'static str>,
    ) {
        let choice = ChunkChoice {
            index: 0,
            delta,
            finish_reason,
        };
        self.push_chunk(CHAT, vec![choice], None, outcome);
    }

    fn push_chunk<C: Serialize>(
        &mut self,
        object: &'static str,
        choices: Vec<C>,
        usage: Option<Usage>,
        outcome: Option<&'static str>,
    ) {
        let chunk = json_event(&Chunk {
            id: self.answer.id(),
            object,
            created: self.answer.created(),
            model: self.answer.model(),
            choices,
            usage,
            outcome,
        });
        self.queue.push_back(chunk);
    }

    fn push_completion(
        &mut self,
        text: &str,
        finish_reason: Option<&'static str>,
        outcome: Option<&'static str>,
    ) {
        let choice = completion::Choice {
            index: 0,
            text,
            finish_reason,
        };
        self.push_chunk(TEXT, vec![choice], None, outcome);
    }

    fn push_usage(&mut self, usage: Usage) {
        let object = match self.answer.kind() {
            Kind::Chat => CHAT,
            Kind::Text => TEXT,
        };
        self.push_chunk(object, NO_CHOICE, Some(usage), None);
    }
}

fn json_event<T: Serialize>(value: &T) -> Bytes {
    event(&serde_json::to_string(value).unwrap_or_default())
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
