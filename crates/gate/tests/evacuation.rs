//! Tests for responses whose chain runs through endpoints that another node found to have ended.

mod support;

use gate::view::View;
use journal::event::Event;
use journal::{Journal, Line, Message};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{ids, request, send};
use support::server::{Behavior, Server, header};
use support::{ALLOWANCE, LAYERS, Node, run, stage, start, start_with, view, wait_for_request};
use tokio::time::{Instant, sleep, timeout};

/// Time within which a response moves: shorter than the idle time after which the head is queried.
const MOVE_TIME: Duration = Duration::from_millis(240);

/// Publishes a view that lists these endpoints as ended, and wakes the worker.
fn notify(node: &Node, mut view: View, ended: &[&Server]) {
    let addrs: Vec<_> = ended.iter().map(|s| s.addr).collect();
    let rows = view.fleet.endpoints.iter();
    let runs = rows.filter(|e| addrs.contains(&e.addr));
    let runs: BTreeSet<String> = runs.map(|e| e.run.to_string()).collect();
    view.fleet.ended = Arc::new(runs);
    node.shared_view.store(Some(Arc::new(view)));
    node.changed.send_modify(|n| *n += 1);
}

async fn silent() -> Server {
    Server::start(vec![Behavior::Silent]).await
}

/// Runs a response over a head with this behavior and two further stages, which end together after
/// `delay`. Returns the orders that the head got within `time`, and the number of requests that
/// were sent in all.
async fn orders_after_loss(
    behavior: Behavior,
    delay: Duration,
    time: Duration,
) -> (Vec<String>, usize) {
    let head = Server::start(vec![behavior]).await;
    let lost = [silent().await, silent().await];
    let spare = [silent().await, silent().await];
    let rows = |servers: &[Server; 2]| {
        let [second, third] = servers;
        vec![stage(second.addr, 1, 2), stage(third.addr, 2, LAYERS)]
    };
    let mut known = rows(&lost);
    known.push(stage(head.addr, 0, 1));
    let node = start(ALLOWANCE).await;
    node.shared_view.store(Some(Arc::new(view(known.clone()))));
    let sending = send(node.addr, request("/chat/x"));
    let changes = async {
        wait_for_request(&head).await;
        sleep(delay).await;
        known.extend(rows(&spare));
        notify(&node, view(known), &[&lost[0], &lost[1]]);
        sleep(time).await;
    };
    tokio::select! {
        _ = sending => {}
        () = changes => {}
    }
    let sent = spare.iter().map(|s| s.heads().len()).sum::<usize>();
    (head.orders(), sent + head.heads().len())
}

// Guards against two stages of a chain that are replaced one after the other, each after it was
// detected on its own: with a notification, one order replaces both, without a further attempt.
#[test]
fn all_ended_stages_are_replaced_in_one_order() {
    run(async {
        let behavior = Behavior::EventsThenStall(1, 2);
        let found = orders_after_loss(behavior, Duration::from_millis(60), MOVE_TIME).await;
        assert_eq!(found, (vec!["r1/3".to_owned()], 1));
    });
}

// The same before the first event: the head waits for the ended stages and sends no response.
#[test]
fn a_request_without_an_event_moves_too() {
    run(async {
        let delay = Duration::from_millis(20);
        let found = orders_after_loss(Behavior::Silent, delay, MOVE_TIME).await;
        assert_eq!(found, (vec!["r1/3".to_owned()], 1));
    });
}

// Guards against a prefill for nothing: the notification is wrong, and events still arrive.
#[test]
fn a_response_whose_events_arrive_is_not_moved() {
    run(async {
        let behavior = Behavior::PacedEvents(40, Duration::from_millis(15));
        let delay = Duration::from_millis(100);
        let found = orders_after_loss(behavior, delay, Duration::from_millis(400)).await;
        assert_eq!(found, (vec![], 1));
    });
}

// Guards against a slow stage that counts as ended: without a notification, a response with a pause
// is left alone.
#[test]
fn a_response_on_a_slow_stage_is_not_moved() {
    run(async {
        let head = Server::start(vec![Behavior::EventsWithPause(1..=2, MOVE_TIME, 3..=4)]).await;
        let (slow, spare) = (silent().await, silent().await);
        let node = start(ALLOWANCE).await;
        let rows = [&slow, &spare].map(|s| stage(s.addr, 1, LAYERS));
        let known = [rows.to_vec(), vec![stage(head.addr, 0, 1)]].concat();
        node.shared_view.store(Some(Arc::new(view(known))));
        let response = send(node.addr, request("/chat/x")).await;
        assert_eq!(ids(&response.body), [1, 2, 3, 4]);
        assert!(head.orders().is_empty());
    });
}

// The head does not respond any more. Guards against a wait until the slow detection gives it up:
// the response resumes on another chain at once, and the log says why.
#[test]
fn a_response_resumes_at_once_if_its_head_has_ended() {
    run(async {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let other = Server::start(vec![Behavior::Events(3, 4)]).await;
        let (journal, lines) = Journal::new(64);
        let node = start_with(ALLOWANCE, journal).await;
        let only = view(vec![stage(head.addr, 0, LAYERS)]);
        node.shared_view.store(Some(Arc::new(only)));
        let sending = send(node.addr, request("/chat/x"));
        let changes = async {
            wait_for_request(&head).await;
            sleep(Duration::from_millis(60)).await;
            let both = [&head, &other].map(|s| stage(s.addr, 0, LAYERS));
            notify(&node, view(both.to_vec()), &[&head]);
            Instant::now()
        };
        let both = async { tokio::join!(sending, changes) };
        let (response, notified) = timeout(Duration::from_secs(2), both).await.unwrap();
        assert!(notified.elapsed() < MOVE_TIME, "{:?}", notified.elapsed());
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true)
        );
        assert_eq!(header(&other.heads()[0], "after").as_deref(), Some("2"));
        let moved = lines.try_iter().any(|message| {
            matches!(
                message,
                Message::Line(Line {
                    event: Event::Moved {
                        option: "resume",
                        ..
                    },
                    ..
                })
            )
        });
        assert!(moved);
    });
}
