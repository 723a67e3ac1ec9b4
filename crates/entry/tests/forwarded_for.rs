//! The caller's address, as services learn it.

#[path = "support/front.rs"]
mod front;

use entry::claim::Verdict;
use front::{CALLER, Front, Origin, owned_by, post_from};

// Guards against a service that learns no address of a caller, or takes one that the caller made up.
#[tokio::test(flavor = "multi_thread")]
async fn services_get_the_callers_address() {
    let mut origin = Origin::start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let front = Front::start(origin.addr);
    let path = "/services/lookup/send";
    for (caller, headers) in [
        (CALLER, &[][..]),
        ([127, 0, 0, 2], &[("x-forwarded-for", "192.0.2.1")]),
    ] {
        let response = post_from(caller, front.addr, path, headers, "menu").await;
        assert_eq!(response.status(), 200, "{response:?}");
        let request = origin.next().await;
        let expected = std::net::Ipv4Addr::from(caller).to_string();
        assert_eq!(
            request.header("x-forwarded-for"),
            Some(&expected[..]),
            "{request:?}"
        );
    }
}

// Guards against a service that takes the node which a request came through for its caller: the
// owner of a key runs a request that another node has forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn services_get_the_callers_address_through_another_node() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let path = "/services/newsletter/send";
    let key = ("idempotency-key", "1764712345-a");
    let (caller, node) = ([127, 0, 0, 2], [127, 0, 0, 3]);
    // What a node sends to the owner.
    let mut owner = Origin::start(answer).await;
    let mut front = Front::start(owner.addr);
    let addr = front.addr;
    let call = tokio::spawn(async move {
        let headers = [key, ("x-forwarded-for", "192.0.2.1")];
        post_from(caller, addr, path, &headers, "menu").await
    });
    let claim = front.next_claim().await;
    front.decide(&claim, owned_by(owner.addr));
    call.await.expect("a response");
    let forwarded = owner.next().await;
    assert_eq!(forwarded.header("x-forwarded-for"), Some("127.0.0.2"));
    // What the owner sends to the service. Without the node's mark, the sender is the caller.
    let hop = forwarded.header("x-wigeonshelf-hop").expect("a mark");
    for (mark, expected) in [(hop, "127.0.0.2"), ("1", "127.0.0.3"), ("", "127.0.0.3")] {
        let mut service = Origin::start(answer).await;
        let mut front = Front::start(service.addr);
        let addr = front.addr;
        let mark = mark.to_owned();
        let call = tokio::spawn(async move {
            let headers = [
                key,
                ("x-forwarded-for", "127.0.0.2"),
                ("x-wigeonshelf-hop", &mark),
            ];
            post_from(node, addr, path, &headers, "menu").await
        });
        let claim = front.next_claim().await;
        front.decide(&claim, Verdict::Run);
        call.await.expect("a response");
        let request = service.next().await;
        assert_eq!(request.header("x-forwarded-for"), Some(expected));
    }
}
