//! Randomised runs: injects faults of all kinds during requests, and checks the guarantees of every
//! attempt.

use crate::common::{LAYERS, LIMIT, expected, hops, job, pipeline, tokens};
use engine::chain::{self, Event, Job};
use engine::pool::Pool;
use futures::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::engine::{Config, Handle, ReplyFault};
use standin::oracle::prompt_tokens;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time without progress after which an attempt is abandoned.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of concurrent sequences of requests.
const LANES: u128 = 8;
/// Number of faults injected in a run.
const FAULTS: usize = 40;

/// Starts three pipelines over the same layers, each with other boundaries between the stages.
async fn fleet() -> Vec<Vec<Handle>> {
    let config = Config {
        slots: 64,
        recorded_attempts: 1 << 16,
        ..Config::default()
    };
    let cuts: [&[u16]; 3] = [&[0, 4, 8, LAYERS], &[0, 6, LAYERS], &[0, 2, 5, LAYERS]];
    join_all(cuts.map(|cuts| pipeline(cuts, config.clone()))).await
}

/// Injects a random fault into a random engine, and clears it with a probability of 0.7.
async fn inject_fault(engines: &[Handle], rng: &mut ChaCha8Rng) {
    let engine = &engines[rng.random_range(0..engines.len())];
    let reply_faults = [
        ReplyFault::StaleAttempt,
        ReplyFault::OtherRequest,
        ReplyFault::StaleStep,
        ReplyFault::OtherLayers,
        ReplyFault::Duplicate,
        ReplyFault::Garbled,
        ReplyFault::EndOfStream,
    ];
    match rng.random_range(0..9) {
        0 => engine.crash(),
        1 => engine.crash_at_step(rng.random_range(1..20)),
        2 => engine.hang_open_connections(),
        3 => engine.set_unresponsive(true),
        4 => engine.set_reply_fault(Some(reply_faults[rng.random_range(0..reply_faults.len())])),
        5 => engine.set_delay(Duration::from_millis(rng.random_range(1..20))),
        6 => engine.set_busy(true),
        7 => engine.set_leaving(true),
        _ => engine.set_failing(true),
    }
    sleep(Duration::from_millis(rng.random_range(1..30))).await;
    if rng.random_bool(0.7) {
        heal(engine).await;
    }
}

/// Clears all faults of an engine and restarts it if it has crashed.
async fn heal(engine: &Handle) {
    engine.crash_at_step(0);
    engine.set_unresponsive(false);
    engine.set_reply_fault(None);
    engine.set_delay(Duration::ZERO);
    engine.set_busy(false);
    engine.set_leaving(false);
    engine.set_failing(false);
    engine.restart().await.expect("restarts");
}

/// Runs one attempt, and abandons it if it makes no progress.
async fn attempt(pool: &Pool, job: &Job) -> Vec<Event> {
    let events = RefCell::new(Vec::new());
    let cancel = CancellationToken::new();
    let mut out = |event| events.borrow_mut().push(event);
    let watch = async {
        let mut seen = usize::MAX;
        while seen != events.borrow().len() {
            seen = events.borrow().len();
            sleep(PROGRESS_TIMEOUT).await;
        }
        cancel.cancel();
        // A router does the same once a probe on a new connection was answered.
        job.hops
            .iter()
            .for_each(|hop| pool.drop_connections(hop.addr));
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = chain::run(pool, job.clone(), &mut out, cancel.clone()) => {}
        () = watch => {}
    }
    events.into_inner()
}

/// Checks the guarantees that hold for an attempt under any fault.
fn check(job: &Job, events: &[Event], engines: &[Handle]) {
    let produced = [job.tokens.clone(), tokens(events)].concat();
    assert_eq!(
        produced,
        expected(job)[..produced.len()],
        "a token of the answer is wrong"
    );
    let runs = engines
        .iter()
        .filter_map(|engine| engine.runs(job.request, job.attempt));
    let runs: Vec<_> = runs.collect();
    let is_sent = events.contains(&Event::Sent);
    assert!(
        is_sent || runs.is_empty(),
        "layers ran in an attempt that was not sent"
    );
    let mut counts = runs.iter().flat_map(|runs| &runs.counts).flatten();
    assert!(
        counts.all(|count| *count <= 1),
        "a layer ran twice for a position"
    );
    match events.last() {
        Some(Event::Failed { sent, .. }) => assert_eq!(*sent, is_sent),
        Some(Event::Finished { .. }) => {
            assert_eq!(produced, expected(job), "a finished answer is incomplete");
            let positions = prompt_tokens(&job.prompt) as usize + produced.len() - 1;
            assert!(runs.iter().all(|runs| runs.is_once(positions)));
            assert_eq!(runs.len(), job.hops.len());
        }
        _ => {}
    }
}

/// Retries a request on alternating pipelines until its answer is complete; returns the number of
/// attempts.
async fn request(pool: &Pool, number: u128, fleet: &[Vec<Handle>], engines: &[Handle]) -> u32 {
    let mut job = job(number, &fleet[0], &format!("menu of week {number}"), 20);
    loop {
        let events = attempt(pool, &job).await;
        check(&job, &events, engines);
        if matches!(events.last(), Some(Event::Finished { .. })) {
            return job.attempt;
        }
        job.tokens.extend(tokens(&events));
        job.attempt += 1;
        job.hops = hops(&fleet[(number as usize + job.attempt as usize) % fleet.len()]);
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn answers_are_complete_under_random_faults() {
    // Forty random faults are injected while requests run in eight concurrent lanes, one after the
    // other in each lane; then all engines are healed. Each request is resumed from the tokens it
    // has until its answer is complete. No token is wrong, no layer runs twice for a position in an
    // attempt, and no layer runs in an attempt that was not sent.
    let (attempts, requests, crashes) = (Cell::new(0), Cell::new(0), Cell::new(0));
    for seed in 1..=4 {
        let fleet = fleet().await;
        let engines = fleet.concat();
        let pool = Pool::default();
        let healed = Cell::new(false);
        let faults = async {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            for _ in 0..FAULTS {
                inject_fault(&engines, &mut rng).await;
            }
            for engine in &engines {
                heal(engine).await;
            }
            healed.set(true);
        };
        let lanes = (1..=LANES).map(|lane| {
            let (pool, fleet, engines) = (&pool, &fleet, &engines);
            let (attempts, requests, healed) = (&attempts, &requests, &healed);
            async move {
                let mut number = lane;
                while !healed.get() {
                    let used = request(pool, number, fleet, engines).await;
                    attempts.set(attempts.get() + used);
                    requests.set(requests.get() + 1);
                    number += LANES;
                }
            }
        });
        let all = async { tokio::join!(faults, join_all(lanes)) };
        timeout(LIMIT, all)
            .await
            .expect("all requests finish in time");
        crashes.set(crashes.get() + engines.iter().map(Handle::crash_count).sum::<u64>());
    }
    let (attempts, requests, crashes) = (attempts.get(), requests.get(), crashes.get());
    println!("{requests} requests, {attempts} attempts, {crashes} crashes");
    assert!(
        attempts > requests && crashes > 0,
        "the faults had an effect"
    );
}
