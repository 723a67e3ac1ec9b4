//! Errors in the format of chat-completion clients, with the outcome of the request added.

use http::StatusCode;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::Id;
use serde::Serialize;
use std::time::Duration;
use viz::{Body, IntoResponse, Response};

/// Result whose error is an answer to the caller.
pub type Result<T> = std::result::Result<T, Error>;

/// An error answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable identifier of the error, for programs.
    pub code: &'static str,
    /// Description of the error, for people.
    pub message: String,
    /// Name of the invalid field or header.
    pub param: Option<String>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Base URL of the node that owns the request's idempotency key; only that node can answer.
    pub owner_url: Option<String>,
    /// Id of the request, if it is known.
    pub request_id: Option<Id>,
    /// The method that the path supports, if the request used another one.
    pub allowed_method: Option<&'static str>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'a str>,
    code: &'static str,
    outcome: &'static str,
}

impl Error {
    /// Creates the error of a request that was not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            param: None,
            outcome: Outcome::NotRun,
            retry_after: None,
            owner_url: None,
            request_id: None,
            allowed_method: None,
        }
    }

    /// Creates the error for a field or header whose value is invalid or unsupported.
    pub fn invalid_value(param: &str, message: impl Into<String>) -> Self {
        let mut error = Self::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid_value",
            message.into(),
        );
        error.param = Some(param.to_owned());
        error
    }

    /// Creates the error of a request that may have run and is not retried.
    pub fn outcome_unknown() -> Self {
        let message = "the request may have run, in part or in whole, and was not repeated";
        let mut error = Self::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
        error.outcome = Outcome::Unknown;
        error
    }

    /// Creates the error of a request that ended with `outcome` and without a complete answer.
    pub fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_run",
                "the request was not run",
            ),
            Outcome::Complete | Outcome::Unknown => Self::outcome_unknown(),
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the id of the request.
    pub fn with_request_id(mut self, id: Id) -> Self {
        self.request_id = Some(id);
        self
    }

    /// Returns the error as JSON, for a body or for the last event of a stream.
    pub fn json(&self) -> String {
        let detail = Detail {
            message: &self.message,
            r#type: error_type(self.status),
            param: self.param.as_deref(),
            code: self.code,
            outcome: self.outcome.as_str(),
        };
        let envelope = Envelope { error: detail };
        serde_json::to_string(&envelope).unwrap_or_default()
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        let (status, code, message) = match refusal.reason {
            Reason::Limit => (
                StatusCode::TOO_MANY_REQUESTS,
                "team_limit",
                "the team is at its limit",
            ),
            Reason::Overload => (
                StatusCode::SERVICE_UNAVAILABLE,
                "overloaded",
                "the answer can't be given in time",
            ),
            Reason::Deadline => (
                StatusCode::GATEWAY_TIMEOUT,
                "deadline_passed",
                "the deadline passed before the request could start",
            ),
            Reason::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_endpoint",
                "nothing that can serve this is available",
            ),
            Reason::Condemned => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "request_crashes_endpoints",
                "requests like this one crash endpoints and are refused",
            ),
            Reason::Leaving => (
                StatusCode::SERVICE_UNAVAILABLE,
                "node_leaving",
                "this node takes no new work; ask for an address again",
            ),
            Reason::Invalid => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "request_not_sendable",
                "the request is too long for the protocol of the endpoints",
            ),
        };
        let mut error = Self::new(status, code, message);
        error.retry_after = refusal.retry_after;
        error
    }
}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(http_body_util::Full::from(self.json())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        if let Some(id) = self.request_id {
            super::header::insert_request_id(headers, id);
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(super::header::OUTCOME, outcome_value(self.outcome));
        if let Some(method) = self.allowed_method {
            headers.insert(ALLOW, HeaderValue::from_static(method));
        }
        // Client libraries of this API retry on any 5xx status unless this header forbids it. A
        // request that may have run must not be run twice by such a retry.
        if self.outcome == Outcome::Unknown {
            headers.insert(
                super::header::SHOULD_RETRY,
                HeaderValue::from_static("false"),
            );
        }
        if let Some(url) = self.owner_url.and_then(|n| HeaderValue::from_str(&n).ok()) {
            headers.insert(super::header::NODE, url);
        }
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(rounded_up_seconds(after)));
        }
        response
    }
}

/// Returns the outcome as a header value.
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome.as_str())
}

/// Returns the value of `Retry-After`, which has whole seconds. It is rounded up, so that callers
/// do not retry too early, and at least 1.
fn rounded_up_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000).max(1) as u64
}

fn error_type(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
