//! Running attempts are ended only where the request can go on elsewhere.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/fixture.rs"]
mod fixture;

use bench::{Bench, FAR_DEADLINE, find_start};
use bundle::id::EndpointId;
use route::action::Action;
use route::event::Event;
use route::failure::Cause;
use route::outcome::Outcome;
use route::request::{Id, Request, Target};
use std::sync::Arc;
use std::time::Duration;

/// Publishes a bundle with another version of the model: answers with tokens can't be resumed.
fn replace_model_version(bench: &mut Bench) {
    let mut view = bench.view.clone();
    let mut bundle = (*view.bundle).clone();
    bundle.models[0].version = "2".into();
    view.bundle = Arc::new(bundle);
    bench.publish_view(view);
}

fn cancelled(out: &[Action]) -> Vec<Id> {
    let cancelled = out.iter().filter_map(|a| match a {
        Action::Cancel(id, _) => Some(*id),
        _ => None,
    });
    cancelled.collect()
}

// Guards against a running answer that is paused for urgent work although no endpoint could resume
// it, so that its caller gets an incomplete one.
#[test]
fn answer_of_a_replaced_model_version_is_not_paused_for_urgent_work() {
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    for id in 1..=3 {
        bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
        bench.handle(Event::Token(id, 1));
    }
    replace_model_version(&mut bench);
    let out = bench.handle(Event::Arrive(Request {
        priority: 0,
        ..fixture::request(9, FAR_DEADLINE)
    }));
    assert_eq!(cancelled(&out), []);
    let out = bench.handle(Event::Finished(2, 1));
    assert!(out.contains(&Action::Finish(2, Outcome::Complete)));
    assert!(find_start(&out, 9).is_some());
}

/// Runs three answers, of which the first has a stage that is many times slower than the others.
/// Returns the requests whose attempts are cancelled.
fn cancelled_on_slow_endpoint(replace_version: bool) -> Vec<Id> {
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    for id in 1..=3 {
        bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
        bench.handle(Event::Token(id, 1));
    }
    if replace_version {
        replace_model_version(&mut bench);
    }
    let mut out = Vec::new();
    for _ in 0..4 {
        for id in [2, 3] {
            out.extend(bench.handle(Event::Progress(id, 1, 0)));
            out.extend(bench.handle(Event::Progress(id, 1, 1)));
            out.extend(bench.handle(Event::Token(id, 1)));
        }
        out.extend(bench.advance(Duration::from_millis(400)));
        out.extend(bench.handle(Event::Progress(1, 1, 0)));
        out.extend(bench.handle(Event::Progress(1, 1, 1)));
        out.extend(bench.handle(Event::Token(1, 1)));
    }
    cancelled(&out)
}

// Guards against a running answer that is moved off a slow endpoint although no other endpoint
// could resume it.
#[test]
fn answer_of_a_replaced_model_version_stays_on_a_slow_endpoint() {
    assert!(cancelled_on_slow_endpoint(false).contains(&1));
    assert_eq!(cancelled_on_slow_endpoint(true), []);
}

/// The only endpoint of [`ejected_for_errors`].
const ENDPOINT: EndpointId = 0;

/// Starts call 1, which is not repeatable, and has its endpoint ejected after a while for the errors
/// of four others. Returns the actions of the ejection.
fn ejected_for_errors(after: Duration) -> (Bench, Vec<Action>) {
    let mut bundle = fixture::bundle(1);
    fixture::plain(&mut bundle, 0, 8);
    let mut bench = Bench::new(bundle);
    for id in 1..=5 {
        bench.handle(Event::Arrive(Request {
            target: Target::Service(0),
            repeatable: false,
            ..fixture::request(id, FAR_DEADLINE)
        }));
    }
    let mut out = bench.advance(after);
    for id in 2..=5 {
        out.extend(bench.fail(id, 1, ENDPOINT, Cause::Internal, true));
    }
    assert_eq!(bench.router.report().ejected, 1);
    (bench, out)
}

/// Advances the time until the endpoint is probed; no attempt is cancelled meanwhile.
fn advance_to_probe(bench: &mut Bench, limit: Duration) {
    let end = bench.now + limit;
    while bench.now < end {
        let out = bench.advance(route::event::TICK);
        assert_eq!(cancelled(&out), []);
        if out.contains(&Action::Probe(ENDPOINT)) {
            return;
        }
    }
    panic!("no probe");
}

// Guards against a call that is ended with an unknown outcome because other calls failed at its
// endpoint, although its own connection works and it must not be made again.
#[test]
fn call_that_is_not_repeatable_outlives_the_ejection_of_its_endpoint_for_errors() {
    let (mut bench, out) = ejected_for_errors(Duration::ZERO);
    assert!(!cancelled(&out).contains(&1), "{out:?}");
    let out = bench.handle(Event::Finished(1, 1));
    assert!(out.contains(&Action::Finish(1, Outcome::Complete)));
}

// Guards against a call that is awaited for ever at an ejected endpoint which has died since.
#[test]
fn call_at_an_ejected_endpoint_ends_when_the_endpoint_dies() {
    let (mut bench, _) = ejected_for_errors(Duration::ZERO);
    advance_to_probe(&mut bench, Duration::from_secs(2));
    let out = bench.handle(Event::Probed(ENDPOINT, false));
    assert!(out.contains(&Action::Finish(1, Outcome::Unknown)));
}

// Guards against a call that falls silent at an ejected endpoint and is forgotten when the endpoint
// returns: nothing would notice the endpoint's death afterwards.
#[test]
fn call_that_fell_silent_at_an_ejected_endpoint_is_watched_after_its_return() {
    let (mut bench, _) = ejected_for_errors(Duration::from_millis(9_500));
    advance_to_probe(&mut bench, Duration::from_secs(2));
    bench.handle(Event::Probed(ENDPOINT, true));
    advance_to_probe(&mut bench, Duration::from_secs(12));
    let out = bench.handle(Event::Probed(ENDPOINT, false));
    assert!(out.contains(&Action::Finish(1, Outcome::Unknown)));
}
