//! Calls to plain services, over loopback sockets.

use bytes::Bytes;
use engine::pool::Pool;
use engine::service::{self, Body, CallOptions, Cause, Failure};
use http::{Request, Response};
use http_body_util::BodyExt;
use standin::service::{Config, CrashPoint, Handle, IDEMPOTENCY_KEY, Service, answer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Timeout long enough that no test depends on the speed of the system.
const OPTIONS: CallOptions = CallOptions {
    head_timeout: Duration::from_secs(30),
    new_connection: false,
};
const NEW_CONNECTION: CallOptions = CallOptions {
    new_connection: true,
    ..OPTIONS
};

fn post(key: &str, body: &str) -> Request<Bytes> {
    let request = Request::post("/locks/tower-4").header(IDEMPOTENCY_KEY, key);
    request
        .body(Bytes::from(body.to_owned()))
        .expect("a request")
}

/// Sends a `POST`, and checks that the `sent` flag agrees with the outcome.
async fn call(
    pool: &Pool,
    addr: SocketAddr,
    key: &str,
    options: CallOptions,
) -> service::Result<Response<Body>> {
    let sent = AtomicBool::new(false);
    let answer = service::call(pool, addr, post(key, "lock it"), options, &sent).await;
    let is_sent = answer
        .as_ref()
        .map_or_else(|failure| failure.sent, |_| true);
    assert_eq!(sent.load(Ordering::SeqCst), is_sent);
    answer
}

/// Returns the complete body, or the failure that truncated it.
async fn text(response: Response<Body>) -> Result<String, Failure> {
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec()).expect("text"))
}

fn complete_text(config: &Config) -> String {
    answer(config, "/locks/tower-4", b"lock it").concat()
}

async fn start(pieces: usize) -> (Handle, Config) {
    let config = Config {
        pieces,
        piece_time: Duration::from_millis(5),
        ..Config::default()
    };
    (
        Service::start(config.clone()).await.expect("starts"),
        config,
    )
}

#[tokio::test]
async fn answers_are_complete_on_a_pooled_connection() {
    for pieces in [1, 4] {
        let (service, config) = start(pieces).await;
        let pool = Pool::default();
        for call_number in 0..5 {
            let key = call_number.to_string();
            let response = call(&pool, service.addr, &key, OPTIONS)
                .await
                .expect("answers");
            assert_eq!(text(response).await, Ok(complete_text(&config)));
            assert_eq!(service.effects(&key), 1);
        }
        assert_eq!(service.connection_count(), 1);
        call(&pool, service.addr, "5", NEW_CONNECTION)
            .await
            .expect("answers");
        assert_eq!(service.connection_count(), 2);
    }
}

#[tokio::test]
async fn a_call_to_an_unreachable_service_is_not_sent() {
    let (service, _) = start(1).await;
    service.crash();
    let failure = call(&Pool::default(), service.addr, "1", OPTIONS)
        .await
        .expect_err("unreachable");
    assert_eq!(
        failure,
        Failure {
            cause: Cause::Connect,
            sent: false
        }
    );
}

#[tokio::test]
async fn a_service_that_crashes_leaves_the_outcome_unknown() {
    // The service crashes before or after the effect of the call. The caller cannot know which, and
    // the failure says that the call was sent. The call is made once: the client does not retry it
    // on another connection.
    for (point, effects) in [(CrashPoint::Before, 0), (CrashPoint::After, 1)] {
        let (service, _) = start(1).await;
        let pool = Pool::default();
        for limit in [OPTIONS, NEW_CONNECTION] {
            service.crash_at(Some(point));
            let calls = service.call_count();
            let key = format!("{point:?} {}", limit.new_connection);
            let failure = call(&pool, service.addr, &key, limit)
                .await
                .expect_err("crashed");
            assert_eq!(
                failure,
                Failure {
                    cause: Cause::Reset,
                    sent: true
                }
            );
            service.restart().await.expect("restarts");
            assert_eq!(service.call_count(), calls + 1);
            assert_eq!(service.effects(&key), effects);
            service.crash_at(None);
        }
    }
}

#[tokio::test]
async fn a_truncated_answer_is_a_failure() {
    // The service truncates an answer with a content length, and a chunked one.
    for pieces in [1, 4] {
        let (service, _) = start(pieces).await;
        service.truncate_answers(true);
        let response = call(&Pool::default(), service.addr, "1", OPTIONS).await;
        let failure = match response {
            Ok(response) => text(response).await.expect_err("truncated"),
            Err(failure) => failure,
        };
        assert_eq!(
            failure,
            Failure {
                cause: Cause::Reset,
                sent: true
            }
        );
    }
}

#[tokio::test]
async fn an_answer_without_length_or_chunks_of_a_service_that_ends_is_refused() {
    // Without a length or chunks the answer ends with the connection, so that a truncated answer
    // would look complete.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let addr = listener.local_addr().expect("has an address");
    let server = async move {
        let (mut socket, _) = listener.accept().await.expect("accepts");
        let mut bytes = [0; 1024];
        let _ = socket.read(&mut bytes).await;
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf a sen").await;
    };
    let pool = Pool::default();
    let answer = async { text(call(&pool, addr, "1", OPTIONS).await?).await };
    let (answer, ()) = tokio::join!(answer, server);
    let failure = answer.expect_err("refused");
    assert_eq!(
        failure,
        Failure {
            cause: Cause::Reset,
            sent: true
        }
    );
}

