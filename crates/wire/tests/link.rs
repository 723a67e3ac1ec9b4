//! Links between nodes on loopback: group messages, calls, failures and limits.

#[path = "support/bare.rs"]
mod bare;
#[path = "support/node.rs"]
mod node;
#[path = "support/proxy.rs"]
mod proxy;

use bare::{BareLink, numbered_message, wait_until};

use member::event::Event;
use member::head::Head;
use member::item::Observation;
use member::message::{Body as MessageBody, Message, Summary};
use node::{KEY, Node, WAIT_TIMEOUT};
use proxy::Proxy;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::error::Error;
use wire::frame::{CopyRequest, HeadRequest};
use wire::limits::Limits;
use wire::peer::Inbound;

async fn pair() -> (Node, Node) {
    let a = Node::start("a", KEY, Limits::default()).await;
    let b = Node::start("b", KEY, Limits::default()).await;
    for node in [&a, &b] {
        node.send_event(Event::Listed(vec![a.entry(), b.entry()]))
            .await;
    }
    a.wait_until("b joins a", |s| s.up == [b.id()]).await;
    b.wait_until("a joins b", |s| s.up == [a.id()]).await;
    (a, b)
}

#[tokio::test]
async fn head_reaches_the_peer_with_its_record() {
    let (a, b) = pair().await;
    a.send_event(Event::Head(Head {
        number: 3,
        digest: [3; 32],
    }))
    .await;
    b.wait_until("head at b", |s| s.head == 3).await;
    let status = a.link.request_status(b.link.addr()).await.expect("status");
    assert_eq!(status.number, 3);
    assert_eq!(
        a.link.counters().bad_mac.get() + b.link.counters().bad_mac.get(),
        0
    );
}

#[tokio::test]
async fn observations_reach_the_peer() {
    let (a, b) = pair().await;
    let body = Observation::Condemned {
        fingerprint: 9,
        ttl: Duration::from_secs(60),
    };
    b.send_event(Event::Publish(vec![body.clone()])).await;
    a.wait_until("item at a", |s| {
        s.items.iter().any(|i| i.body.key() == body.key())
    })
    .await;
}

/// Guards against reporting a live peer as unreachable when a device on the path loses the state of
/// an open connection: the connection stays open and carries nothing, while new ones work. The
/// sender gets no pong, sends the frame again over a new connection and reports nothing.
#[tokio::test]
async fn silent_connection_is_not_a_dead_peer() {
    let far = BareLink::start(KEY, Limits::default()).await;
    let (_target, watch) = tokio::sync::watch::channel(far.link.addr());
    let proxy = Proxy::start(watch).await;
    let mut near = BareLink::start(KEY, Limits::default()).await;
    let mut far = far;
    near.link
        .send(proxy.addr, numbered_message(1))
        .expect("queued");
    assert_eq!(far.next().await, 1);
    proxy.silence_connections();
    near.link
        .send(proxy.addr, numbered_message(2))
        .expect("queued");
    // The first message may arrive twice if its pong was lost, since it was then unconfirmed.
    while far.next().await != 2 {}
    assert_eq!(near.link.counters().silent.get(), 1);
    assert_eq!(near.link.counters().unreached.get(), 0);
    assert!(near.inbound.try_recv().is_err());
}

/// When the peer's process has ended, a new connection fails and the peer is reported.
#[tokio::test]
async fn dead_peer_is_reported_as_unreachable() {
    let mut near = BareLink::start(KEY, Limits::default()).await;
    let gone = BareLink::start(KEY, Limits::default()).await;
    let addr = gone.link.addr();
    gone.cancel.cancel();
    drop(gone);
    tokio::time::sleep(Duration::from_millis(50)).await;
    near.link.send(addr, numbered_message(1)).expect("queued");
    let inbound = tokio::time::timeout(WAIT_TIMEOUT, near.inbound.recv())
        .await
        .expect("within the timeout");
    assert!(
        matches!(inbound, Some(Inbound::ConnectFailed(a)) if a == addr),
        "{inbound:?}"
    );
    assert_eq!(near.link.route_count(), 0);
}

/// Limits under which a call times out only long after the test.
fn long_call_timeout() -> Limits {
    Limits {
        call_timeout: WAIT_TIMEOUT * 10,
        ..Limits::default()
    }
}

