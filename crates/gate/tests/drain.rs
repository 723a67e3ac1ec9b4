//! Connections to a node that drains.

mod support;

use std::time::Duration;
use support::server::{Behavior, Server};
use support::{node, plain, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against a caller that connects to a draining node and gets no response: the connection is
// closed before its first request has arrived.
#[test]
fn a_new_connection_to_a_draining_node_gets_a_response() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let node = node(vec![plain(server.addr)]).await;
        node.worker.close();
        node.stop.drain.cancel();
        for pause in [0, 20, 300] {
            let mut stream = TcpStream::connect(node.addr).await.unwrap();
            tokio::time::sleep(millis(pause)).await;
            let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 5000\r\n\
                        content-length: 4\r\n\r\nbody";
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        }
        assert!(server.heads().is_empty());
    });
}

// Guards against a connection without a request that keeps a draining node from its end.
#[test]
fn a_connection_without_a_request_does_not_hold_up_a_drain() {
    run(async {
        let node = node(Vec::new()).await;
        let unused = TcpStream::connect(node.addr).await.unwrap();
        tokio::time::sleep(millis(50)).await;
        node.stop.drain.cancel();
        let late = TcpStream::connect(node.addr).await.unwrap();
        for mut stream in [unused, late] {
            let closed = stream.read_u8();
            let closed = tokio::time::timeout(millis(1_500), closed).await;
            assert!(closed.expect("the connection stays open").is_err());
        }
        assert_eq!(node.worker.open_connections(), 0);
    });
}
