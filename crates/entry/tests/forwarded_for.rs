//! The caller's address, as services learn it.

#[path = "support/front.rs"]
mod front;

use front::{CALLER, Front, Origin, post_from};

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