// Guards against a call that waits for its timeout although the peer's process has ended.
#[tokio::test]
async fn call_fails_when_the_process_of_the_peer_ends() {
    let near = BareLink::start(KEY, long_call_timeout()).await;
    let mut far = BareLink::start(KEY, Limits::default()).await;
    let (link, addr) = (near.link.clone(), far.link.addr());
    let call = tokio::spawn(async move {
        link.request_copy(addr, CopyRequest { table: 1, from: 0 })
            .await
    });
    let received = tokio::time::timeout(WAIT_TIMEOUT, far.inbound.recv()).await;
    assert!(
        matches!(received, Ok(Some(Inbound::Copy { .. }))),
        "{received:?}"
    );
    far.cancel.cancel();
    let ended = tokio::time::timeout(WAIT_TIMEOUT, call)
        .await
        .expect("within the timeout");
    let answer = ended.expect("runs");
    assert!(matches!(answer, Err(Error::Closed)), "{answer:?}");
}

// Guards against a call that fails because the peer closed its connection in favour of another
// route. The peer may have one route only, so its message to a third link evicts the first.
#[tokio::test]
async fn call_outlives_its_connection() {
    let one_route = Limits {
        max_routes: 1,
        ..Limits::default()
    };
    let near = BareLink::start(KEY, long_call_timeout()).await;
    let mut far = BareLink::start(KEY, one_route).await;
    let other = BareLink::start(KEY, Limits::default()).await;
    let (link, addr) = (near.link.clone(), far.link.addr());
    let call = tokio::spawn(async move {
        link.request_copy(addr, CopyRequest { table: 1, from: 0 })
            .await
    });
    let received = tokio::time::timeout(WAIT_TIMEOUT, far.inbound.recv()).await;
    let Ok(Some(Inbound::Copy { reply, .. })) = received else {
        panic!("{received:?}");
    };
    let before = far.link.counters().dialed.get();
    far.link
        .send(other.link.addr(), numbered_message(1))
        .expect("queued");
    wait_until("a route to the other", || {
        far.link.counters().dialed.get() > before
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    reply.send(Some(vec![7])).expect("queued");
    let ended = tokio::time::timeout(WAIT_TIMEOUT, call)
        .await
        .expect("within the timeout");
    let answer = ended.expect("runs").expect("answer");
    assert_eq!(answer, Some(vec![7]));
}

// Guards against a call that waits for its timeout although the peer answers on no connection.
#[tokio::test]
async fn call_fails_when_the_peer_is_unreachable() {
    let near = BareLink::start(KEY, long_call_timeout()).await;
    // The kernel accepts connections and no process reads them, as on a frozen node.
    let frozen = std::net::TcpListener::bind("127.0.0.1:0").expect("listens");
    let addr = frozen.local_addr().expect("address");
    let call = near
        .link
        .request_copy(addr, CopyRequest { table: 1, from: 0 });
    let answer = tokio::time::timeout(WAIT_TIMEOUT, call)
        .await
        .expect("within the timeout");
    assert!(matches!(answer, Err(Error::Closed)), "{answer:?}");
}

/// A node with a different key connects, by an operator's mistake or an attacker's guess. Its first
/// frame does not verify, so its connection is closed and counted and nothing is delivered.
#[tokio::test]
async fn wrong_key_is_refused() {
    let mut far = BareLink::start(KEY, Limits::default()).await;
    let near = BareLink::start(&KEY.replace('0', "f"), Limits::default()).await;
    near.link
        .send(far.link.addr(), numbered_message(1))
        .expect("queued");
    wait_until("wrong MAC is counted", || {
        far.link.counters().bad_mac.get() > 0
    })
    .await;
    assert!(far.inbound.try_recv().is_err());
    assert_eq!(far.link.counters().received.get(), 0);
}

/// Guards against clients that occupy all inbound connections by sending nothing or another
/// protocol. They are closed after the handshake timeout, connections over the limit are refused,
/// and a peer that is already connected is still served.
#[tokio::test]
async fn unauthenticated_connections_are_bounded() {
    let limits = Limits {
        max_inbound_connections: 4,
        ..Limits::default()
    };
    let mut far = BareLink::start(KEY, limits).await;
    let near = BareLink::start(KEY, Limits::default()).await;
    near.link
        .send(far.link.addr(), numbered_message(1))
        .expect("queued");
    assert_eq!(far.next().await, 1);
    let mut unauthenticated = Vec::new();
    for number in 0..8 {
        let mut socket = TcpStream::connect(far.link.addr()).await.expect("connects");
        if number == 0 {
            let _ = socket.write_all(b"GET / HTTP/1.1\r\n\r\n").await;
        }
        unauthenticated.push(socket);
    }
    wait_until("connection over the limit is refused", || {
        far.link.counters().refused.get() > 0
    })
    .await;
    near.link
        .send(far.link.addr(), numbered_message(2))
        .expect("queued");
    assert_eq!(far.next().await, 2);
    wait_until("unauthenticated connections are closed", || {
        far.link.counters().slow_hello.get() >= 3
    })
    .await;
}

/// A call without a response ends by its timeout and is removed from the calls in flight.
#[tokio::test]
async fn unanswered_call_times_out() {
    let limits = Limits {
        call_timeout: Duration::from_millis(200),
        ..Limits::default()
    };
    let near = BareLink::start(KEY, limits).await;
    let far = BareLink::start(KEY, Limits::default()).await;
    let answer = near.link.request_status(far.link.addr()).await;
    assert!(matches!(answer, Err(wire::Error::Timeout(_))), "{answer:?}");
}

/// A response can carry a record of 2 MB, the size of a full bundle.
#[tokio::test]
async fn large_record_fits_in_one_response() {
    let near = BareLink::start(KEY, Limits::default()).await;
    let mut far = BareLink::start(KEY, Limits::default()).await;
    let record: Vec<u8> = (0..2_000_000u32).map(|i| i as u8).collect();
    let sent = record.clone();
    let addr = far.link.addr();
    tokio::spawn(async move {
        let inbound = far.inbound.recv().await;
        let Some(Inbound::Head { reply, .. }) = inbound else {
            panic!("{inbound:?}")
        };
        reply.send(Some(sent)).expect("queued");
        far.cancel.cancelled().await;
    });
    let response = near
        .link
        .request_head(addr, HeadRequest { number: 1, have: 0 })
        .await
        .expect("answer");
    assert!(response == Some(record));
}

/// When a node sends to more peers than it may have routes, the least recently used routes are
/// closed and all peers are reached.
#[tokio::test]
async fn routes_are_bounded() {
    let limits = Limits {
        max_routes: 3,
        ..Limits::default()
    };
    let near = BareLink::start(KEY, limits).await;
    for round in 0..8 {
        let mut far = BareLink::start(KEY, Limits::default()).await;
        near.link
            .send(far.link.addr(), numbered_message(round))
            .expect("queued");
        assert_eq!(far.next().await, round);
        assert!(near.link.route_count() <= 3);
    }
}

/// A frame longer than the receiver's limit closes the connection and is counted.
#[tokio::test]
async fn long_frame_is_refused() {
    let near = BareLink::start(KEY, Limits::default()).await;
    let far = BareLink::start(
        KEY,
        Limits {
            max_frame_len: 100,
            ..Limits::default()
        },
    )
    .await;
    let body = Message {
        body: MessageBody::Digest(vec![
            Summary {
                hash: 1,
                versions: vec![7; 200]
            };
            16
        ]),
        ..numbered_message(1)
    };
    near.link.send(far.link.addr(), body).expect("queued");
    wait_until("long frame is counted", || {
        far.link.counters().bad_frame.get() > 0
    })
    .await;
}

/// Both sides close an idle connection, and the next frame opens a new one.
#[tokio::test]
async fn idle_connection_closes() {
    let limits = Limits {
        idle_timeout: Duration::from_millis(100),
        ..Limits::default()
    };
    let near = BareLink::start(KEY, limits.clone()).await;
    let mut far = BareLink::start(KEY, limits).await;
    near.link
        .send(far.link.addr(), numbered_message(1))
        .expect("queued");
    assert_eq!(far.next().await, 1);
    wait_until("idle connection is closed", || {
        near.link.route_count() == 0 && far.link.route_count() == 0
    })
    .await;
    near.link
        .send(far.link.addr(), numbered_message(2))
        .expect("queued");
    assert_eq!(far.next().await, 2);
    assert_eq!(near.link.counters().dialed.get(), 2);
}
