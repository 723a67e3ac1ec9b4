//! Benchmarks the relay of a pipeline: the time and CPU time of the driver per step, compared with
//! direct calls to the stages; bytes relayed; memory per stream in flight.
//!
//! `cargo run --release -p wigeonshelf-standin --example relay`
//!
//! The engines run in a second process, so that the figures cover only the driver, which runs on
//! one thread.

#[path = "relay/direct.rs"]
mod direct;
#[path = "relay/engines.rs"]
mod engines;
#[path = "relay/process.rs"]
mod process;
#[path = "relay/bytes.rs"]
mod relayed;

use engine::chain::{self, Event, Hop, Job};
use engine::pool::{Limits, Pool};
use engines::{Engines, MODEL, Pipeline, VERSION};
use futures::future::join_all;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Maximum number of tokens in an answer.
const MAX_TOKENS: u32 = 100;
/// Number of steps whose latency is sampled.
const LATENCY_SAMPLES: u32 = 2000;
/// Duration of one round of a throughput measurement.
const ROUND_TIME: Duration = Duration::from_millis(700);
/// Rounds of a measurement with each of driver and direct calls.
const ROUNDS: usize = 4;
/// Concurrent streams in a throughput measurement.
const STREAMS: usize = 128;

/// Number of prompts relayed concurrently.
const PREFILLS: u128 = 8;
/// Length of each of these prompts, in tokens.
const PROMPT_TOKENS: usize = 1000;

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    if std::env::args().any(|argument| argument == engines::ENGINES_ARGUMENT) {
        return engines::serve();
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure())
}

async fn measure() -> Result<(), Error> {
    let engines = Engines::start()?;
    memory(&engines.slow).await;
    println!();
    if let Some(pipeline) = engines.pipelines.last() {
        prefill(pipeline).await;
    }
    println!();
    println!("one stream, per step (three stages), microseconds");
    println!(
        "{:>12} {:>10} {:>10} {:>10} {:>10}",
        "activation", "direct50", "driver50", "direct99", "driver99"
    );
    for pipeline in &engines.pipelines {
        latency(pipeline.activation, &pipeline.hops).await;
    }
    println!();
    println!("{STREAMS} streams, processor time of the driver's thread per step (three stages)");
    println!(
        "{:>12} {:>8} {:>12} {:>14} {:>14}",
        "activation", "way", "steps/s", "us/step", "steps/s/core"
    );
    for pipeline in &engines.pipelines {
        throughput(pipeline.activation, &pipeline.hops).await;
    }
    println!();
    relayed::print(&engines).await;
    Ok(())
}

fn job(request: u128, hops: &[Hop], max_tokens: u32) -> Job {
    Job {
        request,
        attempt: 1,
        model: MODEL.into(),
        version: VERSION.into(),
        adapter: None,
        prompt: format!("menu of week {request}").into(),
        tokens: Vec::new(),
        max_tokens,
        seed: request as u64,
        priority: 0,
        hops: hops.to_vec(),
    }
}

/// Prints the latency of the steps of single streams, alternating direct calls and the driver.
async fn latency(activation: usize, hops: &[Hop]) {
    let pool = Pool::default();
    let (mut direct, mut driver) = (Vec::new(), Vec::new());
    let mut request = 0;
    while driver.len() < LATENCY_SAMPLES as usize {
        request += 1;
        direct.extend(direct::run(&job(request, hops, MAX_TOKENS)).await);
        driver.extend(run_driver(&pool, job(request, hops, MAX_TOKENS)).await);
    }
    let [a, b] = [&mut direct, &mut driver].map(|times| quantiles(times));
    println!(
        "{activation:>12} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
        a.0, b.0, a.1, b.1
    );
}

/// Runs a job through the driver and returns the times between its tokens.
async fn run_driver(pool: &Pool, job: Job) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut last = None;
    let mut out = |event: Event| match event {
        Event::Token(_) => {
            let now = Instant::now();
            times.extend(last.replace(now).map(|before| now - before));
        }
        Event::Failed { .. } => panic!("{event:?}"),
        _ => {}
    };
    chain::run(pool, job, &mut out, CancellationToken::new()).await;
    times
}

/// Returns the median and the 99th percentile, in microseconds.
fn quantiles(times: &mut [Duration]) -> (f64, f64) {
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100].as_secs_f64() * 1e6;
    (at(50), at(99))
}

/// Steps of a measurement, and the elapsed and CPU time they took.
#[derive(Clone, Copy)]
struct Cost {
    steps: u64,
    time: Duration,
    cpu: Duration,
}

impl Cost {
    /// CPU time per step, in microseconds.
    fn per_step(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.steps as f64
    }

