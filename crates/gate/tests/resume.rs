//! Tests for responses that are moved to another endpoint: an endpoint that may still respond is
//! not given up before another one has continued its response.

mod support;

use gate::view::View;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use steer::budget::Allowance;
use support::caller::{ids, request, send};
use support::server::{Behavior, Server};
use support::{
    ALLOWANCE, LAYERS, run, send_with_failover, stage, start, view, wait_for_request,
    with_services_reordered,
};

/// Longer than the idle time after which another endpoint is tried, shorter than the deadline.
const PAUSE: Duration = Duration::from_millis(2400);

/// An endpoint pauses between two events, and another one, which is tried meanwhile, has the given
/// behavior and does not continue the response. The caller must get the whole response.
fn a_pause_is_survived(other: Behavior, change: fn(View) -> View) {
    run(async {
        let first = Behavior::EventsWithPause(1..=2, PAUSE, 3..=4);
        let others = vec![other.clone()];
        let (response, servers) =
            send_with_failover("/chat/x", ALLOWANCE, first, others, change).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true),
            "{other:?}"
        );
        assert!(!servers[0].heads().is_empty(), "{other:?} was not tried");
    });
}

// Guards against a response that is cut off because its idle endpoint was given up and the next one
// refused the request, when no further retry was left.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_refuses() {
    a_pause_is_survived(Behavior::Refuse(503), |view| view);
}

// Guards against the same when the operator publishes a catalog meanwhile.
#[test]
fn an_idle_response_goes_on_under_a_newer_catalog() {
    a_pause_is_survived(Behavior::Refuse(503), with_services_reordered);
}

// Guards against the same when the next endpoint runs another instance.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_is_another_instance() {
    a_pause_is_survived(Behavior::Refuse(421), |view| view);
}

// Guards against the same when the next endpoint fails without stating that it did not run the
// request, which uses up the attempts of the route.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_fails() {
    a_pause_is_survived(Behavior::Answer(503, ""), |view| view);
}

// Guards against the same when the connection to the next endpoint breaks before its response.
#[test]
fn an_idle_response_goes_on_if_the_next_connection_breaks() {
    a_pause_is_survived(Behavior::Reset, |view| view);
}

// Guards against the same when the next endpoint never responds.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_is_silent() {
    a_pause_is_survived(Behavior::Silent, |view| view);
}

// Guards against the same when the next endpoint accepts the request and then sends no event.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_sends_no_event() {
    a_pause_is_survived(Behavior::EventsThenStall(3, 2), |view| view);
}

// Guards against the same when the stream of the next endpoint breaks before its first event.
#[test]
fn an_idle_response_goes_on_if_the_next_stream_breaks() {
    a_pause_is_survived(Behavior::EventsThenReset(3, 2), |view| view);
}

// Guards against the same when the next endpoint ends its stream without an event.
#[test]
fn an_idle_response_goes_on_if_the_next_stream_is_empty() {
    a_pause_is_survived(Behavior::Events(3, 2), |view| view);
}

// Guards against the same when the next endpoint skips an event.
#[test]
fn an_idle_response_goes_on_if_the_next_endpoint_skips_an_event() {
    a_pause_is_survived(Behavior::Events(4, 4), |view| view);
}

// Guards against a response that is cut off although the next endpoint has accepted it: its idle
// endpoint breaks while the next one has not sent an event yet.
#[test]
fn an_idle_response_that_breaks_is_continued_by_the_next_endpoint() {
    run(async {
        #[allow(clippy::reversed_empty_ranges)]
        let first = Behavior::EventsWithPause(1..=2, Duration::from_millis(1900), 3..=2);
        let delay = Duration::from_millis(600);
        let other = Behavior::Delayed(delay, Box::new(Behavior::Events(3, 4)));
        let (response, _) =
            send_with_failover("/chat/x", ALLOWANCE, first, vec![other], |view| view).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true)
        );
    });
}

// Guards against status 200 for a response that ends before its first event: no endpoint is left,
// and the caller must get an error instead of a response that is cut off.
#[test]
fn a_response_that_breaks_before_its_first_event_is_an_error() {
    run(async {
        for others in [vec![], vec![Behavior::Refuse(503)], vec![Behavior::Reset]] {
            let first = Behavior::EventsThenReset(1, 0);
            let (response, _) =
                send_with_failover("/chat/x", ALLOWANCE, first, others.clone(), |view| view).await;
            assert_eq!(
                (response.status, response.complete),
                (StatusCode::BAD_GATEWAY, true),
                "{others:?}"
            );
        }
    });
}

// Guards against an error for a response whose slow endpoint was given up before its head, when the
// next endpoint does not answer either.
#[test]
fn a_slow_response_is_awaited_if_the_next_endpoint_does_not_answer() {
    run(async {
        let delay = Duration::from_millis(1500);
        for other in [Behavior::Refuse(503), Behavior::Reset, Behavior::Silent] {
            let first = Behavior::Delayed(delay, Box::new(Behavior::Answer(200, "late")));
            let others = vec![other.clone()];
            let (response, servers) =
                send_with_failover("/safe/x", ALLOWANCE, first, others, |view| view).await;
            assert_eq!(
                (response.status, response.body.as_str()),
                (StatusCode::OK, "late"),
                "{other:?}"
            );
            assert!(!servers[0].heads().is_empty(), "{other:?} was not tried");
        }
    });
}

