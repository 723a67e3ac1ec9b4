//! Answers that the node gives by itself.

use crate::body::{self, Body};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Why a node answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No catalog is known yet.
    NoCatalog,
    /// No route has the host and path.
    NoRoute,
    /// No team has the key.
    UnknownKey,
    /// The body is over its bound.
    BodyTooLarge,
    /// The request can't be read.
    Malformed,
    /// This node is about to end.
    Leaving,
    /// No endpoint can take the request now, and it has not run.
    Unavailable,
    /// The request was lost on its way, and may have run.
    OutcomeUnknown,
    /// The time is over, and the request may have run.
    TimedOut,
    /// The time is over, and the request has not run.
    ExpiredNotRun,
}

impl Reason {
    /// Its status. 503 says that the request has not run and will not.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoCatalog | Self::Leaving | Self::Unavailable | Self::ExpiredNotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its words.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoCatalog => "no catalog is known yet",
            Self::NoRoute => "no route has this host and path",
            Self::UnknownKey => "the key is unknown",
            Self::BodyTooLarge => "the body is too large",
            Self::Malformed => "the request can't be read",
            Self::Leaving => "this node is about to end",
            Self::Unavailable => "no endpoint can take the request now",
            Self::OutcomeUnknown => {
                "the connection to the endpoint broke; the request may have run"
            }
            Self::TimedOut => "the time is over; the request may have run",
            Self::ExpiredNotRun => "the time is over; the request has not run",
        }
    }
}

/// A node's own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal with a time to come back.
    pub fn with_retry_after(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The answer.
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
