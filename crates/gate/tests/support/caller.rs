//! Callers' requests.

use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the answer ended as a whole.
    pub whole: bool,
}

/// A request with a key, an id and a time limit.
pub fn request(path: &str) -> Request<Full<bytes::Bytes>> {
    Request::post(path)
        .header("host", "h")
        .header("id", "r1")
        .header("key", "k1")
        .header("deadline", "4000")
        .header("team", "mine")
        .body(Full::new("body".into()))
        .unwrap()
}

/// Sends a request on a new connection and reads the answer to its end.
pub async fn send(addr: SocketAddr, request: Request<Full<bytes::Bytes>>) -> Got {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let conn = tokio::spawn(async move {
        let _ = conn.await;
    });
    let response = sender.send_request(request).await.unwrap();
    let (parts, mut body) = response.into_parts();
    let mut text = String::new();
    let whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(std::str::from_utf8(&data).unwrap());
            }
        }
    };
    conn.abort();
    Got {
        status: parts.status,
        headers: parts.headers,
        body: text,
        whole,
    }
}

/// The body of a short answer.
pub async fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let request = Request::get(path).body(Full::default()).unwrap();
    let got = send(addr, request).await;
    got.status.is_success().then_some(got.body)
}

/// The events of a body as their ids.
pub fn ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.map(|n| n.parse().unwrap()).collect()
}
