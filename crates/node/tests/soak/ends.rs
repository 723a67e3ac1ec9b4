//! Endpoints of a soak run that end their responses in each way that HTTP allows, in series with all other faults.

use crate::standin::ends::{End, Endpoint};
use crate::standin::engine::EVENTS;
use crate::standin::store::Store;
use crate::standin::{endless, plain};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Difference between the seeds of a run and of these endpoints.
const SEED_OFFSET: u64 = 3 << 32;
/// Slots that an endpoint registers.
const SLOTS: u32 = 10;
/// Share of the endpoints that are killed.
const KILLED: f64 = 0.3;
/// Time before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Registers endpoints, two to four at a time, until `end` is set. None is registered then. Returns all of them.
pub async fn run(seed: u64, store: Store, end: Arc<Mutex<bool>>) -> Vec<Endpoint> {
    let mut rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    let mut started: Vec<Endpoint> = Vec::new();
    while !*end.lock().unwrap() {
        let first = started.len();
        for _ in 0..rng.random_range(2..=4) {
            let kind = End::ALL[rng.random_range(0..End::ALL.len())];
            let id = format!("ends{}", started.len());
            let endpoint = Endpoint::start(&id, kind, EVENTS, EVENT_INTERVAL).await;
            match rng.random() {
                true => plain::register(&store, &id, endpoint.addr, SLOTS),
                false => endless::register_engine(&store, &id, endpoint.addr),
            }
            started.push(endpoint);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..2000))).await;
        let current = &started[first..];
        // Some are killed, so that the connections of responses end in their middle.
        for endpoint in current.iter().filter(|_| rng.random_bool(KILLED)) {
            endpoint.exit();
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        current
            .iter()
            .for_each(|e| store.put_registration(&e.id, ""));
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..300))).await;
    }
    started
}
