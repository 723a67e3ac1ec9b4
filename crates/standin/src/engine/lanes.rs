//! Limits how many steps an engine computes concurrently, and simulates their compute time.
//!
//! Timers fire up to a millisecond late. Each lane therefore tracks the instant at which it becomes
//! free by calculation, not by timer, so that a busy engine's throughput is exactly lanes / cost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// Compute lanes shared by the requests of an engine; each lane computes one step at a time.
#[derive(Debug)]
pub(super) struct Lanes {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Instants at which the free lanes became free, earliest first.
    free: BinaryHeap<Reverse<Instant>>,
    /// Waiting steps, by rank and then arrival.
    waiting: BTreeMap<(u32, u64), oneshot::Sender<Lane>>,
    arrivals: u64,
}

/// A lane in use; dropping it returns it to the free lanes.
#[derive(Debug)]
struct Lane {
    lanes: Arc<Lanes>,
    until: Instant,
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.lanes.lock().free.push(Reverse(self.until));
        self.lanes.dispatch();
    }
}

impl Lanes {
    pub(super) fn new(count: usize) -> Arc<Self> {
        let now = Instant::now();
        let free = std::iter::repeat_n(Reverse(now), count).collect();
        let state = State {
            free,
            waiting: BTreeMap::new(),
            arrivals: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Number of steps that wait for a lane.
    pub(super) fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Waits for a lane and occupies it for `cost`. Lower `rank` goes first, then earlier arrival.
    pub(super) async fn run(self: &Arc<Self>, rank: u32, cost: Duration) {
        let arrived = Instant::now();
        let (grant, granted) = oneshot::channel();
        {
            let mut state = self.lock();
            state.arrivals += 1;
            let key = (rank, state.arrivals);
            state.waiting.insert(key, grant);
        }
        self.dispatch();
        let Ok(mut lane) = granted.await else {
            return;
        };
        lane.until = lane.until.max(arrived) + cost;
        sleep_until(lane.until).await;
    }

    /// Assigns free lanes to waiting steps. If a step was cancelled, its lane is dropped, which
    /// dispatches again.
    fn dispatch(self: &Arc<Self>) {
        while let Some((grant, until)) = self.next() {
            let _ = grant.send(Lane {
                lanes: self.clone(),
                until,
            });
        }
    }

    /// Takes the next waiting step and a free lane, if there are both.
    fn next(&self) -> Option<(oneshot::Sender<Lane>, Instant)> {
        let mut state = self.lock();
        state.waiting.retain(|_, grant| !grant.is_closed());
        if state.waiting.is_empty() {
            return None;
        }
        let Reverse(until) = state.free.pop()?;
        state.waiting.pop_first().map(|(_, grant)| (grant, until))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
