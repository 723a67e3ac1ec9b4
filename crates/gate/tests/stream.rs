//! Tests for event streams: no event is duplicated or lost, and only complete responses look
//! complete.

mod support;

use catalog::endpoint::State;
use gate::view::View;
use http::StatusCode;
use journal::event::Event;
use journal::{Journal, Line, Message};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steer::budget::Allowance;
use support::caller::{Received, ids, request, send};
use support::server::{Behavior, Server, header};
use support::{
    ALLOWANCE, LAYERS, node, run, stage, start, start_with, view, wait_for_request,
    with_services_reordered,
};

/// Sends a request to an endpoint with the first behavior; an endpoint with the second one is
/// available for failover. Returns the response and the request heads that the second endpoint
/// received.
async fn send_with_failover(first: Behavior, second: Behavior) -> (Received, Vec<String>) {
    let others = vec![second];
    let (response, servers) =
        support::send_with_failover("/chat/x", ALLOWANCE, first, others, |view| view).await;
    (response, servers[0].heads())
}

#[test]
fn events_are_forwarded_unchanged() {
    run(async {
        let (response, _) = send_with_failover(Behavior::Events(1, 5), Behavior::Silent).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4, 5], true)
        );
        assert_eq!(response.headers["seal"], "s");
    });
}

// The endpoint fails in the middle of an event. The caller gets the response without a partial,
// duplicate or missing event, and the other endpoint is told after which event to resume.
#[test]
fn a_response_resumes_after_the_last_complete_event() {
    run(async {
        let (response, heads) =
            send_with_failover(Behavior::EventsThenReset(1, 3), Behavior::Events(4, 6)).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            ((1..=6).collect(), true)
        );
        assert!(
            !response.body.contains("data: t4\n\ndata"),
            "{}",
            response.body
        );
        assert_eq!(header(&heads[0], "after").as_deref(), Some("3"));
    });
}

// The other endpoint restarts the response instead of resuming it. Events that the caller already
// has are skipped.
#[test]
fn events_that_the_caller_has_are_skipped() {
    run(async {
        let (response, _) =
            send_with_failover(Behavior::EventsThenReset(1, 3), Behavior::Events(1, 6)).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            ((1..=6).collect(), true)
        );
    });
}

// The other endpoint skips an event. A response with a gap must not look complete.
#[test]
fn a_response_with_a_gap_is_aborted() {
    run(async {
        let (response, _) =
            send_with_failover(Behavior::EventsThenReset(1, 3), Behavior::Events(5, 6)).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3], false)
        );
    });
}

// No endpoint can resume the response. The caller keeps the events that it received, and its
// connection is aborted so that the response does not look complete.
#[test]
fn an_unfinished_response_does_not_look_complete() {
    run(async {
        let (response, _) =
            send_with_failover(Behavior::EventsThenReset(1, 3), Behavior::Refuse(503)).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3], false)
        );
    });
}

// An endpoint stops sending between two events. The stall is detected, and another endpoint resumes
// the response before the caller gives up.
#[test]
fn a_stalled_response_resumes_on_another_endpoint() {
    run(async {
        let (response, _) =
            send_with_failover(Behavior::EventsThenStall(1, 2), Behavior::Events(3, 4)).await;
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true)
        );
    });
}

// The same without a budget for retries. A stall alone is no reason to abort a response that may
// still continue; it stays open until its deadline.
#[test]
fn an_idle_response_stays_open_while_no_endpoint_can_resume_it() {
    run(async {
        let none = Allowance {
            ratio: 0.0,
            slack: 0.0,
            window: Duration::from_secs(10),
        };
        let a = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let b = Server::start(vec![Behavior::Events(3, 4)]).await;
        let node = start(none).await;
        let both = view(vec![stage(a.addr, 0, LAYERS), stage(b.addr, 0, LAYERS)]);
        node.shared_view.store(Some(Arc::new(both)));
        // Either endpoint may be selected first. If it is the one that responds completely, there
        // is nothing to test in this run.
        let sending = send(node.addr, request("/chat/x"));
        let ended = tokio::time::timeout(Duration::from_millis(2500), sending).await;
        if let Ok(response) = ended {
            assert!(a.heads().is_empty(), "{response:?}");
            return;
        }
        assert_eq!((a.heads().len(), b.heads().len()), (1, 0));
    });
}

