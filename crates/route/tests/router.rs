//! The router at its interface: one event at a time.

#[path = "support/fixture.rs"]
mod fixture;

use bundle::id::EndpointId;
use route::action::{Action, Hop};
use route::event::Event;
use route::failure::{Cause, Failure};
use route::outcome::Outcome;
use route::refusal::Reason;
use route::request::{Id, Request, Target};
use route::router::Router;
use route::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// A router with a view, and the time.
struct Bench {
    router: Router,
    now: Duration,
}

const LATE: Duration = Duration::from_secs(60);

impl Bench {
    fn new(bundle: bundle::Bundle) -> Self {
        let mut bench = Self {
            router: Router::new(7, Settings::default()),
            now: Duration::from_secs(1),
        };
        let view = fixture::view(&Arc::new(bundle), 0);
        bench.on(Event::View(Arc::new(view)));
        bench
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now += Duration::from_millis(1);
        self.router.handle(self.now, event, &mut out);
        assert!(
            self.router.verify().is_empty(),
            "{:?}",
            self.router.verify()
        );
        out
    }

    fn pass(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut out = Vec::new();
        while self.now < end {
            self.now += route::event::TICK;
            self.router.handle(self.now, Event::Tick, &mut out);
        }
        out
    }

    fn fail(
        &mut self,
        id: Id,
        attempt: u32,
        endpoint: EndpointId,
        cause: Cause,
        sent: bool,
    ) -> Vec<Action> {
        let failure = Failure {
            endpoint,
            cause,
            sent,
            retry_after: None,
        };
        self.on(Event::Failed(id, attempt, failure))
    }
}

fn started(out: &[Action], id: Id) -> Option<(u32, Vec<Hop>)> {
    out.iter().find_map(|a| match a {
        Action::Start(i, attempt, hops) if *i == id => Some((*attempt, hops.clone())),
        _ => None,
    })
}

fn once(id: Id) -> Request {
    Request {
        repeatable: false,
        ..fixture::request(id, LATE)
    }
}

#[test]
fn an_answer_that_is_whole_is_complete() {
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.on(Event::Arrive(fixture::request(1, LATE)));
    let (attempt, hops) = started(&out, 1).expect("starts at once");
    assert_eq!(
        (hops[0].from, hops[0].to, hops[1].from, hops[1].to),
        (0, 16, 16, 32)
    );
    bench.on(Event::Token(1, attempt));
    let out = bench.on(Event::Finished(1, attempt));
    assert_eq!(out, [Action::Finish(1, Outcome::Complete)]);
    assert_eq!(bench.router.report().complete, 1);
}

#[test]
fn a_dead_stage_is_replaced_and_the_answer_goes_on() {
    // The caller sees a short pause. The second stage's connection breaks after one token, a
    // probe finds the endpoint dead, and the request goes on as attempt 2 on a chain that keeps
    // clear of it: other stages take its layers at once.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.on(Event::Arrive(fixture::request(1, LATE)));
    let (_, hops) = started(&out, 1).expect("starts");
    bench.on(Event::Token(1, 1));
    let out = bench.fail(1, 1, hops[1].endpoint, Cause::Reset, true);
    assert!(out.contains(&Action::Probe(hops[1].endpoint)));
    assert!(started(&out, 1).is_none(), "waits for the probe");
    let out = bench.on(Event::Probed(hops[1].endpoint, false));
    let (attempt, again) = started(&out, 1).expect("goes on");
    assert_eq!(attempt, 2);
    assert!(again.iter().all(|h| h.endpoint != hops[1].endpoint));
    assert!(
        bench.on(Event::Token(1, 1)).is_empty(),
        "frames of attempt 1 are dropped"
    );
}

#[test]
fn work_that_must_not_be_repeated_ends_unknown_once_it_was_sent() {
    // The caller is told "unknown", never a second run: the connection broke after bytes had
    // left, so the lock call may have been carried out.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.on(Event::Arrive(once(1)));
    let (_, hops) = started(&out, 1).expect("starts");
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Reset, true);
    assert!(out.contains(&Action::Finish(1, Outcome::Unknown)));
    assert!(started(&out, 1).is_none());
}

#[test]
fn work_that_must_not_be_repeated_may_try_elsewhere_while_no_byte_left() {
    // The caller sees nothing of it: the first endpoint refused the connection, so the request
    // truly was not run and goes to another endpoint.
    let mut bench = Bench::new(fixture::fleet(1, 4, 1));
    let out = bench.on(Event::Arrive(once(1)));
    let (_, hops) = started(&out, 1).expect("starts");
    let out = bench.fail(1, 1, hops[0].endpoint, Cause::Connect, false);
    let (attempt, _) = started(&out, 1).expect("tries elsewhere");
    assert_eq!(attempt, 2);
}

#[test]
fn a_request_that_nothing_serves_is_refused_at_once() {
    let mut bundle = fixture::bundle(1);
    fixture::stage(&mut bundle, 0, 0, 0, 16, 4);
    let mut bench = Bench::new(bundle);
    let out = bench.on(Event::Arrive(fixture::request(1, LATE)));
    let Action::Refuse(1, refusal) = &out[0] else {
        panic!("{out:?}")
    };
    assert_eq!(refusal.reason, Reason::NoEndpoint);
}

#[test]
fn a_plain_service_is_one_hop() {
    let mut bundle = fixture::bundle(1);
    fixture::plain(&mut bundle, 0, 4);
    let mut bench = Bench::new(bundle);
    let request = Request {
        target: Target::Service(0),
        ..once(1)
    };
    let out = bench.on(Event::Arrive(request));
    let hop = Hop {
        endpoint: 0,
        from: 0,
        to: 0,
    };
    assert_eq!(out, [Action::Start(1, 1, vec![hop])]);
    assert_eq!(
        bench.on(Event::Finished(1, 1)),
        [Action::Finish(1, Outcome::Complete)]
    );
}

#[test]
fn a_request_past_its_deadline_is_refused_not_run() {
    let mut bench = Bench::new(fixture::fleet(1, 1, 1));
    let deadline = bench.now + Duration::from_millis(200);
    for id in 0..4 {
        bench.on(Event::Arrive(fixture::request(id, deadline)));
    }
    let out = bench.pass(Duration::from_millis(300));
    let refused = |a: &&Action| matches!(a, Action::Refuse(_, r) if r.reason == Reason::Deadline);
    assert_eq!(out.iter().filter(refused).count(), 1, "{out:?}");
}
