//! Cost of polling endpoints for their load reports over loopback connections.

use crate::clock;
use crate::slope::Slope;
use engine::pool::Pool;
use standin::engine::{Config, Engine, Span};
use std::net::SocketAddr;

/// Maximum number of endpoints that a node polls in one second.
const MAX_POLLED: f64 = 128.0;
/// Number of polls of each endpoint in one measurement.
const ROUNDS: usize = 50;

/// Measures the processor time of one second's polls, the memory of the connections and the size
/// of a load report.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "endpoints asked", MAX_POLLED);
    let mut per_round = new("asking each endpoint once", "us");
    let mut memory = new("memory of the connections", "KB");
    let mut new_connection = new("asking each over a new connection", "us");
    let mut bytes = Slope::new("answer of an endpoint", "bytes", "models held", 1.0);
    for models in [1, 2, 4] {
        bytes.add(f64::from(models), report_len(models) as f64);
    }
    for count in [16, 64, 128] {
        let addrs = start_engines(count);
        let (time, allocated) = poll(&addrs);
        per_round.add(count as f64, time);
        memory.add(count as f64, allocated);
        new_connection.add(count as f64, poll_unpooled(&addrs));
    }
    vec![per_round, new_connection, memory, bytes]
}

/// Returns the encoded size of a load report for `models` models, in bytes.
fn report_len(models: u32) -> usize {
    let loaded = |n| engine::load::Loaded {
        model: format!("model-{n:02}"),
        version: "7".to_owned(),
        adapters: vec!["base".to_owned(), "tuned".to_owned()],
        from: 0,
        to: 32,
        ready: true,
    };
    let report = engine::load::Report {
        models: (0..models).map(loaded).collect(),
        ..Default::default()
    };
    serde_json::to_vec(&report).expect("encodes").len()
}

/// Starts stand-in engines on a separate thread, so that their processor time is not counted, and
/// returns their addresses.
fn start_engines(count: usize) -> Vec<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime().block_on(async move {
            let mut addrs = Vec::new();
            for _ in 0..count {
                let config = Config {
                    models: vec![Span::new("model-00", "7", 64, 0, 32)],
                    ..Config::default()
                };
                addrs.push(Engine::start(config).await.expect("listens").addr);
            }
            let _ = sender.send(addrs);
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("started")
}

/// Returns this thread's processor time for one round of polls, in microseconds, and the memory
/// that the first round allocated, in kilobytes. The memory includes the stand-ins' side of the
/// connections.
fn poll(addrs: &[SocketAddr]) -> (f64, f64) {
    runtime().block_on(async {
        let pool = Pool::default();
        let before = clock::allocated();
        for addr in addrs {
            engine::load::fetch(&pool, *addr).await.expect("answers");
        }
        let allocated = clock::allocated() - before;
        let start = clock::thread_time();
        for _ in 0..ROUNDS {
            for addr in addrs {
                engine::load::fetch(&pool, *addr).await.expect("answers");
            }
        }
        let spent = (clock::thread_time() - start).as_secs_f64() * 1e6;
        (spent / ROUNDS as f64, allocated)
    })
}

/// Returns this thread's processor time, in microseconds, for one round of polls in which no
/// connection is reused. This is the case when a node has more endpoints than it polls in one
/// period: a pooled connection exceeds its idle timeout before the next poll of its endpoint.
fn poll_unpooled(addrs: &[SocketAddr]) -> f64 {
    let (spent, ()) = clock::once(|| {
        runtime().block_on(async {
            for _ in 0..ROUNDS {
                let pool = Pool::default();
                for addr in addrs {
                    engine::load::fetch(&pool, *addr).await.expect("answers");
                }
            }
        });
    });
    spent / ROUNDS as f64
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}
