//! Responses that an endpoint sends a second time, late, in the place of the next one on the connection.

mod support;

use catalog::endpoint::{Endpoint, Run};
use http::StatusCode;
use journal::event::Event;
use journal::{Journal, Message};
use std::sync::Arc;
use steer::budget::Allowance;
use support::caller::{Received, request, request_as, send};
use support::server::{Behavior, Server, header};
use support::{ALLOWANCE, Node, node, plain, run, start, start_with, view, wait_for_request};

/// Number of requests that are sent one after the other.
const REQUESTS: usize = 12;

/// Sends an at-most-once request with this id.
async fn send_once(node: &Node, id: &str) -> Received {
    send(node.addr, request_as(id, "/once/x")).await
}

/// Asserts that a request ran at most once, and that its caller was not told otherwise.
fn assert_at_most_once(runs: usize, response: &Received, case: &str) {
    let told = match response.status {
        StatusCode::OK => runs == 1,
        StatusCode::SERVICE_UNAVAILABLE => runs == 0,
        // The outcome is unknown to the caller.
        status => status == StatusCode::BAD_GATEWAY && runs <= 1,
    };
    assert!(told, "{case} ran {runs} times: {response:?}");
}

// Guards against a late copy of a refusal that is believed of a later sending of the same request, which
// runs though its caller is promised that it did not.
#[test]
fn a_copy_of_a_refusal_disproves_no_later_sending() {
    run(async {
        for status in [429, 503] {
            let refusal = Behavior::RefuseTwice(status);
            let server = Server::start(vec![refusal, Behavior::Answer(200, "x")]).await;
            let node = node(vec![plain(server.addr)]).await;
            let response = send_once(&node, "r1").await;
            let runs = server.heads().len() - 1;
            assert_eq!(runs, 1, "{status}: {response:?}");
            assert_at_most_once(runs, &response, &status.to_string());
        }
    });
}

/// Returns an endpoint at the address of a server, as another run.
fn other_run(server: &Server, id: &str) -> Endpoint {
    Endpoint {
        run: Run {
            id: id.to_owned(),
            started_at: 1,
        },
        ..plain(server.addr)
    }
}

// Guards against a late copy of the 421 with which a restarted endpoint refuses a request for its run
// before, believed of the same request for its new run: it runs there and at another endpoint.
#[test]
fn a_copy_of_a_421_disproves_no_sending_to_the_next_run() {
    run(async {
        let answer = || Behavior::Answer(200, "x");
        let (new, old) = (answer().into(), Behavior::RefuseTwice(421).into());
        let restarted = Server::start(vec![Behavior::ForRun("new".to_owned(), new, old)]).await;
        let busy = Server::start(vec![answer().held(), answer()]).await;
        let ample = Allowance {
            ratio: 10.0,
            ..ALLOWANCE
        };
        let node = start(ample).await;
        let first = view(vec![plain(busy.addr)]);
        node.shared_view.store(Some(Arc::new(first)));
        tokio::task::spawn_local(send(node.addr, request("/safe/x")));
        wait_for_request(&busy).await;
        // The endpoint without a request in flight is preferred, under either of its runs.
        let mut rows = vec![plain(busy.addr)];
        rows.extend(["old", "new"].map(|run| other_run(&restarted, run)));
        node.shared_view.store(Some(Arc::new(view(rows))));
        let mut repeated = 0;
        for n in 0..REQUESTS {
            let id = format!("once-{n}");
            let response = send_once(&node, &id).await;
            let own = |server: &Server| {
                let heads = server.heads().into_iter();
                let own = heads.filter(|h| header(h, "id").as_ref() == Some(&id));
                own.filter_map(|h| header(&h, "expect")).collect::<Vec<_>>()
            };
            let asked = own(&restarted);
            let runs = asked.iter().filter(|run| *run == "new").count() + own(&busy).len();
            assert_at_most_once(runs, &response, &id);
            repeated += usize::from(asked.starts_with(&["old".to_owned(), "new".to_owned()]));
        }
        assert!(repeated > 0, "no request was for both runs");
    });
}

/// Returns an endpoint that sends this text in the place of its second response, and its node.
async fn stray_fleet(text: &str) -> (Server, Node) {
    let answer = || Behavior::Answer(200, "x");
    let first = Behavior::Stray(answer().into(), text.to_owned());
    let server = Server::start(vec![first, answer()]).await;
    let node = node(vec![plain(server.addr)]).await;
    (server, node)
}

// Guards against bytes that belong to no request, believed of a request without an id.
#[test]
fn bytes_of_no_request_disprove_no_sending_without_an_id() {
    run(async {
        let stray = "HTTP/1.1 503 X\r\nunrun: 1\r\ncontent-length: 0\r\n\r\n";
        let (server, node) = stray_fleet(stray).await;
        assert_eq!(send_once(&node, "r1").await.status, StatusCode::OK);
        let mut request = request("/once/x");
        request.headers_mut().remove("id");
        let response = send(node.addr, request).await;
        assert_at_most_once(server.heads().len() - 1, &response, "without an id");
    });
}

// Guards against a response without an id that is passed on as the one to the next request.
#[test]
fn a_success_without_an_id_belongs_to_no_later_request() {
    run(async {
        let stray = "HTTP/1.1 200 X\r\nseal: s\r\ncontent-length: 5\r\n\r\nstray";
        let (_server, node) = stray_fleet(stray).await;
        for id in ["r1", "r2"] {
            let response = send_once(&node, id).await;
            assert_ne!(response.body, "stray", "{id}: {response:?}");
        }
    });
}

// Guards against lines from which it can't be told whether a request was sent twice on one connection.
#[test]
fn a_line_of_a_sending_names_its_connection() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let (journal, lines) = Journal::new(64);
        let node = start_with(ALLOWANCE, journal).await;
        let endpoints = view(vec![plain(server.addr)]);
        node.shared_view.store(Some(Arc::new(endpoints)));
        for id in ["r1", "r2"] {
            assert_eq!(send_once(&node, id).await.status, StatusCode::OK);
        }
        let sent = lines.try_iter().filter_map(|message| match message {
            Message::Line(line) => match line.event {
                Event::Sent { conn, nth, .. } => Some((conn, nth)),
                _ => None,
            },
            _ => None,
        });
        let sent: Vec<_> = sent.collect();
        assert_eq!(sent, [(Some(1), Some(1)), (Some(1), Some(2))]);
    });
}
