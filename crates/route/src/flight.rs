//! One request on its way through the router.

use crate::action::Hop;
use crate::choose::locality::Preference;
use crate::queue::Entry;
use crate::request::{Id, Request};
use crate::{Attempt, Now};
use bundle::id::{EndpointId, ZoneId};
use std::time::Duration;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits in its line.
    Waiting,
    /// Waits for the retry budget.
    Parked,
    /// Its latest attempt runs.
    Running,
}

/// A request and its attempts.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request, with the ids of the bundle in force.
    pub request: Request,
    /// Place in the order of arrival.
    pub seq: u64,
    /// When it arrived.
    pub arrived: Now,
    /// Where it stands.
    pub phase: Phase,
    /// Number of its latest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Attempts that count against [`crate::settings::Settings::tries`].
    pub tries: u32,
    /// Tokens it has had over all attempts.
    pub tokens: u32,
    /// Whether a byte that could start the work may have left in any attempt.
    pub sent: bool,
    /// Endpoints that failed it.
    pub avoid: Vec<EndpointId>,
    /// Whether it is urgent under the bundle in force.
    pub urgent: bool,
    /// Whether it can't be continued: its model changed under it.
    pub stranded: bool,
    /// Whether its next start goes on after a pause, not after a failure.
    pub paused: bool,
    /// The endpoint whose probe it waits for, while parked.
    pub waits: Option<EndpointId>,
    /// How it waits in the queue, while it does.
    pub entry: Option<Entry>,
    /// Where its prefix is likely to be cached, with the plan's number that this is for.
    pub preference: Option<(u64, Preference)>,
    /// Since when it waits for a place there.
    pub lingers: Option<Now>,
    /// Its latest attempt, while it runs.
    pub run: Option<Run>,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its hops, with the endpoint ids they were started with.
    pub hops: Vec<Hop>,
    /// By hop: the endpoint's id in the bundle in force.
    pub rows: Vec<Option<EndpointId>>,
    /// Between hops: the zone that is left and the zone that is reached.
    pub pairs: Vec<(ZoneId, ZoneId)>,
    /// By hop: the time for it that the concurrency limits aim at.
    pub allowed: Vec<Duration>,
    /// When it started.
    pub started: Now,
    /// Tokens it made.
    pub made: u32,
    /// Hop that is to do its part next.
    pub hop: usize,
    /// When the last progress came.
    pub since: Now,
    /// Whether its silence has led to a probe.
    pub silent: bool,
    /// Whether a suspect runs alone here.
    pub alone: bool,
}

impl Flight {
    /// A request that arrived.
    pub fn new(request: Request, seq: u64, now: Now, urgent: bool) -> Self {
        Self {
            request,
            seq,
            arrived: now,
            phase: Phase::Waiting,
            attempt: 0,
            tries: 0,
            tokens: 0,
            sent: false,
            avoid: Vec::new(),
            urgent,
            stranded: false,
            paused: false,
            waits: None,
            entry: None,
            preference: None,
            lingers: None,
            run: None,
        }
    }

    /// Id of the request.
    pub fn id(&self) -> Id {
        self.request.id
    }

    /// Whether its latest attempt may be stopped for more urgent work and go on later.
    pub fn yields(&self) -> bool {
        self.phase == Phase::Running && !self.urgent && self.request.repeatable
    }

    /// Whether an attempt runs on `endpoint`.
    pub fn on(&self, endpoint: EndpointId) -> bool {
        self.run
            .as_ref()
            .is_some_and(|r| r.rows.contains(&Some(endpoint)))
    }

    /// The endpoint whose part is due.
    pub fn due(&self) -> Option<EndpointId> {
        let run = self.run.as_ref()?;
        run.rows.get(run.hop).or(run.rows.last()).copied().flatten()
    }
}
