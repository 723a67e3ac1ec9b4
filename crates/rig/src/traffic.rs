//! Callers that send one request after another.

use crate::caller::{Ask, Caller};
use crate::expect;
use crate::plan::{DUTY, KITCHENS, Plan};
use crate::tally::Tally;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How callers behave.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Callers at once.
    pub callers: usize,
    /// Requests that each sends, unless the time is over before.
    pub requests: usize,
    /// Longest time.
    pub time: Duration,
    /// Most tokens of a request.
    pub tokens: u32,
    /// One request in so many is urgent; 0 for none.
    pub urgent: usize,
}

/// Addresses that callers use, changed while they run.
pub type Targets = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the callers. A caller whose node gives no answer goes on with the next address.
pub async fn run(plan: &Plan, traffic: &Traffic, targets: Targets) -> Tally {
    let end = Instant::now() + traffic.time;
    let mut running = JoinSet::new();
    for number in 0..traffic.callers {
        let one = One {
            plan: plan.clone(),
            traffic: traffic.clone(),
            targets: targets.clone(),
            number,
            end,
        };
        running.spawn(one.run());
    }
    let mut all = Tally::default();
    while let Some(tally) = running.join_next().await {
        if let Ok(tally) = tally {
            all.add(&tally);
        }
    }
    all
}

/// One caller.
struct One {
    plan: Plan,
    traffic: Traffic,
    targets: Targets,
    number: usize,
    end: Instant,
}

impl One {
    async fn run(self) -> Tally {
        let caller = Caller::new();
        let mut tally = Tally::default();
        for request in 0..self.traffic.requests {
            if Instant::now() >= self.end {
                break;
            }
            let ask = self.ask(request);
            let Some(addr) = self.target(request) else {
                break;
            };
            match caller.chat(addr, &ask).await {
                Ok(answer) => tally.take(&answer, &expect::text(&self.plan, &ask)),
                Err(_) => tally.lost(),
            }
        }
        tally
    }

    fn ask(&self, request: usize) -> Ask {
        let Traffic { urgent, tokens, .. } = self.traffic;
        let mut ask = Ask::of(format!("caller {} asks {request}", self.number));
        ask.most = tokens;
        ask.stream = !(self.number + request + 1).is_multiple_of(4);
        ask.team = KITCHENS;
        if urgent > 0 && (self.number + request).is_multiple_of(urgent) {
            ask.team = DUTY;
            return ask.header("x-wigeonshelf-priority", "alarm");
        }
        ask
    }

    fn target(&self, request: usize) -> Option<SocketAddr> {
        let targets = self.targets.lock().unwrap_or_else(|e| e.into_inner());
        let at = (self.number + request) % targets.len().max(1);
        targets.get(at).copied()
    }
}
