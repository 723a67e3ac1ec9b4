//! Load generation by concurrent callers, each of which sends its requests in sequence.

use crate::caller::{Caller, ChatRequest};
use crate::expect;
use crate::plan::{DUTY, KITCHENS, Plan};
use crate::tally::Tally;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Parameters of the generated load.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Maximum number of requests of each caller; `time` may end the run earlier.
    pub requests: usize,
    /// Time after which no caller starts another request.
    pub time: Duration,
    /// Maximum number of completion tokens of a request.
    pub tokens: u32,
    /// Interval of urgent requests: every `urgent`-th request is urgent, none if 0.
    pub urgent: usize,
}

/// Addresses that callers send to. May be changed during a run.
pub type Targets = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the callers and returns the sum of their tallies. A request without an answer is counted as
/// lost; the caller's next request goes to the next address.
pub async fn run(plan: &Plan, traffic: &Traffic, targets: Targets) -> Tally {
    let end = Instant::now() + traffic.time;
    let mut running = JoinSet::new();
    for number in 0..traffic.callers {
        let session = Session {
            plan: plan.clone(),
            traffic: traffic.clone(),
            targets: targets.clone(),
            number,
            end,
        };
        running.spawn(session.run());
    }
    let mut all = Tally::default();
    while let Some(tally) = running.join_next().await {
        if let Ok(tally) = tally {
            all.add(&tally);
        }
    }
    all
}

/// A caller that sends its requests in sequence.
struct Session {
    plan: Plan,
    traffic: Traffic,
    targets: Targets,
    number: usize,
    end: Instant,
}

impl Session {
    async fn run(self) -> Tally {
        let caller = Caller::new();
        let mut tally = Tally::default();
        for request in 0..self.traffic.requests {
            if Instant::now() >= self.end {
                break;
            }
            let chat = self.request(request);
            let Some(addr) = self.target(request) else {
                break;
            };
            match caller.chat(addr, &chat).await {
                Ok(answer) => tally.record(&answer, &expect::text(&self.plan, &chat)),
                Err(_) => tally.record_lost(),
            }
        }
        tally
    }

    /// Builds the request with this index.
    fn request(&self, index: usize) -> ChatRequest {
        let Traffic { urgent, tokens, .. } = self.traffic;
        let mut chat = ChatRequest::new(format!("caller {} asks {index}", self.number));
        chat.max_tokens = tokens;
        chat.stream = !(self.number + index + 1).is_multiple_of(4);
        chat.team = KITCHENS;
        if urgent > 0 && (self.number + index).is_multiple_of(urgent) {
            chat.team = DUTY;
            return chat.header("x-wigeonshelf-priority", "alarm");
        }
        chat
    }

    /// Returns the address for the request with this index, or `None` if there are no addresses.
    fn target(&self, request: usize) -> Option<SocketAddr> {
        let targets = self.targets.lock().unwrap_or_else(|e| e.into_inner());
        let at = (self.number + request) % targets.len().max(1);
        targets.get(at).copied()
    }
}
