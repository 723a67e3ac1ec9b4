//! Misdirected replies, wrong computations, and many concurrent requests.

use crate::common::{LAYERS, expected, job, pipeline, run, run_with, tokens, until};
use engine::chain::{Cause, Event};
use engine::pool::{Counters as PoolCounters, Limits, Pool};
use futures::future::join_all;
use standin::engine::{ComputeFault, Config, Counters, ReplyFault};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn stale_frame_count(counters: &PoolCounters) -> u64 {
    counters.stale_frames.load(Ordering::Relaxed)
}

#[tokio::test]
async fn frames_of_an_ended_attempt_are_dropped() {
    // Each correct reply is preceded by one of the previous attempt, as from a stage that stops
    // late. The driver drops those by their attempt number, and the caller's answer is complete.
    for hop in 0..3 {
        let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
        engines[hop].set_reply_fault(Some(ReplyFault::StaleAttempt));
        let pool = Pool::default();
        let mut job = job(1, &engines, "soup", 8);
        job.attempt = 2;
        assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
        assert!(stale_frame_count(pool.counters()) >= 8);
    }
}

#[tokio::test]
async fn a_misdirected_or_malformed_reply_ends_the_attempt() {
    // A stage replies for another request, step or range, replies twice, sends an invalid frame, or
    // ends the stream early. The attempt fails at that hop, and the caller gets no token of another
    // request.
    let cases = [
        ReplyFault::OtherRequest,
        ReplyFault::StaleStep,
        ReplyFault::OtherLayers,
        ReplyFault::Duplicate,
        ReplyFault::Garbled,
        ReplyFault::EndOfStream,
    ];
    for fault in cases {
        for hop in 0..3 {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            engines[hop].set_reply_fault(Some(fault));
            let job = job(1, &engines, "soup", 8);
            let events = run(&Pool::default(), &job).await;
            let received = tokens(&events);
            assert_eq!(
                received,
                expected(&job)[..received.len()],
                "{fault:?} at {hop}"
            );
            assert!(received.len() <= 1, "{fault:?} at {hop}");
            let cause = Cause::Protocol;
            let end = Event::Failed {
                hop: hop as u8,
                cause,
                sent: true,
                retry_after: None,
            };
            assert_eq!(events.last(), Some(&end), "{fault:?} at {hop}");
            until(|| engines.iter().all(|engine| engine.running() == 0)).await;
        }
    }
}

#[tokio::test]
async fn the_oracle_detects_each_compute_fault() {
    // Checks the oracle itself: an engine that skips, repeats or reorders its layers or swaps their
    // input, and reports all steps as done, must give an answer that differs from the oracle's.
    for fault in [
        ComputeFault::Skip,
        ComputeFault::Double,
        ComputeFault::Reorder,
        ComputeFault::SwapInput,
    ] {
        for hop in 0..3 {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            engines[hop].set_compute_fault(Some(fault));
            let job = job(1, &engines, "soup", 8);
            let made = tokens(&run(&Pool::default(), &job).await);
            assert!(!made.is_empty());
            assert_ne!(made[0], expected(&job)[0], "{fault:?} at {hop}");
            let is_counted = matches!(fault, ComputeFault::Skip | ComputeFault::Double);
            let runs = engines[hop].runs(1, 1).expect("attempt is recorded");
            let positions = runs
                .counts
                .iter()
                .map(Vec::len)
                .max()
                .expect("stage has layers");
            assert_eq!(runs.is_once(positions), !is_counted, "{fault:?} at {hop}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_requests_at_once_each_get_their_own_answer() {
    // All requests share the connections and stages; no token of one may reach another.
    let config = Config {
        slots: 256,
        ..Config::default()
    };
    let engines = pipeline(&[0, 3, 7, LAYERS], config).await;
    let pool = Pool::default();
    let jobs: Vec<_> = (1..=200)
        .map(|request| {
            job(
                request,
                &engines,
                &format!("team {} recipe", request % 2),
                24,
            )
        })
        .collect();
    let answers = join_all(jobs.iter().map(|job| run(&pool, job))).await;
    for (job, events) in jobs.iter().zip(&answers) {
        assert_eq!(tokens(events), expected(job));
    }
}

#[tokio::test]
async fn long_prompts_pass_through_narrow_windows() {
    // The activations of a prefill are far larger than a stream's flow-control window: they are
    // relayed in pieces, and arrive complete.
    let config = Config {
        activation_bytes: 8 << 10,
        ..Config::default()
    };
    let engines = pipeline(&[0, 4, 8, LAYERS], config).await;
    let pool = Pool::default();
    let job = job(1, &engines, &"oat milk ".repeat(400), 6);
    let events = run(&pool, &job).await;
    assert_eq!(tokens(&events), expected(&job));
    assert!(pool.counters().relayed.load(Ordering::Relaxed) > 10 << 20);
    let progress = |event: &&Event| matches!(event, Event::Progress { hop: 0, step: 1 });
    assert!(events.iter().filter(progress).count() > 3);
}

#[tokio::test]
async fn stalled_streams_do_not_hold_up_others_on_their_connection() {
    // Sixty prefills leave the first stage, and their second stage reads nothing, so that their
    // activations stay unread on the connection to the first stage. A request with a responsive
    // second stage uses the same connection, and must get its answer.
    let config = Config {
        activation_bytes: 8 << 10,
        slots: 128,
        ..Config::default()
    };
    let engines = pipeline(&[0, 4, LAYERS], config.clone()).await;
    let other = pipeline(&[0, 4, LAYERS], config).await.remove(1);
    let pool = Pool::default();
    let prompt = "oat milk ".repeat(120);
    let jobs: Vec<_> = (1..=60)
        .map(|request| job(request, &engines, &prompt, 4))
        .collect();
    let sent = std::cell::Cell::new(0);
    engines[0].hold_steps(true);
    let stalled = jobs.iter().map(|job| {
        run_with(&pool, job, |event, _| {
            sent.set(sent.get() + usize::from(*event == Event::Sent));
            if sent.get() == 60 {
                engines[1].set_unresponsive(true);
                engines[0].hold_steps(false);
            }
        })
    });
    let stalled = join_all(stalled);
    let unaffected = async {
        until(|| Counters::get(&engines[0].counters().steps) == 60).await;
        let job = job(100, &[engines[0].clone(), other], &prompt, 4);
        assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
        assert_eq!(engines[0].connection_count(), 1);
        pool.drop_connections(engines[1].addr);
    };
    let (ends, ()) = tokio::join!(stalled, unaffected);
    for events in ends {
        assert!(matches!(
            events.last(),
            Some(Event::Failed {
                hop: 1,
                sent: true,
                ..
            })
        ));
    }
}

#[tokio::test]
async fn a_pool_lists_its_connections_and_closes_idle_ones() {
    let engines = pipeline(&[0, 4, LAYERS], Config::default()).await;
    let limits = Limits {
        idle_timeout: Duration::from_millis(20),
        ..Limits::default()
    };
    let pool = Pool::new(limits);
    let job = job(1, &engines, "soup", 4);
    assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
    let text = pool.to_string();
    assert!(
        text.starts_with("connects 2\nconnect_failures 0\nstreams 2\n"),
        "{text}"
    );
    for engine in &engines {
        assert!(
            text.contains(&format!("endpoint {} connections", engine.addr)),
            "{text}"
        );
    }
    until(|| {
        engines
            .iter()
            .all(|engine| pool.connection_count(engine.addr) == 0)
    })
    .await;
    assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
    assert!(engines.iter().all(|engine| engine.connection_count() == 2));
}
