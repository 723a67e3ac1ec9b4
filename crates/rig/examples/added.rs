//! What a node adds: latency against calling the stages directly, processor time, memory.
//!
//! One node with one worker; the stages take no time of their own. Everything runs in one process;
//! the processor time is that of the worker's thread alone, the memory that of the whole process,
//! callers and stand-ins included.

use engine::chain::{Event, Hop, Job};
use engine::pool::Pool;
use eyre::{Result, WrapErr, eyre};
use hdrhistogram::Histogram;
use http::Response;
use hyper::body::Incoming;
use rig::caller::{Caller, ChatRequest};
use rig::fleet::Fleet;
use rig::plan::{MODEL, Plan, Stage, VERSION};
use rig::traffic::{self, Traffic};
use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Requests of each latency measurement.
const REQUESTS: usize = 400;
/// Tokens of each.
const TOKENS: u32 = 32;
/// Time of the measurement of processor time.
const TIME: Duration = Duration::from_secs(8);
/// Ticks of the kernel's processor times in a second.
const TICKS: f64 = 100.0;

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        latency().await?;
        processor().await?;
        memory().await
    })
}

fn plan(replicas: usize, layer_time: Duration, slots: usize) -> Plan {
    let stage = |from, to| Stage {
        from,
        to,
        layer_time,
    };
    Plan {
        nodes: 1,
        replicas,
        stages: vec![stage(0, 6), stage(6, 12)],
        slots,
        ..Plan::default()
    }
}

/// Times to the first token and between tokens, in microseconds.
struct Times {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            gap: Histogram::new(3)?,
        })
    }

    fn take(&mut self, times: &[Duration]) -> Result<()> {
        if let Some(first) = times.first() {
            self.first.record(first.as_micros() as u64)?;
        }
        for pair in times.windows(2) {
            self.gap.record((pair[1] - pair[0]).as_micros() as u64)?;
        }
        Ok(())
    }
}

/// One request after another, through the node and directly, by turns.
async fn latency() -> Result<()> {
    let fleet = Fleet::start(plan(1, Duration::ZERO, 32)).await?;
    let (mut node, mut direct) = (Times::new()?, Times::new()?);
    let caller = Caller::new();
    let pool = Pool::default();
    for number in 0..REQUESTS {
        let mut ask = ChatRequest::new(format!("latency {number}"));
        ask.max_tokens = TOKENS;
        let answer = caller.chat(fleet.node(0).callers, &ask).await?;
        if !answer.complete() {
            return Err(eyre!("an answer is not whole: {answer:?}"));
        }
        node.take(&answer.times)?;
        direct.take(&run(&fleet, &pool, number).await)?;
    }
    println!("latency, {REQUESTS} requests of up to {TOKENS} tokens, two stages that take no time");
    println!("                 first token us p50   p99   between two us p50   p99");
    for (name, times) in [("through a node", &node), ("directly", &direct)] {
        println!(
            "{name:<16} {:>18} {:>5} {:>20} {:>5}",
            times.first.value_at_quantile(0.5),
            times.first.value_at_quantile(0.99),
            times.gap.value_at_quantile(0.5),
            times.gap.value_at_quantile(0.99)
        );
    }
    fleet.node(0).kill();
    Ok(())
}

/// Times of the tokens of one request that the driver runs without a node.
async fn run(fleet: &Fleet, pool: &Pool, number: usize) -> Vec<Duration> {
    let hops = fleet.endpoints.iter().map(|e| Hop {
        addr: e.engine.addr,
        from: fleet.plan.stages[e.stage].from,
        to: fleet.plan.stages[e.stage].to,
    });
    let job = Job {
        request: number as u128,
        attempt: 1,
        model: MODEL.to_owned(),
        version: VERSION.to_owned(),
        adapter: None,
        prompt: format!("direct {number}").into(),
        tokens: Vec::new(),
        max_tokens: TOKENS,
        seed: 1,
        priority: 10,
        hops: hops.collect(),
    };
    let start = Instant::now();
    let mut times = Vec::new();
    let mut out = |event| {
        if let Event::Token(_) = event {
            times.push(start.elapsed());
        }
    };
    engine::chain::run(pool, job, &mut out, CancellationToken::new()).await;
    times
}

/// Requests and tokens for each second of the worker's processor time.
async fn processor() -> Result<()> {
    let fleet = Fleet::start(plan(4, Duration::ZERO, 64)).await?;
    let traffic = Traffic {
        callers: 64,
        requests: usize::MAX,
        time: TIME,
        tokens: TOKENS,
        urgent: 0,
    };
    let targets = Arc::new(Mutex::new(vec![fleet.node(0).callers]));
    let before = worker_time()?;
    let tally = traffic::run(&fleet.plan, &traffic, targets).await;
    let used = worker_time()? - before;
    println!("\nprocessor time of one worker thread, 64 callers, stages that take no time");
    println!(
        "{} requests and {} tokens in {used:.2} s of a core: {:.0} requests/s and {:.0} tokens/s a core; {} wrong",
        tally.complete,
        tally.tokens,
        tally.complete as f64 / used,
        tally.tokens as f64 / used,
        tally.wrong.len()
    );
    fleet.node(0).kill();
    Ok(())
}

/// Seconds that threads called worker-0 have run.
fn worker_time() -> Result<f64> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let Some((name, rest)) = stat.rsplit_once(')') else {
            continue;
        };
        if name.ends_with("(worker-0") {
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let user: u64 = fields[11].parse().wrap_err("user time")?;
            let system: u64 = fields[12].parse().wrap_err("system time")?;
            ticks += user + system;
        }
    }
    Ok(ticks as f64 / TICKS)
}

/// Memory of the process for each stream in flight: each has a connection of its own, and the
/// caller's and the stand-ins' sides of it are counted too.
async fn memory() -> Result<()> {
    println!("\nresident memory of the whole process (node, callers and stand-ins)");
    for streams in [60, 120, 240] {
        let mut plan = plan(4, Duration::from_millis(20), 1024);
        plan.batch = 1024;
        let fleet = Fleet::start(plan).await?;
        let before = resident()?;
        let mut open = Vec::new();
        for number in 0..streams {
            open.push(stream(&fleet, number).await?);
        }
        let used = resident()?.saturating_sub(before);
        println!(
            "{streams:>5} streams: {used} KB more, {:.1} KB each",
            used as f64 / streams as f64
        );
        drop(open);
        fleet.node(0).kill();
    }
    Ok(())
}

/// A caller with a stream that has begun.
async fn stream(fleet: &Fleet, number: usize) -> Result<Response<Incoming>> {
    let mut ask = ChatRequest::new(format!("stream {number}"));
    ask.max_tokens = 512;
    Caller::new().open(fleet.node(0).callers, &ask).await
}

/// Resident memory, in KB.
fn resident() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number
        .ok_or_else(|| eyre!("no VmRSS"))?
        .parse()
        .wrap_err("VmRSS")
}
