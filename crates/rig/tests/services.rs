//! Plain services: routing, retries of repeatable calls, and streaming of answers.

use http::{HeaderMap, Method, StatusCode};
use rig::caller::Caller;
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, LOOKUP, NEWSLETTER, Plan};
use standin::service::{Config, CrashPoint, answer};
use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

async fn call(fleet: &Fleet, service: &str, key: &str) -> eyre::Result<Reply> {
    let headers = [
        ("authorization", format!("Bearer {}", KITCHENS.key)),
        ("idempotency-key", dated(key)),
    ];
    let path = format!("/services/{service}/send?week=7");
    let addr = fleet.node(0).callers;
    let caller = Caller::new();
    let (status, headers, body) = caller
        .call(addr, Method::POST, &path, &headers, key.to_owned())
        .await?;
    Ok(Reply {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Returns a dated idempotency key: a time in seconds, then `key`. The time is the same for all
/// calls of the process.
fn dated(key: &str) -> String {
    static NOW: LazyLock<u64> = LazyLock::new(|| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.expect("after 1970").as_secs()
    });
    format!("{}-{key}", *NOW)
}

fn expected(key: &str) -> String {
    answer(&Config::default(), "/send", key.as_bytes()).concat()
}

fn effects(fleet: &Fleet, service: &str, key: &str) -> u64 {
    let services = fleet.services.iter().filter(|s| s.service == service);
    services.map(|s| s.handle.effects(&dated(key))).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_is_routed_and_its_answer_streamed_through() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let reply = call(&fleet, NEWSLETTER, "week-7").await.expect("answer");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, expected("week-7"));
    assert_eq!(effects(&fleet, NEWSLETTER, "week-7"), 1);
}

// An endpoint dies before a call has its effect. Calls of a lookup are repeatable, so the node
// retries at another endpoint and the caller gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_is_retried_at_another_endpoint() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let lookups = fleet.services.iter().filter(|s| s.service == LOOKUP);
    let first = lookups.into_iter().next().expect("an endpoint");
    first.handle.crash_at(Some(CrashPoint::Before));
    for n in 0..6 {
        let key = format!("lookup-{n}");
        let reply = call(&fleet, LOOKUP, &key).await.expect("answer");
        assert_eq!(reply.body, expected(&key));
    }
}

// Every endpoint dies right after the effect of a call. Calls of a newsletter are not repeatable,
// so the node does not retry: the outcome is "unknown", and the call has its effect once.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_is_not_repeatable_is_made_once() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for service in &fleet.services {
        service.handle.crash_at(Some(CrashPoint::After));
    }
    let reply = call(&fleet, NEWSLETTER, "week-8").await.expect("answer");
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let outcome = reply.headers.get("x-wigeonshelf-outcome");
    assert_eq!(outcome.map(|v| v.as_bytes()), Some(&b"unknown"[..]));
    assert_eq!(effects(&fleet, NEWSLETTER, "week-8"), 1);
}

// An endpoint truncates its answer after the head and a part of the body were forwarded. The caller
// must see an aborted answer, never a short one that looks complete, and the node must not retry: a
// second answer would be appended to the first.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_aborted() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for service in &fleet.services {
        service.handle.truncate_answers(true);
    }
    for service in [LOOKUP, NEWSLETTER] {
        assert!(call(&fleet, service, "half").await.is_err());
    }
    assert_eq!(effects(&fleet, NEWSLETTER, "half"), 1);
}

// Guards against answers that are broken off because their endpoint ends them with the connection. The connection of
// one is lost, so a call that is not repeatable must not be made again either.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for service in &fleet.services {
        service.handle.end_by_close(true);
    }
    for service in [LOOKUP, NEWSLETTER] {
        for n in 0..4 {
            let key = format!("closed-{n}");
            let reply = call(&fleet, service, &key).await.expect("answer");
            assert_eq!(reply.status, StatusCode::OK);
            assert_eq!(reply.body, expected(&key));
            assert_eq!(effects(&fleet, service, &key), 1);
        }
    }
}

// Guards against an answer that is truncated and looks complete to a caller of HTTP/1.0, for whom it ends with the
// connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_does_not_look_complete_to_a_caller_of_an_earlier_version() {
    // An answer of several pieces is sent without a length.
    let plan = Plan {
        pieces: 4,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await.expect("fleet");
    for truncated in [false, true] {
        for service in &fleet.services {
            service.handle.truncate_answers(truncated);
        }
        let mut stream = TcpStream::connect(fleet.node(0).callers)
            .await
            .expect("connects");
        let key = dated(&format!("truncated-{truncated}"));
        let head = format!(
            "POST /services/{LOOKUP}/send HTTP/1.0\r\nhost: h\r\nauthorization: Bearer {}\r\nidempotency-key: {key}\r\ncontent-length: 1\r\n\r\nx",
            KITCHENS.key
        );
        stream.write_all(head.as_bytes()).await.expect("sends");
        let mut bytes = Vec::new();
        let in_order = stream.read_to_end(&mut bytes).await.is_ok();
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(in_order, !truncated, "{text}");
    }
}
