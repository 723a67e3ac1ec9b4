//! Polls of watched engines over kept connections.
//!
//! Each poll runs as a task of its own and sends what it finds as an input to control. Decisions are
//! made in [`super::liveness`].

use super::input::{Input, InputSender};
use adapter::report::{Answer, Driver, OpenError, Session};
use catalog::Endpoint;
use catalog::endpoint::Run;
use memory::budget::Budget;
use platform::error::Cause;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of a connection, unique within this process.
pub type ConnectionId = u64;

/// An engine that can be polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The run.
    pub run: Run,
    /// The run as text.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Its address.
    pub addr: SocketAddr,
}

impl From<&Endpoint> for Target {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            run: endpoint.run.clone(),
            name: endpoint.run.to_string(),
            service: endpoint.service.clone(),
            addr: endpoint.addr,
        }
    }
}

/// What a poll is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The engine's load, and whether it is alive.
    Load,
    /// Only whether the engine is alive.
    Liveness,
    /// Whether this node reaches the service.
    Witness,
}

/// What a task has found about an engine.
#[derive(Debug)]
pub enum Sign {
    /// It accepted a connection.
    Accepted(ConnectionId),
    /// It answered a poll.
    Answered {
        /// The connection, for the next poll.
        session: Session,
        /// Number of the connection.
        id: ConnectionId,
        /// Time since the poll began, including the time to connect.
        elapsed: Duration,
        /// The answer.
        answer: Answer,
    },
    /// It refused a connection.
    Refused,
    /// A poll failed otherwise; with the connection, if it was given up.
    Failed(Option<ConnectionId>),
    /// A connection to it was closed.
    Closed(ConnectionId),
}

/// A sign of an engine, and the purpose of the poll that found it.
#[derive(Debug)]
pub struct Found {
    /// The engine.
    pub target: Arc<Target>,
    /// What the poll was for.
    pub purpose: Purpose,
    /// What was found.
    pub sign: Sign,
}

/// The kept connection to an engine.
#[derive(Debug)]
struct Line {
    target: Arc<Target>,
    /// The connection in use; `None` if there is none.
    id: Option<ConnectionId>,
    /// The same, while no poll uses it.
    session: Option<Session>,
}

/// The kept connections to the watched engines.
#[derive(Debug)]
pub struct Lines {
    lines: BTreeMap<String, Line>,
    /// Number of the last connection.
    last_id: ConnectionId,
    /// The memory of the reports.
    budget: Budget,
}

impl Lines {
    /// Creates an empty set of connections. Reports take their memory from `budget`.
    pub fn new(budget: Budget) -> Self {
        Self {
            lines: BTreeMap::new(),
            last_id: 0,
            budget,
        }
    }

    /// Closes the connections to engines that are not in `targets`, and enters the new ones.
    pub fn retain(&mut self, targets: Vec<Target>) {
        let mut before = std::mem::take(&mut self.lines);
        for target in targets {
            let known = before.remove(&target.name);
            let line = known.filter(|line| *line.target == target);
            let line = line.unwrap_or_else(|| Line {
                target: Arc::new(target),
                id: None,
                session: None,
            });
            self.lines.insert(line.target.name.clone(), line);
        }
    }

    /// Polls an engine over its kept connection if `kept` is set and no other poll uses it, else over a
    /// new one, which is kept from then on.
    pub fn poll(&mut self, name: &str, kept: bool, load: bool, inputs: &InputSender) {
        let Some(line) = self.lines.get_mut(name) else {
            return;
        };
        let session = line.session.take();
        let connection = match kept {
            true => session.zip(line.id),
            false => {
                // The closing of an unused connection that is replaced is not the engine's.
                line.id = line.id.filter(|_| session.is_none());
                None
            }
        };
        let purpose = match load {
            true => Purpose::Load,
            false => Purpose::Liveness,
        };
        self.last_id += 1;
        let task = Task {
            target: line.target.clone(),
            purpose,
            inputs: inputs.clone(),
            budget: self.budget.clone(),
        };
        tokio::spawn(task.run(connection, self.last_id));
    }

    /// Polls an engine over a connection of its own.
    pub fn find_witness(&mut self, target: Target, inputs: &InputSender) {
        self.last_id += 1;
        let task = Task {
            target: Arc::new(target),
            purpose: Purpose::Witness,
            inputs: inputs.clone(),
            budget: self.budget.clone(),
        };
        tokio::spawn(task.run(None, self.last_id));
    }

    /// Records a new connection to an engine.
    pub fn opened(&mut self, name: &str, id: ConnectionId) {
        if let Some(line) = self.lines.get_mut(name) {
            line.id = Some(id);
            line.session = None;
        }
    }

    /// Returns a connection after its poll. It is closed if there is a newer one.
    pub fn put(&mut self, name: &str, id: ConnectionId, session: Session) {
        if let Some(line) = self.lines.get_mut(name)
            && line.id == Some(id)
        {
            line.session = Some(session);
        }
    }

    /// Records that a connection was closed or given up. Returns whether it was the kept one.
    pub fn closed(&mut self, name: &str, id: ConnectionId) -> bool {
        let line = self.lines.get_mut(name);
        let Some(line) = line.filter(|line| line.id == Some(id)) else {
            return false;
        };
        line.id = None;
        line.session = None;
        true
    }
}

/// One poll.
struct Task {
    target: Arc<Target>,
    purpose: Purpose,
    inputs: InputSender,
    budget: Budget,
}

impl Task {
    /// Polls over `connection`, or over a new one with the number `id`.
    async fn run(self, connection: Option<(Session, ConnectionId)>, id: ConnectionId) {
        let started = Instant::now();
        let new = connection.is_none();
        let (mut session, id) = match connection {
            Some(connection) => connection,
            None => match Session::open(self.target.addr, self.budget.clone()).await {
                Ok((session, driver)) => {
                    self.send(Sign::Accepted(id)).await;
                    self.drive(driver, id);
                    (session, id)
                }
                Err(OpenError::Refused) => return self.send(Sign::Refused).await,
                Err(OpenError::Unreachable) => return self.send(Sign::Failed(None)).await,
            },
        };
        // The first report on a connection says which run has it. A connection doesn't outlive a run.
        let decode = self.purpose == Purpose::Load || new;
        let sign = match session.poll(decode).await {
            Ok(answer) => Sign::Answered {
                session,
                id,
                elapsed: started.elapsed(),
                answer,
            },
            // Sent before the session is dropped, so that its closing isn't taken for the engine's.
            Err(error) if error.cause == Cause::Timeout => {
                return self.send(Sign::Failed(Some(id))).await;
            }
            // The connection broke; its driver reports the closing.
            Err(_) => Sign::Failed(None),
        };
        self.send(sign).await;
    }

    /// Starts a task that does the I/O of a connection and reports its end.
    fn drive(&self, driver: Driver, id: ConnectionId) {
        let (target, purpose, inputs) = (self.target.clone(), self.purpose, self.inputs.clone());
        tokio::spawn(async move {
            driver.run().await;
            let sign = Sign::Closed(id);
            let found = Found {
                target,
                purpose,
                sign,
            };
            // Sending fails only if control has ended.
            let _ = inputs.send(Input::Engine(found)).await;
        });
    }

    async fn send(&self, sign: Sign) {
        let found = Found {
            target: self.target.clone(),
            purpose: self.purpose,
            sign,
        };
        // Sending fails only if control has ended.
        let _ = self.inputs.send(Input::Engine(found)).await;
    }
}
