//! Bodies of plain services that end with their connection.

use bytes::Bytes;
use engine::pool::Pool;
use engine::service::{self, CallOptions, Cause};
use http::Request;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The service closes it and lives on.
    Close,
    /// The service resets it.
    Reset,
    /// The service is killed: it closes the connection and then its listener.
    Exit,
}

/// Starts a service that sends this text to a connection, and ends it.
async fn service(text: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(text.as_bytes()).await;
        if end == End::Reset {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        match end {
            End::Exit => tokio::time::sleep(Duration::from_millis(5)).await,
            End::Close | End::Reset => std::future::pending().await,
        }
        drop(listener);
    });
    addr
}

/// Returns the body of the response to a call.
async fn call(text: String, end: End) -> service::Result<Bytes> {
    let addr = service(text, end).await;
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let options = CallOptions {
        head_timeout: Duration::from_secs(5),
        new_connection: true,
    };
    let sent = AtomicBool::new(false);
    let response = service::call(&Pool::default(), addr, request, options, &sent).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

fn responses(body: &str) -> impl Iterator<Item = String> {
    let lines = [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n",
        "HTTP/1.0 200 OK\r\n",
    ];
    lines.map(|lines| format!("{lines}\r\n{body}")).into_iter()
}

// Guards against whole responses that fail their call because their service ends them with the connection.
#[tokio::test]
async fn a_body_that_its_service_ends_with_the_connection_is_whole() {
    for text in responses("sheet") {
        let body = call(text.clone(), End::Close).await;
        assert_eq!(body.as_deref(), Ok(&b"sheet"[..]), "{text:?}");
    }
}

// Guards against a body that was cut off and counts as whole, since nothing in it marks its end.
#[tokio::test]
async fn a_body_that_is_cut_without_a_mark_of_its_end_fails_the_call() {
    let cuts = [
        ("x", End::Reset),
        ("x", End::Exit),
        ("", End::Close),
        ("", End::Reset),
        ("", End::Exit),
    ];
    for (body, end) in cuts {
        for text in responses(body) {
            let failure = call(text.clone(), end).await.expect_err("a cut body");
            assert_eq!(failure.cause, Cause::Reset, "{text:?} {end:?}");
            assert!(failure.sent, "{text:?} {end:?}");
        }
    }
}
