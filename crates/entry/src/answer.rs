//! An answer in the making, as a handler sees it.

use crate::api::chat::Usage;
use crate::api::error::Error;
use crate::api::params::{Kind, Params};
use crate::api::stop::Filter;
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
    params: Params,
    id: String,
    created: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: Option<Guard>,
    filter: Filter,
    token_count: u32,
    last_token_at: Instant,
    metrics: Metrics,
}

impl Answer {
    /// The answer to `ask`, whose parts come from `replies`.
    pub fn new(
        params: Params,
        guard: Guard,
        replies: mpsc::UnboundedReceiver<Reply>,
        metrics: Metrics,
    ) -> Self {
        let prefix = match params.kind {
            Kind::Chat => "chatcmpl",
            Kind::Text => "cmpl",
        };
        Self {
            id: format!("{prefix}-{:032x}", guard.id),
            created: unix_time(),
            filter: Filter::new(params.stops.clone()),
            params,
            replies,
            guard: Some(guard),
            token_count: 0,
            last_token_at: Instant::now(),
            metrics,
        }
    }

    /// Which API.
    pub fn kind(&self) -> Kind {
        self.params.kind
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
        &self.params.model
    }

    /// Whether the answer is streamed.
    pub fn wants_stream(&self) -> bool {
        self.params.stream
    }

    /// Whether a streamed answer ends with its usage.
    pub fn wants_usage(&self) -> bool {
        self.params.include_usage
    }

    /// Tokens used.
    pub fn usage(&self, end: End) -> Usage {
        Usage::new(end.prompt_tokens, self.token_count)
    }

    /// Why it ended, in the API's words.
    pub fn finish_reason(&self, end: End) -> &'static str {
        match end.stop {
            Stop::End => "stop",
            Stop::Length => "length",
        }
    }

    /// The next reply as it comes; a core that is gone leaves the outcome unknown.
    pub async fn next_reply(&mut self) -> Reply {
        self.replies.recv().await.unwrap_or(Reply::Done(End {
            outcome: Outcome::Unknown,
            stop: Stop::End,
            prompt_tokens: 0,
        }))
    }

    /// The next part.
    pub async fn next_part(&mut self) -> Part {
        let reply = self.next_reply().await;
        self.part(reply)
    }

    /// Turns a reply into a part.
    pub fn part(&mut self, reply: Reply) -> Part {
        match reply {
            Reply::Token(token) => self.push_token(&token.text),
            Reply::Done(end) => Part::End(self.filter.finish(), end),
            Reply::Refused(refusal) => Part::Refused(refusal.into()),
            Reply::Error(error) => Part::Refused(*error),
            // The head of a plain service's answer never comes for a completion.
            Reply::Head(_) => Part::Text(String::new()),
        }
    }

    fn push_token(&mut self, text: &str) -> Part {
        self.record_latency();
        self.token_count += 1;
        let released = self.filter.push(text);
        if !self.filter.done() {
            return Part::Text(released);
        }
        // The answer is whole for the caller; the rest of the work is cancelled. The engines' count
        // of the prompt would come with the end that is not waited for.
        self.guard = None;
        let prompt_tokens = self.params.prompt_tokens();
        Part::End(
            released,
            End {
                outcome: Outcome::Complete,
                stop: Stop::End,
                prompt_tokens,
            },
        )
    }

    fn record_latency(&mut self) {
        let now = Instant::now();
        let gap = (now - self.last_token_at).as_secs_f64();
        let histogram = match self.token_count {
            0 => &self.metrics.first_token,
            _ => &self.metrics.inter_token,
        };
        histogram.record(gap, &[]);
        self.last_token_at = now;
    }
}

fn unix_time() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_secs()).unwrap_or(0)
}
