//! Failures and limits, tested through the router's events and actions.

#[path = "support/bench.rs"]
mod bench;
#[path = "support/fixture.rs"]
mod fixture;

use bench::{Bench, FAR_DEADLINE, find_start};
use route::action::{Action, Observation};
use route::event::Event;
use route::failure::Cause;
use route::outcome::Outcome;
use route::refusal::Reason;
use route::request::{Request, Target};
use route::view::Share;
use std::sync::Arc;
use std::time::Duration;

fn urgent(id: u128) -> Request {
    Request {
        priority: 0,
        ..fixture::request(id, FAR_DEADLINE)
    }
}

fn refused(out: &[Action], reason: Reason) -> bool {
    out.iter()
        .any(|a| matches!(a, Action::Refuse(_, r) if r.reason == reason))
}

#[test]
fn silent_connection_does_not_eject_its_endpoint() {
    // A stream stops without an error, and the endpoint answers a probe on a new connection. Only
    // the old connections are dropped; the request resumes from its two tokens within a second, and
    // the endpoint stays in use.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    for _ in 0..2 {
        bench.handle(Event::Progress(1, 1, 0));
        bench.handle(Event::Progress(1, 1, 1));
        bench.handle(Event::Token(1, 1));
    }
    let out = bench.advance(Duration::from_millis(700));
    assert!(out.contains(&Action::Probe(hops[0].endpoint)), "{out:?}");
    let out = bench.handle(Event::Probed(hops[0].endpoint, true));
    assert!(out.contains(&Action::Disconnect(hops[0].endpoint)));
    assert!(out.contains(&Action::Cancel(1, 1)));
    assert_eq!(find_start(&out, 1).map(|s| s.0), Some(2));
    assert_eq!(bench.router.report().ejected, 0);
}

#[test]
fn request_that_cannot_be_sent_is_refused_at_once() {
    // Guards against a request that no stage can run and that takes all of them out of use: it was
    // queued again without end, and each attempt left its stage without new work for a second.
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Invalid, false);
    assert!(refused(&out, Reason::Invalid), "{out:?}");
    assert_eq!(bench.router.report().refused_invalid, 1);
    let out = bench.handle(Event::Arrive(fixture::request(2, FAR_DEADLINE)));
    assert!(find_start(&out, 2).is_some(), "{out:?}");
    assert_eq!(bench.router.report().ejected, 0);
}

#[test]
fn paused_node_ejects_no_endpoint() {
    // The node is paused for five seconds, once while an answer runs and once while a probe is in
    // flight. Neither may count against the endpoint.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    bench.handle(Event::Tick);
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    bench.handle(Event::Token(1, 1));
    bench.now += Duration::from_secs(5);
    assert_eq!(bench.handle(Event::Tick), []);
    bench.handle(Event::Progress(1, 1, 0));
    let out = bench.advance(Duration::from_millis(700));
    let probed = hops[1].endpoint;
    assert!(out.contains(&Action::Probe(probed)), "{out:?}");
    bench.now += Duration::from_secs(5);
    assert_eq!(bench.handle(Event::Tick), []);
    bench.handle(Event::Probed(probed, true));
    assert_eq!(bench.router.report().ejected, 0);
}

#[test]
fn unanswered_probe_ejects_and_a_trial_restores() {
    // An endpoint stops answering. It is ejected, which is published to the other nodes, and probed
    // after the ejection; it then gets single requests until three have succeeded. The caller sees
    // one pause.
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let dead = hops[0].endpoint;
    bench.fail(1, 1, dead, Cause::Reset, true);
    let out = bench.advance(Duration::from_millis(600));
    assert!(
        out.contains(&Action::Observe(Observation::Ejected(dead))),
        "{out:?}"
    );
    assert_eq!(find_start(&out, 1).map(|s| s.0), Some(2));
    bench.handle(Event::Finished(1, 2));
    let out = bench.advance(Duration::from_millis(1600));
    assert!(out.contains(&Action::Probe(dead)));
    bench.handle(Event::Probed(dead, true));
    let mut restored = Vec::new();
    for id in 10..200 {
        let out = bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
        assert!(find_start(&out, id).is_some());
        restored.extend(bench.handle(Event::Finished(id, 1)));
    }
    assert!(restored.contains(&Action::Observe(Observation::Restored(dead))));
}

