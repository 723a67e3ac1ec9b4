//! Callers of a run.

use crate::standin::requester::{self, Attempt, End};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of attempts for a thing.
const MAX_ATTEMPTS: usize = 3;
/// Range of the pause between two things, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..60;

/// Something that a caller wants done once: the ids of its attempts, and how they ended.
#[derive(Clone, Debug, Default)]
pub struct Thing {
    pub attempts: Vec<(String, SocketAddr, End)>,
}

/// What the callers observed.
pub type Things = Arc<Mutex<Vec<Thing>>>;

/// Has one thing after the other done, each within `time_limit`, until `stop` is cancelled. Connections are kept for first attempts;
/// later ones are on new connections.
pub async fn run(
    seed: u64,
    number: u64,
    time_limit: Duration,
    nodes: Vec<SocketAddr>,
    things: Things,
    stop: CancellationToken,
) {
    let mut rng = StdRng::seed_from_u64((seed << 16) + number);
    let prefix = format!("s{seed}-{}-{number}", std::process::id());
    let mut kept: BTreeMap<SocketAddr, Option<TcpStream>> = BTreeMap::new();
    for count in 0.. {
        if stop.is_cancelled() {
            return;
        }
        let mut thing = Thing::default();
        let deadline = Instant::now() + time_limit;
        let mut node = nodes[rng.random_range(0..nodes.len())];
        while thing.attempts.len() < MAX_ATTEMPTS {
            let id = format!("{prefix}-{count}-{}", thing.attempts.len());
            let attempt = Attempt {
                id: &id,
                path: "/once/x",
                deadline,
            };
            let mut fresh = None;
            let slot = match thing.attempts.is_empty() {
                true => kept.entry(node).or_default(),
                false => &mut fresh,
            };
            let end = requester::send(slot, node, &attempt).await;
            thing.attempts.push((id.clone(), node, end));
            let left = deadline.saturating_duration_since(Instant::now());
            if !end.permits_return() || left.is_zero() {
                break;
            }
            if let End::Response { retry_after, .. } = end {
                tokio::time::sleep(retry_after.unwrap_or_default().min(left / 3)).await;
            }
            let failed = node;
            while nodes.len() > 1 && node == failed {
                node = nodes[rng.random_range(0..nodes.len())];
            }
        }
        things.lock().unwrap().push(thing);
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}
