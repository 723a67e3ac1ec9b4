//! What is known about the executions of one request: whether it may be sent to an endpoint or a node,
//! and whether a refusal may promise that it was not executed.
//!
//! A request is sent by a [`Permit`] of its [`Ledger`]. The permit holds the body, and is the only source of
//! it, so a request whose body was dropped can't be sent. Once it begins to be sent, it counts as one that
//! may be executed, until a [`Disproof`] shows that it was not. Nothing else ends that doubt, so a path
//! that forgets to report an outcome only makes refusals more cautious. Nothing here does I/O.

use crate::dialect::ResponseInfo;
use crate::kept;
use crate::pool;
use crate::refusal::{Reason, Refusal};
use catalog::kind::Kind;
use http::StatusCode;
use memory::content::{Content, ContentBody};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It may have been executed, and runs at most once.
    MayHaveRun,
    /// The attempts of its route are used up.
    AttemptsUsed,
    /// Its caller was promised that it is not executed.
    Refused,
    /// Its body was dropped.
    BodyDropped,
}

impl From<kept::Dropped> for Denial {
    fn from(_: kept::Dropped) -> Self {
        Self::BodyDropped
    }
}

/// Result of asking for a permit.
pub type Result<T> = std::result::Result<T, Denial>;

#[derive(Debug)]
struct State {
    body: Rc<kept::Body>,
    /// Permits that are neither used nor dropped.
    permits: Cell<u32>,
    /// Attempts that may have been executed, or may still be.
    possible_runs: Cell<u32>,
    /// Whether the caller was promised that the request is not executed.
    refused: Cell<bool>,
}

/// What is known about the executions of one request. Clones share it.
#[derive(Clone, Debug)]
pub struct Ledger {
    repeatable: bool,
    max_attempts: u32,
    state: Rc<State>,
}

impl Ledger {
    /// Creates the ledger of a request with this body that was not sent yet.
    pub fn new(kind: Kind, max_attempts: u32, body: Rc<kept::Body>) -> Self {
        Self {
            repeatable: kind.repeatable(),
            max_attempts,
            state: Rc::new(State {
                body,
                permits: Cell::new(0),
                possible_runs: Cell::new(0),
                refused: Cell::new(false),
            }),
        }
    }

    /// Returns the permission to send the request once.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent.
    pub fn permit(&self) -> Result<Permit> {
        let state = &self.state;
        let in_doubt = state.permits.get() + state.possible_runs.get();
        match in_doubt {
            _ if state.refused.get() => return Err(Denial::Refused),
            0 => {}
            _ if !self.repeatable => return Err(Denial::MayHaveRun),
            _ if in_doubt >= self.max_attempts => return Err(Denial::AttemptsUsed),
            _ => {}
        }
        Ok(Permit::new(state.clone())?)
    }

    /// Returns the number of attempts that may have been executed, or may still be.
    pub fn possible_runs(&self) -> u32 {
        self.state.possible_runs.get()
    }

    /// Returns whether the caller may be promised that the request was not executed and will not be.
    /// After that there are no more permits.
    pub fn promise(&self) -> bool {
        let state = &self.state;
        let not_run = state.permits.get() + state.possible_runs.get() == 0;
        state.refused.set(state.refused.get() || not_run);
        not_run
    }

    /// Returns the refusal that is true: `promise` if [`Self::promise`] allows it, or else one for the
    /// reason `otherwise`.
    pub fn refuse(&self, promise: Refusal, otherwise: Reason) -> Refusal {
        match self.promise() {
            true => promise,
            false => Refusal::new(otherwise),
        }
    }
}

/// Permission to send a request once, with its body. Dropping it returns it.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    state: Rc<State>,
    body: Content,
}

impl Permit {
    fn new(state: Rc<State>) -> kept::Result<Self> {
        let body = state.body.get()?;
        state.permits.set(state.permits.get() + 1);
        Ok(Self { state, body })
    }

    /// Uses the permission: from now on the request may be executed. Returns the body to be sent.
    pub fn begin(mut self) -> (Attempt, ContentBody) {
        let runs = &self.state.possible_runs;
        runs.set(runs.get() + 1);
        let attempt = Attempt {
            state: self.state.clone(),
        };
        (attempt, std::mem::take(&mut self.body).into_body())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.state.permits.set(self.state.permits.get() - 1);
    }
}

/// An attempt that may have been executed, or may still be. Dropping it leaves that open.
#[derive(Debug)]
pub struct Attempt {
    state: Rc<State>,
}

impl Attempt {
    /// Returns the permission to send again, since the attempt was not executed and will not be.
    ///
    /// # Errors
    ///
    /// Returns [`kept::Dropped`] if the body was dropped meanwhile.
    pub fn disprove(self, _: Disproof) -> kept::Result<Permit> {
        let runs = &self.state.possible_runs;
        runs.set(runs.get() - 1);
        Permit::new(self.state)
    }
}

/// Returns whether a status promises the caller that the request was not executed and never will be
/// (source: the users' protocol).
pub fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Evidence that an attempt was not executed and will not be.
#[derive(Debug, PartialEq, Eq)]
pub struct Disproof(());

impl Disproof {
    /// Returns the evidence in the failure of a connection; `None` if the request may have been sent.
    pub fn of_failure(error: pool::Error) -> Option<Self> {
        (!error.may_have_run()).then_some(Self(()))
    }

    /// Returns the evidence in the head of a response to the request `id`; `None` if the head states
    /// nothing. The response must come from a connection that was handed out for this sending
    /// ([`pool::Pool::get`]) and so carries the request for the first time: on another one, the head may be a
    /// copy of the response to an earlier sending.
    ///
    /// # Errors
    ///
    /// Returns a [`Doubt`] if the head states that the request was not executed, but does not prove it.
    pub fn of_response(
        status: StatusCode,
        info: &ResponseInfo,
        id: Option<&str>,
    ) -> std::result::Result<Option<Self>, Doubt> {
        if !info.not_run && status != StatusCode::MISDIRECTED_REQUEST {
            return Ok(None);
        }
        if info.request_id.as_deref() != id {
            return Err(Doubt::Origin);
        }
        match info.sealed {
            true => Err(Doubt::Seal),
            false => Ok(Some(Self(()))),
        }
    }
}

/// Why a statement that a request was not executed proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It lacks the request's id, so it may belong to an earlier request on the connection.
    Origin,
    /// It has a seal, which only a response to an executed request has.
    Seal,
}

impl Doubt {
    /// Returns the text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Origin => "response states that it was not run, without the request's id",
            Self::Seal => "response states that it was not run, with a seal",
        }
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