// The head of a chain reports that it waits for a failed stage. The stage is replaced in the chain
// in flight: the same response continues, without a further attempt.
#[test]
fn a_failed_stage_is_replaced_in_flight() {
    a_stage_fails(|view| view);
}

// While the response is in flight, the operator publishes a catalog that lists the services in
// another order. The response was admitted under the previous version; its stage must still be
// replaced by one of the same service.
#[test]
fn a_failed_stage_is_replaced_under_a_newer_catalog() {
    a_stage_fails(with_services_reordered);
}

/// A stage fails while a response is in flight, and the view then changes as given by `change`.
fn a_stage_fails(change: fn(View) -> View) {
    a_stage_is_replaced(change, true, Duration::from_millis(1200));
}

// An endpoint announces that it leaves while a response passes through it, and keeps serving for
// two more seconds. If the response stayed, it would stall when the endpoint ends, until the stall
// is detected. So it is moved before: the head gets the order although it waits for nothing, and no
// new attempt is sent.
#[test]
fn a_response_is_moved_off_a_leaving_stage() {
    let leaves = |mut view: View| {
        Arc::make_mut(&mut view.fleet.endpoints)[1].state = State::Draining;
        view
    };
    // Shorter than the idle time after which a response is abandoned.
    a_stage_is_replaced(leaves, false, Duration::from_millis(1400));
}

/// Runs a response over two stages. Then a spare endpoint for the second stage registers, and the
/// view changes as given by `change`; with `stalls` the head reports that the response waits for
/// the second stage. Within `time` the head must be ordered to continue over the spare endpoint,
/// without a new attempt.
fn a_stage_is_replaced(change: fn(View) -> View, stalls: bool, time: Duration) {
    run(async move {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let second = Server::start(vec![Behavior::Silent]).await;
        let spare = Server::start(vec![Behavior::Silent]).await;
        let node = node(vec![stage(head.addr, 0, 2), stage(second.addr, 2, LAYERS)]).await;
        let sending = send(node.addr, request("/chat/x"));
        let changes = async {
            wait_for_request(&head).await;
            let rows = vec![
                stage(head.addr, 0, 2),
                stage(second.addr, 2, LAYERS),
                stage(spare.addr, 2, LAYERS),
            ];
            node.shared_view.store(Some(Arc::new(change(view(rows)))));
            if stalls {
                head.set_report(format!("r1 {}", second.addr));
            }
            while head.orders().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(sending, changes) };
        let _ = tokio::time::timeout(time, both).await;
        assert_eq!(head.orders(), ["r1/2"]);
        assert_eq!((head.heads().len(), spare.heads().len()), (1, 0));
    });
}

// Guards against a new attempt, which costs retry budget and a prefill of all tokens, when two
// stages of a chain fail together. The head reports one of them, and rejects a replacement of that
// one alone because the other is missing too.
#[test]
fn two_stages_that_fail_together_are_both_replaced() {
    two_stages_are_replaced(|view| view, true);
}

// Guards against responses that stay on departing stages because the head rejects each replacement
// of a single one while the other is missing. 1,800 orders of one day were rejected this way, and the
// responses stalled in the end.
#[test]
fn two_stages_that_leave_together_are_both_replaced() {
    let leave = |mut view: View| {
        let rows = Arc::make_mut(&mut view.fleet.endpoints);
        rows[..2].iter_mut().for_each(|r| r.state = State::Draining);
        view
    };
    two_stages_are_replaced(leave, false);
}

