//! Demo: stand-ins and three nodes on loopback with mixed traffic, during which a stage and a node
//! are killed. Prints a table and exits non-zero if a guarantee was violated. With `--serve` it
//! keeps running without traffic.

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::Result;
use rig::caller::{Caller, ChatRequest};
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, MODEL, NEWSLETTER, Plan, Stage};
use rig::tally::Tally;
use rig::traffic::{self, Targets, Traffic};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

/// Number of steps that an endpoint computes concurrently.
const BATCH: usize = 8;
/// Time per layer and token on the faster kind of accelerator.
const FAST: Duration = Duration::from_millis(1);
/// Time per layer and token on the slower kind of accelerator.
const SLOW: Duration = Duration::from_millis(2);

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.map_err(eyre::Report::from).and_then(|r| {
        r.block_on(demo(
            matches.get_flag("serve"),
            *matches.get_one("seconds").unwrap_or(&8),
        ))
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("a promise was broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("demo")
        .about("Stand-ins and three nodes on loopback, with traffic and failures")
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Stay up and print curl lines to try"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(4..=600))
                .default_value("8")
                .help("Seconds of traffic"),
        )
}

fn plan() -> Plan {
    Plan {
        replicas: 4,
        stages: vec![
            Stage {
                from: 0,
                to: 8,
                layer_time: FAST,
            },
            Stage {
                from: 8,
                to: 12,
                layer_time: SLOW,
            },
        ],
        slots: 16,
        batch: BATCH,
        ..Plan::default()
    }
}

async fn demo(serve: bool, seconds: u64) -> Result<bool> {
    println!("starting stand-ins and three nodes on loopback ...");
    let mut fleet = Fleet::start(plan()).await?;
    for node in fleet.nodes.iter().flatten() {
        println!(
            "  {} callers http://{} admin http://{}",
            node.name, node.callers, node.admin
        );
    }
    if serve {
        return serve_forever(&fleet).await;
    }
    let bound = bound(&fleet);
    let targets: Targets = Arc::new(Mutex::new(callers(&fleet)));
    let whole = Duration::from_secs(seconds);
    let recovery = tokio::spawn(recovery(fleet.node(0).callers, fleet.plan.clone(), whole));
    let traffic = Traffic {
        callers: 96,
        requests: usize::MAX,
        time: whole,
        tokens: 32,
        urgent: 16,
    };
    let plan = fleet.plan.clone();
    let start = Instant::now();
    let running = tokio::spawn({
        let targets = targets.clone();
        async move { traffic::run(&plan, &traffic, targets).await }
    });
    sleep(whole / 4).await;
    println!(
        "[{:4.1} s] a stage dies: {}",
        start.elapsed().as_secs_f64(),
        fleet.endpoints[0].name
    );
    fleet.endpoints[0].engine.crash();
    sleep(whole / 4).await;
    println!(
        "[{:4.1} s] a node dies: {}",
        start.elapsed().as_secs_f64(),
        fleet.node(2).name
    );
    fleet.kill_node(2).await?;
    *targets.lock().unwrap_or_else(|e| e.into_inner()) = callers(&fleet);
    sleep(whole / 4).await;
    println!(
        "[{:4.1} s] the stage is back",
        start.elapsed().as_secs_f64()
    );
    fleet.endpoints[0].engine.restart().await?;
    let tally = running.await?;
    let elapsed = start.elapsed();
    let longest = recovery.await?;
    let doubled = newsletters(&fleet).await?;
    report(&tally, elapsed, bound, longest, doubled);
    Ok(tally.wrong.is_empty() && doubled == 0)
}

/// Returns the maximum tokens per second of the stand-ins when all of them run.
fn bound(fleet: &Fleet) -> f64 {
    let bundle = fleet.bundle.as_ref().expect("a bundle was published");
    let model = bundle.model(MODEL).expect("the model is in the bundle");
    route::plan::max_throughput(bundle, model)
}

fn callers(fleet: &Fleet) -> Vec<std::net::SocketAddr> {
    fleet.nodes.iter().flatten().map(|n| n.callers).collect()
}

/// Streams answers in sequence and returns the longest time between two tokens of an answer.
async fn recovery(addr: std::net::SocketAddr, plan: Plan, time: Duration) -> Duration {
    let caller = Caller::new();
    let end = Instant::now() + time;
    let mut longest = Duration::ZERO;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let mut request = ChatRequest::new(format!("watch {number}"));
        request.max_tokens = 64;
        let Ok(answer) = caller.chat(addr, &request).await else {
            continue;
        };
        debug_assert!(rig::expect::text(&plan, &request).starts_with(&answer.text));
        let gaps = answer.times.windows(2).map(|w| w[1].saturating_sub(w[0]));
        longest = gaps.max().unwrap_or_default().max(longest);
    }
    longest
}

/// Sends newsletters, which are not repeatable, while one of their endpoints dies. Returns the
/// number that had their effect more than once.
async fn newsletters(fleet: &Fleet) -> Result<usize> {
    let caller = Caller::new();
    let addr = fleet.node(0).callers;
    let mail = fleet.services.iter().filter(|s| s.service == NEWSLETTER);
    let mail: Vec<_> = mail.collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    for number in 0..20 {
        if number == 10 {
            mail[0].handle.crash();
        }
        let headers = [
            ("authorization", format!("Bearer {}", KITCHENS.key)),
            ("idempotency-key", format!("{now}-newsletter-{number}")),
        ];
        let path = format!("/services/{NEWSLETTER}/send");
        let body = format!("newsletter {number}");
        let _ = caller
            .call(addr, http::Method::POST, &path, &headers, body)
            .await;
    }
    let effects = mail.iter().flat_map(|s| s.handle.all_effects());
    Ok(effects.filter(|(_, count)| *count > 1).count())
}

fn report(tally: &Tally, elapsed: Duration, bound: f64, longest: Duration, doubled: usize) {
    let rate = tally.tokens as f64 / elapsed.as_secs_f64();
    println!("\n{tally}");
    println!(
        "throughput    {rate:.0} tokens/s of whole answers; the stand-ins' bound with all up is {bound:.0}"
    );
    println!(
        "recovery      {:.0} ms: longest time between two tokens of a stream while a stage died",
        longest.as_secs_f64() * 1000.0
    );
    println!("newsletters   {doubled} of 20 had their effect more than once");
    for wrong in tally.wrong.iter().take(5) {
        println!("WRONG: {wrong}");
    }
}

async fn serve_forever(fleet: &Fleet) -> Result<bool> {
    let node = fleet.node(0);
    println!(
        "  log service {}, instance list {}",
        fleet.log.addr, fleet.list.addr
    );
    println!("\ntry:");
    println!("  curl -s http://{}/v1/addresses", node.callers);
    println!(
        "  curl -s http://{}/v1/models -H 'authorization: Bearer {}'",
        node.callers, KITCHENS.key
    );
    let body = format!(
        r#"{{"model":"{MODEL}","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"hello"}}]}}"#
    );
    println!(
        "  curl -sN http://{}/v1/chat/completions -H 'authorization: Bearer {}' -d '{body}'",
        node.callers, KITCHENS.key
    );
    println!("  curl -s http://{}/dump", node.admin);
    println!("  curl -s http://{}/metrics", node.admin);
    println!("ctrl-c ends it");
    tokio::signal::ctrl_c().await?;
    Ok(true)
}
