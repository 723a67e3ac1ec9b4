//! The answer to a completion, as a handler reads it while the answer is generated.

use crate::account::{Account, GROWTH_FACTOR, token_bytes};
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

/// Notifies the core on drop that the caller has left.
pub struct Guard {
    id: Id,
    tx: Tx,
}

impl Guard {
    /// Creates the guard of request `id`.
    pub fn new(id: Id, tx: Tx) -> Self {
        Self { id, tx }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The core ignores the command if the answer has ended, because the session is gone.
        let _ = self.tx.send(Command::CallerLeft(self.id));
    }
}

/// A part of an answer, in the form that is sent to the caller.
#[derive(Debug)]
pub enum Part {
    /// More text; may be empty.
    Text(String),
    /// The end of the answer, with the text that the stop filter had held back.
    End(String, End),
    /// The request was refused, or is answered with an error.
    Refused(Error),
}

/// An answer whose parts arrive while it is generated.
pub struct Answer {
    params: Params,
    id: String,
    created: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    account: Account,
    guard: Option<Guard>,
    filter: Filter,
    token_count: u32,
    last_token_at: Instant,
    metrics: Metrics,
}

impl Answer {
    /// Creates the answer to a request with `params`; the core sends its parts to `replies`, with memory of
    /// `account`.
    pub fn new(
        params: Params,
        guard: Guard,
        replies: mpsc::UnboundedReceiver<Reply>,
        account: Account,
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
            account,
            guard: Some(guard),
            token_count: 0,
            last_token_at: Instant::now(),
            metrics,
        }
    }

    /// The API that was called.
    pub fn kind(&self) -> Kind {
        self.params.kind
    }

    /// Id of the answer.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Unix time of its creation, in seconds.
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

    /// Whether a streamed answer ends with a usage event.
    pub fn wants_usage(&self) -> bool {
        self.params.include_usage
    }

    /// Number of tokens used.
    pub fn usage(&self, end: End) -> Usage {
        Usage::new(end.prompt_tokens, self.token_count)
    }

    /// The value of the API's `finish_reason` field.
    pub fn finish_reason(&self, end: End) -> &'static str {
        match end.stop {
            Stop::End => "stop",
            Stop::Length => "length",
        }
    }

    /// Takes memory for text that is held until the answer is complete. Returns false if there is no room.
    pub fn try_hold(&self, text: &str) -> bool {
        self.account.try_grow(GROWTH_FACTOR * text.len())
    }

    /// Waits for the next reply of the core. If the core has stopped, the outcome is unknown.
    pub async fn next_reply(&mut self) -> Reply {
        self.replies.recv().await.unwrap_or(Reply::Done(End {
            outcome: Outcome::Unknown,
            stop: Stop::End,
            prompt_tokens: 0,
        }))
    }

    /// Waits for the next part.
    pub async fn next_part(&mut self) -> Part {
        let reply = self.next_reply().await;
        self.part(reply)
    }

    /// Converts a reply into a part.
    pub fn part(&mut self, reply: Reply) -> Part {
        match reply {
            Reply::Token(token) => {
                self.account.shrink(token_bytes(&token));
                self.push_token(&token.text)
            }
            Reply::Done(end) => Part::End(self.filter.finish(), end),
            Reply::Refused(refusal) => Part::Refused(refusal.into()),
            Reply::Error(error) => Part::Refused(*error),
            // Only calls of plain HTTP services have a head.
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
        // A stop sequence completes the answer. Dropping the guard cancels the remaining work. The
        // engines' count of the prompt's tokens arrives only at the end of the run, which is not
        // awaited, so the estimate is used.
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
