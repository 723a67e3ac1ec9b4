//! Requests whose bodies are too long, late or more than the memory holds, and the refusals that their
//! callers read.

mod support;

use catalog::limits::Limits;
use http::StatusCode;
use journal::Journal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{ids, request, request_as, send};
use support::server::{Behavior, Server};
use support::{ALLOWANCE, Node, endpoint_for, node, run, start_on, view, with_limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of a machine whose budget holds three of the largest bodies.
const SMALL_MEMORY_BYTES: usize = 48 << 20;
/// Largest body of the catalog.
const BODY_BYTES: usize = 4 << 20;
/// Time in which a refusal that does not wait for anything must arrive, far above what it takes.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(3);

/// A caller that sends parts of a request.
struct Caller {
    conn: TcpStream,
}

impl Caller {
    async fn connect(addr: SocketAddr) -> Self {
        Self {
            conn: TcpStream::connect(addr).await.unwrap(),
        }
    }

    /// Sends a head, and the first bytes of a body.
    async fn send(&mut self, id: &str, path: &str, deadline: u64, framing: &str, sent: usize) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nid: {id}\r\nkey: k1\r\ndeadline: {deadline}\r\n{framing}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + sent, b'x');
        self.conn.write_all(&bytes).await.unwrap();
    }

    /// Reads a response to the end of its connection or of its body.
    async fn read(&mut self) -> String {
        let mut text = Vec::new();
        let read = async {
            let mut buffer = [0; 1024];
            while !String::from_utf8_lossy(&text).contains('}') {
                match self.conn.read(&mut buffer).await {
                    Ok(read) if read > 0 => text.extend_from_slice(&buffer[..read]),
                    _ => return,
                }
            }
        };
        let ended = tokio::time::timeout(REFUSAL_TIMEOUT, read).await;
        assert!(ended.is_ok(), "no response in time");
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Starts a caller that sends a body of the largest size but for its last byte.
async fn send_short(node: &Node, id: &str, path: &str) -> Caller {
    let mut caller = Caller::connect(node.addr).await;
    let framing = format!("content-length: {BODY_BYTES}");
    caller
        .send(id, path, 20_000, &framing, BODY_BYTES - 1)
        .await;
    caller
}

async fn small_node(server: &Server, path: &str) -> Node {
    let node = start_on(SMALL_MEMORY_BYTES, ALLOWANCE, Journal::disabled()).await;
    let view = view(vec![endpoint_for(path)(server)]);
    node.shared_view.store(Some(Arc::new(view)));
    node
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

// Guards against a body that is announced as too long and read nevertheless.
#[test]
fn a_body_that_is_announced_as_too_long_is_refused_at_once() {
    run(async {
        let node = node(Vec::new()).await;
        for path in ["/safe/x", "/once/x", "/chat/x"] {
            let mut caller = Caller::connect(node.addr).await;
            caller
                .send("r1", path, 4000, "content-length: 200000000", 0)
                .await;
            let response = caller.read().await;
            assert_eq!(status(&response), "413", "{response}");
        }
    });
}

// Guards against a reset of the connection, with which a caller loses the refusal that it reads after it has
// sent its body.
#[test]
fn callers_that_send_too_much_can_read_their_refusal() {
    run(async {
        let node = node(Vec::new()).await;
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
        let lengths = [
            ("content-length: 6000000".to_owned(), vec![b'x'; 6_000_000]),
            (
                "transfer-encoding: chunked".to_owned(),
                format!("{}0\r\n\r\n", chunk.repeat(92)).into_bytes(),
            ),
        ];
        for (framing, body) in lengths {
            let mut caller = Caller::connect(node.addr).await;
            caller.send("r1", "/once/x", 4000, &framing, 0).await;
            // The node may stop reading at some point; what counts is the response.
            let _ = tokio::time::timeout(REFUSAL_TIMEOUT, caller.conn.write_all(&body)).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            let response = caller.read().await;
            assert_eq!(status(&response), "413", "{framing}: {response}");
        }
    });
}

// Guards against bodies that are held open past the time for which their callers wait.
#[test]
fn a_body_that_is_not_there_by_its_deadline_is_refused_as_not_run() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = node(vec![endpoint_for("/once/x")(&server)]).await;
        let mut caller = Caller::connect(node.addr).await;
        let framing = "content-length: 1000";
        caller.send("r1", "/once/x", 500, framing, 999).await;
        let response = caller.read().await;
        assert_eq!(status(&response), "503", "{response}");
        assert!(response.contains("has not run"), "{response}");
        assert!(server.heads().is_empty());
    });
}

// Guards against bodies without progress that are held open for as long as a route allows.
#[test]
fn a_body_without_progress_gets_408() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = node(Vec::new()).await;
        let limits = Limits {
            idle_time: Duration::from_millis(600),
            ..Limits::default()
        };
        let view = view(vec![endpoint_for("/once/x")(&server)]);
        node.shared_view
            .store(Some(Arc::new(with_limits(view, limits))));
        let mut caller = Caller::connect(node.addr).await;
        let framing = "content-length: 1000";
        caller.send("r1", "/once/x", 4000, framing, 999).await;
        let response = caller.read().await;
        assert_eq!(status(&response), "408", "{response}");
        assert!(server.heads().is_empty());
    });
}

