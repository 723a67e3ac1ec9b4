//! Responses of plain services that are none, or in an earlier version of HTTP.

use bytes::Bytes;
use engine::pool::Pool;
use engine::service::{self, CallOptions, Cause};
use http::{Request, Version};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a service that sends this text to each connection, and closes it.
async fn service(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    addr
}

async fn call(text: String) -> service::Result<http::Response<service::Body>> {
    let addr = service(text).await;
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let options = CallOptions {
        head_timeout: Duration::from_secs(5),
        new_connection: true,
    };
    let sent = AtomicBool::new(false);
    service::call(&Pool::default(), addr, request, options, &sent).await
}

// Guards against a status that HTTP does not have and that reaches the caller as an answer.
#[tokio::test]
async fn a_status_that_http_does_not_have_fails_the_call() {
    for status in ["000", "001", "099", "101", "600", "999", "20", "2000"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 1\r\n\r\nx");
        let failure = call(text).await.expect_err(status);
        assert!(failure.sent, "{status}");
        let expected = [Cause::Protocol, Cause::Reset];
        assert!(expected.contains(&failure.cause), "{status}: {failure}");
    }
}

// Guards against a body in a coding that does not mark its end, which would look complete if it was cut off.
#[tokio::test]
async fn a_body_whose_end_is_not_marked_fails_the_call() {
    for lines in ["", "transfer-encoding: identity\r\n"] {
        let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\nx");
        let failure = call(text).await.expect_err("no end");
        assert_eq!(failure.cause, Cause::Protocol);
    }
}

// Guards against the version of a service's response in that of the caller's: there, a body without a length ends
// with the connection, so one that was cut off looks complete.
#[tokio::test]
async fn a_response_in_an_earlier_version_has_that_of_the_node() {
    let text = "HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\nx".to_owned();
    let response = call(text).await.unwrap();
    assert_eq!(response.version(), Version::HTTP_11);
}
