//! Load reports, orders and step scheduling of the stand-in engine, over loopback sockets.

#[path = "driver/common.rs"]
mod common;

use common::{
    LAYERS, LIMIT, MODEL, VERSION, expected, job, pipeline, run, run_with, tokens, until,
};
use engine::chain::{Cause, Event};
use engine::order::{self, Answer, Command, Order};
use engine::pool::{Error, Pool};
use engine::{load, prefix};
use standin::engine::{Config, Engine, Span};
use std::time::Duration;

fn load_order(fence: u64, version: &str, from: u16, to: u16) -> Order {
    let (model, version) = (MODEL.to_owned(), version.to_owned());
    let command = Command::Load {
        model,
        version,
        layers: LAYERS,
        adapters: vec!["no-nuts".into()],
        from,
        to,
    };
    Order { fence, command }
}

#[tokio::test]
async fn orders_load_and_unload_layers() {
    let engine = Engine::start(Config::default()).await.expect("starts");
    let pool = Pool::default();
    for _ in 0..2 {
        let answer = order::send(&pool, engine.addr, load_order(3, VERSION, 0, LAYERS)).await;
        assert_eq!(answer, Ok(Answer::Done));
    }
    let report = load::fetch(&pool, engine.addr).await.expect("reports");
    assert_eq!(report.models.len(), 1);
    assert!(report.models[0].ready);
    assert_eq!(report.fence, 3);

    let mut job = job(1, std::slice::from_ref(&engine), "soup", 4);
    job.adapter = Some("no-nuts".into());
    assert_eq!(tokens(&run(&pool, &job).await), expected(&job));
    job.adapter = Some("no-milk".into());
    let events = run(&pool, &job).await;
    assert!(matches!(
        events.last(),
        Some(Event::Failed {
            cause: Cause::Unfit,
            ..
        })
    ));

    let unload = Command::Unload {
        model: MODEL.into(),
        version: VERSION.into(),
    };
    let answer = order::send(
        &pool,
        engine.addr,
        Order {
            fence: 3,
            command: unload,
        },
    )
    .await;
    assert_eq!(answer, Ok(Answer::Done));
    assert!(engine.spans().is_empty());
    let bad = order::send(&pool, engine.addr, load_order(3, VERSION, 4, 4)).await;
    assert_eq!(bad, Ok(Answer::Refused));
}

#[tokio::test]
async fn only_fenced_engines_refuse_a_stale_fencing_number() {
    // A paused lease holder sends its order late, with a stale fencing number. A fenced engine
    // refuses it. An engine that ignores the number executes it, so senders must not rely on the
    // refusal.
    for (fenced, answer) in [(true, Answer::OldFence), (false, Answer::Done)] {
        let config = Config {
            fenced,
            ..Config::default()
        };
        let engine = Engine::start(config).await.expect("starts");
        let pool = Pool::default();
        let newer = order::send(&pool, engine.addr, load_order(9, "4", 0, 6)).await;
        assert_eq!(newer, Ok(Answer::Done));
        let older = order::send(&pool, engine.addr, load_order(8, "3", 0, 6)).await;
        assert_eq!(older, Ok(answer));
        assert_eq!(engine.spans().len(), if fenced { 1 } else { 2 });
    }
}

#[tokio::test]
async fn an_order_to_stop_serving_refuses_new_requests() {
    let engines = pipeline(&[0, LAYERS], Config::default()).await;
    let pool = Pool::default();
    let stop = Order {
        fence: 1,
        command: Command::Serve(false),
    };
    assert_eq!(
        order::send(&pool, engines[0].addr, stop).await,
        Ok(Answer::Done)
    );
    let events = run(&pool, &job(1, &engines, "soup", 4)).await;
    assert!(matches!(
        events.last(),
        Some(Event::Failed {
            cause: Cause::Leaving,
            ..
        })
    ));
}

#[tokio::test]
async fn load_reports_lag_and_cache_events_have_gaps() {
    // Every third event is dropped, and the numbers of the others show the gaps. A report does not
    // change until the report lag has passed.
    let config = Config {
        event_loss: 3,
        prefix_blocks: 8,
        ..Config::default()
    };
    let engines = pipeline(&[0, LAYERS], config.clone()).await;
    let pool = Pool::default();
    let prompt = "rewrite the weekly menu with allergen flags. ".repeat(6);
    let job = job(1, &engines, &prompt, 2);
    run(&pool, &job).await;
    let report = load::fetch(&pool, engines[0].addr).await.expect("reports");
    let blocks = prefix::block_hashes(MODEL, VERSION, None, prompt.as_bytes());
    assert_eq!(blocks.len(), 4);
    let seen: Vec<_> = report
        .cache
        .iter()
        .map(|event| (event.number, event.block))
        .collect();
    assert_eq!(seen, [(1, blocks[0]), (2, blocks[1]), (4, blocks[3])]);

    let lagging = Config {
        report_lag: Duration::from_secs(600),
        ..config
    };
    let engines = pipeline(&[0, LAYERS], lagging).await;
    let first = load::fetch(&pool, engines[0].addr).await.expect("reports");
    run(&pool, &common::job(2, &engines, &prompt, 2)).await;
    let second = load::fetch(&pool, engines[0].addr).await.expect("reports");
    assert!(second.cache.is_empty());
    assert!(second.age >= first.age);
}

#[tokio::test]
async fn a_load_report_of_an_unreachable_engine_fails() {
    let engines = pipeline(&[0, LAYERS], Config::default()).await;
    engines[0].crash();
    let answer = load::fetch(&Pool::default(), engines[0].addr).await;
    assert_eq!(answer, Err(Error::Connect));
}

#[tokio::test]
async fn urgent_steps_go_first() {
    // Eight requests of low priority saturate a stage that computes one step at a time. The steps
    // of an urgent request go ahead of all waiting ones: it gets its ten tokens while the others
    // get few.
    let config = Config {
        batch: 1,
        layer_time: Duration::from_millis(1),
        ..Config::default()
    };
    let engine = Engine::start(Config {
        models: vec![Span::new(MODEL, VERSION, LAYERS, 0, LAYERS)],
        ..config
    });
    let engines = [engine.await.expect("starts")];
    let pool = Pool::default();
    let done = std::cell::Cell::new(false);
    let low = (1..=8).map(|request| {
        let mut job = job(request, &engines, &format!("menu {request}"), 1000);
        job.priority = 5;
        let (pool, done) = (&pool, &done);
        async move {
            let mut count = 0;
            run_with(pool, &job, |event, cancel| {
                count += usize::from(matches!(event, Event::Token(_)) && !done.get());
                if done.get() {
                    cancel.cancel();
                }
            })
            .await;
            count
        }
    });
    let urgent = async {
        until(|| engines[0].running() == 8).await;
        let job = job(100, &engines, "site alarm", 10);
        assert_eq!(expected(&job).len(), 10);
        let events = run(&pool, &job).await;
        assert_eq!(tokens(&events), expected(&job));
        done.set(true);
    };
    let (counts, ()) = tokio::join!(futures::future::join_all(low), urgent);
    // Without priorities each of the eight would get about as many tokens as the urgent request.
    assert!(counts.iter().sum::<usize>() < 40, "{counts:?}");
    assert!(pool.probe(engines[0].addr, LIMIT).await);
}
