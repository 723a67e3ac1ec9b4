//! Attempts that fail before any layer has run.

use crate::common::{LAYERS, MODEL, expected, hops, job, pipeline, run, tokens, until};
use engine::chain::{Cause, Event, Job};
use engine::pool::{Limits, Pool};
use futures::future::join_all;
use standin::engine::{Config, Counters, Handle};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Checks that a job fails at `hop` with `cause` before it is sent, and that no step ran.
async fn expect_refusal(job: &Job, engines: &[Handle], hop: u8, cause: Cause) {
    let events = run(&Pool::default(), job).await;
    assert!(!events.contains(&Event::Sent));
    let Some(Event::Failed {
        hop: at,
        cause: why,
        sent,
        ..
    }) = events.last()
    else {
        panic!("last event is not Failed: {events:?}");
    };
    assert_eq!((*at, *why, *sent), (hop, cause, false));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    for engine in engines {
        assert_eq!(Counters::get(&engine.counters().steps), 0);
        assert_eq!(Counters::get(&engine.counters().positions), 0);
    }
}

#[tokio::test]
async fn no_layer_runs_if_a_stage_is_unreachable() {
    // One stage of three cannot be reached, and the others accept the stream. No step is sent
    // before all stages have accepted, so no layer runs and "not run" may be reported to the
    // caller.
    for dead in 0..3 {
        let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
        engines[dead].crash();
        let job = job(1, &engines, "soup", 8);
        expect_refusal(&job, &engines, dead as u8, Cause::Connect).await;
    }
}

#[tokio::test]
async fn no_layer_runs_if_a_stage_is_busy() {
    // As with an unreachable stage, but the stage refuses as busy, with a retry-after delay.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    engines[2].set_busy(true);
    let job = job(1, &engines, "soup", 8);
    expect_refusal(&job, &engines, 2, Cause::Busy).await;
    let events = run(&Pool::default(), &job).await;
    let Some(Event::Failed { retry_after, .. }) = events.last() else {
        panic!("last event is not Failed: {events:?}");
    };
    assert!(retry_after.is_some());
}

#[tokio::test]
async fn no_layer_runs_if_a_stage_is_leaving() {
    // A leaving stage refuses new streams at once and continues those in flight.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    engines[0].set_leaving(true);
    expect_refusal(&job(1, &engines, "soup", 8), &engines, 0, Cause::Leaving).await;
}

#[tokio::test]
async fn no_layer_runs_if_a_stage_lacks_the_version_or_layers() {
    // The router's view of the fleet is stale: the stage holds another version, or fewer layers.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let mut job = job(1, &engines, "soup", 8);
    job.version = "2".into();
    let events = run(&Pool::default(), &job).await;
    assert!(matches!(
        events.last(),
        Some(Event::Failed {
            cause: Cause::Unfit,
            sent: false,
            ..
        })
    ));
    job.version = "3".into();
    job.hops[0].to = 5;
    job.hops[1].from = 5;
    expect_refusal(&job, &engines, 0, Cause::Unfit).await;
}

#[tokio::test]
async fn a_request_that_fits_into_no_frame_is_not_the_stages_fault() {
    // Guards against a long answer that takes the stages out of use: the tokens that earlier
    // attempts generated make the head of the first step longer than a frame allows. Nothing was
    // sent, and no stage can run the request.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let mut job = job(1, &engines, "soup", 400_000);
    let token = engine::chain::Token {
        id: 70_000,
        text: "a".into(),
    };
    job.tokens = vec![token; 300_000];
    expect_refusal(&job, &engines, 0, Cause::Invalid).await;
}

#[tokio::test]
async fn a_chain_with_a_gap_never_opens_a_stream() {
    // A routing error must not become a wrong answer, with a layer skipped or run twice.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let good = job(1, &engines, "soup", 8);
    let broken = |change: fn(&mut Job)| {
        let mut job = good.clone();
        change(&mut job);
        job
    };
    let cases = [
        (0, broken(|job| job.hops.clear())),
        (0, broken(|job| job.hops = job.hops.split_off(1))),
        (1, broken(|job| job.hops = vec![job.hops[0], job.hops[2]])),
        (1, broken(|job| job.hops[1].from = 3)),
        (1, broken(|job| job.hops[1].to = 4)),
        (1, broken(|job| job.hops.swap(1, 2))),
    ];
    for (hop, job) in cases {
        expect_refusal(&job, &engines, hop, Cause::Unfit).await;
    }
    assert!(engines.iter().all(|engine| engine.connection_count() == 0));
}

