//! Responses of plain services that are none, are in an earlier version of HTTP, or don't end.

use bytes::Bytes;
use engine::pool::Pool;
use engine::service::{self, CallOptions, Cause};
use http::{Request, Version};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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

// Guards against the version of a service's response in that of the caller's: there, a body without a length ends
// with the connection, so one that was cut off looks complete.
#[tokio::test]
async fn a_response_in_an_earlier_version_has_that_of_the_node() {
    let text = "HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\nx".to_owned();
    let response = call(text).await.unwrap();
    assert_eq!(response.version(), Version::HTTP_11);
}

/// Starts a service that sends the first text and then the second one without end. Returns its address, and the
/// bytes that the connection has taken.
async fn endless(start: &'static str, repeated: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let taken: Arc<AtomicUsize> = Arc::default();
    let written = taken.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(start.as_bytes()).await;
        let piece = repeated.repeat((64 << 10) / repeated.len());
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            written.fetch_add(piece.len(), Ordering::Relaxed);
        }
    });
    (addr, taken)
}

// Guards against a service that keeps a core busy for as long as a call may last, with bytes that bring nothing.
#[tokio::test]
async fn bytes_that_bring_nothing_end_the_call() {
    // Of them, the kernels hold up to half.
    const MAX_BYTES: usize = 16 << 20;
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, repeated) in [("", "HTTP/1.1 103 X\r\n\r\n"), (chunked, "0")] {
        let (addr, taken) = endless(start, repeated).await;
        let request = Request::get("/").body(Bytes::new()).unwrap();
        let options = CallOptions {
            head_timeout: Duration::from_secs(5),
            new_connection: true,
        };
        let sent = AtomicBool::new(false);
        let pool = Pool::default();
        let response = service::call(&pool, addr, request, options, &sent);
        let whole = async { response.await?.into_body().collect().await };
        let ended = tokio::time::timeout(Duration::from_secs(5), whole).await;
        assert!(ended.expect("the call ends").is_err(), "{repeated:?}");
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken <= MAX_BYTES, "{repeated:?}: {taken}");
    }
}
