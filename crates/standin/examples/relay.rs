//! Measures the relay of a pipeline: time and processor time that the driver adds to each step,
//! against asking the stages directly; bytes relayed; memory of a stream in flight.
//!
//! `cargo run --release -p wigeonshelf-standin --example relay`
//!
//! The engines run in a second process, so that the figures are of the driver's side only. The
//! driver's side is one thread.

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
use engines::{Engines, Line, MODEL, VERSION};
use futures::future::join_all;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Most tokens of an answer.
const LENGTH: u32 = 100;
/// Tokens whose steps are timed one by one.
const TIMED: u32 = 2000;
/// Time of a round in which throughput is measured.
const SPAN: Duration = Duration::from_millis(700);
/// Rounds each way.
const ROUNDS: usize = 4;
/// Streams in flight when throughput is measured.
const STREAMS: usize = 128;

/// Prompts relayed at once.
const PREFILLS: u128 = 8;
/// Tokens of each.
const PROMPT: usize = 1000;

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    if std::env::args().any(|argument| argument == engines::ROLE) {
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
    if let Some(line) = engines.lines.last() {
        prefill(line).await;
    }
    println!();
    println!("one stream, per step (three stages), microseconds");
    println!(
        "{:>12} {:>10} {:>10} {:>10} {:>10}",
        "activation", "direct50", "driver50", "direct99", "driver99"
    );
    for line in &engines.lines {
        latency(line.activation, &line.hops).await;
    }
    println!();
    println!("{STREAMS} streams, processor time of the driver's thread per step (three stages)");
    println!(
        "{:>12} {:>8} {:>12} {:>14} {:>14}",
        "activation", "way", "steps/s", "us/step", "steps/s/core"
    );
    for line in &engines.lines {
        throughput(line.activation, &line.hops).await;
    }
    println!();
    relayed::print(&engines).await;
    Ok(())
}

fn job(request: u128, hops: &[Hop], most: u32) -> Job {
    Job {
        request,
        attempt: 1,
        model: MODEL.into(),
        version: VERSION.into(),
        adapter: None,
        prompt: format!("menu of week {request}").into(),
        tokens: Vec::new(),
        max_tokens: most,
        seed: request as u64,
        priority: 0,
        hops: hops.to_vec(),
    }
}

/// Times each step of one stream at a time, both ways in turn.
async fn latency(activation: usize, hops: &[Hop]) {
    let pool = Pool::default();
    let (mut direct, mut driver) = (Vec::new(), Vec::new());
    let mut request = 0;
    while driver.len() < TIMED as usize {
        request += 1;
        direct.extend(direct::run(&job(request, hops, LENGTH)).await);
        driver.extend(driven(&pool, job(request, hops, LENGTH)).await);
    }
    let [a, b] = [&mut direct, &mut driver].map(|times| quantiles(times));
    println!(
        "{activation:>12} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
        a.0, b.0, a.1, b.1
    );
}

/// Times between the tokens of a job run by the driver.
async fn driven(pool: &Pool, job: Job) -> Vec<Duration> {
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

/// Median and 99th percentile in microseconds.
fn quantiles(times: &mut [Duration]) -> (f64, f64) {
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100].as_secs_f64() * 1e6;
    (at(50), at(99))
}

/// Steps made in a span, and the processor time they took.
#[derive(Clone, Copy)]
struct Cost {
    steps: u64,
    time: Duration,
    cpu: Duration,
}

impl Cost {
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

/// Both ways in turn; the round that took the least processor time per step counts, since other
/// work on the machine only adds to it.
async fn throughput(activation: usize, hops: &[Hop]) {
    let (mut driver, mut direct) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let pool = Pool::default();
        let (cpu, start) = (process::cpu(), Instant::now());
        let end = start + SPAN;
        join_all((0..STREAMS).map(|stream| driver_stream(&pool, stream, hops, end))).await;
        let steps = pool.counters().steps.load(Ordering::Relaxed);
        let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
        driver.push(Cost { steps, time, cpu });

        let (cpu, start) = (process::cpu(), Instant::now());
        let steps = direct::all(STREAMS, start + SPAN, |number| job(number, hops, LENGTH)).await;
        let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
        direct.push(Cost { steps, time, cpu });
    }
    for (way, costs) in [("driver", driver), ("direct", direct)] {
        let least = costs
            .iter()
            .min_by(|a, b| a.per_step().total_cmp(&b.per_step()));
        least.inspect(|cost| cost.print(activation, way));
    }
}

async fn driver_stream(pool: &Pool, stream: usize, hops: &[Hop], end: Instant) {
    let mut request = stream as u128 + 1;
    while Instant::now() < end {
        driven(pool, job(request, hops, LENGTH)).await;
        request += STREAMS as u128;
    }
}

/// Memory of streams that wait in their first step.
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
            let job = job(count.into(), hops, LENGTH);
            let (pool, cancel) = (pool.clone(), cancel.clone());
            tasks.spawn(async move { chain::run(&pool, job, &mut |_| {}, cancel).await });
        }
        let opened = || pool.counters().streams.load(Ordering::Relaxed);
        while opened() < u64::from(goal) * hops.len() as u64 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let memory = process::memory();
        let slope = (memory - base) / u64::from(count);
        println!("{count:>12} {:>12} {slope:>14}", memory >> 10);
    }
    cancel.cancel();
    while tasks.join_next().await.is_some() {}
}

/// Relays long prompts' activations: speed, processor time, and the most memory held meanwhile. The
/// round that took the least processor time counts.
async fn prefill(line: &Line) {
    let bytes = line.activation;
    println!("prefill of {PREFILLS} prompts of {PROMPT} tokens at once, {bytes} B each");
    println!("{:>12} {:>12} {:>14}", "MB relayed", "MB/s", "MB/s/core");
    process::reset_peak();
    let before = process::memory() >> 10;
    let mut costs = Vec::new();
    for _ in 0..ROUNDS {
        costs.push(prefills(line).await);
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

/// One round; counts bytes in place of steps.
async fn prefills(line: &Line) -> Cost {
    let pool = Pool::default();
    let (cpu, start) = (process::cpu(), Instant::now());
    let jobs = (1..=PREFILLS).map(|request| {
        let mut job = job(request, &line.hops, 1);
        job.prompt = vec![b'm'; PROMPT * 4].into();
        let pool = &pool;
        async move { chain::run(pool, job, &mut |_| {}, CancellationToken::new()).await }
    });
    join_all(jobs).await;
    let steps = pool.counters().relayed.load(Ordering::Relaxed);
    let (time, cpu) = (start.elapsed(), process::cpu() - cpu);
    Cost { steps, time, cpu }
}
