//! An answer in the making, as a handler sees it.

use crate::api::ask::{Ask, Kind};
use crate::api::chat::Usage;
use crate::api::error::Error;
use crate::api::stop::Cutter;
use crate::core::{Command, End, Reply, Tx};
use crate::metrics::Metrics;
use engine::chain::Stop;
use route::outcome::Outcome;
use route::request::Id;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Tells the core that the caller is gone, when dropped.
pub struct Guard {
    id: Id,
    tx: Tx,
}

impl Guard {
    /// The guard of request `id`.
    pub fn new(id: Id, tx: Tx) -> Self {
        Self { id, tx }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // After the answer's end the core knows the id no more, and this says nothing.
        let _ = self.tx.send(Command::CallerLeft(self.id));
    }
}

/// A part of an answer, as the caller is to see it.
#[derive(Debug)]
pub enum Part {
    /// More text; may be empty.
    Text(String),
    /// The end, with text that was held back.
    End(String, End),
    /// It was not run.
    Refused(Error),
}

/// An answer in the making.
pub struct Answer {
    ask: Ask,
    id: String,
    created: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: Option<Guard>,
    cutter: Cutter,
    tokens: u32,
    last: Instant,
    metrics: Metrics,
}

impl Answer {
    /// The answer to `ask`, whose parts come from `replies`.
    pub fn new(
        ask: Ask,
        guard: Guard,
        replies: mpsc::UnboundedReceiver<Reply>,
        metrics: Metrics,
    ) -> Self {
        let prefix = match ask.kind {
            Kind::Chat => "chatcmpl",
            Kind::Text => "cmpl",
        };
        Self {
            id: format!("{prefix}-{:032x}", guard.id),
            created: unix_time(),
            cutter: Cutter::new(ask.stops.clone()),
            ask,
            replies,
            guard: Some(guard),
            tokens: 0,
            last: Instant::now(),
            metrics,
        }
    }

    /// Which API.
    pub fn kind(&self) -> Kind {
        self.ask.kind
    }

    /// Id of the answer.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Unix time of its making, in seconds.
    pub fn created(&self) -> u64 {
        self.created
    }

    /// Model, as named by the caller.
    pub fn model(&self) -> &str {
        &self.ask.model
    }

    /// Whether the answer is streamed.
    pub fn wants_stream(&self) -> bool {
        self.ask.stream
    }

    /// Whether a streamed answer ends with its usage.
    pub fn wants_usage(&self) -> bool {
        self.ask.usage
    }

    /// Tokens used.
    pub fn usage(&self, end: End) -> Usage {
        Usage::new(end.prompt_tokens, self.tokens)
    }

    /// Why it ended, in the API's words.
    pub fn finish_reason(&self, end: End) -> &'static str {
        match end.stop {
            Stop::End => "stop",
            Stop::Length => "length",
        }
    }

    /// The next reply as it comes; a core that is gone leaves the outcome unknown.
    pub async fn reply(&mut self) -> Reply {
        self.replies.recv().await.unwrap_or(Reply::Done(End {
            outcome: Outcome::Unknown,
            stop: Stop::End,
            prompt_tokens: 0,
        }))
    }

    /// The next part.
    pub async fn next(&mut self) -> Part {
        let reply = self.reply().await;
        self.part(reply)
    }

    /// Turns a reply into a part.
    pub fn part(&mut self, reply: Reply) -> Part {
        match reply {
            Reply::Token(token) => self.token(&token.text),
            Reply::Done(end) => Part::End(self.cutter.finish(), end),
            Reply::Refused(refusal) => Part::Refused(refusal.into()),
            Reply::Error(error) => Part::Refused(*error),
            // The head of a plain service's answer never comes for a completion.
            Reply::Head(_) => Part::Text(String::new()),
        }
    }

    fn token(&mut self, text: &str) -> Part {
        self.time();
        self.tokens += 1;
        let given = self.cutter.push(text);
        if !self.cutter.done() {
            return Part::Text(given);
        }
        // The answer is whole for the caller; the rest of the work is cancelled. The engines' count
        // of the prompt would come with the end that is not waited for.
        self.guard = None;
        let prompt_tokens = self.ask.prompt_tokens();
        Part::End(
            given,
            End {
                outcome: Outcome::Complete,
                stop: Stop::End,
                prompt_tokens,
            },
        )
    }

    fn time(&mut self) {
        let now = Instant::now();
        let gap = (now - self.last).as_secs_f64();
        let times = match self.tokens {
            0 => &self.metrics.first_token,
            _ => &self.metrics.inter_token,
        };
        times.record(gap, &[]);
        self.last = now;
    }
}

fn unix_time() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_secs()).unwrap_or(0)
}