    fn print(&self, activation: usize, way: &str) {
        let rate = self.steps as f64 / self.time.as_secs_f64();
        let cost = self.per_step();
        let full = 1e6 / cost;
        println!("{activation:>12} {way:>8} {rate:>12.0} {cost:>14.1} {full:>14.0}");
    }
}

/// Prints the throughput of the driver and of direct calls, measured in alternating rounds. The
/// round with the least CPU time per step counts, since other load on the system only adds to it.
async fn throughput(activation: usize, hops: &[Hop]) {
    let (mut driver, mut direct) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let pool = Pool::default();
        let (cpu, start) = (process::cpu(), Instant::now());
        let end = start + ROUND_TIME;
        join_all((0..STREAMS).map(|stream| driver_stream(&pool, stream, hops, end))).await;
        let steps = pool.counters().steps.load(Ordering::Relaxed);
        let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
        driver.push(Cost { steps, time, cpu });

        let (cpu, start) = (process::cpu(), Instant::now());
        let steps = direct::run_streams(STREAMS, start + ROUND_TIME, |number| {
            job(number, hops, MAX_TOKENS)
        })
        .await;
        let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
        direct.push(Cost { steps, time, cpu });
    }
    for (way, costs) in [("driver", driver), ("direct", direct)] {
        let cheapest = costs
            .iter()
            .min_by(|a, b| a.per_step().total_cmp(&b.per_step()));
        cheapest.inspect(|cost| cost.print(activation, way));
    }
}

/// Runs jobs one after the other through the driver until `end`.
async fn driver_stream(pool: &Pool, stream: usize, hops: &[Hop], end: Instant) {
    let mut request = stream as u128 + 1;
    while Instant::now() < end {
        run_driver(pool, job(request, hops, MAX_TOKENS)).await;
        request += STREAMS as u128;
    }
}

/// Prints the memory of streams that wait in their first step.
async fn memory(hops: &[Hop]) {
    println!("memory of the driver's process, streams that wait for a stage (three stages each)");
    println!("{:>12} {:>12} {:>14}", "streams", "KiB", "bytes/stream");
    let pool = Pool::new(Limits {
        max_streams: 4096,
        ..Limits::default()
    });
    let cancel = CancellationToken::new();
    let base = process::memory();
    println!("{:>12} {:>12} {:>14}", 0, base >> 10, "");
    let mut count = 0;
    let mut tasks = tokio::task::JoinSet::new();
    for goal in [500_u32, 1000, 2000, 4000] {
        while count < goal {
            count += 1;
            let job = job(count.into(), hops, MAX_TOKENS);
            let (pool, cancel) = (pool.clone(), cancel.clone());
            tasks.spawn(async move { chain::run(&pool, job, &mut |_| {}, cancel).await });
        }
        let opened = || pool.counters().streams.load(Ordering::Relaxed);
        while opened() < u64::from(goal) * hops.len() as u64 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let memory = process::memory();
        let bytes_per_stream = (memory - base) / u64::from(count);
        println!("{count:>12} {:>12} {bytes_per_stream:>14}", memory >> 10);
    }
    cancel.cancel();
    while tasks.join_next().await.is_some() {}
}

/// Prints the speed, CPU time and peak memory of relaying the activations of long prompts. The
/// round with the least CPU time counts.
async fn prefill(pipeline: &Pipeline) {
    let bytes = pipeline.activation;
    println!("prefill of {PREFILLS} prompts of {PROMPT_TOKENS} tokens at once, {bytes} B each");
    println!("{:>12} {:>12} {:>14}", "MB relayed", "MB/s", "MB/s/core");
    process::reset_peak();
    let before = process::memory() >> 10;
    let mut costs = Vec::new();
    for _ in 0..ROUNDS {
        costs.push(prefills(pipeline).await);
    }
    if let Some(cost) = costs.iter().min_by_key(|cost| cost.cpu) {
        let mega = cost.steps as f64 / 1e6;
        let (time, cpu) = (cost.time.as_secs_f64(), cost.cpu.as_secs_f64());
        println!("{mega:>12.0} {:>12.0} {:>14.0}", mega / time, mega / cpu);
    }
    println!(
        "memory before {before} KiB, at its peak {} KiB",
        process::peak() >> 10
    );
}

/// Runs one round; `Cost::steps` counts bytes relayed instead of steps.
async fn prefills(pipeline: &Pipeline) -> Cost {
    let pool = Pool::default();
    let (cpu, start) = (process::cpu(), Instant::now());
    let jobs = (1..=PREFILLS).map(|request| {
        let mut job = job(request, &pipeline.hops, 1);
        job.prompt = vec![b'm'; PROMPT_TOKENS * 4].into();
        let pool = &pool;
        async move { chain::run(pool, job, &mut |_| {}, CancellationToken::new()).await }
    });
    join_all(jobs).await;
    let steps = pool.counters().relayed.load(Ordering::Relaxed);
    let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
    Cost { steps, time, cpu }
}
