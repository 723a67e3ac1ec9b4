//! Groups over real links on loopback.

#[path = "support/node.rs"]
mod node;

use member::event::Event;
use member::head::Head;
use member::item::Body;
use node::{KEY, Node};
use std::time::Duration;
use wire::limits::Limits;

async fn pair() -> (Node, Node) {
    let a = Node::start("a", KEY, Limits::default()).await;
    let b = Node::start("b", KEY, Limits::default()).await;
    for node in [&a, &b] {
        node.tell(Event::Listed(vec![a.entry(), b.entry()])).await;
    }
    a.until("b joins a", |s| s.up == [b.id()]).await;
    b.until("a joins b", |s| s.up == [a.id()]).await;
    (a, b)
}

#[tokio::test]
async fn head_reaches_the_peer_with_its_record() {
    let (a, b) = pair().await;
    a.tell(Event::Head(Head {
        number: 3,
        digest: [3; 32],
    }))
    .await;
    b.until("head at b", |s| s.head == 3).await;
    let status = a.link.status(b.link.addr()).await.expect("status");
    assert_eq!(status.number, 3);
    assert_eq!(
        a.link.counters().bad_mac.get() + b.link.counters().bad_mac.get(),
        0
    );
}

#[tokio::test]
async fn observations_reach_the_peer() {
    let (a, b) = pair().await;
    let body = Body::Condemned {
        fingerprint: 9,
        ttl: Duration::from_secs(60),
    };
    b.tell(Event::Publish(vec![body.clone()])).await;
    a.until("item at a", |s| {
        s.items.iter().any(|i| i.body.key() == body.key())
    })
    .await;
}
