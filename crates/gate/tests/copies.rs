//! Lines that tell the sendings of a request apart.

mod support;

use http::StatusCode;
use journal::event::Event;
use journal::{Journal, Message};
use std::sync::Arc;
use support::caller::{Received, request, send};
use support::server::{Behavior, Server};
use support::{ALLOWANCE, Node, plain, run, start_with, view};

/// Sends an at-most-once request with this id.
async fn send_once(node: &Node, id: &str) -> Received {
    let mut request = request("/once/x");
    request.headers_mut().insert("id", id.parse().unwrap());
    send(node.addr, request).await
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
