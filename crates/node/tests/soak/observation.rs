//! What callers observed.

use crate::standin::caller::{Answer, Call, Connection};
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time for which callers say that they wait.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Time after which callers stop waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response.
    Response {
        status: StatusCode,
        /// Whether its body was received to the end.
        complete: bool,
        /// Error message of the node.
        error: Option<String>,
    },
    /// The connection was closed without a response.
    NoResponse,
    /// The caller stopped waiting.
    GivenUp,
}

impl Outcome {
    /// Returns whether the connection ended without a response, or within a successful one.
    pub fn is_cut(&self) -> bool {
        match self {
            Self::Response {
                status, complete, ..
            } => !complete && status.is_success(),
            Self::NoResponse => true,
            Self::GivenUp => false,
        }
    }

    /// Returns whether it is cut, or the node states that the connection to an endpoint broke.
    pub fn is_broken(&self) -> bool {
        match self {
            Self::Response { status, .. } if *status == StatusCode::BAD_GATEWAY => true,
            _ => self.is_cut(),
        }
    }
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Node that it was sent to.
    pub node: SocketAddr,
    pub at: Instant,
    pub at_most_once: bool,
    /// When and how it ended.
    pub end: Option<(Instant, Outcome)>,
}

/// Everything that the callers of a run observed.
#[derive(Default)]
pub struct Observations {
    /// Requests by their ids.
    pub requests: BTreeMap<String, Sent>,
    /// Status of each at-most-once request, by its id.
    pub at_most_once: BTreeMap<String, StatusCode>,
    /// Number of complete responses with status 200.
    pub answered: usize,
    pub violations: Vec<String>,
}

/// Sends a request on a new connection, or on a kept one.
pub async fn send(
    observed: &Mutex<Observations>,
    node: SocketAddr,
    kept: Option<&mut Option<Connection>>,
    path: &str,
    id: &str,
) -> Option<Answer> {
    let call = Call {
        method: "POST",
        path,
        id,
        key: "k1",
        deadline: &DEADLINE.as_millis().to_string(),
    };
    let mut fresh = None;
    let slot = kept.unwrap_or(&mut fresh);
    if let Some(connection) = slot
        && !connection.is_open().await
    {
        *slot = None;
    }
    if slot.is_none() {
        *slot = tokio::time::timeout(CALL_TIMEOUT, Connection::open(node))
            .await
            .ok()?;
    }
    let connection = slot.as_mut()?;
    let sent = Sent {
        node,
        at: Instant::now(),
        at_most_once: path.starts_with("/once/"),
        end: None,
    };
    observed
        .lock()
        .unwrap()
        .requests
        .insert(id.to_owned(), sent);
    let got = tokio::time::timeout(CALL_TIMEOUT, connection.send(&call)).await;
    let outcome = match &got {
        Ok(Some(answer)) => Outcome::Response {
            status: answer.status,
            complete: answer.complete,
            error: error(answer),
        },
        Ok(None) => Outcome::NoResponse,
        Err(_) => Outcome::GivenUp,
    };
    if !matches!(outcome, Outcome::Response { complete: true, .. }) {
        *slot = None;
    }
    if let Some(sent) = observed.lock().unwrap().requests.get_mut(id) {
        sent.end = Some((Instant::now(), outcome));
    }
    got.ok().flatten()
}

/// Returns the message of a response that the node generated itself.
fn error(answer: &Answer) -> Option<String> {
    let body: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
    Some(body.get("error")?.as_str()?.to_owned())
}
