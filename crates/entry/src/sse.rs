//! Streamed answers as server-sent events.
//!
//! A stream that is not whole never ends like a whole one: it ends with an error event, has no
//! `[DONE]`, and its body is broken off, so that a client that reads only the transport's end
//! marks sees the difference too.

use crate::answer::{Answer, Part};
use crate::api::ask::Kind;
use crate::api::chat::{ChunkChoice, Delta, Usage};
use crate::api::chunk::Chunk;
use crate::api::completion;
use crate::api::error::Error;
use crate::core::{End, Reply};
use bytes::Bytes;
use futures::Stream;
use futures::stream;
use route::outcome::Outcome;
use serde::Serialize;
use std::collections::VecDeque;
use std::io;

/// Kind of object of a chat's event.
const CHAT: &str = "chat.completion.chunk";
/// Kind of object of a text completion's event.
const TEXT: &str = "text_completion";
/// Choices of the event that only carries usage.
const NO_CHOICE: Vec<()> = Vec::new();
/// End mark of a whole stream.
const DONE: &str = "[DONE]";

/// An answer being streamed.
struct Events {
    answer: Answer,
    ready: VecDeque<Bytes>,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Whole,
    Broken,
    Ended,
}

/// The body of a streamed answer; `first` is what has already come.
pub fn body(answer: Answer, first: Reply) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut events = Events {
        answer,
        ready: VecDeque::new(),
        state: State::Open,
    };
    events.head();
    events.take(first);
    stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item, events))
    })
}

/// The body of a streamed answer that is already whole.
pub fn whole(
    answer: Answer,
    text: String,
    end: End,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let mut events = Events {
        answer,
        ready: VecDeque::new(),
        state: State::Open,
    };
    events.head();
    events.whole(&text, end);
    stream::iter(events.ready.into_iter().map(Ok))
}

impl Events {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            match self.state {
                State::Open => {
                    let part = self.answer.next().await;
                    self.part(part);
                }
                State::Whole | State::Ended => return None,
                State::Broken => {
                    self.state = State::Ended;
                    // Lets the error event leave before the connection is broken off.
                    tokio::task::yield_now().await;
                    return Some(Err(io::Error::other("the answer is not whole")));
                }
            }
        }
    }

    fn head(&mut self) {
        if self.answer.kind() == Kind::Chat {
            let delta = Delta {
                role: Some("assistant"),
                content: Some(""),
            };
            self.chat(delta, None, None);
        }
    }

    fn take(&mut self, reply: Reply) {
        let part = self.answer.part(reply);
        self.part(part);
    }

    fn part(&mut self, part: Part) {
        match part {
            Part::Text(text) if text.is_empty() => {}
            Part::Text(text) => self.text(&text),
            Part::End(rest, end) if end.outcome == Outcome::Complete => self.whole(&rest, end),
            Part::End(_, end) => self.broken(Error::from_outcome(end.outcome)),
            Part::Refused(error) => self.broken(error),
        }
    }

    fn text(&mut self, text: &str) {
        match self.answer.kind() {
            Kind::Chat => {
                let delta = Delta {
                    role: None,
                    content: Some(text),
                };
                self.chat(delta, None, None);
            }
            Kind::Text => self.completion(text, None, None),
        }
    }

    fn whole(&mut self, rest: &str, end: End) {
        if !rest.is_empty() {
            self.text(rest);
        }
        let reason = Some(self.answer.finish_reason(end));
        let word = Some(end.outcome.as_str());
        match self.answer.kind() {
            Kind::Chat => self.chat(Delta::default(), reason, word),
            Kind::Text => self.completion("", reason, word),
        }
        if self.answer.wants_usage() {
            let usage = self.answer.usage(end);
            self.usage(usage);
        }
        self.ready.push_back(event(DONE));
        self.state = State::Whole;
    }

    fn broken(&mut self, error: Error) {
        self.ready.push_back(event(&error.json()));
        self.state = State::Broken;
    }

    fn chat(
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
        self.chunk(CHAT, vec![choice], None, outcome);
    }

    fn chunk<C: Serialize>(
        &mut self,
        object: &'static str,
        choices: Vec<C>,
        usage: Option<Usage>,
        outcome: Option<&'static str>,
    ) {
        let chunk = json(&Chunk {
            id: self.answer.id(),
            object,
            created: self.answer.created(),
            model: self.answer.model(),
            choices,
            usage,
            outcome,
        });
        self.ready.push_back(chunk);
    }

    fn completion(
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
        self.chunk(TEXT, vec![choice], None, outcome);
    }

    fn usage(&mut self, usage: Usage) {
        let object = match self.answer.kind() {
            Kind::Chat => CHAT,
            Kind::Text => TEXT,
        };
        self.chunk(object, NO_CHOICE, Some(usage), None);
    }
}

fn json<T: Serialize>(value: &T) -> Bytes {
    event(&serde_json::to_string(value).unwrap_or_default())
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
