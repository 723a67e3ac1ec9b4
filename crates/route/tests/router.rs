//! The router tested through single events.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/fixture.rs"]
mod fixture;

use bench::{Bench, FAR_DEADLINE, find_start};
use route::action::{Action, Hop};
use route::event::Event;
use route::failure::Cause;
use route::outcome::Outcome;
use route::refusal::Reason;
use route::request::{Id, Request, Target};
use std::time::Duration;

fn once(id: Id) -> Request {
    Request {
        repeatable: false,
        ..fixture::request(id, FAR_DEADLINE)
    }
}

#[test]
fn finished_answer_is_complete() {
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (attempt, hops) = find_start(&out, 1).expect("starts immediately");
    assert_eq!(
        (hops[0].from, hops[0].to, hops[1].from, hops[1].to),
        (0, 16, 16, 32)
    );
    bench.handle(Event::Token(1, attempt));
    let out = bench.handle(Event::Finished(1, attempt));
    assert_eq!(out, [Action::Finish(1, Outcome::Complete)]);
    assert_eq!(bench.router.report().complete, 1);
}

#[test]
fn answer_resumes_without_a_dead_stage() {
    // The connection to the second stage breaks after one token and a probe stays unanswered. The
    // request resumes as attempt 2 on a chain without that endpoint, since other stages hold the
    // same layers. The caller sees a short pause.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    bench.handle(Event::Token(1, 1));
    let out = bench.fail(1, 1, hops[1].endpoint, Cause::Reset, true);
    assert!(out.contains(&Action::Probe(hops[1].endpoint)));
    assert!(find_start(&out, 1).is_none(), "must wait for the probe");
    let out = bench.handle(Event::Probed(hops[1].endpoint, false));
    let (attempt, chain) = find_start(&out, 1).expect("resumes");
    assert_eq!(attempt, 2);
    assert!(chain.iter().all(|h| h.endpoint != hops[1].endpoint));
    assert!(
        bench.handle(Event::Token(1, 1)).is_empty(),
        "frames of attempt 1 are dropped"
    );
}

#[test]
fn non_repeatable_work_ends_unknown_once_sent() {
    // The connection broke after bytes had been sent, so that the lock call may have been carried
    // out. The caller gets the outcome "unknown" and the call is never run again.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.handle(Event::Arrive(once(1)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Reset, true);
    assert!(out.contains(&Action::Finish(1, Outcome::Unknown)));
    assert!(find_start(&out, 1).is_none());
}

#[test]
fn non_repeatable_work_is_retried_if_no_byte_was_sent() {
    // The first endpoint refused the connection, so that the request was certainly not run. It is
    // sent to another endpoint, and the caller notices nothing.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.handle(Event::Arrive(once(1)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Connect, false);
    let (attempt, _) = find_start(&out, 1).expect("is retried on another endpoint");
    assert_eq!(attempt, 2);
}

#[test]
fn unserved_request_is_refused_immediately() {
    let mut bundle = fixture::bundle(1);
    fixture::stage(&mut bundle, 0, 0, 0, 16, 4);
    let mut bench = Bench::new(bundle);
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let Action::Refuse(1, refusal) = &out[0] else {
        panic!("{out:?}")
    };
    assert_eq!(refusal.reason, Reason::NoEndpoint);
}

#[test]
fn plain_service_is_one_hop() {
    let mut bundle = fixture::bundle(1);
    fixture::plain(&mut bundle, 0, 4);
    let mut bench = Bench::new(bundle);
    let request = Request {
        target: Target::Service(0),
        ..once(1)
    };
    let out = bench.handle(Event::Arrive(request));
    let hop = Hop {
        endpoint: 0,
        from: 0,
        to: 0,
    };
    assert_eq!(out, [Action::Start(1, 1, vec![hop])]);
    assert_eq!(
        bench.handle(Event::Finished(1, 1)),
        [Action::Finish(1, Outcome::Complete)]
    );
}

#[test]
fn request_past_its_deadline_is_refused() {
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    let deadline = bench.now + Duration::from_millis(200);
    for id in 0..4 {
        bench.handle(Event::Arrive(fixture::request(id, deadline)));
    }
    let out = bench.advance(Duration::from_millis(300));
    let refused = |a: &&Action| matches!(a, Action::Refuse(_, r) if r.reason == Reason::Deadline);
    assert_eq!(out.iter().filter(refused).count(), 1, "{out:?}");
}
