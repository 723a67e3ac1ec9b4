//! Complete answers through loopback sockets.

use crate::common::{LAYERS, expected, job, pipeline, run, tokens, until};
use engine::chain::{Event, Stop};
use engine::pool::Pool;
use standin::engine::{Config, Counters};
use standin::oracle::prompt_tokens;

#[tokio::test]
async fn three_stages_match_the_oracle() {
    let engines = pipeline(&[0, 5, 6, LAYERS], Config::default()).await;
    let pool = Pool::default();
    for request in 1..=20 {
        let job = job(request, &engines, &format!("menu of week {request}"), 40);
        let events = run(&pool, &job).await;
        assert_eq!(tokens(&events), expected(&job));
        let Some(Event::Finished {
            stop,
            prompt_tokens: counted,
        }) = events.last()
        else {
            panic!("last event is not Finished: {:?}", events.last());
        };
        assert_eq!(*counted, prompt_tokens(&job.prompt));
        let is_full = expected(&job).len() == 40;
        assert!(is_full || *stop == Stop::End);
        assert_eq!(events.iter().filter(|e| **e == Event::Sent).count(), 1);
    }
    until(|| engines.iter().all(|engine| engine.running() == 0)).await;
    for engine in &engines {
        assert_eq!(Counters::get(&engine.counters().finished), 20);
        assert_eq!(Counters::get(&engine.counters().cancelled), 0);
        assert_eq!(engine.connection_count(), 1);
    }
}

#[tokio::test]
async fn each_layer_runs_once_for_each_position() {
    let engines = pipeline(&[0, 4, 8, LAYERS], Config::default()).await;
    let job = job(7, &engines, "is there sesame in it?", 16);
    let made = tokens(&run(&Pool::default(), &job).await);
    assert_eq!(made, expected(&job));
    // The last generated token is not fed back into the pipeline.
    let positions = prompt_tokens(&job.prompt) as usize + made.len() - 1;
    for engine in &engines {
        assert!(
            engine
                .runs(7, 1)
                .expect("attempt is recorded")
                .is_once(positions)
        );
    }
}
