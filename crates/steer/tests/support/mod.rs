//! A small fleet for the tests of the selection.
#![allow(dead_code)]

use catalog::endpoint::{Endpoint, Run, Span, State};
use catalog::engine::{Accelerator, Delay, Engine, Size};
use catalog::kind::{Kind, Stream};
use catalog::limits::Limits;
use catalog::raw::{Route, Share, Tables};
use catalog::service::Service;
use catalog::{Catalog, Layer};
use std::sync::Arc;
use std::time::Duration;
use steer::budget::Allowance;
use steer::chain::Need;
use steer::load::Load;
use steer::{Fleet, Selector};

/// Number of layers of the model.
pub const LAYERS: Layer = 8;

/// An allowance that no test uses up unintentionally.
pub const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 100.0,
    window: Duration::from_secs(10),
};

/// An engine with 8 layers of 1 GB, where a token takes 1 MB at each layer.
pub fn engine() -> Engine {
    Engine {
        layers: LAYERS,
        layer_bytes: 1e9,
        kv_bytes_per_token: 1e6,
        activation_bytes: 1e4,
        step_time: Duration::from_millis(1),
        step_time_per_request: Duration::from_micros(5),
        step_time_per_1k_context: Duration::from_micros(5),
        prefill_rate: 100_000.0,
        prefill_chunk: None,
        prefill_ms_per_1m_pairs: 0.0,
        steps_per_event: 1,
        load_time: Duration::from_secs(10),
        parallel_loads: 4,
        slots: 100,
        inter_zone_bps: 1e9,
        accelerators: vec![
            Accelerator {
                name: "fast".to_owned(),
                memory_bytes: 10e9,
                step_factor: 1.0,
                prefill_factor: 1.0,
            },
            Accelerator {
                name: "slow".to_owned(),
                memory_bytes: 10e9,
                step_factor: 4.0,
                prefill_factor: 4.0,
            },
        ],
        typical_size: Size {
            prompt: 100,
            answer: 100,
        },
        delays: vec![Delay {
            from: "a".to_owned(),
            to: "b".to_owned(),
            delay: Duration::from_micros(500),
        }],
    }
}

/// Typical size of a production request.
pub const TYPICAL_SIZE: Size = Size {
    prompt: 775,
    answer: 214,
};

/// Returns the total tokens of a request of [`TYPICAL_SIZE`].
pub fn tokens() -> f64 {
    f64::from(TYPICAL_SIZE.prompt + TYPICAL_SIZE.answer)
}

/// Returns the factor on prefill time for a kind of accelerator.
pub fn prefill_factor(kind: &str) -> f64 {
    if kind == "fast" { 3.2 } else { 7.9 }
}

/// Returns an engine with the size of a production model, in 8 layers instead of 80, on
/// accelerators with capacity for `requests` requests beside `held` layers.
pub fn large_engine(held: Layer, requests: usize) -> Engine {
    let (layer, token) = (17.5e9, 61_500.0);
    let bytes = f64::from(held) * (layer + requests as f64 * tokens() * token);
    let kind = |name: &str, pace| Accelerator {
        name: name.to_owned(),
        memory_bytes: bytes,
        step_factor: pace,
        prefill_factor: prefill_factor(name),
    };
    Engine {
        layer_bytes: layer,
        kv_bytes_per_token: token,
        step_time: Duration::from_micros(1020),
        step_time_per_request: Duration::from_nanos(3820),
        step_time_per_1k_context: Duration::from_nanos(5120),
        prefill_rate: 196_000.0,
        accelerators: vec![kind("fast", 2.4), kind("slow", 5.3)],
        typical_size: TYPICAL_SIZE,
        ..engine()
    }
}

/// A catalog with a model service and a plain one.
pub fn catalog() -> Arc<Catalog> {
    catalog_with(engine())
}

/// A catalog like [`catalog`] with another engine.
pub fn catalog_with(engine: Engine) -> Arc<Catalog> {
    Arc::new(Catalog::try_from(tables_with(engine)).unwrap())
}

/// The tables of [`catalog_with`].
pub fn tables_with(engine: Engine) -> Tables {
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        max_connections: 10,
        engine,
    };
    let route = Route {
        name: "chat".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream(Stream {
            resumable: true,
            pause: None,
        }),
        timeout: Duration::from_secs(20),
        latency_target: Duration::from_millis(500),
        priority: 1,
        split: vec![Share {
            service: "model".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
    };
    Tables {
        version: 1,
        routes: vec![route],
        services: vec![service("model", Some(engine)), service("plain", None)],
        teams: None,
        limits: Limits::default(),
    }
}

/// An endpoint of the model service.
pub fn endpoint(number: u8, zone: &str, kind: &str, from: Layer, to: Layer) -> Endpoint {
    Endpoint {
        run: Run {
            id: format!("e{number}"),
            started_at: 1,
        },
        service: "model".to_owned(),
        addr: ([10, 0, 0, number], 80).into(),
        zone: zone.to_owned(),
        slots: 100,
        state: State::Ready,
        accelerator: Some(kind.to_owned()),
        span: Span { from, to },
    }
}

/// An endpoint of the plain service.
pub fn plain(number: u8) -> Endpoint {
    Endpoint {
        service: "plain".to_owned(),
        accelerator: None,
        slots: 2,
        ..endpoint(number, "a", "fast", 0, 0)
    }
}

/// A fleet of these endpoints as seen by one of `nodes` nodes.
pub fn fleet(endpoints: Vec<Endpoint>, nodes: usize) -> Fleet {
    Fleet {
        catalog: catalog(),
        endpoints: Arc::new(endpoints),
        nodes,
        budget_nodes: nodes,
        ..Fleet::default()
    }
}

/// A selector of a single node that knows these endpoints.
pub fn selector(endpoints: Vec<Endpoint>) -> Selector {
    let mut selector = Selector::new(1, ALLOWANCE);
    selector.update_fleet(Duration::ZERO, fleet(endpoints, 1));
    selector
}

/// A request of this many tokens, half of them in its answer.
pub fn need(tokens: u32) -> Need {
    Need {
        size: Size {
            prompt: tokens / 2,
            answer: tokens - tokens / 2,
        },
        urgent: false,
    }
}

/// A report of `used` token-layers and `queued` requests that was `age` old when it was published.
pub fn load(stamp: u64, used: f64, queued: u32, age: Duration) -> Load {
    Load {
        stamp,
        used,
        slowdown: 1.0,
        queued,
        age,
    }
}

/// Time in milliseconds since the start.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
