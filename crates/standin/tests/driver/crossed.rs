//! Answers that belong elsewhere, computations that go wrong, and many requests at once.

use crate::common::{LAYERS, expected, job, pipeline, run, run_with, tokens, until};
use engine::chain::{Cause, Event};
use engine::pool::{Counters as PoolCounters, Limits, Pool};
use futures::future::join_all;
use standin::engine::{ComputeFault, Config, Counters, ReplyFault};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn stale(counters: &PoolCounters) -> u64 {
    counters.stale_frames.load(Ordering::Relaxed)
}

#[tokio::test]
async fn frames_of_an_ended_attempt_are_dropped() {
    // Before each right answer comes one of the attempt before, as when a stage was slow to stop.
    // They are told by the attempt's number, and the caller's answer is whole.
    for hop in 0..3 {
        let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
        engines[hop].set_reply_fault(Some(ReplyFault::StaleAttempt));
        let pool = Pool::default();
        let mut job = job(1, &engines, "soup", 8);
        job.attempt = 2;
        assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
        assert!(stale(pool.counters()) >= 8);
    }
}

#[tokio::test]
async fn an_answer_that_belongs_elsewhere_ends_the_attempt() {
    // A stage answers for another request, step or range, answers twice, sends no frame, or ends
    // the stream early. The attempt fails at that hop; the caller has no token that isn't its own.
    let cases = [
        ReplyFault::OtherRequest,
        ReplyFault::StaleStep,
        ReplyFault::OtherLayers,
        ReplyFault::Duplicate,
        ReplyFault::Garbled,
        ReplyFault::EndOfStream,
    ];
    for crossed in cases {
        for hop in 0..3 {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            engines[hop].set_reply_fault(Some(crossed));
            let job = job(1, &engines, "soup", 8);
            let events = run(&Pool::default(), &job).await;
            let had = tokens(&events);
            assert_eq!(had, expected(&job)[..had.len()], "{crossed:?} at {hop}");
            assert!(had.len() <= 1, "{crossed:?} at {hop}");
            let cause = Cause::Protocol;
            let end = Event::Failed {
                hop: hop as u8,
                cause,
                sent: true,
                retry_after: None,
            };
            assert_eq!(events.last(), Some(&end), "{crossed:?} at {hop}");
            until(|| engines.iter().all(|engine| engine.running() == 0)).await;
        }
    }
}

#[tokio::test]
async fn the_oracle_catches_each_broken_computation() {
    // The check itself: an engine that leaves out, doubles, reorders or crosses its layers, and
    // reports all as done, must give another answer than the oracle.
    for broken in [
        ComputeFault::Skip,
        ComputeFault::Double,
        ComputeFault::Reorder,
        ComputeFault::SwapInput,
    ] {
        for hop in 0..3 {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            engines[hop].set_compute_fault(Some(broken));
            let job = job(1, &engines, "soup", 8);
            let made = tokens(&run(&Pool::default(), &job).await);
            assert!(!made.is_empty());
            assert_ne!(made[0], expected(&job)[0], "{broken:?} at {hop}");
            let is_counted = matches!(broken, ComputeFault::Skip | ComputeFault::Double);
            let runs = engines[hop].runs(1, 1).expect("kept");
            let positions = runs.counts.iter().map(Vec::len).max().expect("some");
            assert_eq!(runs.is_once(positions), !is_counted, "{broken:?} at {hop}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_requests_at_once_each_get_their_own_answer() {
    // All share the connections and stages; no token of one may reach another.
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
    // A prefill's activations are far larger than a stream's window: they are relayed piece by
    // piece, and arrive whole.
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
    // Sixty prefills come from the first stage; their next one takes nothing, so that their
    // activations stay unread on the connection to the first. A request whose next stage is well
    // uses the same connection, and must get its answer.
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
    let well = async {
        until(|| Counters::get(&engines[0].counters().steps) == 60).await;
        let job = job(100, &[engines[0].clone(), other], &prompt, 4);
        assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
        assert_eq!(engines[0].connection_count(), 1);
        pool.drop_connections(engines[1].addr);
    };
    let (ends, ()) = tokio::join!(stalled, well);
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
async fn a_pool_shows_its_connections_and_closes_the_unused() {
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
