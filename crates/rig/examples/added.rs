//! Measures the overhead of a node: latency compared with calling the stages directly, processor
//! time and memory.
//!
//! Runs one node with one worker; the stages add no time in the first two measurements. Everything
//! runs in one process: the processor time is that of the worker's thread alone, the memory that of
//! the process, including callers and stand-ins.

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

/// Number of requests of each latency measurement.
const REQUESTS: usize = 400;
/// Maximum number of tokens of a request.
const TOKENS: u32 = 32;
/// Duration of the processor time measurement.
const RUN_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in the kernel's processor times.
const TICKS_PER_SECOND: f64 = 100.0;

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

    fn record(&mut self, times: &[Duration]) -> Result<()> {
        if let Some(first) = times.first() {
            self.first.record(first.as_micros() as u64)?;
        }
        for pair in times.windows(2) {
            self.gap.record((pair[1] - pair[0]).as_micros() as u64)?;
        }
        Ok(())
    }
}

/// Measures latency with sequential requests that alternate between the node and the stages
/// directly.
async fn latency() -> Result<()> {
    let fleet = Fleet::start(plan(1, Duration::ZERO, 32)).await?;
    let (mut node, mut direct) = (Times::new()?, Times::new()?);
    let caller = Caller::new();
    let pool = Pool::default();
    for number in 0..REQUESTS {
        let mut request = ChatRequest::new(format!("latency {number}"));
        request.max_tokens = TOKENS;
        let answer = caller.chat(fleet.node(0).callers, &request).await?;
        if !answer.complete() {
            return Err(eyre!("an answer is not whole: {answer:?}"));
        }
        node.record(&answer.times)?;
        direct.record(&run_direct(&fleet, &pool, number).await)?;
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

/// Runs one request on the stages without a node and returns the times of its tokens.
async fn run_direct(fleet: &Fleet, pool: &Pool, number: usize) -> Vec<Duration> {
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

/// Measures requests and tokens per second of the worker's processor time.
async fn processor() -> Result<()> {
    let fleet = Fleet::start(plan(4, Duration::ZERO, 64)).await?;
    let traffic = Traffic {
        callers: 64,
        requests: usize::MAX,
        time: RUN_TIME,
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

/// Returns the processor time of the threads named worker-0, in seconds.
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
    Ok(ticks as f64 / TICKS_PER_SECOND)
}

/// Measures the memory of the process for each stream in flight. Each stream has its own
/// connection, and the memory includes the caller's and the stand-ins' sides.
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

/// Sends a streamed request and returns the response with its body unread.
async fn stream(fleet: &Fleet, number: usize) -> Result<Response<Incoming>> {
    let mut request = ChatRequest::new(format!("stream {number}"));
    request.max_tokens = 512;
    Caller::new().open(fleet.node(0).callers, &request).await
}

/// Returns the resident memory, in KB.
fn resident() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number
        .ok_or_else(|| eyre!("no VmRSS"))?
        .parse()
        .wrap_err("VmRSS")
}
