//! Callers of a soak run that don't behave, in series with all other faults.

use crate::crowd_caller::{Crowd, Reading, get, in_chunks, short_head, with_length};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Largest body that the stand-in's manifest allows, in bytes.
const BODY_BYTES: usize = 64 << 10;
/// Number of kinds of crowds.
const KINDS: u32 = 7;
/// Difference between the seeds of a run and of its crowds.
const SEED_OFFSET: u64 = 1 << 32;

/// Sends crowds of changing kinds to changing nodes until `end` is set. Two of them overlap.
pub async fn run(seed: u64, nodes: Vec<SocketAddr>, end: Arc<Mutex<bool>>) {
    let mut rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    let mut earlier = None;
    while !*end.lock().unwrap() {
        let to = nodes[rng.random_range(0..nodes.len())];
        let count = rng.random_range(5..60);
        let crowd = gather(rng.random_range(0..KINDS), to, count);
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..1200))).await;
        // Dropping the crowd before closes its connections.
        earlier.replace(crowd);
    }
}

fn gather(kind: u32, to: SocketAddr, count: usize) -> Crowd {
    let all = Reading::All;
    match kind {
        0 => Crowd::gather(to, count, all, |id| {
            with_length("/once/x", id, BODY_BYTES, BODY_BYTES - 1)
        }),
        1 => Crowd::gather(to, count, all, |id| {
            in_chunks("/chat/x", id, BODY_BYTES - 1, 1, false)
        }),
        2 => Crowd::gather(to, count, Reading::Nothing, |id| {
            in_chunks("/once/x", id, 2 * BODY_BYTES, 4 << 10, false)
        }),
        3 => Crowd::gather(to, count, all, |id| {
            with_length("/once/x", id, 100 * BODY_BYTES, 2 * BODY_BYTES)
        }),
        4 => Crowd::gather(to, count, all, |id| short_head("/chat/x", id, 15_000)),
        5 => Crowd::gather(to, 5 * count, all, |_| Vec::new()),
        _ => Crowd::gather(to, count, Reading::Nothing, |id| get("/chat/x", id)),
    }
}
