//! Attempts that fail before anything ran.

use crate::common::{LAYERS, MODEL, expected, hops, job, pipeline, run, tokens, until};
use engine::chain::{Cause, Event, Job};
use engine::pool::{Limits, Pool};
use futures::future::join_all;
use standin::engine::{Config, Counters, Handle};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Runs a job that must fail at `hop` with `cause` before it is sent, and checks that nothing ran.
async fn refused(job: &Job, engines: &[Handle], hop: u8, cause: Cause) {
    let events = run(&Pool::default(), job).await;
    assert!(!events.contains(&Event::Sent));
    let Some(Event::Failed {
        hop: at,
        cause: why,
        sent,
        ..
    }) = events.last()
    else {
        panic!("no failure: {events:?}");
    };
    assert_eq!((*at, *why, *sent), (hop, cause, false));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    for engine in engines {
        assert_eq!(Counters::get(&engine.counters().steps), 0);
        assert_eq!(Counters::get(&engine.counters().positions), 0);
    }
}

#[tokio::test]
async fn a_dead_stage_costs_nothing() {
    // The caller can be told "not run". The first and last stages accept the stream, the one
    // between them can't be reached; since no step leaves before all have accepted, no layer ran.
    for dead in 0..3 {
        let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
        engines[dead].crash();
        let job = job(1, &engines, "soup", 8);
        refused(&job, &engines, dead as u8, Cause::Connect).await;
    }
}

#[tokio::test]
async fn a_full_stage_costs_nothing() {
    // As above, but the stage answers that it is full, and when to come back.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    engines[2].set_busy(true);
    let job = job(1, &engines, "soup", 8);
    refused(&job, &engines, 2, Cause::Busy).await;
    let events = run(&Pool::default(), &job).await;
    let Some(Event::Failed { retry_after, .. }) = events.last() else {
        panic!("no failure: {events:?}");
    };
    assert!(retry_after.is_some());
}

#[tokio::test]
async fn a_leaving_stage_costs_nothing() {
    // A stage that leaves refuses new streams at once, and goes on with those that run.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    engines[0].set_leaving(true);
    refused(&job(1, &engines, "soup", 8), &engines, 0, Cause::Leaving).await;
}

#[tokio::test]
async fn what_a_stage_does_not_hold_costs_nothing() {
    // The view of the fleet is old: the stage holds another version, or fewer layers.
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
    refused(&job, &engines, 0, Cause::Unfit).await;
}

#[tokio::test]
async fn a_chain_with_a_gap_never_opens_a_stream() {
    // A routing error must not become a wrong answer: a layer would be left out or run twice.
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
        refused(&job, &engines, hop, Cause::Unfit).await;
    }
    assert!(engines.iter().all(|engine| engine.connection_count() == 0));
}

#[tokio::test]
async fn a_chain_that_stops_short_of_the_model_gives_no_token() {
    // The chain's ranges join, but the model has more layers: the last stage answers activations
    // where a token is due. The attempt fails, and no made-up token reaches the caller.
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
    // Two slots, three requests: the third is refused while the others run, and taken after them.
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
    // The pool keeps a connection to a stage that has since restarted. The open on it fails; as an
    // open runs nothing it is sent once more on a fresh connection, and the caller sees no failure.
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
async fn a_burst_to_an_address_that_does_not_answer_waits_one_time_limit() {
    // Packets to the endpoint vanish: connecting takes its whole time limit. Fifty requests come at
    // once; they share the failure, as trying one after the other would keep the last one waiting
    // fifty limits.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("binds");
    let listener = socket.listen(1).expect("listens");
    let addr = listener.local_addr().expect("has an address");
    // Nothing is accepted: once the backlog is full, further connects get no answer.
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
    assert!(tried < 5, "{tried} tries");
}
