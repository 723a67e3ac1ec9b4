//! Responses of the platform's services that are none.

use bytes::Bytes;
use http::{HeaderMap, Method};
use platform::Limits;
use platform::http::client::Client;
use std::net::SocketAddr;
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

async fn get(text: String) -> platform::Result<http::Response<Bytes>> {
    let client = Client::new(service(text).await, Limits::default());
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    client
        .send(Method::GET, "/", headers, body, Duration::ZERO)
        .await
}

// Guards against a status that HTTP does not have and that counts as a response of the store or an engine.
#[tokio::test]
async fn a_status_that_http_does_not_have_is_no_response() {
    for status in ["000", "001", "099", "101", "600", "999", "20", "2000"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 1\r\n\r\nx");
        let error = get(text).await.expect_err(status);
        assert!(error.unsure(), "{status}: {error}");
    }
}

// Guards against a page of the store that was cut off and counts as whole, since nothing marks its end.
#[tokio::test]
async fn a_success_whose_end_is_not_marked_is_not_whole() {
    let text = "HTTP/1.1 200 OK\r\n\r\nrecords".to_owned();
    get(text).await.expect_err("no end");
}
