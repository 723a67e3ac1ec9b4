//! Stages that crash during an attempt, and retries that resume on other engines.

use crate::common::{LAYERS, expected, job, pipeline, run, run_with, tokens, until};
use engine::chain::{Cause, Event, Job, Token};
use engine::pool::Pool;
use standin::engine::{Config, Counters, Handle};
use standin::oracle::prompt_tokens;
use std::time::Duration;

/// Returns the next attempt of a request on another chain, resumed after the tokens it has.
fn resumed(job: &Job, engines: &[Handle], received: Vec<Token>) -> Job {
    let mut next = crate::common::job(job.request, engines, "", job.max_tokens);
    next.prompt = job.prompt.clone();
    next.attempt = job.attempt + 1;
    next.tokens = received;
    next
}

#[tokio::test]
async fn a_retry_resumes_after_a_stage_crashes_in_any_step() {
    // A stage crashes in its n-th step. The caller has the correct tokens of the steps before it.
    // The next attempt resumes from them on other engines, and the joined answer equals that of an
    // attempt without a failure.
    let pool = Pool::default();
    for hop in 0..3 {
        for step in [1, 2, 3, 9] {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            let spare = pipeline(&[0, 6, LAYERS], Config::default()).await;
            let job = job(40 + u128::from(step), &engines, "check for sesame", 16);
            engines[hop].crash_at_step(step);
            let events = run(&pool, &job).await;
            let received = tokens(&events);
            assert_eq!(received, expected(&job)[..step as usize - 1]);
            let end = Event::Failed {
                hop: hop as u8,
                cause: Cause::Reset,
                sent: true,
                retry_after: None,
            };
            assert_eq!(events.last(), Some(&end));

            let next = resumed(&job, &spare, received.clone());
            let more = tokens(&run(&pool, &next).await);
            assert_eq!([received, more].concat(), expected(&job));
            let positions = prompt_tokens(&job.prompt) as usize + expected(&job).len() - 1;
            for engine in &spare {
                assert!(
                    engine
                        .runs(job.request, 2)
                        .expect("attempt is recorded")
                        .is_once(positions)
                );
            }
        }
    }
}

#[tokio::test]
async fn a_stage_that_crashes_while_another_computes_is_reported_at_once() {
    // The first stage crashes during a long prefill of the last one. The driver waits for the last
    // stage but watches all of them, so it reports the first stage's failure at once.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    engines[2].set_delay(Duration::from_secs(600));
    let job = job(1, &engines, "soup", 8);
    let events = run_with(&Pool::default(), &job, |event, _| {
        if *event == (Event::Progress { hop: 1, step: 1 }) {
            engines[0].crash();
        }
    })
    .await;
    let end = Event::Failed {
        hop: 0,
        cause: Cause::Reset,
        sent: true,
        retry_after: None,
    };
    assert_eq!(events.last(), Some(&end));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
}

#[tokio::test]
async fn a_prompt_that_crashes_its_stage_crashes_it_each_time() {
    // The engine crashes on each prompt that contains the text, and restarts. Other prompts that
    // are sent to it after the restart get complete answers.
    let config = Config {
        restart_after: Some(Duration::from_millis(20)),
        ..Config::default()
    };
    let engines = pipeline(&[0, 4, LAYERS], config).await;
    engines[0].crash_on_prompt("ghost pepper");
    let pool = Pool::default();
    for round in 1..=3 {
        let bad = job(round, &engines, "add ghost pepper to it", 8);
        let events = run(&pool, &bad).await;
        assert!(tokens(&events).is_empty());
        assert!(matches!(
            events.last(),
            Some(Event::Failed {
                hop: 0,
                sent: true,
                ..
            })
        ));
        assert_eq!(engines[0].crash_count(), round as u64);
        let good = job(100 + round, &engines, "add sweet pepper to it", 8);
        let mut made = Vec::new();
        while made.is_empty() {
            made = tokens(&run(&pool, &good).await);
        }
        assert_eq!(made, expected(&good));
    }
}

#[tokio::test]
async fn a_stage_that_cannot_compute_reports_an_internal_failure() {
    let engines = pipeline(&[0, 4, LAYERS], Config::default()).await;
    engines[1].set_failing(true);
    let events = run(&Pool::default(), &job(1, &engines, "soup", 8)).await;
    let end = Event::Failed {
        hop: 1,
        cause: Cause::Internal,
        sent: true,
        retry_after: None,
    };
    assert_eq!(events.last(), Some(&end));
}

#[tokio::test]
async fn a_cancelled_attempt_stops_its_stages_at_once() {
    // The caller cancels during a long prefill, or after some tokens. No event follows, and each
    // stage frees its slot although its step is far from done.
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let pool = Pool::default();
    engines[1].set_delay(Duration::from_secs(600));
    let first = job(1, &engines, "soup", 8);
    let events = run_with(&pool, &first, |event, cancel| {
        if *event == (Event::Progress { hop: 0, step: 1 }) {
            cancel.cancel();
        }
    })
    .await;
    assert_eq!(events.last(), Some(&Event::Progress { hop: 0, step: 1 }));
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;

    engines[1].set_delay(Duration::ZERO);
    let second = job(2, &engines, "rye bread", 4000);
    assert!(
        expected(&second).len() > 3,
        "the answer goes on after the cancellation"
    );
    let mut count = 0;
    let events = run_with(&pool, &second, |event, cancel| {
        count += usize::from(matches!(event, Event::Token(_)));
        if count == 3 {
            cancel.cancel();
        }
    })
    .await;
    assert_eq!(tokens(&events), expected(&second)[..3]);
    assert!(
        !events
            .iter()
            .any(|event| matches!(event, Event::Finished { .. }))
    );
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    for engine in &engines {
        assert_eq!(Counters::get(&engine.counters().cancelled), 2);
        assert_eq!(Counters::get(&engine.counters().finished), 0);
    }
}