#[test]
fn urgent_work_pauses_repeatable_work() {
    // An urgent request starts immediately on a full fleet. One repeatable request is paused and
    // resumes from its token once the urgent one ends; this does not count as a retry.
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    (1..=3).for_each(|id| {
        bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
    });
    bench.handle(Event::Token(1, 1));
    let out = bench.handle(Event::Arrive(urgent(9)));
    let paused = out.iter().find_map(|a| match a {
        Action::Cancel(id, 1) => Some(*id),
        _ => None,
    });
    let paused = paused.expect("something is paused");
    assert!(find_start(&out, 9).is_some());
    let out = bench.handle(Event::Finished(9, 1));
    assert_eq!(find_start(&out, paused).map(|s| s.0), Some(2));
    let report = bench.router.report();
    assert_eq!((report.paused, report.resumed, report.retries), (1, 1, 0));
}

#[test]
fn non_repeatable_work_is_never_paused() {
    // Non-repeatable requests fill the fleet. An urgent request waits for the first of them to end,
    // since a paused one would have to run again.
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    for id in 1..=3 {
        bench.handle(Event::Arrive(Request {
            repeatable: false,
            ..fixture::request(id, FAR_DEADLINE)
        }));
    }
    let out = bench.handle(Event::Arrive(urgent(9)));
    assert_eq!(out, []);
    assert_eq!(bench.router.report().waiting_urgent, 1);
    let out = bench.handle(Event::Finished(2, 1));
    assert!(find_start(&out, 9).is_some());
}

#[test]
fn crashing_request_runs_alone_and_is_then_refused() {
    // Two requests are in flight when an endpoint dies. Both become suspect and run on endpoints of
    // their own. At the second death only one of them is in flight; it is condemned on every node.
    // Its caller gets the outcome "unknown", then refusals, while the other request's answer
    // continues.
    let mut bench = Bench::new(fixture::fleet(2, 8, 1));
    let crasher = |id| Request {
        fingerprint: 666,
        ..fixture::request(id, FAR_DEADLINE)
    };
    let first = bench.handle(Event::Arrive(crasher(1)));
    let (_, hops) = find_start(&first, 1).expect("starts");
    let dead = hops[0].endpoint;
    // Sends further requests until one shares the endpoint.
    let mut neighbour = 2;
    loop {
        let out = bench.handle(Event::Arrive(fixture::request(neighbour, FAR_DEADLINE)));
        let (_, hops) = find_start(&out, neighbour).expect("starts");
        if hops[0].endpoint == dead {
            break;
        }
        bench.handle(Event::Finished(neighbour, 1));
        neighbour += 1;
    }
    bench.fail(1, 1, dead, Cause::Reset, true);
    let out = bench.handle(Event::Probed(dead, false));
    assert!(out.contains(&Action::Observe(Observation::Suspect(666))));
    let (_, alone) = find_start(&out, 1).expect("runs alone");
    let (attempt, beside) = find_start(&out, neighbour).expect("runs elsewhere");
    assert!(
        alone
            .iter()
            .all(|h| beside.iter().all(|b| b.endpoint != h.endpoint))
    );
    bench.handle(Event::Finished(neighbour, attempt));
    bench.advance(Duration::from_secs(3));
    let next = alone[0].endpoint;
    bench.fail(1, 2, next, Cause::Reset, true);
    bench.handle(Event::Probed(next, false));
    let out = bench.advance(Duration::from_secs(2));
    assert!(
        out.contains(&Action::Observe(Observation::Condemned(666))),
        "{out:?}"
    );
    assert!(out.contains(&Action::Finish(1, Outcome::Unknown)));
    let out = bench.handle(Event::Arrive(crasher(99)));
    assert!(refused(&out, Reason::Condemned));
    assert_eq!(bench.router.report().condemned, 1);
}

#[test]
fn leaving_endpoint_finishes_its_work_and_gets_no_new() {
    // The answer in flight is completed, and new requests run on other endpoints; callers notice
    // nothing.
    let mut bench = Bench::new(fixture::fleet(1, 8, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let leaves = hops[0].endpoint;
    let mut view = bench.view.clone();
    view.available[leaves as usize] = false;
    bench.publish_view(view);
    for id in 2..20 {
        let out = bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
        let (_, hops) = find_start(&out, id).expect("starts");
        assert!(hops.iter().all(|h| h.endpoint != leaves));
        bench.handle(Event::Finished(id, 1));
    }
    assert_eq!(
        bench.handle(Event::Finished(1, 1)),
        [Action::Finish(1, Outcome::Complete)]
    );
}

#[test]
fn leaving_node_finishes_its_work_and_refuses_new() {
    let mut bench = Bench::new(fixture::fleet(1, 8, 1));
    bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let mut view = bench.view.clone();
    view.leaving = true;
    bench.publish_view(view);
    let out = bench.handle(Event::Arrive(fixture::request(2, FAR_DEADLINE)));
    assert!(refused(&out, Reason::Leaving));
    assert_eq!(
        bench.handle(Event::Finished(1, 1)),
        [Action::Finish(1, Outcome::Complete)]
    );
}

#[test]
fn team_over_its_limit_gets_a_retry_after_delay() {
    let mut bench = Bench::new(fixture::fleet(1, 8, 1));
    let mut view = bench.view.clone();
    view.shares = vec![Share {
        rate: 2.0,
        in_flight: 100.0,
    }];
    bench.publish_view(view);
    let out: Vec<_> = (1..=4)
        .flat_map(|id| bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE))))
        .collect();
    let waits: Vec<_> = out
        .iter()
        .filter_map(|a| match a {
            Action::Refuse(_, r) if r.reason == Reason::Limit => r.retry_after,
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 2);
    assert!(
        waits.iter().all(|w| (100..=500).contains(&w.as_millis())),
        "{waits:?}"
    );
}

