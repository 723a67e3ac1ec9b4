//! Stages that die while an attempt runs, and attempts that go on elsewhere.

use crate::common::{LAYERS, expected, job, pipeline, run, run_with, tokens, until};
use engine::chain::{Cause, Event, Job, Token};
use engine::pool::Pool;
use standin::engine::{Config, Counters, Handle};
use standin::oracle::prompt_tokens;
use std::time::Duration;

/// The same request on another chain, after the tokens it already has.
fn resumed(job: &Job, engines: &[Handle], had: Vec<Token>) -> Job {
    let mut next = crate::common::job(job.request, engines, "", job.max_tokens);
    next.prompt = job.prompt.clone();
    next.attempt = job.attempt + 1;
    next.tokens = had;
    next
}

#[tokio::test]
async fn a_stage_dies_before_in_and_after_the_first_token() {
    // The stage dies in its n-th step. The caller has the tokens before it, none of them wrong; the
    // next attempt starts from them on other engines, and the whole is what one engine would give.
    let pool = Pool::default();
    for hop in 0..3 {
        for step in [1, 2, 3, 9] {
            let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
            let spare = pipeline(&[0, 6, LAYERS], Config::default()).await;
            let job = job(40 + u128::from(step), &engines, "check for sesame", 16);
            engines[hop].crash_at_step(step);
            let events = run(&pool, &job).await;
            let had = tokens(&events);
            assert_eq!(had, expected(&job)[..step as usize - 1]);
            let end = Event::Failed {
                hop: hop as u8,
                cause: Cause::Reset,
                sent: true,
                retry_after: None,
            };
            assert_eq!(events.last(), Some(&end));

            let next = resumed(&job, &spare, had.clone());
            let more = tokens(&run(&pool, &next).await);
            assert_eq!([had, more].concat(), expected(&job));
            let positions = prompt_tokens(&job.prompt) as usize + expected(&job).len() - 1;
            for engine in &spare {
                assert!(
                    engine
                        .runs(job.request, 2)
                        .expect("kept")
                        .is_once(positions)
                );
            }
        }
    }
}

#[tokio::test]
async fn a_stage_dies_while_another_works() {
    // The last stage is in a long prefill when the first one dies. The driver waits for the last
    // one, but watches all: the failure names the first stage, without waiting for its turn.
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
    // The engine dies on each prompt that holds the text, and comes back. Other prompts, sent to
    // the same engine after it came back, get whole answers.
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
async fn a_stage_that_cannot_compute_says_so() {
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
    // The caller goes away in a long prefill, or after some tokens. No event follows, and each stage
    // gives up its slot though its step had long to go.
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
