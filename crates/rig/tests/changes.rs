//! Requests that are in progress while a bundle, a node or an endpoint changes.

use http::Method;
use http_body_util::BodyExt;
use rig::caller::Caller;
use rig::fleet::{Fleet, wait};
use rig::plan::{KITCHENS, LOOKUP, NEWSLETTER, Plan};
use standin::service::{Config, Service};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn plan() -> Plan {
    Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        ..Plan::default()
    }
}

/// Starts a fleet whose services are configured by `config`.
async fn fleet(plan: Plan, config: &Config) -> Fleet {
    let mut fleet = Fleet::start_standins(plan).await.expect("stand-ins");
    for service in &mut fleet.services {
        service.handle = Service::start(config.clone()).await.expect("service");
    }
    fleet.start_node(0).expect("node");
    fleet.update_instance_list();
    fleet.publish(&fleet.text()).await.expect("published");
    fleet.wait_until_settled().await.expect("settled");
    fleet
}

fn headers() -> [(&'static str, String); 1] {
    [("authorization", format!("Bearer {}", KITCHENS.key))]
}

/// Number of calls that all endpoints of a service received.
fn calls(fleet: &Fleet, service: &str) -> u64 {
    let services = fleet.services.iter().filter(|s| s.service == service);
    services.map(|s| s.handle.call_count()).sum()
}

// Guards against a call that is made again at another endpoint after a part of its answer was
// forwarded: the second answer can't reach the caller.
#[tokio::test(flavor = "multi_thread")]
async fn call_whose_answer_has_begun_is_not_made_again() {
    let config = Config {
        pieces: 40,
        piece_time: Duration::from_millis(200),
        ..Config::default()
    };
    let fleet = fleet(plan(), &config).await;
    let caller = Caller::new();
    let addr = fleet.node(0).callers;
    let path = format!("/services/{LOOKUP}/list");
    let headers = headers();
    let response = caller.send(addr, Method::POST, &path, &headers, "a");
    let mut body = response.await.expect("a head").into_body();
    let first = body.frame().await.expect("a piece").expect("a piece");
    assert!(first.is_data());
    for service in &fleet.services {
        let runs = service.service == LOOKUP && service.handle.call_count() > 0;
        service.handle.set_unresponsive(runs);
    }
    // The answer ends, since its endpoint is dead, and it must not look complete.
    assert!(body.collect().await.is_err());
    assert_eq!(calls(&fleet, LOOKUP), 1);
}

/// Sends the head of a call with a body of one byte, and returns the connection.
async fn begin_call(addr: SocketAddr, service: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    let head = format!(
        "POST /services/{service}/send HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\n\
         content-length: 1\r\nconnection: close\r\n\r\n",
        KITCHENS.key
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

// Guards against a call that reaches another service: the ids of services change with the bundle,
// and the call's were those of the bundle under which its head was read.
#[tokio::test(flavor = "multi_thread")]
async fn call_whose_body_arrives_after_a_new_bundle_reaches_its_own_service() {
    let mut fleet = fleet(plan(), &Config::default()).await;
    let mut stream = begin_call(fleet.node(0).callers, LOOKUP).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Without the first service, its id is that of the second one.
    fleet.services.retain(|s| s.service != LOOKUP);
    fleet.update_instance_list();
    let text = fleet.text();
    let text = text.replace(&format!("[service {LOOKUP}]\nrepeatable = yes\n"), "");
    fleet.publish(&text).await.expect("published");
    fleet.wait_until_settled().await.expect("settled");
    stream.write_all(b"x").await.expect("sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(10), read).await;
    read.expect("an answer").expect("an answer");
    assert_eq!(calls(&fleet, NEWSLETTER), 0, "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}

// Guards against callers that connect to a node after it stopped accepting connections and get
// neither an answer nor a refusal until the last response of the node has ended.
#[tokio::test(flavor = "multi_thread")]
async fn closed_node_refuses_connections_while_answers_are_in_progress() {
    let fleet = fleet(plan(), &Config::default()).await;
    let node = fleet.node(0);
    for service in &fleet.services {
        service.handle.set_delay(Duration::from_secs(4));
    }
    let addr = node.callers;
    let path = format!("/services/{LOOKUP}/list");
    let running = tokio::spawn(async move {
        let (caller, headers) = (Caller::new(), headers());
        let answer = caller.call(addr, Method::POST, &path, &headers, "a");
        answer.await
    });
    wait("the call runs", || async { calls(&fleet, LOOKUP) > 0 })
        .await
        .expect("runs");
    node.shutdown().serving.close.cancel();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let late = TcpStream::connect(addr).await;
    assert!(late.is_err(), "a connection that is not served");
    let (status, ..) = running.await.expect("joined").expect("an answer");
    assert!(status.is_success());
}

// Guards against a call that is interrupted by a drain since its caller has left: work that may not
// be repeated goes on, as it does on a node that does not drain.
#[tokio::test(flavor = "multi_thread")]
async fn drain_awaits_a_call_that_is_not_repeatable_and_whose_caller_left() {
    let mut fleet = fleet(plan(), &Config::default()).await;
    for service in &fleet.services {
        service.handle.set_delay(Duration::from_millis(2500));
    }
    let addr = fleet.node(0).callers;
    let mut stream = begin_call(addr, NEWSLETTER).await;
    stream.write_all(b"x").await.expect("sent");
    wait("the call runs", || async { calls(&fleet, NEWSLETTER) > 0 })
        .await
        .expect("runs");
    drop(stream);
    fleet.drain_node(0).await.expect("drained");
    let services = fleet.services.iter();
    let effects: u64 = services.map(|s| s.handle.effects("x")).sum();
    assert_eq!(effects, 1);
}

// Guards against a refusal that its caller never sees: the node closes the connection while the
// body is still arriving, which resets the connection and discards the answer.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_by_the_head_reaches_a_caller_that_still_sends_the_body() {
    const PART_BYTES: usize = 8 << 10;
    let fleet = fleet(plan(), &Config::default()).await;
    for path in ["/v1/chat/completions", "/services/none/x", "/none"] {
        let mut stream = TcpStream::connect(fleet.node(0).callers)
            .await
            .expect("connected");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
            6 * PART_BYTES
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let sent = stream.write_all(&[b'a'; PART_BYTES]).await;
            sent.unwrap_or_else(|error| panic!("{path}: {error}"));
        }
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(&answer[..10], b"HTTP/1.1 4", "{path}");
    }
}
