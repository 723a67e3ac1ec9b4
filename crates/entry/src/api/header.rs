//! Headers that are specific to the callers' API, and their validation.

use super::error::{Error, Result};
use bundle::Bundle;
use bundle::id::{PriorityId, TeamId};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use route::request::Id;
use std::time::Duration;

/// Outcome of the request, in every answer whose outcome is known when the head is sent.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-wigeonshelf-outcome");
/// Priority of the request, by its name in the bundle.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-wigeonshelf-priority");
/// Time in milliseconds after which the answer is of no use to the caller.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-wigeonshelf-deadline-ms");
/// `false` for a request that must run at most once.
pub const REPEATABLE: HeaderName = HeaderName::from_static("x-wigeonshelf-repeatable");
/// `true` if the answer must be sent completely or not at all.
pub const WHOLE: HeaderName = HeaderName::from_static("x-wigeonshelf-whole");
/// Id of the request, in every answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Identifies a request, so that a retry gets the answer of the first run.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Base URL of the node that owns the request's idempotency key.
pub const NODE: HeaderName = HeaderName::from_static("x-wigeonshelf-node");
/// Set by a node that forwards a request to another node; ignored if a caller sets it.
pub const HOP: HeaderName = HeaderName::from_static("x-wigeonshelf-hop");
/// Carries the caller's address to services, and from a node that forwards a request to the next.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// Tells client libraries whether to retry the request automatically.
pub const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

/// Headers of a request that a node acts on. Each occurs at most once in a valid request.
pub const REQUEST_HEADERS: [HeaderName; 7] = [
    AUTHORIZATION,
    PRIORITY,
    DEADLINE,
    REPEATABLE,
    WHOLE,
    IDEMPOTENCY_KEY,
    HOP,
];

/// Scheme of the `authorization` header; compared case-insensitively.
const BEARER: &str = "Bearer";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Sets the id of a request in the headers of its answer, as 32 hexadecimal digits.
pub fn insert_request_id(headers: &mut HeaderMap, id: Id) {
    if let Ok(value) = HeaderValue::try_from(format!("{id:032x}")) {
        headers.insert(REQUEST_ID, value);
    }
}

/// The headers of a request, validated against the bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Team of the caller.
    pub team: TeamId,
    /// Priority; the team's default if the request sets none.
    pub priority: PriorityId,
    /// Time limit of the answer, if set.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once, if set.
    pub repeatable: Option<bool>,
    /// Whether the answer must be sent completely or not at all.
    pub whole: bool,
    /// Idempotency key, if set.
    pub idempotency_key: Option<String>,
}

impl Header {
    /// Validates `headers` against `bundle`.
    pub fn check(headers: &HeaderMap, bundle: &Bundle) -> Result<Self> {
        let team = team(headers, bundle)?;
        Ok(Self {
            team,
            priority: priority(headers, bundle, team)?,
            deadline: deadline(headers)?,
            repeatable: flag(headers, &REPEATABLE)?,
            whole: flag(headers, &WHOLE)?.unwrap_or(false),
            idempotency_key: idempotency_key(headers)?,
        })
    }
}

/// Returns the team whose bearer key the request carries.
pub fn team(headers: &HeaderMap, bundle: &Bundle) -> Result<TeamId> {
    let unauthorized =
        |message: &str| Error::new(StatusCode::UNAUTHORIZED, "invalid_api_key", message);
    let value = text(headers, &AUTHORIZATION)
        .map_err(|error| unauthorized(&error.message))?
        .ok_or_else(|| unauthorized("no bearer key was given"))?;
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    if !scheme.eq_ignore_ascii_case(BEARER) {
        return Err(unauthorized("the authorization header is not a bearer key"));
    }
    let digest = bundle::digest::Digest::of(key.trim().as_bytes());
    bundle
        .team_by_key(&digest)
        .ok_or_else(|| unauthorized("no team has this key"))
}

fn priority(headers: &HeaderMap, bundle: &Bundle, team: TeamId) -> Result<PriorityId> {
    let team = &bundle.teams[usize::from(team)];
    let Some(name) = text(headers, &PRIORITY)? else {
        return Ok(team.default_priority);
    };
    let priority = bundle.priority(name).ok_or_else(|| {
        Error::invalid_value(PRIORITY.as_str(), format!("no priority is called {name}"))
    })?;
    if priority < team.highest_priority {
        let message = format!("team {} may not ask for priority {name}", team.name);
        return Err(Error::new(
            StatusCode::FORBIDDEN,
            "priority_not_allowed",
            message,
        ));
    }
    Ok(priority)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(value) = text(headers, &DEADLINE)? else {
        return Ok(None);
    };
    let millis: u64 = value.parse().map_err(|_| {
        Error::invalid_value(
            DEADLINE.as_str(),
            "the deadline is not a number of milliseconds",
        )
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn flag(headers: &HeaderMap, name: &HeaderName) -> Result<Option<bool>> {
    match text(headers, name)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Error::invalid_value(
            name.as_str(),
            "the value is neither true nor false",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(key) = text(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the key is empty or longer than {MAX_KEY_BYTES} bytes");
        return Err(Error::invalid_value(IDEMPOTENCY_KEY.as_str(), message));
    }
    Ok(Some(key.to_owned()))
}

/// Returns the value of a header as text. A repeated header is rejected, because two hops could
/// read different values.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Error::invalid_value(
            name.as_str(),
            "the header is given more than once",
        ));
    }
    let text = value
        .to_str()
        .map_err(|_| Error::invalid_value(name.as_str(), "the value is not plain text"))?;
    Ok(Some(text.trim()))
}
