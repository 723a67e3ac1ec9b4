//! Requests that a node forwards to the owner of their key, and requests that only claim to be
//! forwarded.

#[path = "support/front.rs"]
mod front;

use front::{Front, Message, Origin, owned_by, post_from};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const PATH: &str = "/services/newsletter/send";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Address of an entry node.
const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
/// Address that no entry node has.
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));

/// Sends a request with a key and this hop header to a node that finds its owner at `owner`.
async fn send(
    front: &mut Front,
    owner: SocketAddr,
    from: IpAddr,
    hop: &str,
    key: &str,
    body: &str,
) -> Message {
    let addr = front.addr;
    let headers = [("idempotency-key", key), ("x-wigeonshelf-hop", hop)];
    let headers = headers.iter().filter(|(_, value)| !value.is_empty());
    let headers: Vec<_> = headers.map(|(n, v)| (*n, (*v).to_owned())).collect();
    let body = body.to_owned();
    let call = tokio::spawn(async move {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        post_from(from, addr, PATH, &headers, &body).await
    });
    let claim = front.next_claim().await;
    front.decide(&claim, owned_by(owner));
    call.await.expect("a response")
}

// Guards against a caller whose request is answered with an error instead of the answer of its first
// run: it sends the header with which a node marks a request that it forwards, and that is not
// forwarded again.
#[tokio::test(flavor = "multi_thread")]
async fn callers_hop_header_is_ignored() {
    let mut owner = Origin::start(ANSWER).await;
    let mut front = Front::with_peers(owner.addr, &[PEER]);
    for hop in ["", "1", "2", "00112233445566778899aabbccddeeff", "x"] {
        let answer = send(&mut front, owner.addr, OTHER, hop, "1764712345-a", "menu").await;
        assert_eq!(answer.status(), 200, "hop {hop:?}: {answer:?}");
        let forwarded = owner.next().await;
        assert!(forwarded.header("x-wigeonshelf-hop").is_some());
    }
}

// Guards against nodes that forward a request to each other in a loop. A node of the former build
// marks the request with `1` only, and is known by its address.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_former_node_is_not_forwarded_again() {
    let mut owner = Origin::start(ANSWER).await;
    let mut front = Front::with_peers(owner.addr, &[PEER]);
    let answer = send(&mut front, owner.addr, PEER, "1", "1764712345-a", "menu").await;
    assert_eq!(answer.status(), 409, "{answer:?}");
    assert!(answer.header("x-wigeonshelf-node").is_some());
    assert!(owner.is_unused());
}

// Guards against the same loop between nodes whose connections come from other addresses than those
// that they listen on. The mark holds for the request that was forwarded and for no other.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_is_known_from_any_address() {
    let mut owner = Origin::start(ANSWER).await;
    let mut front = Front::with_peers(owner.addr, &[PEER]);
    let key = "1764712345-a";
    let answer = send(&mut front, owner.addr, OTHER, "", key, "menu").await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    let forwarded = owner.next().await;
    let hop = forwarded.header("x-wigeonshelf-hop").expect("a mark");
    let again = send(&mut front, owner.addr, OTHER, hop, key, "menu").await;
    assert_eq!(again.status(), 409, "{again:?}");
    assert!(owner.is_unused());
    for (key, body) in [("1764712345-b", "menu"), (key, "other menu")] {
        let other = send(&mut front, owner.addr, OTHER, hop, key, body).await;
        assert_eq!(other.status(), 200, "{other:?}");
        owner.next().await;
    }
}
