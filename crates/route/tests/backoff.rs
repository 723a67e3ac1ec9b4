//! Endpoints that refuse an attempt and state when they want to be tried again.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/fixture.rs"]
mod fixture;

use bench::{Bench, FAR_DEADLINE, find_start};
use bundle::id::EndpointId;
use route::action::{Action, Hop};
use route::event::{Event, TICK};
use route::failure::{Cause, Failure};
use std::time::Duration;

/// Number of ticks within which an attempt is expected.
const MAX_TICKS: usize = 10_000;

/// Refuses an attempt of request 1, and returns the actions of the router.
fn refuse(
    bench: &mut Bench,
    attempt: u32,
    endpoint: EndpointId,
    retry_after: Duration,
) -> Vec<Action> {
    let failure = Failure {
        endpoint,
        cause: Cause::Busy,
        sent: false,
        retry_after: Some(retry_after),
    };
    bench.handle(Event::Failed(1, attempt, failure))
}

/// Returns the next start of request 1, and how long the router waited for it.
fn next_start(bench: &mut Bench) -> (u32, Vec<Hop>, Duration) {
    let from = bench.now;
    let actions = std::iter::repeat_with(|| bench.advance(TICK)).take(MAX_TICKS);
    let mut starts = actions.filter_map(|out| find_start(&out, 1));
    let (attempt, hops) = starts.next().expect("starts again");
    (attempt, hops, bench.now - from)
}

// Guards against attempts at an endpoint before the time that it asked for has passed: the random
// factor on the wait must not shorten it.
#[test]
fn an_endpoint_is_not_tried_before_the_delay_that_it_asked_for() {
    let delay = Duration::from_secs(2);
    let mut bundle = fixture::bundle(1);
    fixture::stage(&mut bundle, 0, 0, 0, fixture::LAYERS, 4);
    let mut bench = Bench::new(bundle);
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (mut attempt, mut hops) = find_start(&out, 1).expect("starts");
    for _ in 0..8 {
        refuse(&mut bench, attempt, hops[0].endpoint, delay);
        let waited;
        (attempt, hops, waited) = next_start(&mut bench);
        assert!(waited >= delay, "{waited:?}");
    }
}

// Guards against a panic on a delay that no time can hold, which would end the node.
#[test]
fn a_delay_without_end_is_bounded() {
    let mut bench = Bench::new(fixture::fleet(4, 4, 1));
    let mut out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    for _ in 0..8 {
        let (attempt, hops) = find_start(&out, 1).expect("starts at another endpoint");
        out = refuse(&mut bench, attempt, hops[0].endpoint, Duration::MAX);
    }
}