// Guards against a crowd of bodies that never end and keep out the bodies of others.
#[test]
fn bodies_without_progress_give_way_to_others() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = small_node(&server, "/once/x").await;
        let mut short = Vec::new();
        for number in 0..4 {
            short.push(send_short(&node, &format!("s{number}"), "/once/x").await);
        }
        tokio::time::sleep(Duration::from_millis(1200)).await;
        let mut whole = request_as("w1", "/once/x");
        *whole.body_mut() = vec![b'x'; BODY_BYTES].into();
        let response = send(node.addr, whole).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        let mut refused = 0;
        for caller in &mut short {
            let read = tokio::time::timeout(Duration::from_millis(300), caller.read()).await;
            let Ok(response) = read else { continue };
            assert_eq!(status(&response), "503", "{response}");
            assert!(
                response.to_lowercase().contains("retry-after"),
                "{response}"
            );
            refused += 1;
        }
        assert!(refused > 0);
        assert!(server.heads().iter().all(|head| head.contains("w1")));
    });
}

// Guards against large bodies that take the room of ordinary requests.
#[test]
fn ordinary_requests_are_served_beside_large_bodies() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = small_node(&server, "/safe/x").await;
        let mut short = Vec::new();
        for number in 0..8 {
            short.push(send_short(&node, &format!("s{number}"), "/safe/x").await);
            let response = send(node.addr, request("/safe/x")).await;
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        }
    });
}

// Guards against bodies that are kept for streams which have begun, and that keep out other bodies. The stream
// goes on without its body.
#[test]
fn a_body_that_is_kept_for_a_resumption_gives_way() {
    run(async {
        let events = Behavior::EventsWithPause(1..=3, Duration::from_millis(1300), 4..=6);
        let server = Server::start(vec![events]).await;
        let node = small_node(&server, "/chat/x").await;
        let mut whole = request_as("w1", "/chat/x");
        *whole.body_mut() = vec![b'x'; BODY_BYTES].into();
        let addr = node.addr;
        let stream = tokio::task::spawn_local(async move { send(addr, whole).await });
        tokio::time::sleep(Duration::from_millis(500)).await;
        for number in 0..3 {
            let mut caller = send_short(&node, &format!("s{number}"), "/chat/x").await;
            let read = tokio::time::timeout(Duration::from_millis(200), caller.read()).await;
            assert!(read.is_err(), "refused: {}", read.unwrap());
        }
        let response = stream.await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert!(response.complete);
    });
}

// Guards against a body that is dropped in calm, so that a long stream can't be resumed.
#[test]
fn a_stream_with_a_large_body_is_resumed_after_the_idle_time() {
    run(async {
        let first = Server::start(vec![Behavior::PacedEvents(8, Duration::from_millis(200))]).await;
        let second = Server::start(vec![Behavior::Events(9, 12)]).await;
        let node = node(Vec::new()).await;
        let limits = Limits {
            idle_time: Duration::from_millis(300),
            ..Limits::default()
        };
        let endpoints = |servers: &[&Server]| {
            let endpoints = servers.iter().map(|s| endpoint_for("/chat/x")(s));
            let view = with_limits(view(endpoints.collect()), limits);
            node.shared_view.store(Some(Arc::new(view)));
        };
        endpoints(&[&first]);
        let mut whole = request_as("w1", "/chat/x");
        *whole.body_mut() = vec![b'x'; BODY_BYTES].into();
        let addr = node.addr;
        let stream = tokio::task::spawn_local(async move { send(addr, whole).await });
        tokio::time::sleep(Duration::from_millis(500)).await;
        endpoints(&[&first, &second]);
        let response = stream.await.unwrap();
        assert_eq!(ids(&response.body), (1..=12).collect::<Vec<u64>>());
        assert!(response.complete);
    });
}

// Guards against a manifest that allows bodies for which the node has no memory: one alone would end it.
#[test]
fn a_body_for_which_no_memory_suffices_gets_413() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = small_node(&server, "/once/x").await;
        let limits = Limits {
            body_bytes: 1 << 30,
            ..Limits::default()
        };
        let view = view(vec![endpoint_for("/once/x")(&server)]);
        node.shared_view
            .store(Some(Arc::new(with_limits(view, limits))));
        let mut caller = Caller::connect(node.addr).await;
        caller
            .send("r1", "/once/x", 4000, "content-length: 100000000", 0)
            .await;
        let response = caller.read().await;
        assert_eq!(status(&response), "413", "{response}");
    });
}

// Guards against connections that stay open with a part of a head.
#[test]
fn a_head_that_takes_too_long_ends_its_connection() {
    run(async {
        let node = node(Vec::new()).await;
        let limits = Limits {
            head_time: Duration::from_millis(300),
            ..Limits::default()
        };
        let limited = with_limits(view(Vec::new()), limits);
        node.shared_view.store(Some(Arc::new(limited)));
        let mut caller = Caller::connect(node.addr).await;
        caller
            .conn
            .write_all(b"GET /safe/x HTTP/1.1\r\n")
            .await
            .unwrap();
        let mut buffer = [0; 16];
        let read = tokio::time::timeout(REFUSAL_TIMEOUT, caller.conn.read(&mut buffer)).await;
        // A reset also counts as closed.
        assert!(!matches!(read.expect("closed"), Ok(1..)));
    });
}

// Guards against callers that hold all connections without a request.
#[test]
fn a_new_connection_takes_the_place_of_a_quiet_one() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "whole")]).await;
        let node = node(vec![endpoint_for("/safe/x")(&server)]).await;
        let mut quiet = Vec::new();
        for _ in 0..100 {
            quiet.push(TcpStream::connect(node.addr).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    });
}
