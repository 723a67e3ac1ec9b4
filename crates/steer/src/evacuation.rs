//! Evacuation of responses whose chain runs through an endpoint that has ended.
//!
//! All nodes learn of an ended endpoint at about the same time, and together have some hundred
//! responses there. A response is moved if the end is confirmed, or if it is idle by its own gaps
//! ([`gaps::Gaps`]). It either gets other stages in place of the ended ones, or is resumed on a new chain, whichever lets it
//! continue earlier. Both times are estimated behind the prefill and the transfers of the other
//! moving responses ([`queues::Queues`]), which are simulated from the last load reports. Responses
//! that can still meet their pause target go first.
//!
//! [`crate::Selector::evacuate`] makes these decisions for the responses of one node; nodes do not
//! coordinate. Designed for the loss of a few endpoints with 250 responses each over 370 nodes.

pub mod gaps;
pub mod queues;

use crate::budget::Purpose;
use crate::chain::Need;
use crate::target::{Stage, Target};
use catalog::ServiceId;
use std::time::Duration;

/// Number of increments in which the moves of the other nodes are simulated. More increments spread
/// them more evenly and cost one search per ended endpoint each.
pub(crate) const INCREMENTS: u32 = 24;

/// Time from the request to the first event of a new chain without its prefill, in seconds. The
/// median time to the first event is 57 to 87 ms, of which prefill takes about 30 ms.
pub(crate) const NEW_CHAIN_SECS: f64 = 0.04;

/// Factor on the time that a response waits in a queue, relative to the time of its later events, when
/// new stages are selected: the wait is one pause, which makes the response late, whereas slower events
/// do not.
pub(crate) const QUEUE_FACTOR: f64 = 3.0;

/// Time after the notification within which other nodes move their responses. Most of them are idle
/// within 0.2 s, and those that give way follow within a pause target.
pub(crate) const MOVE_TIME: Duration = Duration::from_millis(1000);

/// Minimum time for which a response gives way to others. Shorter ones are within the error of the
/// estimates.
const MIN_DEFERRAL: Duration = Duration::from_millis(10);

/// A response that is idle and whose chain has ended stages.
#[derive(Clone, Debug)]
pub struct Evacuee {
    /// The chain in flight.
    pub target: Target,
    /// Service of the request.
    pub service: ServiceId,
    /// Size of the request.
    pub need: Need,
    /// Number of tokens so far, which new stages prefill.
    pub context: u32,
    /// Time since the last event, or since the request arrived.
    pub idle: Duration,
    /// Longest idle time with which the response is still on time.
    pub pause_target: Option<Duration>,
    /// What a further attempt is for, if the request may be sent again.
    pub retry: Option<Purpose>,
    /// Place among all responses that move, at random from 0 to 1. A response keeps it, since one that
    /// drew another place whenever it is planned would at last draw one before the others.
    pub place: f64,
    /// Whether the response may give way to those that can still meet their target.
    pub may_defer: bool,
}

/// How a response continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The head continues over these stages, which are reserved.
    Replace(Vec<Stage>),
    /// A further attempt is made on a new chain, which is reserved. The retry was taken from the
    /// budget.
    Resume(Target),
    /// The response is planned again after this time.
    Defer(Duration),
    /// Neither is possible.
    Stay,
}

/// A plan, and the estimates that led to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// How the response continues.
    pub plan: Plan,
    /// Estimated time until the next event after a replacement, if one is possible.
    pub replace: Option<Duration>,
    /// Estimated time until the next event after a resumption, if one is possible.
    pub resume: Option<Duration>,
}

/// Position of a response in the order of moves; the smallest moves first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the response is late whatever is done.
    late: bool,
    /// Time left until it is late, or by which it is late.
    time_left: Duration,
}

impl Rank {
    /// Ranks a response that continues `time` from now at the earliest. A response without a target
    /// is ranked as late.
    pub fn new(idle: Duration, target: Option<Duration>, time: Duration) -> Self {
        let expected = idle.saturating_add(time);
        let target = target.unwrap_or_default();
        match target.checked_sub(expected) {
            Some(time_left) => Self {
                late: false,
                time_left,
            },
            None => Self {
                late: true,
                time_left: expected - target,
            },
        }
    }

    /// Returns whether the response is late whatever is done.
    pub fn is_late(&self) -> bool {
        self.late
    }
}

/// Returns for how long a response that is late gives way. `queue` is the time that it would wait
/// behind others, so it loses nothing by being sent up to that much later. One pause target after
/// the event, no response that the event stranded can meet its target any more.
pub fn deferral(
    rank: Rank,
    queue: Duration,
    target: Option<Duration>,
    since_event: Duration,
) -> Option<Duration> {
    let left = target?.saturating_sub(since_event);
    let time = queue.min(left);
    (rank.late && time >= MIN_DEFERRAL).then_some(time)
}

/// Returns whether a resumption continues earlier than a replacement; `None` where an option is not
/// possible. A replacement is preferred at equal times, since it needs no retry.
pub fn prefers_resumption(replace: Option<f64>, resume: Option<f64>) -> bool {
    match (replace, resume) {
        (Some(replace), Some(resume)) => resume < replace,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
