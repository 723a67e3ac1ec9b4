//! Helpers for tests with stand-in engines on loopback sockets.

use engine::chain::{self, Event, Hop, Job, Token};
use engine::pool::Pool;
use standin::engine::{Config, Engine, Handle, Span};
use standin::oracle::{self, Question};
use std::time::Duration;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

pub const MODEL: &str = "menu";
pub const VERSION: &str = "3";
pub const LAYERS: u16 = 12;
/// Upper bound of a wait, long enough that no test depends on the speed of the system.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Starts one engine for each range of layers between two adjacent cuts.
pub async fn pipeline(cuts: &[u16], config: Config) -> Vec<Handle> {
    let mut engines = Vec::new();
    for pair in cuts.windows(2) {
        let span = Span::new(MODEL, VERSION, LAYERS, pair[0], pair[1]);
        let config = Config {
            models: vec![span],
            ..config.clone()
        };
        engines.push(Engine::start(config).await.expect("engine starts"));
    }
    engines
}

/// Returns the chain over engines that hold one range each.
pub fn hops(engines: &[Handle]) -> Vec<Hop> {
    let hop = |engine: &Handle| {
        let span = engine.spans().remove(0);
        Hop {
            addr: engine.addr,
            from: span.from,
            to: span.to,
        }
    };
    engines.iter().map(hop).collect()
}

pub fn job(request: u128, engines: &[Handle], prompt: &str, max_tokens: u32) -> Job {
    Job {
        request,
        attempt: 1,
        model: MODEL.into(),
        version: VERSION.into(),
        adapter: None,
        prompt: prompt.to_owned().into(),
        tokens: Vec::new(),
        max_tokens,
        seed: request as u64,
        priority: 0,
        hops: hops(engines),
    }
}

/// Returns the tokens expected of the job.
pub fn expected(job: &Job) -> Vec<Token> {
    oracle::answer(&Question {
        model: &job.model,
        version: &job.version,
        adapter: job.adapter.as_deref(),
        layers: LAYERS,
        prompt: &job.prompt,
        seed: job.seed,
        max_tokens: job.max_tokens,
    })
}

/// Runs a job to its end and returns all events.
pub async fn run(pool: &Pool, job: &Job) -> Vec<Event> {
    run_with(pool, job, |_, _| {}).await
}

/// Runs a job and returns all events; `watch` is called with each event and may cancel.
pub async fn run_with(
    pool: &Pool,
    job: &Job,
    mut watch: impl FnMut(&Event, &CancellationToken),
) -> Vec<Event> {
    let mut events = Vec::new();
    let cancel = CancellationToken::new();
    let token = cancel.clone();
    let mut out = |event: Event| {
        watch(&event, &cancel);
        events.push(event);
    };
    timeout(LIMIT, chain::run(pool, job.clone(), &mut out, token))
        .await
        .expect("run ends");
    events
}

/// Returns the tokens among the events.
pub fn tokens(events: &[Event]) -> Vec<Token> {
    let token = |event: &Event| match event {
        Event::Token(token) => Some(token.clone()),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

/// Polls until a condition holds; panics after [`LIMIT`].
pub async fn until(mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, wait).await.expect("condition holds in time");
}
