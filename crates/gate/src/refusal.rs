//! Error responses that the node generates itself.

use crate::body::{self, Body};
use crate::dialect::Dialect;
use crate::execution;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Why the node refuses a request or fails it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The node has no catalog yet.
    NoCatalog,
    /// No route matches the host and path.
    NoRoute,
    /// No team has the key.
    UnknownKey,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request is malformed.
    Malformed,
    /// This node is shutting down.
    Leaving,
    /// No endpoint can take the request now, and it was not executed.
    Unavailable,
    /// Requests with this content crash endpoints, and it was not executed.
    Crashing,
    /// The attempt failed, and the request may have been executed.
    OutcomeUnknown,
    /// The deadline passed, and the request may have been executed.
    TimedOut,
    /// The deadline passed, and the request was not executed.
    ExpiredNotRun,
    /// The node has no memory for the request now, and it was not executed.
    Overloaded,
    /// The body did not arrive in time, and the request was not executed.
    SlowBody,
}

impl Reason {
    /// Returns the HTTP status. 503 guarantees that the request was not and will not be executed.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoCatalog
            | Self::Leaving
            | Self::Unavailable
            | Self::Crashing
            | Self::ExpiredNotRun
            | Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the name of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::Malformed => "malformed",
            Self::Leaving => "leaving",
            Self::Unavailable => "unavailable",
            Self::Crashing => "crashing",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
            Self::ExpiredNotRun => "expired",
            Self::Overloaded => "overloaded",
            Self::SlowBody => "slow_body",
        }
    }

    /// Returns whether requests are refused for it because of how they arrive, of which a crowd of callers
    /// makes many.
    pub fn is_of_arrival(self) -> bool {
        matches!(self, Self::BodyTooLarge | Self::Overloaded | Self::SlowBody)
    }

    /// Returns the error message in the response body.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoCatalog => "no catalog is known yet",
            Self::NoRoute => "no route has this host and path",
            Self::UnknownKey => "the key is unknown",
            Self::BodyTooLarge => "the body is too large",
            Self::Malformed => "the request can't be read",
            Self::Leaving => "this node is about to end",
            Self::Unavailable => "no endpoint can take the request now",
            Self::Crashing => "endpoints crashed under this request",
            Self::OutcomeUnknown => {
                "the connection to the endpoint broke; the request may have run"
            }
            Self::TimedOut => "the time is over; the request may have run",
            Self::ExpiredNotRun => "the time is over; the request has not run",
            Self::Overloaded => "this node has no memory for the request now; it has not run",
            Self::SlowBody => "the body did not arrive in time; the request has not run",
        }
    }
}

/// An error response of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub reason: Reason,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal with `Retry-After`.
    pub fn with_retry_after(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the HTTP response to the request `id`. If another node relays the request, the headers
    /// state that it was not executed, since that node does not believe a status alone.
    pub fn response_to<D: Dialect, S>(
        self,
        dialect: &D,
        id: Option<&str>,
        relayed: bool,
    ) -> Response<Body<S>> {
        let mut response = self.response();
        if relayed && execution::promises(response.status()) {
            dialect.add_statement(response.headers_mut(), id);
        }
        response
    }

    /// Returns the HTTP response.
    pub fn response<S>(self) -> Response<Body<S>> {
        let body = serde_json::json!({ "error": self.reason.message() }).to_string();
        let mut response = Response::new(body::full(body));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let seconds = self.retry_after.map(|a| format!("{:.3}", a.as_secs_f64()));
        if let Some(value) = seconds.and_then(|a| HeaderValue::try_from(a).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
