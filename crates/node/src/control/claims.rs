//! Claims of idempotency keys: the table of claims, its reads of and appends to the log, and the
//! answers cached for repeated requests.

use super::input::{Input, Inputs};
use super::log_stream::{self, Append};
use crate::settings::Platform;
use bytes::Bytes;
use entry::api::error::Error;
use entry::claim::{CachedAnswer, Ended, Request, Verdict};
use http::StatusCode;
use lease::Owner;
use lease::claim::{self, Action, Event, Refusal, Settings, Table, home};
use platform::http::Log as Client;
use route::outcome::Outcome;
use route::request::Id;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Retry-after delay for callers while the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Lookup of the addresses of nodes that own keys.
pub trait Owners {
    /// Returns the base URL of the owner, if that run of the node is still alive.
    fn url(&self, owner: Owner) -> Option<String>;
}

/// A verdict to be delivered to a worker.
pub struct Reply {
    /// Index of the worker that sent the request.
    pub worker: usize,
    /// The request.
    pub id: Id,
    /// The verdict.
    pub verdict: Verdict,
}

/// Claims of this node.
pub struct Claims {
    table: Table,
    client: Arc<Client>,
    inputs: Inputs,
    /// Worker that sent each request that awaits its verdict.
    requesters: BTreeMap<Id, usize>,
    /// For each running request, the requests with the same key that wait for its answer.
    followers: BTreeMap<Id, Vec<Id>>,
    /// Cached answers of ended requests.
    answers: BTreeMap<Id, Arc<CachedAnswer>>,
    actions: Vec<Action>,
    replies: Vec<Reply>,
}

impl Claims {
    /// Creates an empty table. `start` is the Unix time at the zero of the times that are passed to
    /// the other methods.
    pub fn new(me: Owner, seed: u64, start: Duration, platform: &Platform, inputs: Inputs) -> Self {
        let settings = Settings {
            started_at: start,
            ..Settings::default()
        };
        Self {
            table: Table::new(me, seed, settings),
            client: Arc::new(Client::new(platform.log, platform.limits)),
            inputs,
            requesters: BTreeMap::new(),
            followers: BTreeMap::new(),
            answers: BTreeMap::new(),
            actions: Vec::new(),
            replies: Vec::new(),
        }
    }

    /// Returns the verdicts since the last call.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }

    /// Handles an event of the table and executes the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, owners: &impl Owners) {
        let mut actions = std::mem::take(&mut self.actions);
        self.table.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action, owners);
        }
        self.actions = actions;
    }

    /// Claims the key of a worker's request.
    pub fn request(
        &mut self,
        now: Duration,
        worker: usize,
        request: Request,
        owners: &impl Owners,
    ) {
        self.requesters.insert(request.id, worker);
        let event = Event::Received(claim::Request {
            id: request.id,
            key: request.claim.form,
            fingerprint: request.claim.fingerprint,
            deadline: now + request.time_left,
        });
        self.handle(now, event, owners);
    }

    /// Withdraws a request whose caller disconnected while it was waiting.
    pub fn cancel(&mut self, now: Duration, id: Id, owners: &impl Owners) {
        self.requesters.remove(&id);
        for followers in self.followers.values_mut() {
            followers.retain(|f| *f != id);
        }
        // The request may have been granted the key already without having started. The requests
        // that wait for its answer would then wait forever.
        for follower in self.followers.remove(&id).unwrap_or_default() {
            self.reply(
                follower,
                Verdict::Error(Box::new(answer_unavailable(Outcome::NotRun))),
            );
        }
        self.handle(now, Event::Cancelled(id), owners);
    }

    /// Records the end of a run: caches its answer and replies to the requests that wait for it.
    pub fn finish(&mut self, now: Duration, ended: Ended, owners: &impl Owners) {
        let size = ended.answer.as_ref().map_or(0, |a| a.size());
        let followers = self.followers.remove(&ended.id).unwrap_or_default();
        for follower in followers {
            let verdict = match &ended.answer {
                Some(answer) => Verdict::Replay(answer.clone()),
                None => Verdict::Error(Box::new(answer_unavailable(ended.outcome))),
            };
            self.reply(follower, verdict);
        }
        if let Some(answer) = ended.answer {
            self.answers.insert(ended.id, answer);
        }
        let event = Event::Ended(ended.hash, to_lease(ended.outcome), size);
        self.handle(now, event, owners);
    }

    /// Issues a ticket, an idempotency key that only this run of the node accepts.
    pub fn issue_ticket(&mut self, now: Duration) -> String {
        self.table.issue_ticket(now).to_string()
    }

    /// Follows the shards of keys whose home, among `nodes`, is this node.
    pub fn follow_home_shards(
        &mut self,
        now: Duration,
        me: Owner,
        nodes: &[u64],
        owners: &impl Owners,
    ) {
        let shards = home::shards(me.node, nodes, Settings::default().shards);
        self.handle(now, Event::HomeShards(shards), owners);
    }

    fn execute(&mut self, action: Action, owners: &impl Owners) {
        match action {
            Action::Append { batch, shard, body } => self.append(batch, shard, body),
            Action::Read { shard, from, wait } => self.read(shard, from, wait),
            Action::Run { request, .. } => self.reply(request, Verdict::Run),
            Action::Join { request, running } => {
                self.followers.entry(running).or_default().push(request);
            }
            Action::Answer {
                request,
                outcome,
                source,
            } => self.answer(request, outcome, source),
            Action::Redirect {
                request,
                owner,
                outcome,
            } => {
                let error = owned_elsewhere(owners.url(owner), outcome);
                self.reply(request, Verdict::Error(Box::new(error)));
            }
            Action::Refuse {
                request,
                reason,
                outcome,
            } => {
                let error = refusal(reason, from_lease(outcome));
                self.reply(request, Verdict::Error(Box::new(error)));
            }
            Action::DropAnswer(request) => {
                self.answers.remove(&request);
            }
        }
    }

    /// Replies with the cached answer of the request `source`, or with an error if it is not
    /// available.
    fn answer(&mut self, request: Id, outcome: lease::Outcome, source: Option<Id>) {
        let answer = source.and_then(|source| self.answers.get(&source));
        let verdict = match answer {
            Some(answer) => Verdict::Replay(answer.clone()),
            None => Verdict::Error(Box::new(answer_unavailable(from_lease(outcome)))),
        };
        self.reply(request, verdict);
    }

    /// Queues a verdict for the worker that sent the request.
    fn reply(&mut self, id: Id, verdict: Verdict) {
        if let Some(worker) = self.requesters.remove(&id) {
            self.replies.push(Reply {
                worker,
                id,
                verdict,
            });
        }
    }

    fn append(&self, batch: claim::Batch, shard: claim::Shard, body: Bytes) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let event = match log_stream::append(&client, &claim::stream(shard), body).await {
                Append::Done => Event::Appended(batch),
                Append::Unsure => Event::AppendUnsure(batch),
                Append::Failed => Event::AppendFailed(batch),
            };
            let _ = inputs.send(Input::Claim(event)).await;
        });
    }

    fn read(&self, shard: claim::Shard, from: u64, wait: bool) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let page = log_stream::read(&client, &claim::stream(shard), from, wait).await;
            let event = match page {
                Some(page) => Event::Page(shard, page),
                None => Event::ReadFailed(shard),
            };
            let _ = inputs.send(Input::Claim(event)).await;
        });
    }
}

