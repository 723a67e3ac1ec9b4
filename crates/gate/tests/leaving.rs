//! Tests for endpoints that announce in a response that they leave: whatever the view says, no
//! further request is sent to them, and the response is delivered as it is.

mod support;

use catalog::endpoint::{Endpoint, State};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gate::view::View;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use steer::load::Load;
use support::caller::{Received, ids, request, request_as, send};
use support::server::{Behavior, Server, header};
use support::{
    LAYERS, Node, node, plain, run, stage, view, wait_for_request, with_services_reordered,
};

const OK: Behavior = Behavior::Answer(200, "sheet");

/// Number of requests in which each of two endpoints is selected at least once.
const ENOUGH: usize = 24;

fn publish(node: &Node, view: View) {
    node.shared_view.store(Some(Arc::new(view)));
}

/// Sends requests until an endpoint has received one, and returns the last response.
async fn send_until_received(node: &Node, path: &str, server: &Server) -> Received {
    for _ in 0..ENOUGH {
        let response = send(node.addr, request(path)).await;
        if !server.heads().is_empty() {
            return response;
        }
    }
    panic!("the endpoint received no request");
}

/// Sends requests and asserts that none of them reaches an endpoint that received one before.
async fn assert_unused(node: &Node, path: &str, server: &Server) {
    for _ in 0..ENOUGH {
        send(node.addr, request(path)).await;
    }
    assert_eq!(server.heads().len(), 1);
}