#[tokio::test]
async fn a_chain_that_stops_short_of_the_model_gives_no_token() {
    // The chain's ranges are contiguous, but the model has more layers: the last stage replies with
    // activations instead of a token. The attempt fails, and no invented token reaches the caller.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let mut job = job(1, &engines, "soup", 8);
    job.hops.pop();
    let events = run(&Pool::default(), &job).await;
    assert!(tokens(&events).is_empty());
    let end = Event::Failed {
        hop: 1,
        cause: Cause::Protocol,
        sent: true,
        retry_after: None,
    };
    assert_eq!(events.last(), Some(&end));
}

#[tokio::test]
async fn a_full_engine_refuses_the_next_request_only() {
    // With two slots, the third request is refused while the other two run, and accepted after
    // them.
    let config = Config {
        slots: 2,
        ..Config::default()
    };
    let engines = pipeline(&[0, LAYERS], config).await;
    let pool = Pool::default();
    let long = [job(1, &engines, "soup", 4), job(2, &engines, "bread", 4)];
    engines[0].set_delay(Duration::from_millis(100));
    let third = async {
        until(|| engines[0].running() == 2).await;
        run(&pool, &job(3, &engines, "rice", 4)).await
    };
    let (first, second, third) = tokio::join!(run(&pool, &long[0]), run(&pool, &long[1]), third);
    assert_eq!(tokens(&first), expected(&long[0]));
    assert_eq!(tokens(&second), expected(&long[1]));
    assert!(matches!(
        third.last(),
        Some(Event::Failed {
            cause: Cause::Busy,
            sent: false,
            ..
        })
    ));
    engines[0].set_delay(Duration::ZERO);
    until(|| engines[0].running() == 0).await;
    let again = job(3, &engines, "rice", 4);
    assert_eq!(tokens(&run(&pool, &again).await), expected(&again));
}

#[tokio::test]
async fn a_restarted_stage_is_reached_again_through_the_same_pool() {
    // The pool holds a connection to a stage that has since restarted. Opening a stream on it
    // fails; since an open runs nothing it is retried once on a new connection, and the caller sees
    // no failure.
    let engines = pipeline(&[0, 4, LAYERS], Config::default()).await;
    let pool = Pool::default();
    for request in 1..=10 {
        let job = job(request, &engines, "soup", 8);
        assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
        let engine = &engines[request as usize % 2];
        engine.crash();
        engine.restart().await.expect("restarts");
    }
    assert_eq!(engines[0].crash_count() + engines[1].crash_count(), 10);
    assert_eq!(hops(&engines).len(), 2);
    assert_eq!(engines[0].spans()[0].model, MODEL);
}

#[tokio::test]
async fn a_burst_to_an_unresponsive_address_waits_for_one_connect_timeout() {
    // Packets to the endpoint are lost, so connecting takes the whole connect timeout. Fifty
    // concurrent requests share the failure: attempts in sequence would make the last request wait
    // for fifty timeouts.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("binds");
    let listener = socket.listen(1).expect("listens");
    let addr = listener.local_addr().expect("has an address");
    // The listener never accepts: once its backlog is full, further connects get no answer.
    let mut backlog = Vec::new();
    while let Ok(open) = timeout(Duration::from_millis(200), TcpStream::connect(addr)).await {
        backlog.push(open.expect("connects"));
    }
    let engines = pipeline(&[0, LAYERS], Config::default()).await;
    let pool = Pool::new(Limits {
        connect_timeout: Duration::from_millis(300),
        ..Limits::default()
    });
    let mut dead = job(1, &engines, "soup", 4);
    dead.hops[0].addr = addr;
    let ends = join_all((0..50).map(|_| run(&pool, &dead))).await;
    let end = Event::Failed {
        hop: 0,
        cause: Cause::Connect,
        sent: false,
        retry_after: None,
    };
    assert!(ends.iter().all(|events| events.last() == Some(&end)));
    let tried = pool.counters().connect_failures.load(Ordering::Relaxed);
    assert!(tried < 5, "{tried} failed connects");
}
