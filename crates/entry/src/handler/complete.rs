//! Handlers of chat and text completions.

use super::forward::Original;
use super::{Shared, with_request_id};
use crate::account::Account;
use crate::answer::{Answer, Guard, Part};
use crate::api::chunk::Chunk;
use crate::api::error::{Error, Result, outcome_value};
use crate::api::header::{Header, OUTCOME};
use crate::api::params::{Kind, Params};
use crate::api::{chat, completion, models};
use crate::attempt::{Prompt, Work};
use crate::core::{Arrival, Command, End, Reply};
use crate::response::json;
use crate::snapshot::Snapshot;
use crate::{request_body, sse};
use bundle::Bundle;
use bundle::id::{AdapterId, ModelId};
use http::StatusCode;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use route::outcome::Outcome;
use route::request::{Request as Routed, Target};
use std::sync::Arc;
use tokio::sync::mpsc;
use viz::{Body, Request, Response};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Size of the blocks of a prompt that the prefix hashes cover, in bytes.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of blocks that are hashed. Prompts that differ only after them have equal
/// hashes.
const MAX_PREFIX_BLOCKS: usize = 64;

/// Handles `POST /v1/chat/completions`.
pub async fn chat(state: &Shared, req: &mut Request) -> Result<Response> {
    complete(state, req, chat::read).await
}

/// Handles `POST /v1/completions`.
pub async fn text(state: &Shared, req: &mut Request) -> Result<Response> {
    complete(state, req, completion::read).await
}

async fn complete(
    state: &Shared,
    req: &mut Request,
    read: fn(&[u8]) -> Result<Params>,
) -> Result<Response> {
    // The key is checked before the body is read, so that callers without a key use no memory.
    let snapshot = state.snapshot()?;
    let bundle = &snapshot.view.bundle;
    let header = Header::check(req.headers(), bundle)?;
    let original = Original::of(req);
    let body = request_body::read(req, &state.limits).await?;
    let params = read(&body)?;
    let resolved = resolve_model(bundle, &header, &params)?;
    let max_tokens = max_tokens(state, bundle, resolved.model, &params)?;
    let (mut arrival, answer) = prepare(
        state, &snapshot, &header, params, &resolved, max_tokens, &body,
    )?;
    arrival.claim = super::key::claim(&header, bundle, &arrival.request)?;
    let id = arrival.request.id;
    let time_left = arrival
        .request
        .deadline
        .saturating_sub(state.start.elapsed());
    let _ = state.tx.send(Command::Arrive(Box::new(arrival)));
    let result = respond(answer, header.whole).await;
    let response = original.or_forward(state, result, body, time_left).await;
    with_request_id(response, id)
}

/// The model and adapter of a request, found in the bundle.
struct ResolvedModel {
    model: ModelId,
    adapter: Option<(AdapterId, String)>,
}

fn resolve_model(bundle: &Bundle, header: &Header, params: &Params) -> Result<ResolvedModel> {
    let unknown = || {
        let message = format!("no model is called {}", params.model);
        Error::new(StatusCode::NOT_FOUND, "model_not_found", message)
    };
    let (name, adapter) = match params.model.split_once(':') {
        Some((name, adapter)) => (name, Some(adapter)),
        None => (params.model.as_str(), None),
    };
    let model = bundle.model(name).ok_or_else(unknown)?;
    if !models::allowed(bundle, header.team, model) {
        let message = format!("the team may not use model {name}");
        return Err(Error::new(
            StatusCode::FORBIDDEN,
            "model_not_allowed",
            message,
        ));
    }
    let known = &bundle.models[usize::from(model)].adapters;
    let adapter = match adapter {
        None => None,
        Some(adapter) => {
            let at = known.iter().position(|a| a == adapter);
            let id = at.and_then(|i| AdapterId::try_from(i).ok());
            Some((id.ok_or_else(unknown)?, adapter.to_owned()))
        }
    };
    Ok(ResolvedModel { model, adapter })
}

/// Returns the maximum number of tokens to generate; fails if the prompt and the answer exceed the
/// model's context.
fn max_tokens(state: &Shared, bundle: &Bundle, model: ModelId, params: &Params) -> Result<u32> {
    let context = bundle.models[usize::from(model)].context;
    let prompt = params.prompt_tokens();
    let available = context.saturating_sub(prompt);
    let max_tokens = params
        .max_tokens
        .unwrap_or(state.request_limits.default_max_tokens.min(available));
    if max_tokens == 0 || max_tokens > available {
        let message = format!(
            "about {prompt} tokens of prompt and {max_tokens} of answer exceed the context of {context}"
        );
        let mut error = Error::new(StatusCode::BAD_REQUEST, "context_length_exceeded", message);
        error.param = Some(params.kind.prompt_field().to_owned());
        return Err(error);
    }
    Ok(max_tokens)
}

