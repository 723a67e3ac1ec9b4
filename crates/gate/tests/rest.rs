//! Endpoints that refuse a request and ask to be left alone for a time.

mod support;

use catalog::Endpoint;
use http::StatusCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::caller::{Received, request, send};
use support::server::{Behavior, Server, header};
use support::{LAYERS, Node, node, plain, run, stage, view};

/// Rest that outlasts every test.
const LONG: Duration = Duration::from_secs(30);
/// Maximum time for a refusal that does not wait for the queue time of the route, 160 ms.
const AT_ONCE: Duration = Duration::from_millis(150);

fn answer() -> Behavior {
    Behavior::Answer(200, "x")
}

fn delayed(ms: u64, behavior: Behavior) -> Behavior {
    Behavior::Delayed(Duration::from_millis(ms), Box::new(behavior))
}

async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Sends requests one after the other, at intervals longer than the time for which a full endpoint
/// is passed over.
async fn send_slowly(node: &Node, path: &str, count: usize) {
    for _ in 0..count {
        let response = send(node.addr, request(path)).await;
        assert_eq!(response.status, StatusCode::OK);
        sleep(130).await;
    }
}

/// Sends requests until the endpoint has received `count`.
async fn send_until(node: &Node, path: &str, server: &Server, count: usize) {
    for _ in 0..100 {
        if server.heads().len() >= count {
            return;
        }
        send(node.addr, request(path)).await;
    }
    panic!("{} requests", server.heads().len());
}

fn retry_after(response: &Received) -> f64 {
    let value = response.headers.get("retry-after").expect("no retry-after");
    value.to_str().unwrap().parse().unwrap()
}

/// Asserts that a request is refused at once, as one that was not run.
async fn assert_refused_at_once(node: &Node, path: &str) -> Received {
    let started = Instant::now();
    let response = send(node.addr, request(path)).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    response
}

// Guards against requests to an endpoint that refused one with 503 and asked to be left alone.
#[test]
fn an_endpoint_that_asked_for_rest_gets_no_requests_until_its_end() {
    run(async {
        let rest = Duration::from_millis(900);
        let resting = Server::start(vec![Behavior::AskForRest(rest), answer()]).await;
        let other = Server::start(vec![answer()]).await;
        let node = node(vec![plain(resting.addr), plain(other.addr)]).await;
        send_until(&node, "/safe/x", &resting, 1).await;
        let asked = Instant::now();
        while asked.elapsed() < rest - Duration::from_millis(150) {
            send_slowly(&node, "/once/x", 1).await;
        }
        assert_eq!(resting.heads().len(), 1);
        sleep(150).await;
        send_until(&node, "/safe/x", &resting, 3).await;
    });
}

// Guards against an answer of a request that began before the refusal, which would end the rest.
#[test]
fn a_response_that_began_before_a_rest_does_not_end_it() {
    run(async {
        let server = Server::start(vec![
            delayed(200, answer()),
            Behavior::AskForRest(LONG),
            answer(),
        ])
        .await;
        let node = node(vec![plain(server.addr)]).await;
        let first = send(node.addr, request("/safe/x"));
        let second = async {
            sleep(50).await;
            send(node.addr, request("/safe/x")).await
        };
        let (first, second) = tokio::join!(first, second);
        let statuses = (first.status.as_u16(), second.status.as_u16());
        assert_eq!(statuses, (200, 503));
        assert_refused_at_once(&node, "/safe/x").await;
        assert_eq!(server.heads().len(), 2);
    });
}

// Guards against a rest that is forgotten with the view in which it began, and against one that a
// new process at the same address inherits.
#[test]
fn a_rest_lasts_over_new_views_and_ends_with_the_run() {
    run(async {
        let server = Server::start(vec![Behavior::AskForRest(LONG), answer()]).await;
        let node = node(vec![plain(server.addr)]).await;
        send(node.addr, request("/safe/x")).await;
        let renewed = support::with_services_reordered(view(vec![plain(server.addr)]));
        node.shared_view.store(Some(Arc::new(renewed)));
        sleep(130).await;
        assert_refused_at_once(&node, "/safe/x").await;
        assert_eq!(server.heads().len(), 1);
        let mut restarted = plain(server.addr);
        restarted.run.started_at += 1;
        node.shared_view
            .store(Some(Arc::new(view(vec![restarted]))));
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::OK);
    });
}

