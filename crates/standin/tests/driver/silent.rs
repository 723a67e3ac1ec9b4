//! Unresponsive connections, and delayed answers.

use crate::common::{LAYERS, LIMIT, expected, job, pipeline, run, run_with, tokens, until};
use engine::chain::{Cause, Event};
use engine::pool::Pool;
use standin::engine::{Config, Counters};
use std::time::Duration;

/// Timeout of a probe that is never answered; short, since no answer is expected.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn an_unresponsive_connection_ends_the_attempt_while_new_connections_work() {
    // The connection is lost without notice: after two tokens neither data nor an error arrives. A
    // probe on a new connection is answered, so the endpoint works. The pool drops the connection,
    // which ends the attempt, and the next request succeeds.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let pool = Pool::default();
    let first = job(1, &engines, "soup", 16);
    let addr = engines[1].addr;
    let mut count = 0;
    let (probed, prober) = (std::cell::Cell::new(None), pool.clone());
    let attempt = run_with(&pool, &first, |event, _| {
        count += usize::from(matches!(event, Event::Token(_)));
        if count == 2 {
            engines[1].hang_open_connections();
        }
    });
    let router = async {
        until(|| Counters::get(&engines[0].counters().steps) == 3).await;
        probed.set(Some(prober.probe(addr, LIMIT).await));
        prober.drop_connections(addr);
    };
    let (events, ()) = tokio::join!(attempt, router);
    assert_eq!(probed.get(), Some(true));
    assert_eq!(tokens(&events), expected(&first)[..2]);
    let end = Event::Failed {
        hop: 1,
        cause: Cause::Reset,
        sent: true,
        retry_after: None,
    };
    assert_eq!(events.last(), Some(&end));

    let next = job(2, &engines, "bread", 16);
    assert_eq!(tokens(&run(&pool, &next).await), expected(&next));
}

#[tokio::test]
async fn a_lost_open_frame_is_not_sent() {
    // The pooled connection is unresponsive when the request arrives, so the open frame is lost.
    // The router cancels for lack of progress. No step was sent, so the request may be reported as
    // "not run".
    let engines = pipeline(&[0, 4, LAYERS], Config::default()).await;
    let pool = Pool::default();
    let first = job(1, &engines, "soup", 4);
    assert_eq!(tokens(&run(&pool, &first).await), expected(&first));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    engines[1].hang_open_connections();
    let second = job(2, &engines, "bread", 4);
    let events = run_with(&pool, &second, |event, cancel| {
        if *event == (Event::Progress { hop: 0, step: 0 }) {
            cancel.cancel();
        }
    })
    .await;
    assert!(!events.contains(&Event::Sent));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    assert_eq!(Counters::get(&engines[1].counters().opened), 1);
    pool.drop_connections(engines[1].addr);
    assert_eq!(tokens(&run(&pool, &second).await), expected(&second));
}

#[tokio::test]
async fn a_probe_distinguishes_an_unresponsive_endpoint_from_a_live_one() {
    // The unresponsive endpoint accepts connections but answers nothing on them.
    let engines = pipeline(&[0, LAYERS], Config::default()).await;
    let pool = Pool::default();
    assert!(pool.probe(engines[0].addr, LIMIT).await);
    engines[0].set_unresponsive(true);
    assert!(!pool.probe(engines[0].addr, NO_RESPONSE_TIMEOUT).await);
    engines[0].set_unresponsive(false);
    assert!(pool.probe(engines[0].addr, LIMIT).await);
    engines[0].crash();
    assert!(!pool.probe(engines[0].addr, LIMIT).await);
}

#[tokio::test]
async fn a_slow_stage_reports_progress() {
    // Each step takes longer than the interval of progress replies: the router sees progress and
    // does not cancel, and the answer is complete. Progress names the hop before the one that
    // computes.
    let engines = pipeline(&[0, 4, LAYERS], Config::default()).await;
    engines[1].set_delay(Duration::from_millis(600));
    let job = job(1, &engines, "soup", 2);
    let events = run(&Pool::default(), &job).await;
    assert_eq!(tokens(&events), expected(&job));
    let progress = Event::Progress { hop: 0, step: 1 };
    assert!(events.iter().filter(|event| **event == progress).count() > 1);
}
