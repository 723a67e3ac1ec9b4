//! Bodies that are kept for further sendings, while others need the memory.

mod support;

use catalog::Catalog;
use journal::Journal;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{ids, request_as, send};
use support::server::{Behavior, Server, header};
use support::{
    ALLOWANCE, LAYERS, Node, run, stage, start_on, tables, view, wait_for_request,
    with_room_for_one, with_second_team,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Memory of a machine whose budget holds three of the largest bodies.
const MEMORY_BYTES: usize = 48 << 20;
/// Largest body of the catalog.
const BODY_BYTES: usize = 4 << 20;

/// Time in which what was sent arrives. A resumption waits six times as long for an endpoint.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Waits until one request waits for an endpoint of the model.
async fn wait_for_waiting(node: &Node) {
    let waits = async {
        while !node.worker.dump().await.contains("queue model waiting 1 ") {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(3), waits).await;
    reached.expect("no request waits");
}

/// Sends all but the last byte of a body of the largest size.
async fn send_short(node: &Node, id: usize) -> TcpStream {
    let mut conn = TcpStream::connect(node.addr).await.unwrap();
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nhost: h\r\nid: s{id}\r\nkey: k1\r\ndeadline: 20000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    // A refused body is not read to its end.
    let _ = tokio::time::timeout(Duration::from_millis(300), conn.write_all(&bytes)).await;
    conn
}

/// Publishes this endpoint alone, with room for one request.
fn publish(node: &Node, server: &Server) {
    let tables = with_room_for_one(with_second_team(tables()));
    let mut view = view(vec![stage(server.addr, 0, LAYERS)]);
    view.fleet.catalog = Arc::new(Catalog::try_from(tables).unwrap());
    node.shared_view.store(Some(Arc::new(view)));
}

// Guards against a response that is resumed by a request without its body: the body was dropped for others
// between the permission to send it and the sending.
#[test]
fn a_request_that_may_be_sent_again_keeps_its_body() {
    run(async {
        #[allow(clippy::reversed_empty_ranges)]
        let breaks = Behavior::EventsWithPause(1..=2, Duration::from_millis(700), 3..=2);
        let first = Server::start(vec![breaks]).await;
        let others = vec![Behavior::Events(1, 2).held(), Behavior::Events(3, 4)];
        let second = Server::start(others).await;
        let node = start_on(MEMORY_BYTES, ALLOWANCE, Journal::disabled()).await;
        publish(&node, &first);
        let mut whole = request_as("w1", "/chat/x");
        *whole.body_mut() = vec![b'x'; BODY_BYTES].into();
        let stream = tokio::task::spawn_local(send(node.addr, whole));
        wait_for_request(&first).await;
        publish(&node, &second);
        let before = tokio::task::spawn_local(send(node.addr, request_as("o1", "/chat/x")));
        wait_for_waiting(&node).await;
        let mut crowd = Vec::new();
        for id in 0..3 {
            crowd.push(send_short(&node, id).await);
        }
        tokio::time::sleep(ARRIVAL_TIME).await;
        second.release(1);
        let response = stream.await.unwrap();
        assert!(before.await.unwrap().complete);
        let heads = second.heads();
        let lengths = heads[1..].iter().map(|h| header(h, "content-length"));
        let lengths: Vec<_> = lengths.collect();
        assert_eq!(lengths, [Some(BODY_BYTES.to_string())]);
        assert_eq!(ids(&response.body), [1, 2, 3, 4]);
        assert!(response.complete);
    });
}
