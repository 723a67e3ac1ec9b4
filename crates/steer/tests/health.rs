//! Ejection of endpoints, its duration, and the health transitions that are published.

mod support;

use catalog::Endpoint;
use std::sync::Arc;
use std::time::Duration;
use steer::health::{Health, Outcome};
use steer::transition::Transition;
use steer::{Fleet, Selector};
use support::{ALLOWANCE, LAYERS, endpoint, fleet, load, ms, need, plain, selector};

const PLAIN: u32 = 1;

/// Returns the times at which an endpoint that always fails is retried, starting at 0.
fn retry_times(count: usize) -> Vec<u64> {
    let mut health = Health::default();
    let mut now = 0;
    let mut retries = Vec::new();
    for _ in 0..count {
        health.record(ms(now), ms(now), Outcome::Failed);
        while !health.is_usable(ms(now)) {
            now += 1;
        }
        retries.push(now);
    }
    retries
}

#[test]
fn a_dead_endpoint_is_retried_with_exponential_backoff() {
    assert_eq!(retry_times(6), [300, 900, 2100, 4500, 8500, 12500]);
}

// An endpoint crashes with a hundred requests in flight, all of which fail. If each of them
// counted, the endpoint would be ejected for the maximum time although it recovers at once.
#[test]
fn requests_that_break_off_together_count_as_one_failure() {
    let mut health = Health::default();
    for _ in 0..100 {
        health.record(ms(50), ms(10), Outcome::Failed);
    }
    assert_eq!(health.failures(), 1);
    assert!(health.is_usable(ms(350)));
}

#[test]
fn one_success_resets_an_endpoint() {
    let mut health = Health::default();
    health.record(ms(0), ms(0), Outcome::Failed);
    health.record(ms(10), ms(0), Outcome::Success);
    assert!(health.is_usable(ms(10)) && health.failures() == 0);
}

#[test]
fn a_full_endpoint_is_avoided_without_a_failure() {
    let mut health = Health::default();
    health.record(ms(0), ms(0), Outcome::Full);
    assert!(!health.is_usable(ms(100)) && health.is_usable(ms(120)));
    assert_eq!(health.failures(), 0);
}

// Other nodes should not spend an attempt each to detect a dead endpoint. A single failure may be
// due to the request or to this node, so the second consecutive failure is published, and then the
// recovery.
#[test]
fn the_second_consecutive_failure_is_published() {
    let mut selector = selector(vec![plain(1)]);
    let mut attempt = |now: u64, outcome| {
        let target = selector.select(ms(now), PLAIN, &need(0), &[]).unwrap();
        selector.end(ms(now), target.reservation, outcome, None);
        selector.take_transitions()
    };
    assert_eq!(attempt(0, Outcome::Failed), []);
    let run = plain(1).run;
    assert_eq!(
        attempt(300, Outcome::Failed),
        [Transition::Down(run.clone())]
    );
    assert_eq!(attempt(900, Outcome::Success), [Transition::Up(run)]);
}

#[test]
fn the_endpoint_with_the_fewest_requests_in_flight_is_selected() {
    let mut selector = selector(vec![plain(1), plain(2), plain(3)]);
    let mut heads: Vec<_> = (0..3)
        .map(|_| selector.select(ms(0), PLAIN, &need(0), &[]).unwrap())
        .map(|t| t.head().run.id.clone())
        .collect();
    heads.sort();
    assert_eq!(heads, ["e1", "e2", "e3"]);
    let tried = [plain(1).run, plain(2).run];
    let other = selector.select(ms(0), PLAIN, &need(0), &tried);
    assert_eq!(other.unwrap().head().run.id, "e3");
}

// A stage dies with two thirds of its memory in use. Heads refuse requests and report it as
// missing, as they do for a full endpoint. Guards against nodes that retry it every 120 ms without
// publishing it, until its registration expires after three heartbeats. Unlike a full endpoint, it
// has stopped sending load reports.
#[test]
fn a_missing_endpoint_that_stops_reporting_is_published_as_down() {
    // The transition is published repeatedly, since what a node publishes expires.
    let mut published = reported_missing_for_two_seconds(None);
    published.dedup();
    assert_eq!(published, vec![Transition::Down(dead().run)]);
}

// The same with a live, full engine: however often it refuses, it never counts as failed.
#[test]
fn a_missing_endpoint_that_keeps_reporting_is_full() {
    assert_eq!(reported_missing_for_two_seconds(Some(ms(400))), vec![]);
}

fn dead() -> Endpoint {
    endpoint(1, "a", "slow", 0, LAYERS)
}

/// Returns the transitions that a node publishes in two seconds if each request to an endpoint
/// reports it as missing, while the endpoint sends load reports at an interval.
fn reported_missing_for_two_seconds(reports: Option<Duration>) -> Vec<Transition> {
    let run = dead().run.to_string();
    // 2 GB remain beside 8 layers: 2,000 token-layers.
    let view = |stamp: u64| Fleet {
        loads: Arc::new([(run.clone(), load(stamp, 1300.0, 0, Duration::ZERO))].into()),
        ..fleet(vec![dead()], 1)
    };
    let mut selector = Selector::new(1, ALLOWANCE);
    selector.update_fleet(Duration::ZERO, view(0));
    let mut transitions = Vec::new();
    let mut reported_at = Duration::ZERO;
    for now in (0..2000).step_by(20).map(ms) {
        if reports.is_some_and(|interval| now >= reported_at + interval) {
            reported_at = now;
            selector.update_fleet(now, view(now.as_millis() as u64));
        }
        if let Ok(target) = selector.select(now, 0, &need(20), &[]) {
            selector.end(now, target.reservation, Outcome::Missing, Some(dead().addr));
        }
        transitions.extend(selector.take_transitions());
    }
    transitions
}

// Guards against requests to a dead stage from nodes that have not met it yet. A head's report that
// its chain waits for the stage is published at once: waiting for a second report would take 0.3 s.
#[test]
fn a_stage_that_a_head_waits_for_is_published_at_once() {
    let mut selector = selector(vec![endpoint(1, "a", "fast", 0, LAYERS)]);
    let row = endpoint(1, "a", "fast", 0, LAYERS);
    selector.report_failed(ms(0), row.addr);
    selector.report_failed(ms(10), row.addr);
    assert_eq!(
        selector.take_transitions(),
        [Transition::Down(row.run.clone())]
    );
    let target = selector.select(ms(400), 0, &need(100), &[]).unwrap();
    selector.end(ms(500), target.reservation, Outcome::Success, None);
    assert_eq!(selector.take_transitions(), [Transition::Up(row.run)]);
}
