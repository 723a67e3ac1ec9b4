//! Signals and drains of the real binary on a platform's store.

#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use hosted::{start_with, wait_for_catalog};
use standin::caller::{self, Call};
use standin::store::Store;
use standin::{address, bulk, manifest};
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the response, above what the kernel buffers for a connection.
const BODY_BYTES: usize = 8 << 20;
/// Time after which the endpoint responds: after the node began to refuse new requests.
const RESPONSE_DELAY: Duration = Duration::from_millis(2900);

// Guards against a drain that ends the process while a response is still being written: its caller
// reads slowly, and the end of the grace time is more than a second away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_that_a_caller_reads_slowly_survives_a_drain() {
    let store = Store::start().await;
    bulk::start("bulk", &store, RESPONSE_DELAY, BODY_BYTES).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let (node, callers) = start_with(store.addr, 5);
    wait_for_catalog(callers).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = tokio::spawn(bulk::read_slowly(callers, "/once/x"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(node.signal("-TERM"));
    let (head, length) = response.await.unwrap().unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(length, BODY_BYTES);
}

// Guards against requests that a node accepts after SIGTERM and cuts at the end of the grace time,
// though they came later than the platform excuses it for.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_after_the_signal_are_served_whole_or_refused() {
    let store = Store::start().await;
    bulk::start("bulk", &store, Duration::from_millis(4600), 1000).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let (node, callers) = start_with(store.addr, 8);
    wait_for_catalog(callers).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(node.signal("-TERM"));
    // The deadline of one that is sent later than 2,470 ms after the signal is behind the abort.
    let sent = [500, 1500, 2400, 2500, 2960, 2990, 3010].map(|after| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(after)).await;
            let id = format!("r{after}");
            let call = Call {
                method: "GET",
                path: "/once/x",
                id: &id,
                key: "k1",
                deadline: "5000",
            };
            let answer = caller::send(callers, &call).await;
            let answer = answer.filter(|a| a.complete);
            (after, answer.map(|a| a.status.as_u16()))
        })
    });
    for request in sent {
        let (after, status) = request.await.unwrap();
        let expected = if after <= 2400 { 200 } else { 503 };
        assert_eq!(status, Some(expected), "sent {after} ms after the signal");
    }
}

// Guards against requests in flight at the end of the grace time whose connections are closed without a response,
// though the node knows what became of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_are_given_up_get_a_response() {
    let store = Store::start().await;
    bulk::start("bulk", &store, Duration::from_secs(30), 1000).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let (node, callers) = start_with(store.addr, 2);
    wait_for_catalog(callers).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let sent = ["/once/x", "/safe/x", "/once/y", "/safe/y"].map(|path| {
        tokio::spawn(async move {
            let call = Call {
                method: "GET",
                path,
                id: path,
                key: "k1",
                deadline: "5000",
            };
            let answer = caller::send(callers, &call).await;
            let answer = answer.filter(|a| a.complete);
            (path, answer.map(|a| a.status.as_u16()))
        })
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(node.signal("-TERM"));
    for request in sent {
        let (path, status) = request.await.unwrap();
        assert_eq!(status, Some(502), "{path}");
    }
}

// Guards against a node that a signal kills because it accepts callers before it handles signals.
#[test]
fn signal_right_after_the_start_does_not_kill_a_node() {
    const STARTS: usize = 20;
    let store: SocketAddr = address::unused();
    for start in 0..STARTS {
        let (mut node, callers) = start_with(store, 5);
        let signal = node.prepare_signal("-HUP");
        while std::net::TcpStream::connect(callers).is_err() {
            std::hint::spin_loop();
        }
        signal.send();
        std::thread::sleep(Duration::from_millis(20));
        assert_eq!(node.exit_status(), None, "start {start}");
    }
}