// Guards against requests that wait in vain while all endpoints rest, and against callers that all
// return at the same instant, or before the rest ends.
#[test]
fn requests_are_refused_at_once_with_a_spread_time_while_all_endpoints_rest() {
    run(async {
        let long = Server::start(vec![Behavior::AskForRest(LONG)]).await;
        let short = Server::start(vec![Behavior::AskForRest(Duration::from_secs(3))]).await;
        let node = node(vec![plain(long.addr), plain(short.addr)]).await;
        let first = Instant::now();
        send(node.addr, request("/safe/x")).await;
        let mut times = Vec::new();
        for _ in 0..20 {
            let response = assert_refused_at_once(&node, "/once/x").await;
            times.push(retry_after(&response) + first.elapsed().as_secs_f64());
        }
        assert_eq!((long.heads().len(), short.heads().len()), (1, 1));
        let min = times.iter().copied().fold(f64::MAX, f64::min);
        let max = times.iter().copied().fold(0.0, f64::max);
        assert!((3.0..3.5).contains(&min), "{min}");
        assert!(max > min + 0.3 && max < 6.0, "{min} to {max}");
    });
}

// Guards against a stated time that is too early: a caller that returns then would be refused again.
#[test]
fn callers_that_return_at_the_stated_time_are_served() {
    run(async {
        let rest = Behavior::AskForRest(Duration::from_millis(500));
        let server = Server::start(vec![rest, answer()]).await;
        let node = node(vec![plain(server.addr)]).await;
        send(node.addr, request("/once/x")).await;
        let callers = (0..20).map(|_| async {
            let refused = assert_refused_at_once(&node, "/once/x").await;
            tokio::time::sleep(Duration::from_secs_f64(retry_after(&refused))).await;
            send(node.addr, request("/once/x")).await.status
        });
        let statuses = futures::future::join_all(callers).await;
        assert!(
            statuses.iter().all(|&s| s == StatusCode::OK),
            "{statuses:?}"
        );
    });
}

// Guards against requests that wait in the queue for an endpoint and are sent to it although it
// asked for rest meanwhile.
#[test]
fn requests_that_wait_for_capacity_are_not_sent_to_an_endpoint_that_asked_for_rest() {
    run(async {
        let refusal = delayed(60, Behavior::AskForRest(LONG));
        let server = Server::start(vec![refusal]).await;
        let endpoint = Endpoint {
            slots: 1,
            ..plain(server.addr)
        };
        let node = node(vec![endpoint]).await;
        let requests = (0..12).map(|_| send(node.addr, request("/safe/x")));
        let responses = futures::future::join_all(requests).await;
        let refused = |r: &Received| r.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(responses.iter().all(refused));
        assert_eq!(server.heads().len(), 4);
    });
}

// Guards against a retry that goes back to the endpoint that asked for rest when no other endpoint
// can take the request.
#[test]
fn a_retry_waits_for_a_full_endpoint_rather_than_disturb_one_that_rests() {
    run(async {
        let resting = Server::start(vec![Behavior::AskForRest(LONG), answer()]).await;
        // Earlier requests provide the budget for the retries.
        let mut behaviors = vec![answer(); 20];
        behaviors.extend([Behavior::Refuse(503), Behavior::Refuse(503), answer()]);
        let full = Server::start(behaviors).await;
        let node = node(vec![plain(full.addr)]).await;
        for _ in 0..20 {
            send(node.addr, request("/safe/x")).await;
        }
        let both = view(vec![plain(resting.addr), plain(full.addr)]);
        node.shared_view.store(Some(Arc::new(both)));
        for _ in 0..3 {
            let response = send(node.addr, request("/safe/x")).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
        }
        assert!(resting.heads().len() <= 1);
    });
}

// Guards against chains through an endpoint that asked for rest, whether as head or as stage.
#[test]
fn no_chain_runs_through_an_endpoint_that_asked_for_rest() {
    run(async {
        let stream = || Behavior::Events(1, 3);
        let resting = Server::start(vec![Behavior::AskForRest(LONG), stream()]).await;
        let (head, tail) = (
            Server::start(vec![stream()]).await,
            Server::start(vec![stream()]).await,
        );
        let node = node(vec![
            stage(resting.addr, 0, LAYERS),
            stage(head.addr, 0, 2),
            stage(tail.addr, 2, LAYERS),
        ])
        .await;
        send_until(&node, "/chat/x", &resting, 1).await;
        let before = head.heads().len();
        send_slowly(&node, "/chat/x", 5).await;
        assert_eq!(resting.heads().len(), 1);
        let chains = head.heads();
        let chains = chains[before..].iter().filter_map(|h| header(h, "chain"));
        let chains: Vec<String> = chains.collect();
        let own = resting.addr.to_string();
        assert_eq!(chains.len(), 5);
        assert!(chains.iter().all(|c| !c.contains(&own)), "{chains:?}");
    });
}

