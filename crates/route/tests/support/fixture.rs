//! Bundles, views and requests for tests and measurements.
#![allow(dead_code)]

use bundle::Bundle;
use bundle::endpoint::{Endpoint, Span};
use bundle::id::{KindId, Layer, ZoneId};
use bundle::kind::Kind;
use bundle::link::Link;
use bundle::model::Model;
use bundle::priority::Priority;
use bundle::service::Service;
use bundle::team::Team;
use bundle::zone::Zone;
use route::Now;
use route::request::{Id, Request, Target};
use route::view::{Share, View};
use std::sync::Arc;
use std::time::Duration;

/// Number of layers of the model.
pub const LAYERS: Layer = 32;

/// Returns an empty fleet: zones `a`, `b`, `c`, kinds `fast` and `slow`, one model, one service.
pub fn bundle(teams: usize) -> Bundle {
    let zone = |name: &str| Zone {
        name: name.into(),
        region: "south".into(),
    };
    let kind = |name: &str, speed| Kind {
        name: name.into(),
        layers_per_second: speed,
    };
    let priority = |name: &str, rank, urgent, weight| Priority {
        name: name.into(),
        rank,
        urgent,
        weight,
    };
    let mut bundle = Bundle {
        zones: ["a", "b", "c"].map(zone).to_vec(),
        kinds: vec![kind("fast", 6400.0), kind("slow", 1600.0)],
        models: vec![model("menu")],
        services: vec![Service {
            name: "lock".into(),
            repeatable: false,
        }],
        priorities: vec![
            priority("alarm", 0, true, 1),
            priority("check", 1, false, 3),
            priority("batch", 2, false, 1),
        ],
        teams: (0..teams).map(|i| team(&format!("team{i}"), 1)).collect(),
        ..Bundle::default()
    };
    for a in 0..3 {
        for b in a..3 {
            link(&mut bundle, a, b, 1e6);
        }
    }
    bundle
}

/// Returns a model.
pub fn model(name: &str) -> Model {
    Model {
        name: name.into(),
        version: "1".into(),
        layers: LAYERS,
        context: 8192,
        adapters: Vec::new(),
    }
}

/// Returns a team.
pub fn team(name: &str, weight: u32) -> Team {
    Team {
        name: name.into(),
        keys: Vec::new(),
        weight,
        rate: 1e6,
        in_flight: 1_000_000,
        highest_priority: 0,
        default_priority: 1,
        models: Vec::new(),
    }
}

/// Sets the link between two zones.
pub fn link(bundle: &mut Bundle, a: ZoneId, b: ZoneId, rate: f64) {
    bundle.links.retain(|l| (l.a, l.b) != (a, b));
    let latency = Duration::from_micros(if a == b { 50 } else { 500 });
    bundle.links.push(Link {
        a,
        b,
        latency,
        tokens_per_second: rate,
    });
}

/// Adds an endpoint that holds layers `from..to` of the first model.
pub fn stage(bundle: &mut Bundle, zone: ZoneId, kind: KindId, from: Layer, to: Layer, slots: u32) {
    let at = bundle.endpoints.len();
    bundle.endpoints.push(Endpoint {
        name: format!("e{at}"),
        instance: format!("i{at}"),
        addr: ([127, 0, 0, 1], 1000).into(),
        zone,
        kind: Some(kind),
        spans: vec![Span { model: 0, from, to }],
        services: Vec::new(),
        slots,
        fenced: true,
    });
}

/// Adds an endpoint of the plain service.
pub fn plain(bundle: &mut Bundle, zone: ZoneId, slots: u32) {
    stage(bundle, zone, 0, 0, 0, slots);
    let row = bundle.endpoints.last_mut().expect("just added");
    row.spans.clear();
    row.kind = None;
    row.services = vec![0];
}

/// Returns a fleet with `replicas` two-stage replicas of fast endpoints in each of three zones.
pub fn fleet(replicas: usize, slots: u32, teams: usize) -> Bundle {
    let mut bundle = bundle(teams);
    for zone in 0..3 {
        for _ in 0..replicas {
            stage(&mut bundle, zone, 0, 0, 16, slots);
            stage(&mut bundle, zone, 0, 16, 32, slots);
        }
    }
    bundle
}

/// Returns a view of `bundle` from `zone`, with all endpoints available and generous limits.
pub fn view(bundle: &Arc<Bundle>, zone: ZoneId) -> View {
    View {
        bundle: bundle.clone(),
        zone,
        available: vec![true; bundle.endpoints.len()],
        ejected: Vec::new(),
        suspects: Vec::new(),
        pending: Vec::new(),
        condemned: Vec::new(),
        shares: vec![
            Share {
                rate: 1e6,
                in_flight: 1e6
            };
            bundle.teams.len()
        ],
        retry_rate: 1.0,
        leaving: false,
    }
}

/// Returns a request for 8 tokens of the first model at the middle priority.
pub fn request(id: Id, deadline: Now) -> Request {
    Request {
        id,
        team: 0,
        target: Target::Model(0, None),
        priority: 1,
        repeatable: true,
        deadline,
        prompt_tokens: 64,
        max_tokens: 8,
        prefix: Vec::new(),
        fingerprint: id as u64 ^ 0x5eed,
    }
}