#[tokio::test]
async fn an_answer_that_a_service_ends_with_the_connection_is_whole() {
    for pieces in [1, 4] {
        let (service, config) = start(pieces).await;
        service.end_by_close(true);
        let pool = Pool::default();
        let response = call(&pool, service.addr, "1", OPTIONS)
            .await
            .expect("answer");
        assert_eq!(text(response).await, Ok(complete_text(&config)));
    }
}

#[tokio::test]
async fn a_call_to_an_unresponsive_service_times_out_with_an_unknown_outcome() {
    let (service, _) = start(1).await;
    service.set_unresponsive(true);
    let options = CallOptions {
        head_timeout: Duration::from_millis(100),
        new_connection: true,
    };
    let failure = call(&Pool::default(), service.addr, "1", options)
        .await
        .expect_err("unresponsive");
    assert_eq!(
        failure,
        Failure {
            cause: Cause::Silent,
            sent: true
        }
    );
}

#[tokio::test]
async fn a_call_on_a_new_connection_does_not_depend_on_pooled_ones() {
    // The pooled connection has become unresponsive, or its service has restarted. A call that must
    // not be repeated uses a new connection, and takes effect exactly once.
    let (service, config) = start(1).await;
    let pool = Pool::default();
    for round in 0..6 {
        let pooled = call(&pool, service.addr, "kept", NEW_CONNECTION)
            .await
            .expect("answers");
        text(pooled).await.expect("complete answer");
        if round % 2 == 0 {
            service.hang_open_connections();
        } else {
            service.crash();
            service.restart().await.expect("restarts");
        }
        let key = round.to_string();
        let response = call(&pool, service.addr, &key, NEW_CONNECTION)
            .await
            .expect("answers");
        assert_eq!(text(response).await, Ok(complete_text(&config)));
        assert_eq!(service.effects(&key), 1);
    }
}

#[tokio::test]
async fn a_call_on_a_lost_connection_is_never_sent_twice() {
    // The service restarts while its connections are pooled. Whether a call fails, and with which
    // outcome, depends on whether the client has noticed the closed connection. A call reported as
    // not sent must have had no effect, and no call may have two effects.
    let (service, _) = start(1).await;
    let pool = Pool::default();
    for round in 0..40 {
        let key = round.to_string();
        let outcome = match call(&pool, service.addr, &key, OPTIONS).await {
            Ok(response) => text(response).await.map(|_| ()),
            Err(failure) => Err(failure),
        };
        let effects = service.effects(&key);
        match outcome {
            Ok(()) => assert_eq!(effects, 1),
            Err(Failure { sent: false, .. }) => assert_eq!(effects, 0),
            Err(_) => assert!(effects <= 1),
        }
        service.crash();
        service.restart().await.expect("restarts");
    }
}

#[tokio::test]
async fn a_probe_succeeds_and_dropped_connections_are_not_reused() {
    let (service, _) = start(1).await;
    let pool = Pool::default();
    assert!(pool.probe(service.addr, OPTIONS.head_timeout).await);
    let response = call(&pool, service.addr, "1", OPTIONS)
        .await
        .expect("answers");
    text(response).await.expect("complete answer");
    service.hang_open_connections();
    assert!(pool.probe(service.addr, OPTIONS.head_timeout).await);
    pool.drop_connections(service.addr);
    let response = call(&pool, service.addr, "2", OPTIONS)
        .await
        .expect("answers");
    text(response).await.expect("complete answer");
    service.crash();
    assert!(!pool.probe(service.addr, OPTIONS.head_timeout).await);
}

#[tokio::test]
async fn a_busy_service_answers_without_an_effect() {
    let (service, _) = start(1).await;
    service.set_busy(true);
    let response = call(&Pool::default(), service.addr, "1", OPTIONS)
        .await
        .expect("answers");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(service.effects("1"), 0);
}

#[tokio::test]
async fn a_probe_reaches_a_service_that_never_answers_http_2() {
    // A server that speaks only HTTP/1.1 takes the HTTP/2 preface for an incomplete request and
    // waits for the rest. It is alive, and the probe must not report it as unreachable.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let addr = listener.local_addr().expect("has an address");
    let server = async {
        let mut waiting = Vec::new();
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut bytes = [0; 1024];
            let count = socket.read(&mut bytes).await.unwrap_or_default();
            if bytes[..count].starts_with(b"GET /health HTTP/1.1") {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                let _ = socket.write_all(answer).await;
            }
            waiting.push(socket);
        }
    };
    let pool = Pool::default();
    tokio::select! {
        lives = pool.probe(addr, OPTIONS.head_timeout) => assert!(lives),
        () = server => {}
    }
}

#[tokio::test]
async fn a_dropped_answer_closes_its_connection() {
    // The body of an answer is dropped before its end. The rest of it must not be read as the
    // answer to the next call, so the connection is not reused.
    let (service, config) = start(4).await;
    let pool = Pool::default();
    let first = call(&pool, service.addr, "1", OPTIONS)
        .await
        .expect("answers");
    drop(first);
    let second = call(&pool, service.addr, "2", OPTIONS)
        .await
        .expect("answers");
    assert_eq!(text(second).await, Ok(complete_text(&config)));
    assert_eq!(service.connection_count(), 2);
}