fn prepare(
    state: &Shared,
    snapshot: &Snapshot,
    header: &Header,
    params: Params,
    resolved: &ResolvedModel,
    max_tokens: u32,
    body: &[u8],
) -> Result<(Arrival, Answer)> {
    let bundle = &snapshot.view.bundle;
    let model = &bundle.models[usize::from(resolved.model)];
    let adapter = resolved.adapter.as_ref();
    let request = Routed {
        id: state.new_id(),
        team: header.team,
        target: Target::Model(resolved.model, adapter.map(|(id, _)| *id)),
        priority: header.priority,
        repeatable: header.repeatable.unwrap_or(true),
        deadline: state.deadline(header.deadline),
        prompt_tokens: params.prompt_tokens(),
        max_tokens,
        prefix: prefix_hashes(&params.model, &params.prompt),
        fingerprint: fingerprint(&bundle.teams[usize::from(header.team)].name, "", body),
    };
    let prompt = Prompt {
        model: model.name.clone(),
        version: snapshot.versions[usize::from(resolved.model)].clone(),
        adapter: adapter.map(|(_, name)| name.clone()),
        text: params.prompt.clone(),
        max_tokens,
        seed: params.seed,
        priority_rank: bundle.priorities[usize::from(header.priority)].rank,
    };
    let (reply, replies) = mpsc::unbounded_channel();
    let account = Account::open(&state.limits.memory)?;
    let guard = Guard::new(request.id, state.tx.clone());
    let arrival = Arrival {
        request,
        bundle: bundle.clone(),
        work: Work::Completion(Arc::new(prompt)),
        claim: None,
        account: account.clone(),
        reply,
    };
    let answer = Answer::new(params, guard, replies, account, state.metrics.clone());
    Ok((arrival, answer))
}

/// Returns chained hashes of the prompt's blocks. The hashes of two prompts for the same model are
/// equal up to the first block that differs.
fn prefix_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let blocks = prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS);
    blocks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Hashes a request so that a retry with the same body by the same team has the same fingerprint,
/// even under another bundle. The team's name is used because its id may change with the bundle.
pub fn fingerprint(team: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(team.len() as u64).to_le_bytes());
    hash.update(team.as_bytes());
    hash.update(path.as_bytes());
    hash.update(body);
    hash.digest()
}

/// Answers the caller. A streamed response starts only after the first reply, so that a refusal
/// still gets its own status.
async fn respond(mut answer: Answer, whole: bool) -> Result<Response> {
    if answer.wants_stream() && !whole {
        let first = answer.next_reply().await;
        return match first {
            Reply::Refused(refusal) => Err(refusal.into()),
            Reply::Error(error) => Err(*error),
            Reply::Done(end) if end.outcome != Outcome::Complete => {
                Err(Error::from_outcome(end.outcome))
            }
            first => Ok(stream_response(answer, first)),
        };
    }
    let (text, end) = collect(&mut answer).await?;
    if answer.wants_stream() {
        return Ok(buffered_stream_response(answer, text, end));
    }
    Ok(json_response(&answer, &text, end))
}

/// Collects the complete text. An incomplete answer is an error and is never sent as JSON.
async fn collect(answer: &mut Answer) -> Result<(String, End)> {
    let mut text = String::new();
    loop {
        match answer.next_part().await {
            Part::Text(more) => {
                if !answer.try_hold(&more) {
                    return Err(Error::from_outcome(Outcome::Unknown));
                }
                text.push_str(&more);
            }
            Part::Refused(error) => return Err(error),
            Part::End(rest, end) if end.outcome == Outcome::Complete => {
                text.push_str(&rest);
                return Ok((text, end));
            }
            Part::End(_, end) => return Err(Error::from_outcome(end.outcome)),
        }
    }
}

fn stream_response(answer: Answer, first: Reply) -> Response {
    event_stream(Body::from_stream(sse::body(answer, first)))
}

fn buffered_stream_response(answer: Answer, text: String, end: End) -> Response {
    let mut response = event_stream(Body::from_stream(sse::complete_body(answer, text, end)));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, outcome_value(end.outcome));
    response
}

fn event_stream(body: Body) -> Response {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn json_response(answer: &Answer, text: &str, end: End) -> Response {
    let mut response = match answer.kind() {
        Kind::Chat => json(&chat_answer(answer, text, end)),
        Kind::Text => json(&text_answer(answer, text, end)),
    };
    response
        .headers_mut()
        .insert(OUTCOME, outcome_value(end.outcome));
    response
}

fn chat_answer<'a>(answer: &'a Answer, text: &'a str, end: End) -> chat::Answer<'a> {
    chat::Answer {
        id: answer.id(),
        object: "chat.completion",
        created: answer.created(),
        model: answer.model(),
        choices: [chat::Choice {
            index: 0,
            message: chat::Message {
                role: "assistant",
                content: text,
            },
            finish_reason: answer.finish_reason(end),
        }],
        usage: answer.usage(end),
    }
}

fn text_answer<'a>(
    answer: &'a Answer,
    text: &'a str,
    end: End,
) -> Chunk<'a, completion::Choice<'a>> {
    Chunk {
        id: answer.id(),
        object: "text_completion",
        created: answer.created(),
        model: answer.model(),
        choices: vec![completion::Choice {
            index: 0,
            text,
            finish_reason: Some(answer.finish_reason(end)),
        }],
        usage: Some(answer.usage(end)),
        outcome: None,
    }
}
