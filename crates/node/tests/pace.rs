//! Bounds of the fraction of control's time that a recurring task takes.

use node::hosted::control::throttle::Throttle;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which control checks whether the task is due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Simulates a task that takes `cost` per run for `time`. Returns the number of runs and the
/// fraction of the time that they took.
fn simulate(mut throttle: Throttle, cost: Duration, time: Duration) -> (u32, f64) {
    let start = Instant::now();
    let mut now = start;
    let mut runs = 0;
    while now < start + time {
        if !throttle.due(now) {
            now += STEP_INTERVAL;
            continue;
        }
        let started = now;
        now += cost;
        throttle.record_run(started, now);
        runs += 1;
    }
    (
        runs,
        cost.as_secs_f64() * f64::from(runs) / time.as_secs_f64(),
    )
}

// Guards against a node that plans for 3,000 endpoints without a pause and has no time left for its
// callers, the store and its peers: such nodes keep serving by an old catalog.
#[test]
fn a_costly_task_leaves_most_of_the_time_to_others() {
    let minute = Duration::from_secs(60);
    let throttle = Throttle::new(9, minute);
    let (runs, share) = simulate(throttle, Duration::from_millis(300), minute);
    assert!(runs >= 15 && share <= 0.1, "{runs} runs, {share}");
}

// Guards against a task that one slow run delays indefinitely.
#[test]
fn the_rest_is_bounded() {
    let minute = Duration::from_secs(60);
    let throttle = Throttle::new(9, Duration::from_secs(2));
    let (runs, _) = simulate(throttle, Duration::from_secs(1), minute);
    assert!(runs >= 19, "{runs} runs");
}

// Guards against delays in a small fleet, where the task costs almost nothing.
#[test]
fn a_cheap_task_runs_in_each_step() {
    let minute = Duration::from_secs(60);
    let cost = Duration::from_millis(2);
    let (runs, _) = simulate(Throttle::new(9, Duration::from_secs(2)), cost, minute);
    assert!(runs >= 580, "{runs} runs");
}
