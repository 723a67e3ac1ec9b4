//! Tests of the platform clients against the stand-in services, over loopback sockets.

use bytes::Bytes;
use platform::error::Cause;
use platform::instance::{Instance, State};
use platform::weights::Rate;
use platform::{Limits, List as _, Log as _, Weights as _, http};
use standin::fault::Mode;
use standin::{list, log, weights};
use std::net::SocketAddr;
use std::time::Duration;

const NO_WAIT: Duration = Duration::ZERO;
const LONG_WAIT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn limits() -> Limits {
    Limits {
        call_timeout: Duration::from_secs(5),
        ..Limits::default()
    }
}

async fn pair() -> (log::Log, http::Log) {
    let log = log::Log::start(any_port()).await.unwrap();
    let client = http::Log::new(log.addr, limits());
    (log, client)
}

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn appended_records_are_read_in_order_from_offset_0() {
    let (_log, client) = pair().await;
    assert_eq!(client.append("a", body("x")).await, Ok(0));
    assert_eq!(client.append("a", body("y")).await, Ok(1));
    assert_eq!(client.append("b", body("z")).await, Ok(0));
    let page = client.read("a", 0, NO_WAIT).await.unwrap();
    assert_eq!((page.first, page.next), (0, 2));
    let bodies: Vec<_> = page
        .records
        .iter()
        .map(|r| (r.offset, r.body.clone()))
        .collect();
    assert_eq!(bodies, [(0, body("x")), (1, body("y"))]);
    let rest = client.read("a", 2, NO_WAIT).await.unwrap();
    assert_eq!((rest.next, rest.records.len()), (2, 0));
}

#[tokio::test]
async fn a_read_waits_for_the_next_append() {
    let (log, client) = pair().await;
    let read = client.read("a", 0, LONG_WAIT);
    let append = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        log.append("a", body("late"))
    };
    let (page, _) = tokio::join!(read, append);
    assert_eq!(page.unwrap().records[0].body, body("late"));
}

/// An append takes effect and its answer is lost with the connection. The client reports an unknown
/// outcome, and reading back finds the record exactly once: the client itself does not retry.
#[tokio::test]
async fn a_lost_answer_is_of_unknown_outcome_and_resolved_by_reading_back() {
    let (log, client) = pair().await;
    client.append("a", body("warm")).await.unwrap();
    log.faults.drop_answers(1);
    let error = client.append("a", body("x")).await.unwrap_err();
    assert!(error.unsure(), "{error}");
    assert_eq!(log.faults.dropped_answers(), 1);
    assert_eq!(client.read("a", 1, NO_WAIT).await.unwrap().records.len(), 1);
}

/// A service that is down closes its open connections, and every new one. Once it is up, the same
/// client works again.
#[tokio::test]
async fn an_outage_gives_errors_and_the_client_recovers() {
    let (log, client) = pair().await;
    client.append("a", body("x")).await.unwrap();
    log.faults.set_mode(Mode::Down);
    assert!(client.append("a", body("y")).await.is_err());
    assert!(client.read("a", 0, NO_WAIT).await.is_err());
    log.faults.set_mode(Mode::Up);
    assert_eq!(client.append("a", body("z")).await, Ok(1));
}

/// The service stops answering: the call times out with an unknown outcome. Once the service
/// answers again, a new client succeeds.
#[tokio::test]
async fn a_call_to_an_unresponsive_service_times_out() {
    let log = log::Log::start(any_port()).await.unwrap();
    let short = Limits {
        call_timeout: Duration::from_millis(200),
        ..Limits::default()
    };
    let client = http::Log::new(log.addr, short);
    log.faults.set_mode(Mode::Unresponsive);
    let error = client.append("a", body("x")).await.unwrap_err();
    assert_eq!(error.cause, Cause::Timeout);
    assert!(error.unsure());
    log.faults.set_mode(Mode::Up);
    let recovered = http::Log::new(log.addr, limits());
    assert!(recovered.append("a", body("y")).await.is_ok());
}

#[tokio::test]
async fn a_refused_connection_is_a_connect_error_with_no_effect() {
    let addr = log::Log::start(any_port()).await.unwrap().addr;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let client = http::Log::new(addr, limits());
    let error = client.append("a", body("x")).await.unwrap_err();
    assert_eq!(error.cause, Cause::Connect);
    assert!(!error.unsure());
}

#[tokio::test]
async fn appends_over_the_rate_are_refused_without_effect() {
    let (log, client) = pair().await;
    log.set_append_rate(5);
    let mut refused = 0;
    for _ in 0..40 {
        let Err(error) = client.append("a", body("x")).await else {
            continue;
        };
        assert_eq!(error.retry_after(), Some(Duration::from_secs(1)));
        assert!(!error.unsure());
        refused += 1;
    }
    assert!(refused > 0);
    assert_eq!(log.records("a").len(), 40 - refused);
}

#[tokio::test]
async fn a_reader_detects_records_removed_by_retention() {
    let (log, client) = pair().await;
    for _ in 0..5 {
        log.append("a", body("x"));
    }
    log.trim("a", 3);
    let page = client.read("a", 1, LONG_WAIT).await.unwrap();
    assert!(page.has_gap(1));
    assert_eq!((page.first, page.next, page.records.len()), (3, 5, 2));
    log.trim("a", 5);
    let empty = client.read("a", 1, LONG_WAIT).await.unwrap();
    assert_eq!((empty.first, empty.next, empty.records.len()), (5, 5, 0));
}

#[tokio::test]
async fn bodies_over_the_size_limits_are_refused() {
    let log = log::Log::start(any_port()).await.unwrap();
    let small = Limits {
        max_request_bytes: 4,
        max_response_bytes: 64,
        ..limits()
    };
    let client = http::Log::new(log.addr, small);
    let error = client.append("a", body("12345")).await.unwrap_err();
    assert_eq!(
        (error.cause.clone(), error.unsure()),
        (Cause::TooLarge(4), false)
    );
    log.append("a", Bytes::from(vec![0; 100]));
    assert_eq!(
        client.read("a", 0, NO_WAIT).await.unwrap_err().cause,
        Cause::TooLarge(64)
    );
    assert!(!client.append("../b", body("x")).await.unwrap_err().unsure());
}

#[tokio::test]
async fn the_list_shows_a_change_after_its_lag() {
    let one = |state| Instance {
        name: "n1".into(),
        state,
        zone: "a".into(),
        addr: Some(any_port()),
    };
    let list = list::List::start(any_port(), vec![one(State::Live)])
        .await
        .unwrap();
    let client = http::List::new(list.addr, limits());
    list.set_lag(Duration::from_secs(3600));
    list.set_instances(vec![one(State::Leaving)]);
    assert_eq!(client.instances().await, Ok(vec![one(State::Live)]));
    list.faults.set_mode(Mode::Down);
    assert!(client.instances().await.is_err());
}

#[tokio::test]
async fn the_weight_store_returns_its_rate() {
    let rate = Rate {
        per_minute: 12,
        at_once: 3,
    };
    let store = weights::Weights::start(any_port(), rate).await.unwrap();
    let client = http::Weights::new(store.addr, limits());
    assert_eq!(client.rate().await, Ok(rate));
    store.set_rate(Rate {
        per_minute: 1,
        at_once: 1,
    });
    assert_eq!(client.rate().await.unwrap().at_once, 1);
}
