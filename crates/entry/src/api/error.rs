//! Errors in the shape that chat-completion clients read, with the outcome added.

use http::StatusCode;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::Id;
use serde::Serialize;
use std::time::Duration;
use viz::{Body, IntoResponse, Response};

/// Result of a handler's step.
pub type Result<T> = std::result::Result<T, Error>;

/// An answer other than the one asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable word for programs.
    pub code: &'static str,
    /// Sentence for people.
    pub message: String,
    /// The field or header at fault.
    pub param: Option<String>,
    /// What became of the request.
    pub outcome: Outcome,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Base URL of the node that has the request's key; it alone can answer.
    pub owner_url: Option<String>,
    /// Id of the request, once it has one.
    pub request_id: Option<Id>,
    /// The method that the path takes, for a request with another one.
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
    /// An error for a request that was not run.
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

    /// A value that was understood but can't be served.
    pub fn invalid_value(param: &str, message: impl Into<String>) -> Self {
        let mut error = Self::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid_value",
            message.into(),
        );
        error.param = Some(param.to_owned());
        error
    }

    /// A request that may have run and won't be repeated.
    pub fn outcome_unknown() -> Self {
        let message = "the request may have run, in part or in whole, and was not repeated";
        let mut error = Self::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
        error.outcome = Outcome::Unknown;
        error
    }

    /// The error for a request that ended with `outcome` without a whole answer.
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

    /// The same error with a time to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same error, of the request with this id.
    pub fn with_request_id(mut self, id: Id) -> Self {
        self.request_id = Some(id);
        self
    }

    /// Its JSON text, as a body or as a stream's last event.
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
        // Clients of this API repeat a request on any 5xx by themselves; this header stops them.
        // A request that may have run must not be doubled by its own client's library.
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

/// The outcome as a header's value.
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome.as_str())
}

/// `Retry-After` has whole seconds; rounded up, so that nobody comes back too early.
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
