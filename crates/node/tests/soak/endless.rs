//! Endpoints of a soak run that send bytes without end, in series with all other faults.

use crate::standin::endless::{self, Kind};
use crate::standin::plain;
use crate::standin::store::Store;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Difference between the seeds of a run and of these endpoints.
const SEED_OFFSET: u64 = 2 << 32;
/// Slots that an endpoint registers.
const SLOTS: u32 = 10;

/// Registers endpoints of changing kinds, one to three at a time, until `end` is set. None is left then.
pub async fn run(seed: u64, store: Store, end: Arc<Mutex<bool>>) {
    let mut rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    let mut started = 0;
    while !*end.lock().unwrap() {
        let mut ids = Vec::new();
        for _ in 0..rng.random_range(1..=3) {
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let (addr, _) = endless::start(kind).await;
            let id = format!("endless{started}");
            match rng.random() {
                true => plain::register(&store, &id, addr, SLOTS),
                false => endless::register_engine(&store, &id, addr),
            }
            ids.push(id);
            started += 1;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(300..1500))).await;
        ids.iter().for_each(|id| store.put_registration(id, ""));
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..800))).await;
    }
}