// Guards against a chain without a substitute for the endpoint that rests: its callers are refused
// at once, with the time at which the rest ends.
#[test]
fn a_model_request_is_refused_at_once_while_its_only_chain_rests() {
    run(async {
        let rest = Duration::from_secs(2);
        let head = Server::start(vec![Behavior::AskForRest(rest)]).await;
        let tail = Server::start(vec![Behavior::Silent]).await;
        let endpoints = vec![stage(head.addr, 0, 2), stage(tail.addr, 2, LAYERS)];
        let node = node(endpoints).await;
        send(node.addr, request("/chat/x")).await;
        let response = assert_refused_at_once(&node, "/chat/x").await;
        let after = retry_after(&response);
        assert!((1.5..4.0).contains(&after), "{after}");
        assert_eq!(head.heads().len(), 1);
    });
}

// Guards against requests to a head that asked for rest because of another stage of its chain: the
// rest is that of the endpoint that answers.
#[test]
fn a_head_rests_also_if_another_stage_is_at_fault() {
    run(async {
        let tail = Server::start(vec![Behavior::Silent]).await;
        let refusal = Behavior::AskForRestBecauseOf(LONG, tail.addr);
        let head = Server::start(vec![refusal, Behavior::Events(1, 3)]).await;
        let other = Server::start(vec![Behavior::Events(1, 3)]).await;
        let node = node(vec![
            stage(head.addr, 0, 2),
            stage(other.addr, 0, 2),
            stage(tail.addr, 2, LAYERS),
        ])
        .await;
        send_until(&node, "/chat/x", &head, 1).await;
        sleep(350).await;
        let before = other.heads().len();
        for _ in 0..5 {
            sleep(130).await;
            send(node.addr, request("/chat/x")).await;
        }
        assert_eq!((head.heads().len(), other.heads().len()), (1, before + 5));
    });
}

// Guards against a rest that counts as a failure, with its longer and longer ejections, because the
// head names itself as the stage at fault.
#[test]
fn a_head_that_asks_for_rest_has_not_failed() {
    run(async {
        let server = Server::start(Vec::new()).await;
        server.set_behavior(Behavior::AskForRestBecauseOf(LONG, server.addr));
        let node = node(vec![stage(server.addr, 0, LAYERS)]).await;
        send(node.addr, request("/chat/x")).await;
        let dump = node.worker.dump().await;
        assert!(dump.contains("failures 0 rest until"), "{dump}");
    });
}

// Guards against a response to another request, which may come from another endpoint, that puts an
// endpoint to rest.
#[test]
fn the_refusal_of_another_request_does_not_begin_a_rest() {
    run(async {
        let stray = Behavior::AskForRestAsOtherRequest(LONG);
        let server = Server::start(vec![stray, answer()]).await;
        let node = node(vec![plain(server.addr)]).await;
        send(node.addr, request("/safe/x")).await;
        sleep(350).await;
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::OK);
    });
}

// Guards against a burst of requests at the end of a rest, which would meet an endpoint that asks
// for more rest.
#[test]
fn few_requests_are_sent_after_a_rest_until_one_is_accepted() {
    run(async {
        let rest = Duration::from_millis(300);
        let server = Server::start(vec![
            Behavior::AskForRest(rest),
            delayed(20, Behavior::AskForRest(rest)),
            delayed(20, answer()),
        ])
        .await;
        let node = node(vec![plain(server.addr)]).await;
        let burst = || async {
            let requests = (0..10).map(|_| send(node.addr, request("/safe/x")));
            let responses = futures::future::join_all(requests).await;
            let answered = responses.iter().filter(|r| r.status == StatusCode::OK);
            answered.count()
        };
        send(node.addr, request("/safe/x")).await;
        sleep(310).await;
        assert_eq!(burst().await, 0);
        let sent = server.heads().len() - 1;
        assert!((1..=2).contains(&sent), "{sent}");
        sleep(330).await;
        assert_eq!(burst().await, 10);
    });
}
