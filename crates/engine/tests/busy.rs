//! Delays that a busy stage asks for, in the forms of RFC 9110, section 10.2.3.

use bytes::Bytes;
use engine::chain::{Cause, Event, Hop, Job};
use engine::pool::Pool;
use http::{Response, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time limit of an attempt.
const LIMIT: Duration = Duration::from_secs(5);
/// The clock of a stage that is far behind.
const DATE: &str = "Thu, 03 Dec 2015 20:00:00 GMT";

/// Starts a stage that refuses one stream with these headers.
async fn busy_stage(headers: Vec<(&'static str, String)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        let mut connection = h2::server::handshake(socket).await.expect("HTTP/2");
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let mut response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            for (name, value) in &headers {
                response = response.header(*name, value);
            }
            let response = response.body(()).expect("a response");
            respond.send_response(response, true).expect("sent");
        }
    });
    addr
}

/// Returns the delay that an attempt on a stage with these headers reports.
async fn delay(headers: Vec<(&'static str, String)>) -> Option<Duration> {
    let addr = busy_stage(headers).await;
    let job = Job {
        request: 1,
        attempt: 1,
        model: "menu".into(),
        version: "1".into(),
        adapter: None,
        prompt: Bytes::from_static(b"soup"),
        tokens: Vec::new(),
        max_tokens: 1,
        seed: 1,
        priority: 0,
        hops: vec![Hop {
            addr,
            from: 0,
            to: 4,
        }],
    };
    let mut events = Vec::new();
    let pool = Pool::default();
    let mut record = |event| events.push(event);
    let attempt = engine::chain::run(&pool, job, &mut record, CancellationToken::new());
    timeout(LIMIT, attempt).await.expect("the attempt ends");
    match events.last() {
        Some(Event::Failed {
            cause: Cause::Busy,
            retry_after,
            ..
        }) => *retry_after,
        other => panic!("{other:?}"),
    }
}

fn after(value: &str) -> Vec<(&'static str, String)> {
    vec![("retry-after", value.to_owned())]
}

// Guards against an endpoint that is asked again at once although it named a later time.
#[tokio::test]
async fn date_is_a_delay_from_the_date_of_the_response() {
    for date in [
        "Thu, 03 Dec 2015 20:00:07 GMT",
        "Thursday, 03-Dec-15 20:00:07 GMT",
        "Thu Dec  3 20:00:07 2015",
    ] {
        let mut headers = after(date);
        headers.push(("date", DATE.to_owned()));
        assert_eq!(delay(headers).await, Some(Duration::from_secs(7)), "{date}");
    }
}

#[tokio::test]
async fn date_without_a_date_of_the_response_counts_from_now() {
    let date = SystemTime::now() + Duration::from_secs(60);
    let delay = delay(after(&httpdate::fmt_http_date(date))).await;
    let expected = Duration::from_secs(50)..=Duration::from_secs(60);
    assert!(delay.is_some_and(|d| expected.contains(&d)), "{delay:?}");
}

#[tokio::test]
async fn seconds_may_have_a_fraction() {
    for (value, millis) in [("7", 7000), (" 7 ", 7000), ("0", 0), ("0.25", 250)] {
        let expected = Some(Duration::from_millis(millis));
        assert_eq!(delay(after(value)).await, expected, "{value}");
    }
}

// The router's own back-off is used then. A past date must not mean "at once": the endpoint would be
// asked again and again if its clock is behind.
#[tokio::test]
async fn past_date_or_invalid_value_is_no_delay() {
    for value in [DATE, "soon", "-1", "NaN", "inf", "1e300", ""] {
        assert_eq!(delay(after(value)).await, None, "{value}");
    }
    assert_eq!(delay(Vec::new()).await, None);
}
