//! Polling of endpoints for their load, over loopback connections.

use crate::clock;
use crate::slope::Slope;
use engine::pool::Pool;
use standin::engine::{Config, Engine, Span};
use std::net::SocketAddr;

/// Endpoints that a node asks each second at most.
const ASKED: f64 = 128.0;
/// Times that each is asked.
const ROUNDS: usize = 50;

/// Processor time of a second's asks, memory of the connections, bytes of an answer.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "endpoints asked", ASKED);
    let mut spent = new("asking each endpoint once", "us");
    let mut memory = new("memory of the connections", "KB");
    let mut fresh = new("asking each over a new connection", "us");
    let mut bytes = Slope::new("answer of an endpoint", "bytes", "models held", 1.0);
    for models in [1, 2, 4] {
        bytes.add(f64::from(models), answer(models) as f64);
    }
    for count in [16, 64, 128] {
        let addrs = engines(count);
        let (time, kept) = poll(&addrs);
        spent.add(count as f64, time);
        memory.add(count as f64, kept);
        fresh.add(count as f64, connect(&addrs));
    }
    vec![spent, fresh, memory, bytes]
}

fn answer(models: u32) -> usize {
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

/// Stand-ins on a thread of their own, so that their time is not counted.
fn engines(count: usize) -> Vec<SocketAddr> {
    let (tell, told) = std::sync::mpsc::channel();
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
            let _ = tell.send(addrs);
            std::future::pending::<()>().await;
        });
    });
    told.recv().expect("started")
}

/// Microseconds of this thread for one round of asks, and the memory that the first one took; the
/// stand-ins' side of the connections is in it too.
fn poll(addrs: &[SocketAddr]) -> (f64, f64) {
    runtime().block_on(async {
        let pool = Pool::default();
        let before = clock::allocated();
        for addr in addrs {
            engine::load::fetch(&pool, *addr).await.expect("answers");
        }
        let kept = clock::allocated() - before;
        let start = clock::used();
        for _ in 0..ROUNDS {
            for addr in addrs {
                engine::load::fetch(&pool, *addr).await.expect("answers");
            }
        }
        let spent = (clock::used() - start).as_secs_f64() * 1e6;
        (spent / ROUNDS as f64, kept)
    })
}

/// Microseconds of this thread for one round of asks with nothing kept from the one before: with
/// more endpoints than are asked in a period, a connection's idle time is over before its next ask.
fn connect(addrs: &[SocketAddr]) -> f64 {
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