/// Waits until a number of idle connections to an endpoint were closed.
async fn wait_for_closed(server: &Server, count: usize) {
    for _ in 0..100 {
        if server.closed_idle() == count {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.closed_idle(), count);
}

// Guards against requests that are sent to an endpoint after one of its responses, whatever the
// status, announced that it leaves, because the view still calls it ready.
#[test]
fn an_endpoint_that_announced_its_leaving_gets_no_further_request() {
    run(async {
        for behavior in [
            OK,
            Behavior::Answer(404, "no"),
            Behavior::Answer(500, "no"),
            Behavior::Refuse(503),
            Behavior::Refuse(421),
        ] {
            let leaving = Server::start(vec![behavior.clone().leaving()]).await;
            let other = Server::start(vec![OK]).await;
            let node = node(vec![plain(leaving.addr), plain(other.addr)]).await;
            send_until_received(&node, "/safe/x", &leaving).await;
            assert_unused(&node, "/safe/x", &leaving).await;
            assert!(other.heads().len() >= ENOUGH, "{behavior:?}");
        }
    });
}

// Guards against a response that is cut or replaced because its endpoint announces that it leaves.
#[test]
fn the_response_that_announces_the_leaving_is_delivered_whole() {
    run(async {
        let server = Server::start(vec![OK.leaving()]).await;
        let node = node(vec![plain(server.addr)]).await;
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(
            (response.status, response.body.as_str(), response.complete),
            (StatusCode::OK, "sheet", true)
        );
        assert_eq!(response.headers["seal"], "s");
    });
}

// Guards against a stream whose head is not read for the announcement, or that is cut because of
// it.
#[test]
fn the_head_of_a_stream_announces_the_leaving() {
    run(async {
        let pause = Duration::from_millis(150);
        let stream = Behavior::EventsWithPause(1..=2, pause, 3..=4);
        let leaving = Server::start(vec![stream.leaving()]).await;
        let other = Server::start(vec![Behavior::Events(1, 2)]).await;
        let node = node(vec![stage(leaving.addr, 0, LAYERS)]).await;
        let sending = send(node.addr, request("/chat/x"));
        let others = async {
            wait_for_request(&leaving).await;
            tokio::time::sleep(pause / 3).await;
            let both = [leaving.addr, other.addr].map(|addr| stage(addr, 0, LAYERS));
            publish(&node, view(both.to_vec()));
            assert_unused(&node, "/chat/x", &leaving).await;
        };
        let (response, ()) = tokio::join!(sending, others);
        assert_eq!(
            (ids(&response.body), response.complete),
            (vec![1, 2, 3, 4], true)
        );
    });
}

/// After an endpoint announced that it leaves, publishes views that call it ready, and asserts that
/// it is not used.
fn views_do_not_undo(changes: &[fn(View) -> View]) {
    run(async {
        let leaving = Server::start(vec![OK.leaving()]).await;
        let other = Server::start(vec![OK]).await;
        let both = || view(vec![plain(leaving.addr), plain(other.addr)]);
        let node = node(both().fleet.endpoints.to_vec()).await;
        send_until_received(&node, "/safe/x", &leaving).await;
        for change in changes {
            publish(&node, change(both()));
            // Every request reads the view.
            send(node.addr, request("/safe/x")).await;
        }
        assert_unused(&node, "/safe/x", &leaving).await;
    });
}

// Guards against an announcement that the next view or catalog undoes.
#[test]
fn a_new_view_or_catalog_does_not_undo_the_leaving() {
    views_do_not_undo(&[|view| view, with_services_reordered]);
}

// Guards against an announcement that a load report undoes.
#[test]
fn a_load_report_does_not_undo_the_leaving() {
    views_do_not_undo(&[|mut view| {
        let load = Load {
            stamp: 9,
            used: 0.0,
            slowdown: 1.0,
            queued: 0,
            age: Duration::ZERO,
        };
        let runs = view.fleet.endpoints.iter().map(|e| e.run.to_string());
        view.fleet.loads = Arc::new(runs.map(|run| (run, load)).collect());
        view
    }]);
}

// Guards against an announcement that is forgotten while the endpoint's registration is missing,
// as it is after a store outage.
#[test]
fn an_endpoint_that_registers_again_is_still_leaving() {
    let without = |mut view: View| {
        Arc::make_mut(&mut view.fleet.endpoints).remove(0);
        view
    };
    views_do_not_undo(&[without, |view| view]);
}

// Guards against an announcement that the success of an earlier request undoes.
#[test]
fn a_success_does_not_undo_the_leaving() {
    run(async {
        let slow = OK.delayed(Duration::from_millis(100));
        let leaving = Server::start(vec![slow, OK.leaving()]).await;
        let other = Server::start(vec![OK]).await;
        let node = node(vec![plain(leaving.addr)]).await;
        let announce = async {
            wait_for_request(&leaving).await;
            send(node.addr, request("/safe/x")).await
        };
        let (slow, quick) = tokio::join!(send(node.addr, request("/safe/x")), announce);
        assert_eq!(
            (slow.status, quick.status),
            (StatusCode::OK, StatusCode::OK)
        );
        publish(&node, view(vec![plain(leaving.addr), plain(other.addr)]));
        for _ in 0..ENOUGH {
            send(node.addr, request("/safe/x")).await;
        }
        assert_eq!((leaving.heads().len(), other.heads().len()), (2, ENOUGH));
    });
}

// Guards against retries that go back to an endpoint that announced that it leaves when no untried
// endpoint is left.
#[test]
fn no_retry_goes_to_an_endpoint_that_announced_its_leaving() {
    run(async {
        let alone = Server::start(vec![Behavior::Refuse(503).leaving()]).await;
        let single = node(vec![plain(alone.addr)]).await;
        let response = send(single.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert_unused(&single, "/safe/x", &alone).await;

        let leaving = Server::start(vec![OK.leaving()]).await;
        let failing = Server::start(vec![Behavior::Reset]).await;
        let node = node(vec![plain(leaving.addr), plain(failing.addr)]).await;
        send_until_received(&node, "/safe/x", &leaving).await;
        assert_unused(&node, "/safe/x", &leaving).await;
    });
}

// Guards against a queued request that is sent to an endpoint which announced that it leaves while
// the request waited for capacity.
#[test]
fn a_queued_request_is_not_sent_to_an_endpoint_that_announced_its_leaving() {
    run(async {
        let slow = || OK.leaving().delayed(Duration::from_millis(60));
        let server = Server::start(vec![slow()]).await;
        let endpoint = Endpoint {
            slots: 1,
            ..plain(server.addr)
        };
        let node = node(vec![endpoint]).await;
        let sent = (0..8).map(|_| send(node.addr, request("/safe/x")));
        let responses = futures::future::join_all(sent).await;
        let answered = responses.iter().filter(|r| r.status == StatusCode::OK);
        let answered = answered.count();
        assert_eq!(answered, server.heads().len());
        assert!(answered < responses.len(), "every queued request was sent");
        let refused = responses.iter().filter(|r| r.status != StatusCode::OK);
        for response in refused {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        }
    });
}

// Guards against a new run that is not used because an earlier run at its address announced that it
// leaves, and against connections to the earlier run that are used for the new one.
#[test]
fn a_new_run_at_the_address_is_used_over_a_new_connection() {
    run(async {
        let server = Server::start(vec![OK, OK.leaving(), OK]).await;
        let node = node(vec![plain(server.addr)]).await;
        for id in ["r1", "r2"] {
            send(node.addr, request_as(id, "/safe/x")).await;
        }
        wait_for_closed(&server, 1).await;
        let mut restarted = plain(server.addr);
        restarted.run.id.push('b');
        publish(&node, view(vec![restarted]));
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(server.heads().len(), 3);
        assert_eq!(
            header(&server.heads()[2], "expect").unwrap(),
            format!("i-{}b", server.addr.port())
        );
    });
}

// Guards against idle connections that are kept to an endpoint that announced that it leaves. One
// of them was in use at the announcement.
#[test]
fn connections_to_an_endpoint_that_announced_its_leaving_are_closed() {
    run(async {
        let behaviors = vec![OK.held(), OK.held(), OK.held(), OK.leaving()];
        let server = Server::start(behaviors).await;
        let node = node(vec![plain(server.addr)]).await;
        let sent = (0..3).map(|_| send(node.addr, request("/safe/x")));
        let mut sent: FuturesUnordered<_> = sent.collect();
        let release = async {
            while server.heads().len() < 3 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            server.release(2);
        };
        let answered = async {
            sent.next().await;
            sent.next().await;
        };
        tokio::join!(answered, release);
        send(node.addr, request("/safe/x")).await;
        server.release(1);
        sent.next().await;
        assert_eq!(server.heads().len(), 4);
        wait_for_closed(&server, server.opened()).await;
    });
}

// Guards against an announcement in the status report of a head that is ignored.
#[test]
fn a_status_report_announces_the_leaving() {
    run(async {
        let leaving = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let other = Server::start(vec![Behavior::Events(1, 2)]).await;
        leaving.set_report("leaving".to_owned());
        let node = node(vec![stage(leaving.addr, 0, LAYERS)]).await;
        // The head is asked for its status, since the response is idle.
        let sending = send(node.addr, request("/chat/x"));
        let idle = tokio::time::timeout(Duration::from_millis(500), sending);
        assert!(idle.await.is_err());
        let both = [leaving.addr, other.addr].map(|addr| stage(addr, 0, LAYERS));
        publish(&node, view(both.to_vec()));
        assert_unused(&node, "/chat/x", &leaving).await;
    });
}

// Guards against chains that run a stage on an endpoint which announced that it leaves.
#[test]
fn no_chain_runs_over_an_endpoint_that_announced_its_leaving() {
    run(async {
        let leaving = Server::start(vec![Behavior::Events(1, 2).leaving()]).await;
        let head = Server::start(vec![Behavior::Events(1, 2)]).await;
        let tail = Server::start(vec![Behavior::Events(1, 2)]).await;
        let node = node(vec![stage(leaving.addr, 0, LAYERS)]).await;
        send(node.addr, request("/chat/x")).await;
        publish(
            &node,
            view(vec![
                stage(leaving.addr, 0, LAYERS),
                stage(head.addr, 0, 2),
                stage(tail.addr, 2, LAYERS),
            ]),
        );
        assert_unused(&node, "/chat/x", &leaving).await;
        assert_eq!(head.heads().len(), ENOUGH);
        let chain = format!("{}=0-2,{}=2-4", head.addr, tail.addr);
        for head in head.heads() {
            assert_eq!(header(&head, "chain").unwrap(), chain);
        }
    });
}

// Guards against responses that stay on a stage after its endpoint announced in the response to
// another request that it leaves, without a new view.
#[test]
fn a_response_is_moved_off_a_stage_that_announced_its_leaving() {
    run(async {
        let silent = || Server::start(vec![Behavior::Silent]);
        let quick = Behavior::Events(1, 2);
        let behaviors = vec![Behavior::EventsThenStall(1, 2), quick.clone()];
        let head = Server::start(behaviors).await;
        let (second, spare) = (Server::start(vec![quick.leaving()]).await, silent().await);
        let node = node(vec![stage(head.addr, 0, 2), stage(second.addr, 2, LAYERS)]).await;
        let sending = send(node.addr, request("/chat/x"));
        let changes = async {
            wait_for_request(&head).await;
            let mut draining = stage(head.addr, 0, 2);
            draining.state = State::Draining;
            publish(
                &node,
                view(vec![
                    draining,
                    stage(second.addr, 0, LAYERS),
                    stage(spare.addr, 2, LAYERS),
                ]),
            );
            send_until_received(&node, "/chat/x", &second).await;
            while head.orders().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(sending, changes) };
        // Shorter than the idle time after which another endpoint is tried.
        let _ = tokio::time::timeout(Duration::from_millis(1400), both).await;
        assert_eq!(head.orders(), ["r1/2"]);
        assert_eq!((head.heads().len(), spare.heads().len()), (1, 0));
    });
}