#[test]
fn answer_in_flight_survives_renumbered_endpoints() {
    // A new bundle lists the endpoints in another order, so that each id denotes another endpoint.
    // The failure of the old attempt still uses the old id. Callers notice nothing.
    let mut bench = Bench::new(fixture::fleet(1, 8, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    let mut view = bench.view.clone();
    let mut bundle = (*view.bundle).clone();
    bundle.endpoints.rotate_left(1);
    bundle.number += 1;
    let name = view.bundle.endpoints[hops[0].endpoint as usize]
        .name
        .clone();
    let now = bundle.endpoint(&name).expect("still there");
    view.bundle = Arc::new(bundle);
    bench.publish_view(view);
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Reset, true);
    assert!(
        out.contains(&Action::Probe(now)),
        "the new id of the same endpoint: {out:?}"
    );
}

#[test]
fn answer_is_not_resumed_on_another_model_version() {
    // The caller gets the outcome "unknown" rather than an answer composed of two versions.
    let mut bench = Bench::new(fixture::fleet(1, 8, 1));
    let out = bench.handle(Event::Arrive(fixture::request(1, FAR_DEADLINE)));
    let (_, hops) = find_start(&out, 1).expect("starts");
    bench.handle(Event::Token(1, 1));
    let mut view = bench.view.clone();
    let mut bundle = (*view.bundle).clone();
    bundle.models[0].version = "2".into();
    view.bundle = Arc::new(bundle);
    bench.publish_view(view);
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Reset, true);
    assert!(
        out.contains(&Action::Finish(1, Outcome::Unknown)),
        "{out:?}"
    );
}

#[test]
fn service_call_is_awaited_until_its_deadline() {
    // A call of a lock service takes half a minute. It shows no progress, but each probe is
    // answered. An early "unknown" would make somebody check the lock on site for nothing.
    let mut bundle = fixture::bundle(1);
    fixture::plain(&mut bundle, 0, 4);
    let mut bench = Bench::new(bundle);
    let target = Target::Service(0);
    let request = Request {
        target,
        repeatable: false,
        ..fixture::request(1, FAR_DEADLINE)
    };
    bench.handle(Event::Arrive(request));
    for _ in 0..100 {
        let out = bench.advance(Duration::from_millis(300));
        assert!(
            !out.iter().any(|a| matches!(a, Action::Finish(..))),
            "{out:?}"
        );
        if out.contains(&Action::Probe(0)) {
            bench.handle(Event::Probed(0, true));
        }
    }
    assert_eq!(
        bench.handle(Event::Finished(1, 1)),
        [Action::Finish(1, Outcome::Complete)]
    );
}

#[test]
fn empty_budget_delays_retries_until_it_refills() {
    // Each request fails once. The budget grants its burst of retries; later failures wait for the
    // fleet's rate of 1/s. Callers see a longer pause, but the remaining endpoints see no retry
    // storm.
    let mut bench = Bench::new(fixture::fleet(12, 64, 1));
    let mut retried = 0;
    for id in 0..60 {
        let out = bench.handle(Event::Arrive(fixture::request(id, FAR_DEADLINE)));
        let (_, hops) = find_start(&out, id).expect("starts");
        let out = bench.fail(id, 1, hops[0].endpoint, Cause::Internal, true);
        retried += usize::from(find_start(&out, id).is_some());
        bench.handle(Event::Finished(id, 2));
    }
    assert!((16..=24).contains(&retried), "{retried}");
    assert!(bench.router.report().parked > 30);
    let out = bench.advance(Duration::from_secs(5));
    let later = out
        .iter()
        .filter(|a| matches!(a, Action::Start(..)))
        .count();
    // Five retries for the five seconds, plus what remains from the 1.2 s since the start and from
    // fractions earned before.
    assert!((5..=7).contains(&later), "{later}");
}