// Guards against the same for an event stream.
#[test]
fn a_slow_stream_is_awaited_if_the_next_endpoint_does_not_answer() {
    run(async {
        for other in [Behavior::Refuse(503), Behavior::Reset, Behavior::Silent] {
            let first = Behavior::Delayed(PAUSE, Box::new(Behavior::Events(1, 4)));
            let others = vec![other.clone()];
            let (response, servers) =
                send_with_failover("/chat/x", ALLOWANCE, first, others, |view| view).await;
            assert_eq!(
                (ids(&response.body), response.complete),
                (vec![1, 2, 3, 4], true),
                "{other:?}"
            );
            assert!(!servers[0].heads().is_empty(), "{other:?} was not tried");
        }
    });
}

// Guards against lost events: an endpoint skips an event, and the events before the gap, which were
// received together with those behind it, were dropped but counted as forwarded.
#[test]
fn events_before_a_gap_are_forwarded() {
    run(async {
        let first = Behavior::OneChunk(vec![1, 2, 4]);
        let others = vec![Behavior::Events(3, 5)];
        let (response, _) =
            send_with_failover("/chat/x", ALLOWANCE, first, others, |view| view).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4, 5], true)
        );
    });
}

// Guards against a response that stays blocked on a failed stage: the head could not replace it
// once, and the node then took the stage for replaced.
#[test]
fn a_replacement_that_failed_is_tried_again() {
    run(async {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let lost = Server::start(vec![Behavior::Silent]).await;
        let spare = Server::start(vec![Behavior::Silent]).await;
        let mut known = vec![stage(head.addr, 0, 2), stage(lost.addr, 2, LAYERS)];
        let node = start(ALLOWANCE).await;
        node.shared_view.store(Some(Arc::new(view(known.clone()))));
        let sending = send(node.addr, request("/chat/x"));
        let changes = async {
            wait_for_request(&head).await;
            known.push(stage(spare.addr, 2, LAYERS));
            node.shared_view.store(Some(Arc::new(view(known))));
            head.refuse_next_order(lost.addr);
            while head.orders().len() < 2 {
                head.set_report(format!("r1 {}", lost.addr));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(sending, changes) };
        let _ = tokio::time::timeout(Duration::from_millis(1400), both).await;
        assert_eq!(head.orders(), ["r1/2", "r1/2"]);
    });
}

// Guards against responses in progress that are cut off because requests that no endpoint has
// accepted yet used up the retry budget.
#[test]
fn a_broken_response_is_resumed_after_other_requests_used_up_their_retries() {
    run(async {
        let allowance = Allowance {
            ratio: 1.0,
            slack: 0.0,
            window: Duration::from_secs(10),
        };
        #[allow(clippy::reversed_empty_ranges)]
        let breaks = Behavior::EventsWithPause(1..=2, Duration::from_millis(1000), 3..=2);
        let a = Server::start(vec![breaks, Behavior::Refuse(503)]).await;
        let b = Server::start(vec![Behavior::Refuse(503)]).await;
        let node = start(allowance).await;
        let known = [a.addr, b.addr].map(|addr| stage(addr, 0, LAYERS));
        node.shared_view
            .store(Some(Arc::new(view(known[..1].to_vec()))));
        let sending = send(node.addr, request("/chat/x"));
        let others = async {
            wait_for_request(&a).await;
            node.shared_view.store(Some(Arc::new(view(known.to_vec()))));
            let refused = (0..40).map(|_| send(node.addr, request("/chat/x")));
            for response in futures::future::join_all(refused).await {
                assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            }
            a.set_behavior(Behavior::Events(3, 4));
            b.set_behavior(Behavior::Events(3, 4));
        };
        let (response, ()) = tokio::join!(sending, others);
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true)
        );
    });
}

// Guards against responses in progress that are cut off because attempts beside idle endpoints,
// which may still continue, took the retries that are left for them.
#[test]
fn a_broken_response_is_resumed_after_attempts_beside_idle_ones() {
    run(async {
        let allowance = Allowance {
            ratio: 1.0,
            slack: 0.0,
            window: Duration::from_secs(10),
        };
        #[allow(clippy::reversed_empty_ranges)]
        let breaks = Behavior::EventsWithPause(1..=2, Duration::from_millis(3200), 3..=2);
        let a = Server::start(vec![Behavior::EventsWithPause(1..=2, PAUSE, 3..=4)]).await;
        let b = Server::start(vec![Behavior::Refuse(503)]).await;
        let node = start(allowance).await;
        let known = [a.addr, b.addr].map(|addr| stage(addr, 0, LAYERS));
        let publish = |known: &[catalog::endpoint::Endpoint]| {
            node.shared_view.store(Some(Arc::new(view(known.to_vec()))));
        };
        publish(&known[..1]);
        let idle = (0..40).map(|_| send(node.addr, request("/chat/x")));
        let idle = futures::future::join_all(idle);
        let others = async {
            while a.heads().len() < 40 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            a.set_behavior(breaks);
            let broken = send(node.addr, request("/chat/x"));
            let registered = async {
                tokio::time::sleep(Duration::from_millis(1300)).await;
                publish(&known);
                tokio::time::sleep(Duration::from_millis(1000)).await;
                b.set_behavior(Behavior::Events(3, 4));
            };
            tokio::join!(broken, registered).0
        };
        let (_, broken) = tokio::join!(idle, others);
        assert_eq!(
            (ids(&broken.body), broken.complete),
            (vec![1, 2, 3, 4], true)
        );
    });
}
