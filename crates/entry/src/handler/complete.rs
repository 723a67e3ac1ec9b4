//! Chat and text completions.

use super::forward::Original;
use super::{Shared, with_id};
use crate::answer::{Answer, Guard, Part};
use crate::api::ask::{Ask, Kind};
use crate::api::chunk::Chunk;
use crate::api::error::{Error, Result, outcome};
use crate::api::header::{Header, OUTCOME};
use crate::api::{chat, completion, models};
use crate::attempt::{Prompt, Work};
use crate::core::{Arrival, Command, End, Reply};
use crate::response::json;
use crate::snapshot::Snapshot;
use crate::{reading, sse};
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

/// Bytes of a prompt per block of the prefix hashes.
const BLOCK: usize = 256;
/// Most blocks that are hashed: longer common prefixes count as equal.
const BLOCKS: usize = 64;

/// `POST /v1/chat/completions`.
pub async fn chat(state: &Shared, req: Request) -> Result<Response> {
    complete(state, req, chat::read).await
}

/// `POST /v1/completions`.
pub async fn text(state: &Shared, req: Request) -> Result<Response> {
    complete(state, req, completion::read).await
}

async fn complete(
    state: &Shared,
    mut req: Request,
    read: fn(&[u8]) -> Result<Ask>,
) -> Result<Response> {
    // The key is checked before the body is read: a stranger costs no memory.
    let snapshot = state.snapshot()?;
    let bundle = &snapshot.view.bundle;
    let header = Header::check(req.headers(), bundle)?;
    let original = Original::of(&req);
    let body = reading::body(&mut req, &state.limits).await?;
    let ask = read(&body)?;
    let target = target(bundle, &header, &ask)?;
    let most = most(state, bundle, target.model, &ask)?;
    let (mut arrival, answer) = arrive(state, &snapshot, &header, ask, &target, most, &body);
    arrival.claim = super::key::claim(&header, bundle, &arrival.request)?;
    let id = arrival.request.id;
    let left = arrival
        .request
        .deadline
        .saturating_sub(state.start.elapsed());
    let _ = state.tx.send(Command::Arrive(arrival));
    let result = respond(answer, header.whole).await;
    let response = original.or_forward(state, result, body, left).await;
    with_id(response, id)
}

/// The model and adapter that a request names.
struct Named {
    model: ModelId,
    adapter: Option<(AdapterId, String)>,
}

fn target(bundle: &Bundle, header: &Header, ask: &Ask) -> Result<Named> {
    let unknown = || {
        let message = format!("no model is called {}", ask.model);
        Error::new(StatusCode::NOT_FOUND, "model_not_found", message)
    };
    let (name, adapter) = match ask.model.split_once(':') {
        Some((name, adapter)) => (name, Some(adapter)),
        None => (ask.model.as_str(), None),
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
    Ok(Named { model, adapter })
}

/// Most tokens to generate, within what the model's context leaves.
fn most(state: &Shared, bundle: &Bundle, model: ModelId, ask: &Ask) -> Result<u32> {
    let context = bundle.models[usize::from(model)].context;
    let prompt = ask.prompt_tokens();
    let room = context.saturating_sub(prompt);
    let most = ask
        .most
        .unwrap_or(state.request_limits.default_max_tokens.min(room));
    if most == 0 || most > room {
        let message = format!(
            "about {prompt} tokens of prompt and {most} of answer exceed the context of {context}"
        );
        let mut error = Error::new(StatusCode::BAD_REQUEST, "context_length_exceeded", message);
        error.param = Some(ask.kind.field().to_owned());
        return Err(error);
    }
    Ok(most)
}

fn arrive(
    state: &Shared,
    snapshot: &Snapshot,
    header: &Header,
    ask: Ask,
    named: &Named,
    most: u32,
    body: &[u8],
) -> (Arrival, Answer) {
    let bundle = &snapshot.view.bundle;
    let model = &bundle.models[usize::from(named.model)];
    let adapter = named.adapter.as_ref();
    let request = Routed {
        id: state.draw_id(),
        team: header.team,
        target: Target::Model(named.model, adapter.map(|(id, _)| *id)),
        priority: header.priority,
        repeatable: header.repeatable.unwrap_or(true),
        deadline: state.deadline(header.deadline),
        prompt_tokens: ask.prompt_tokens(),
        max_tokens: most,
        prefix: prefix(&ask.model, &ask.prompt),
        fingerprint: fingerprint(&bundle.teams[usize::from(header.team)].name, "", body),
    };
    let prompt = Prompt {
        model: model.name.clone(),
        version: snapshot.versions[usize::from(named.model)].clone(),
        adapter: adapter.map(|(_, name)| name.clone()),
        text: ask.prompt.clone(),
        most,
        seed: ask.seed,
        rank: bundle.priorities[usize::from(header.priority)].rank,
    };
    let (reply, replies) = mpsc::unbounded_channel();
    let guard = Guard::new(request.id, state.tx.clone());
    let arrival = Arrival {
        request,
        work: Work::Tokens(Arc::new(prompt)),
        claim: None,
        reply,
    };
    let answer = Answer::new(ask, guard, replies, state.metrics.clone());
    (arrival, answer)
}

/// Chained hashes of the prompt's blocks: equal up to where two prompts for one model differ.
fn prefix(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let blocks = prompt.chunks_exact(BLOCK).take(BLOCKS);
    blocks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Hash that a resend of the same body by the same team shares, also under another bundle: a team's
/// id may change with the bundle, its name does not.
pub fn fingerprint(team: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(team.len() as u64).to_le_bytes());
    hash.update(team.as_bytes());
    hash.update(path.as_bytes());
    hash.update(body);
    hash.digest()
}

/// Waits for the first reply, so that a refusal still has its own status, then answers.
async fn respond(mut answer: Answer, whole: bool) -> Result<Response> {
    if answer.wants_stream() && !whole {
        let first = answer.reply().await;
        return match first {
            Reply::Refused(refusal) => Err(refusal.into()),
            Reply::Error(error) => Err(*error),
            Reply::Done(end) if end.outcome != Outcome::Complete => {
                Err(Error::from_outcome(end.outcome))
            }
            first => Ok(stream(answer, first)),
        };
    }
    let (text, end) = collect(&mut answer).await?;
    if answer.wants_stream() {
        return Ok(stream_whole(answer, text, end));
    }
    Ok(unstreamed(&answer, &text, end))
}

/// The whole text, or an error: a part of an answer is never given as JSON.
async fn collect(answer: &mut Answer) -> Result<(String, End)> {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Part::Text(more) => text.push_str(&more),
            Part::Refused(error) => return Err(error),
            Part::End(rest, end) if end.outcome == Outcome::Complete => {
                text.push_str(&rest);
                return Ok((text, end));
            }
            Part::End(_, end) => return Err(Error::from_outcome(end.outcome)),
        }
    }
}

fn stream(answer: Answer, first: Reply) -> Response {
    event_stream(Body::from_stream(sse::body(answer, first)))
}

fn stream_whole(answer: Answer, text: String, end: End) -> Response {
    let mut response = event_stream(Body::from_stream(sse::whole(answer, text, end)));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, outcome(end.outcome));
    response
}

fn event_stream(body: Body) -> Response {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn unstreamed(answer: &Answer, text: &str, end: End) -> Response {
    let mut response = match answer.kind() {
        Kind::Chat => json(&chat_answer(answer, text, end)),
        Kind::Text => json(&text_answer(answer, text, end)),
    };
    response.headers_mut().insert(OUTCOME, outcome(end.outcome));
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
