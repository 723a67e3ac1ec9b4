//! Requests that wait for capacity, before one endpoint with one slot and 60 ms a request.

mod support;

use catalog::Catalog;
use gate::view::View;
use http::StatusCode;
use journal::Journal;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{Received, request, send};
use support::server::{Behavior, Server, header};
use support::{
    ALLOWANCE, LAYERS, Node, run, stage, start_with, tables, view, with_all_removed,
    with_room_for_one, with_second_team,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A request that was sent; gives the response and its time.
type Caller = JoinHandle<(Received, Duration)>;

/// A node with two teams, whose route `urgent` goes before `chat`, and its endpoint, which holds
/// capacity for one request.
async fn node(latency_target: Duration, behavior: Behavior, journal: Journal) -> (Node, Server) {
    let server = Server::start(vec![behavior.delayed(Duration::from_millis(60))]).await;
    let mut tables = tables();
    let mut urgent = tables.routes.pop().unwrap();
    urgent.latency_target = latency_target;
    tables.routes.push(urgent.clone());
    urgent.name = "urgent".to_owned();
    urgent.prefix = "/urgent/".to_owned();
    urgent.priority = 0;
    tables.routes.push(urgent);
    let tables = with_room_for_one(with_second_team(tables));
    let mut view = view(vec![stage(server.addr, 0, LAYERS)]);
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    let node = start_with(ALLOWANCE, journal).await;
    node.shared_view.store(Some(Arc::new(view)));
    (node, server)
}

fn send_as(node: &Node, id: &str, key: &'static str, path: &str) -> Caller {
    let (addr, mut request) = (node.addr, request(path));
    request.headers_mut().insert("id", id.try_into().unwrap());
    request.headers_mut().insert("key", key.try_into().unwrap());
    let sent_at = Instant::now();
    tokio::task::spawn_local(async move { (send(addr, request).await, sent_at.elapsed()) })
}

/// Sends requests of the first team.
fn send_many(node: &Node, count: usize) -> Vec<Caller> {
    (0..count)
        .map(|n| send_as(node, &format!("n{n}"), "k1", "/chat/x"))
        .collect()
}

/// Waits until this many requests wait.
async fn wait_for_waiting(node: &Node, count: usize) {
    let line = format!("queue model waiting {count} ");
    let waits = async {
        while !node.worker.dump().await.contains(&line) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(2), waits).await;
    reached.expect(&line);
}

/// Lets `count` requests of the first team wait for up to 4 s behind one that the endpoint holds.
async fn with_waiting(count: usize) -> (Node, Server, Vec<Caller>) {
    let held = Behavior::Events(1, 2).held();
    let (node, server) = node(Duration::from_secs(10), held, Journal::disabled()).await;
    let callers = send_many(&node, count + 1);
    wait_for_waiting(&node, count).await;
    (node, server, callers)
}

/// Sends two requests of the second team behind 30 others, and returns the ids of those that get the
/// next two slots.
async fn next_two(paths: [&str; 2]) -> BTreeSet<String> {
    let (node, server, mut callers) = with_waiting(30).await;
    callers.push(send_as(&node, "s0", "k2", paths[0]));
    callers.push(send_as(&node, "s1", "k2", paths[1]));
    wait_for_waiting(&node, 32).await;
    server.release(40);
    for response in callers {
        assert_eq!(response.await.unwrap().0.status, StatusCode::OK);
    }
    let next = server.heads()[1..3].to_vec();
    next.iter().map(|h| header(h, "id").unwrap()).collect()
}

// Guards against urgent requests that wait behind less urgent ones, and against a team that waits
// behind all requests of another one.
#[test]
fn urgent_requests_get_the_next_slots_and_a_second_team_the_second_one() {
    run(async {
        let urgent = next_two(["/urgent/x", "/urgent/x"]).await;
        assert_eq!(urgent, ["s0", "s1"].map(str::to_owned).into());
        let fair = next_two(["/chat/x", "/chat/x"]).await;
        assert!(fair.contains("s0"), "{fair:?}");
    });
}

// Guards against callers that wait in vain, and against refused callers that all come back at once.
#[test]
fn a_request_that_can_not_be_served_in_time_is_refused_early() {
    run(async {
        let (journal, lines) = Journal::new(1_000);
        let target = Duration::from_secs(2);
        let (node, _server) = node(target, Behavior::Events(1, 2), journal).await;
        let mut served = 0;
        let mut delays = BTreeSet::new();
        for response in send_many(&node, 30) {
            let (response, time) = response.await.unwrap();
            if response.status == StatusCode::OK {
                served += 1;
                continue;
            }
            assert!(time <= target.mul_f64(0.4) / 2, "refused after {time:?}");
            delays.insert(response.headers["retry-after"].to_str().unwrap().to_owned());
        }
        assert!((6..30).contains(&served), "{served}");
        assert!(delays.len() > (30 - served) / 2, "{delays:?}");
        let seconds = |d: &String| (0.1..10.0).contains(&d.parse::<f64>().unwrap());
        assert!(delays.iter().all(seconds), "{delays:?}");
        let refusals = lines
            .try_iter()
            .filter(|l| format!("{l:?}").contains("too_late"));
        assert_eq!(refusals.count(), 30 - served);
    });
}

// Guards against lost wake-ups: a slot that stays unused since the caller of the next request left.
#[test]
fn the_next_request_gets_the_slot_if_a_caller_leaves() {
    run(async {
        let (node, server, mut callers) = with_waiting(3).await;
        callers.remove(1).abort();
        wait_for_waiting(&node, 2).await;
        server.release(4);
        for response in callers {
            assert_eq!(response.await.unwrap().0.status, StatusCode::OK);
        }
    });
}

// Guards against requests that wait for a service that no longer exists.
#[test]
fn waiting_requests_are_refused_when_the_service_is_removed() {
    run(async {
        let (node, _server, callers) = with_waiting(3).await;
        let removed = with_all_removed(View::clone(&node.shared_view.load_full().unwrap()));
        node.shared_view.store(Some(Arc::new(removed)));
        for response in callers.into_iter().skip(1) {
            let (response, time) = response.await.unwrap();
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(time < Duration::from_secs(1), "{time:?}");
        }
    });
}
