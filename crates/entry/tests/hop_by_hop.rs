//! Headers that concern a single connection are not forwarded.

#[path = "support/front.rs"]
mod front;

use front::{Front, Message, Origin, owned_by, post};

/// Hop-by-hop fields of HTTP (RFC 9110, section 7.6.1) that callers and endpoints may send, and one
/// that only `Connection` declares to be one.
const HOP_BY_HOP: [(&str, &str); 8] = [
    ("connection", "keep-alive, x-declared"),
    ("keep-alive", "timeout=5"),
    ("proxy-authenticate", "Basic"),
    ("proxy-authorization", "Basic a2V5"),
    ("proxy-connection", "keep-alive"),
    ("te", "trailers"),
    ("trailer", "x-checksum"),
    ("x-declared", "1"),
];

/// Returns the names of `HOP_BY_HOP` that are headers of `message`. The connection's own end may set
/// `connection` anew, without the caller's options.
fn leaked(message: &Message) -> Vec<&'static str> {
    let names = HOP_BY_HOP.iter().filter(|(name, value)| match *name {
        "connection" => message.header(name) == Some(value),
        _ => message.header(name).is_some(),
    });
    names.map(|(name, _)| *name).collect()
}

// Guards against a service that gets the caller's credentials for a proxy, or a promise (te,
// trailer, upgrade) that holds on the caller's connection only.
#[tokio::test(flavor = "multi_thread")]
async fn services_get_no_hop_by_hop_headers() {
    let mut origin = Origin::start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let front = Front::start(origin.addr);
    let mut headers = HOP_BY_HOP.to_vec();
    headers.extend([("x-wigeonshelf-hop", "1"), ("x-menu", "week 7")]);
    let response = post(front.addr, "/services/lookup/send", &headers, "menu").await;
    assert_eq!(response.status(), 200, "{response:?}");
    let request = origin.next().await;
    assert_eq!(leaked(&request), Vec::<&str>::new(), "{request:?}");
    assert_eq!(request.header("x-wigeonshelf-hop"), None);
    assert_eq!(request.header("x-menu"), Some("week 7"));
    assert_eq!(request.body, "menu");
}

// Guards against a caller that gets the hop-by-hop headers of the service's connection.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_no_hop_by_hop_headers() {
    let origin = Origin::start(
        "HTTP/1.1 200 OK\r\nconnection: keep-alive, x-declared\r\nkeep-alive: timeout=5\r\n\
         proxy-authenticate: Basic\r\nproxy-authorization: Basic a2V5\r\n\
         proxy-connection: keep-alive\r\nte: trailers\r\ntrailer: x-checksum\r\nx-declared: 1\r\n\
         x-menu: week 7\r\ncontent-length: 2\r\n\r\nok",
    )
    .await;
    let front = Front::start(origin.addr);
    let response = post(front.addr, "/services/lookup/send", &[], "menu").await;
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(leaked(&response), Vec::<&str>::new(), "{response:?}");
    assert_eq!(response.header("x-menu"), Some("week 7"));
    assert_eq!(response.body, "ok");
}

// Guards against a node that forwards a caller's request to the owner of its key with hop-by-hop
// headers, or without a header of the API that `Connection` names: without its key or the mark that
// it must not be repeated, the owner would run the request a second time.
#[tokio::test(flavor = "multi_thread")]
async fn owners_of_keys_get_the_api_headers_only() {
    let mut origin = Origin::start(
        "HTTP/1.1 200 OK\r\nconnection: keep-alive, x-declared\r\nkeep-alive: timeout=5\r\n\
         proxy-authenticate: Basic\r\nte: trailers\r\ntrailer: x-checksum\r\nx-declared: 1\r\n\
         content-length: 2\r\n\r\nok",
    )
    .await;
    let mut front = Front::start(origin.addr);
    let addr = front.addr;
    let mut headers = HOP_BY_HOP.to_vec();
    headers[0].1 =
        "keep-alive, x-declared, Idempotency-Key, X-Wigeonshelf-Repeatable, authorization";
    headers.extend([
        ("idempotency-key", "1764712345-a"),
        ("x-wigeonshelf-repeatable", "false"),
    ]);
    let call =
        tokio::spawn(
            async move { post(addr, "/services/newsletter/send", &headers, "menu").await },
        );
    let claim = front.next_claim().await;
    front.decide(&claim, owned_by(origin.addr));
    let response = call.await.expect("a response");
    let request = origin.next().await;
    assert_eq!(leaked(&request), Vec::<&str>::new(), "{request:?}");
    assert_eq!(request.header("idempotency-key"), Some("1764712345-a"));
    assert_eq!(request.header("x-wigeonshelf-repeatable"), Some("false"));
    assert!(request.header("authorization").is_some());
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(leaked(&response), Vec::<&str>::new(), "{response:?}");
}