/// Runs a response over a head and two further stages. Then spare endpoints for both stages
/// register, and the view changes as given by `change`; with `stalls` the head reports that the
/// response waits for the second stage. The head accepts a replacement of both stages but not of
/// one alone; no new attempt must be sent.
fn two_stages_are_replaced(change: fn(View) -> View, stalls: bool) {
    run(async move {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let silent = || Server::start(vec![Behavior::Silent]);
        let (lost, spare) = (
            [silent().await, silent().await],
            [silent().await, silent().await],
        );
        let rows = |servers: &[Server; 2]| {
            let [second, third] = servers;
            vec![stage(second.addr, 1, 2), stage(third.addr, 2, LAYERS)]
        };
        let mut known = rows(&lost);
        known.push(stage(head.addr, 0, 1));
        let node = node(known.clone()).await;
        let sending = send(node.addr, request("/chat/x"));
        let changes = async {
            wait_for_request(&head).await;
            head.refuse_next_order(lost[1].addr);
            if stalls {
                head.set_report(format!("r1 {}", lost[0].addr));
            }
            known.extend(rows(&spare));
            node.shared_view.store(Some(Arc::new(change(view(known)))));
            while head.orders().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(sending, changes) };
        let _ = tokio::time::timeout(Duration::from_millis(1400), both).await;
        assert_eq!(head.orders(), ["r1/3", "r1/3"]);
        let sent: usize = spare.iter().map(|s| s.heads().len()).sum();
        assert_eq!((head.heads().len(), sent), (1, 0));
    });
}

// Guards against a pause that is recorded too short: when a response was resumed from another
// endpoint, the pause was measured from the resumption and not from the caller's last event.
#[test]
fn the_recorded_pause_is_the_callers() {
    run(async {
        let silent = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let other = Server::start(vec![Behavior::Events(3, 5)]).await;
        let (journal, lines) = Journal::new(64);
        let node = start_with(ALLOWANCE, journal).await;
        let first = view(vec![stage(silent.addr, 0, LAYERS)]);
        node.shared_view.store(Some(Arc::new(first)));
        let sending = send(node.addr, request("/chat/x"));
        let publish = async {
            wait_for_request(&silent).await;
            let both = [silent.addr, other.addr].map(|addr| stage(addr, 0, LAYERS));
            node.shared_view.store(Some(Arc::new(view(both.to_vec()))));
        };
        let started = Instant::now();
        let (response, ()) = tokio::join!(sending, publish);
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4, 5], true)
        );
        let waited = started.elapsed().as_millis() as u64;
        let recorded = lines.try_iter().find_map(|message| match message {
            Message::Line(Line {
                event: Event::Ended { pause_ms, .. },
                ..
            }) => Some(pause_ms),
            _ => None,
        });
        let recorded = recorded.expect("the request ended");
        assert!(
            recorded * 2 > waited && recorded <= waited,
            "{recorded} of {waited} ms"
        );
    });
}

#[test]
fn the_chain_header_names_every_stage() {
    run(async {
        let head = Server::start(vec![Behavior::Events(1, 2)]).await;
        let tail = Server::start(vec![Behavior::Silent]).await;
        let node = node(vec![stage(head.addr, 0, 1), stage(tail.addr, 1, LAYERS)]).await;
        let response = send(node.addr, request("/chat/x")).await;
        assert_eq!(response.status, StatusCode::OK);
        let chain = header(&head.heads()[0], "chain").unwrap();
        assert_eq!(chain, format!("{}=0-1,{}=1-4", head.addr, tail.addr));
    });
}

// No endpoint holds one of the layers. The caller is told at once that the request was not
// executed, with a retry-after delay.
#[test]
fn a_request_that_no_chain_can_take_is_refused_as_not_run() {
    run(async {
        let head = Server::start(vec![Behavior::Events(1, 2)]).await;
        let node = node(vec![stage(head.addr, 0, 2)]).await;
        let response = send(node.addr, request("/chat/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let after: f64 = response.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(after > 0.0 && head.heads().is_empty());
    });
}