impl std::fmt::Display for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "pending requests {}, cached answers {}",
            self.requesters.len(),
            self.answers.len()
        )?;
        write!(f, "{}", self.table)
    }
}

/// Returns the error for a repeated request whose run has ended and whose answer is not available.
fn answer_unavailable(outcome: Outcome) -> Error {
    match outcome {
        Outcome::Complete => {
            let message = "the request ran to its end; its answer is kept no longer";
            let mut error = Error::new(StatusCode::CONFLICT, "answer_gone", message);
            error.outcome = Outcome::Complete;
            error
        }
        Outcome::NotRun => Error::from_outcome(Outcome::NotRun).with_retry_after(RETRY_AFTER),
        Outcome::Unknown => Error::outcome_unknown(),
    }
}

/// Returns the error for a key that another node owns. The error has the URL of that node if the
/// node is alive; otherwise the answer is treated as unavailable.
fn owned_elsewhere(url: Option<String>, outcome: Option<lease::Outcome>) -> Error {
    let outcome = outcome.map_or(Outcome::Unknown, from_lease);
    let mut error = match url {
        Some(_) => {
            let message = "the request's key belongs to another node";
            Error::new(StatusCode::CONFLICT, "key_on_another_node", message)
        }
        None => answer_unavailable(outcome),
    };
    error.outcome = outcome;
    error.owner_url = url;
    error
}

/// Returns the error for a request whose key is refused.
fn refusal(reason: Refusal, outcome: Outcome) -> Error {
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let (code, message) = match reason {
        Refusal::Unsettled => (
            "claim_unsettled",
            "the log could not settle the request's key in time",
        ),
        Refusal::Mismatch => ("key_reused", "the key stands for another request"),
        Refusal::Expired => (
            "key_expired",
            "the key is too old to tell whether it has run",
        ),
        Refusal::Future => (
            "key_in_future",
            "the key's date is ahead of this node's clock",
        ),
        Refusal::Unissued => ("ticket_unknown", "this node has not issued the ticket"),
    };
    let mut error = Error::new(status, code, message);
    error.outcome = outcome;
    if reason == Refusal::Unsettled {
        error.retry_after = Some(RETRY_AFTER);
    }
    error
}

fn to_lease(outcome: Outcome) -> lease::Outcome {
    match outcome {
        Outcome::Complete => lease::Outcome::Complete,
        Outcome::NotRun => lease::Outcome::NotRun,
        Outcome::Unknown => lease::Outcome::Unknown,
    }
}

fn from_lease(outcome: lease::Outcome) -> Outcome {
    match outcome {
        lease::Outcome::Complete => Outcome::Complete,
        lease::Outcome::NotRun => Outcome::NotRun,
        lease::Outcome::Unknown => Outcome::Unknown,
    }
}
