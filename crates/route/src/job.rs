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
pub struct Job {
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
    pub failed_attempts: u32,
    /// Tokens it has had over all attempts.
    pub tokens: u32,
    /// Whether a byte that could start the work may have left in any attempt.
    pub sent: bool,
    /// Endpoints that failed it.
    pub avoid: Vec<EndpointId>,
    /// Whether it is urgent under the bundle in force.
    pub urgent: bool,
    /// Whether it can't be continued: its model changed under it.
    pub not_resumable: bool,
    /// Whether its next start goes on after a pause, not after a failure.
    pub paused: bool,
    /// The endpoint whose probe it waits for, while parked.
    pub awaited_probe: Option<EndpointId>,
    /// How it waits in the queue, while it does.
    pub queue_entry: Option<Entry>,
    /// Where its prefix is likely to be cached, with the plan's number that this is for.
    pub preference: Option<(u64, Preference)>,
    /// Since when it waits for a place there.
    pub cache_wait_since: Option<Now>,
    /// Its latest attempt, while it runs.
    pub run: Option<Run>,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its hops, with the endpoint ids they were started with.
    pub hops: Vec<Hop>,
    /// By hop: the endpoint's id in the bundle in force.
    pub endpoints: Vec<Option<EndpointId>>,
    /// Between hops: the zone that is left and the zone that is reached.
    pub zone_pairs: Vec<(ZoneId, ZoneId)>,
    /// By hop: the time for it that the concurrency limits aim at.
    pub target_times: Vec<Duration>,
    /// When it started.
    pub started: Now,
    /// Tokens it made.
    pub tokens: u32,
    /// Hop that is to do its part next.
    pub next_hop: usize,
    /// When the last progress came.
    pub last_progress: Now,
    /// Whether its silence has led to a probe.
    pub silent: bool,
    /// Whether a suspect runs alone here.
    pub isolated: bool,
}

impl Job {
    /// A request that arrived.
    pub fn new(request: Request, seq: u64, now: Now, urgent: bool) -> Self {
        Self {
            request,
            seq,
            arrived: now,
            phase: Phase::Waiting,
            attempt: 0,
            failed_attempts: 0,
            tokens: 0,
            sent: false,
            avoid: Vec::new(),
            urgent,
            not_resumable: false,
            paused: false,
            awaited_probe: None,
            queue_entry: None,
            preference: None,
            cache_wait_since: None,
            run: None,
        }
    }

    /// Id of the request.
    pub fn id(&self) -> Id {
        self.request.id
    }

    /// Whether its latest attempt may be stopped for more urgent work and go on later.
    pub fn is_preemptible(&self) -> bool {
        self.phase == Phase::Running && !self.urgent && self.request.repeatable
    }

    /// Whether an attempt runs on `endpoint`.
    pub fn runs_on(&self, endpoint: EndpointId) -> bool {
        self.run
            .as_ref()
            .is_some_and(|r| r.endpoints.contains(&Some(endpoint)))
    }

    /// The endpoint whose part is due.
    pub fn current_endpoint(&self) -> Option<EndpointId> {
        let run = self.run.as_ref()?;
        run.endpoints
            .get(run.next_hop)
            .or(run.endpoints.last())
            .copied()
            .flatten()
    }
}
