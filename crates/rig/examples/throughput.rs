//! Measures the throughput of a saturated fleet against the maximum of its stand-ins.
//!
//! There are two kinds of accelerators, no failures, and enough callers to fill every slot. `bound`
//! is the maximum by the bundle's figures. `direct` is the throughput of the same stand-ins without
//! any node, with each request on the stages of one replica; it is below `bound` because the
//! stand-ins' timers make each step about a millisecond too long. The table has one row for each
//! number of nodes.

use engine::chain::{Event, Hop, Job};
use engine::pool::Pool;
use eyre::Result;
use rig::fleet::Fleet;
use rig::plan::{MODEL, Plan, Stage, VERSION};
use rig::traffic::{self, Traffic};
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Duration of one run.
const RUN_TIME: Duration = Duration::from_secs(10);
/// Number of callers per slot of the first stages: more than one, so that no slot is idle.
const CALLERS_PER_SLOT: usize = 2;
const REPLICAS: usize = 4;
const SLOTS: usize = 40;
const BATCH: usize = 8;
const TOKENS: u32 = 64;

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    println!(
        "nodes  callers  tokens/s  bound  share  first p50 ms  p99 ms  gap p50 ms  not run  wrong"
    );
    for nodes in [1, 3, 8] {
        runtime.block_on(run(nodes))?;
    }
    Ok(())
}

fn plan(nodes: usize) -> Plan {
    let stage = |from, to, millis| Stage {
        from,
        to,
        layer_time: Duration::from_millis(millis),
    };
    Plan {
        nodes,
        replicas: REPLICAS,
        stages: vec![stage(0, 8, 2), stage(8, 12, 4)],
        slots: SLOTS,
        batch: BATCH,
        ..Plan::default()
    }
}

async fn run(nodes: usize) -> Result<()> {
    let fleet = Fleet::start(plan(nodes)).await?;
    let bundle = fleet.bundle.as_ref().expect("a bundle was published");
    let model = bundle.model(MODEL).expect("the model is in the bundle");
    let bound = route::plan::max_throughput(bundle, model);
    let callers = REPLICAS * SLOTS * CALLERS_PER_SLOT;
    let traffic = Traffic {
        callers,
        requests: usize::MAX,
        time: RUN_TIME,
        tokens: TOKENS,
        urgent: 0,
    };
    let targets = fleet.nodes.iter().flatten().map(|n| n.callers).collect();
    let start = Instant::now();
    if std::env::args().any(|a| a == "--dump") {
        let admin = fleet.node(0).admin;
        tokio::spawn(async move {
            tokio::time::sleep(RUN_TIME / 2).await;
            let caller = rig::caller::Caller::new();
            let dump = caller
                .call(admin, http::Method::GET, "/dump", &[], "")
                .await;
            if let Ok((_, _, text)) = dump {
                println!("{}", String::from_utf8_lossy(&text));
            }
        });
    }
    let tally = traffic::run(&fleet.plan, &traffic, Arc::new(Mutex::new(targets))).await;
    let rate = tally.tokens as f64 / start.elapsed().as_secs_f64();
    let direct = direct(&fleet).await;
    let millis = |v: u64| v as f64 / 1000.0;
    println!(
        "{nodes:>5}  {callers:>7}  {rate:>8.0}  {bound:>5.0}  {direct:>6.0}  {:>8.2}  {:>9.2}  {:>12.1}  {:>6.1}  {:>10.1}  {:>7}  {:>5}",
        rate / bound,
        rate / direct,
        millis(tally.first.value_at_quantile(0.5)),
        millis(tally.first.value_at_quantile(0.99)),
        millis(tally.gap.value_at_quantile(0.5)),
        tally.not_run,
        tally.wrong.len()
    );
    for index in 0..nodes {
        fleet.node(index).kill();
    }
    Ok(())
}

/// Returns the tokens per second of the stand-ins without a node, with every slot in use.
async fn direct(fleet: &Fleet) -> f64 {
    let made = Arc::new(AtomicU64::new(0));
    let cancel = CancellationToken::new();
    let mut running = JoinSet::new();
    for number in 0..REPLICAS * SLOTS {
        let stages = fleet.endpoints.chunks(fleet.plan.stages.len());
        let stages = stages.cycle().nth(number).expect("a replica");
        let hops = stages.iter().map(|e| Hop {
            addr: e.engine.addr,
            from: fleet.plan.stages[e.stage].from,
            to: fleet.plan.stages[e.stage].to,
        });
        let client = DirectClient {
            number,
            hops: hops.collect(),
            made: made.clone(),
            cancel: cancel.clone(),
        };
        running.spawn(client.run());
    }
    tokio::time::sleep(RUN_TIME / 4).await;
    let (before, start) = (made.load(Relaxed), Instant::now());
    tokio::time::sleep(RUN_TIME / 2).await;
    let rate = (made.load(Relaxed) - before) as f64 / start.elapsed().as_secs_f64();
    cancel.cancel();
    while running.join_next().await.is_some() {}
    rate
}

/// Sends requests in sequence to the same stages.
struct DirectClient {
    number: usize,
    hops: Vec<Hop>,
    made: Arc<AtomicU64>,
    cancel: CancellationToken,
}

impl DirectClient {
    async fn run(self) {
        let pool = Pool::default();
        let mut request = 0;
        while !self.cancel.is_cancelled() {
            request += 1;
            let job = Job {
                request: (self.number as u128) << 64 | request,
                attempt: 1,
                model: MODEL.to_owned(),
                version: VERSION.to_owned(),
                adapter: None,
                prompt: format!("direct {} {request}", self.number).into(),
                tokens: Vec::new(),
                max_tokens: TOKENS,
                seed: 1,
                priority: 10,
                hops: self.hops.clone(),
            };
            let made = self.made.clone();
            let mut out = move |event| {
                if let Event::Token(_) = event {
                    made.fetch_add(1, Relaxed);
                }
            };
            engine::chain::run(&pool, job, &mut out, self.cancel.clone()).await;
        }
    }
}
