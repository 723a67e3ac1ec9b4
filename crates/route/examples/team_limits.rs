//! Measures how far a team's limits are exceeded with 8 and 370 workers that hold equal shares, and
//! while the workers are split into two partitions that each divide the whole limit.

#[path = "../tests/support/fixture.rs"]
mod fixture;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::share::Table;
use route::view::Share;
use std::time::Duration;

const RATE: f64 = 200.0;
const IN_FLIGHT: f64 = 400.0;
/// Offered requests per second.
const OFFERED: u64 = 600;
const SECONDS: u64 = 30;
/// Time for which a request is in flight.
const REQUEST_TIME: Duration = Duration::from_secs(2);

fn run(workers: usize, parts: f64, busy: usize) {
    let bundle = fixture::bundle(1);
    let share = Share {
        rate: RATE * parts / workers as f64,
        in_flight: IN_FLIGHT * parts / workers as f64,
    };
    let mut tables = vec![Table::default(); workers];
    tables.iter_mut().for_each(|t| {
        t.apply_bundle(Duration::ZERO, &bundle, &[share]);
    });
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut ends = std::collections::VecDeque::new();
    let (mut first, mut late, mut most) = (0_u64, 0_u64, 0);
    for i in 0..OFFERED * SECONDS {
        let now = Duration::from_secs_f64(i as f64 / OFFERED as f64);
        while ends.front().is_some_and(|&(at, _)| at <= now) {
            let (_, worker): (Duration, usize) = ends.pop_front().expect("just seen");
            tables[worker].release(0);
        }
        let worker = rng.random_range(0..busy);
        if tables[worker].admit(now, 0, false, 1.0).is_ok() {
            ends.push_back((now + REQUEST_TIME, worker));
            first += u64::from(now < Duration::from_secs(1));
            late += u64::from(now >= Duration::from_secs(10));
        }
        most = most.max(ends.len());
    }
    let steady = late as f64 / (SECONDS - 10) as f64 / RATE;
    println!(
        "{workers:>8} {busy:>6} {parts:>6.1} {:>14.2} {steady:>9.2} {:>16.2}",
        first as f64 / RATE,
        most as f64 / IN_FLIGHT
    );
}

fn main() {
    println!(
        "a team with {RATE}/s and {IN_FLIGHT} in flight offers {OFFERED}/s; taken in over the limit"
    );
    println!(
        "{:>8} {:>6} {:>6} {:>14} {:>9} {:>16}",
        "workers", "busy", "parts", "first second", "steady", "most in flight"
    );
    for workers in [8, 370] {
        run(workers, 1.0, workers);
        run(workers, 1.0, workers / 4);
        run(workers, 2.0, workers);
    }
}
