//! Refusals that are sent before the body of the request has arrived.

mod support;

use std::time::Duration;
use support::server::{Behavior, Server};
use support::{node, plain, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Length of the body, in bytes.
const BODY_BYTES: usize = 48 << 10;
/// Number of parts in which the body is sent.
const PARTS: usize = 6;

/// Sends a request whose body arrives in parts after its head, and then reads the response, as a
/// caller does that reads nothing before its request is written.
async fn send_in_parts(stream: &mut TcpStream, path: &str) -> std::io::Result<String> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 4000\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PARTS {
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(&vec![b'a'; BODY_BYTES / PARTS]).await?;
    }
    let mut response = vec![0; 4096];
    let length = stream.read(&mut response).await?;
    Ok(String::from_utf8_lossy(&response[..length]).into_owned())
}

// Guards against a refusal that its caller never sees: the node closes the connection while the
// body is still arriving, which resets the connection and discards the response.
#[test]
fn refusal_before_the_body_reaches_a_caller_that_writes_first() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "ok")]).await;
        let node = node(vec![plain(server.addr)]).await;
        let mut stream = TcpStream::connect(node.addr).await.unwrap();
        let response = send_in_parts(&mut stream, "/none/x").await;
        assert!(response.unwrap().starts_with("HTTP/1.1 404"));
        node.worker.close();
        let mut stream = TcpStream::connect(node.addr).await.unwrap();
        let response = send_in_parts(&mut stream, "/once/x").await;
        assert!(response.unwrap().starts_with("HTTP/1.1 503"));
        assert!(server.heads().is_empty());
    });
}
