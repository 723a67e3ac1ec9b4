//! How much of control's time a recurring task takes.

use node::hosted::control::throttle::Throttle;
use std::time::Duration;
use tokio::time::Instant;

/// How often control looks whether the task is due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Runs of a task that takes `cost` each time, in `time`, and the share of the time that they took.
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

// Guards against a node whose planning before 3,000 endpoints leaves no time for its own callers, for
// the store and for its peers: two nodes answered by an old catalog for the rest of the day.
#[test]
fn a_costly_task_leaves_most_of_the_time_to_others() {
    let minute = Duration::from_secs(60);
    let throttle = Throttle::new(9, minute);
    let (runs, share) = simulate(throttle, Duration::from_millis(300), minute);
    assert!(runs >= 15 && share <= 0.1, "{runs} runs, {share}");
}

// Guards against a task that is put off for ever by one slow run.
#[test]
fn the_rest_is_bounded() {
    let minute = Duration::from_secs(60);
    let throttle = Throttle::new(9, Duration::from_secs(2));
    let (runs, _) = simulate(throttle, Duration::from_secs(1), minute);
    assert!(runs >= 19, "{runs} runs");
}

// Guards against a small fleet that waits for what costs it nothing.
#[test]
fn a_cheap_task_runs_in_each_step() {
    let minute = Duration::from_secs(60);
    let cost = Duration::from_millis(2);
    let (runs, _) = simulate(Throttle::new(9, Duration::from_secs(2)), cost, minute);
    assert!(runs >= 580, "{runs} runs");
}
