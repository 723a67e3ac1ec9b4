//! Processor time of a step of a roll, and duration of a roll.
//!
//! `cargo run --release -p wigeonshelf-lease --example roll`

use bundle::Bundle;
use bundle::endpoint::{Endpoint, Span};
use bundle::id::{Number, ZoneId};
use bundle::model::Model;
use bundle::zone::Zone;
use lease::roll::{Action, Health, Holding, Order, Rate, Report, Roll, Settings, View};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const LAYERS: u16 = 40;
const ZONES: ZoneId = 3;
const LOAD: Duration = Duration::from_secs(120);

fn bundle(number: Number, replicas: usize, models: u16, version: &str) -> Bundle {
    let model = |m| Model {
        name: format!("m{m}"),
        version: version.into(),
        layers: LAYERS,
        context: 4096,
        adapters: Vec::new(),
    };
    let endpoint = |n: usize| {
        let half = (n % 2) as u16 * LAYERS / 2;
        let model = (n / 2 % usize::from(models)) as u16;
        Endpoint {
            name: format!("e{n}"),
            instance: format!("e{n}"),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: (n % usize::from(ZONES)) as ZoneId,
            kind: None,
            spans: vec![Span {
                model,
                from: half,
                to: half + LAYERS / 2,
            }],
            services: Vec::new(),
            slots: 4,
            fenced: true,
        }
    };
    Bundle {
        number,
        zones: (0..ZONES)
            .map(|z| Zone {
                name: format!("z{z}"),
                region: "r".into(),
            })
            .collect(),
        models: (0..models).map(model).collect(),
        endpoints: (0..replicas * 2).map(endpoint).collect(),
        ..Bundle::default()
    }
}

fn held(order: &Order, ready: bool) -> Option<Holding> {
    let Order::Load {
        model,
        version,
        adapters,
        from,
        to,
        ..
    } = order.clone()
    else {
        return None;
    };
    Some(Holding {
        model,
        version,
        adapters,
        from,
        to,
        ready,
    })
}

fn full(bundle: &Bundle) -> Vec<Option<Report>> {
    let report = |endpoint: &Endpoint| {
        let order = Order::load(bundle, &endpoint.spans[0])?;
        Some(Report {
            holdings: held(&order, true).into_iter().collect(),
        })
    };
    bundle.endpoints.iter().map(report).collect()
}

fn main() {
    println!("replicas  step settled  step rolling  worst step  roll takes  orders");
    for replicas in [40, 160, 600] {
        measure(replicas, 4);
    }
    println!("one replica of each model, so that every load is blocked:");
    for replicas in [40, 160, 600] {
        measure(replicas, replicas as u16);
    }
}

/// Measures a roll from version v1 to v2. Endpoints keep what they hold during a load of two
/// minutes, and a tenth of the number of replicas, at least 4, load at once.
fn measure(replicas: usize, models: u16) {
    let old = bundle(1, replicas, models, "v1");
    let new = bundle(2, replicas, models, "v2");
    let mut reports = full(&old);
    let health = vec![Health::Up; reports.len()];
    let zones: Vec<ZoneId> = (0..ZONES).collect();
    let at_once = (replicas as u32 / 10).max(4);
    let rate = Rate {
        per_minute: at_once,
        at_once,
    };
    let settings = Settings {
        drain: Duration::from_secs(60),
        ..Settings::default()
    };
    let mut roll = Roll::new(settings);
    let mut loads: Vec<(Duration, usize, Holding)> = Vec::new();
    let (mut settled, mut total, mut worst) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let (mut now, mut steps, mut orders) = (Duration::ZERO, 0, 0);
    let mut actions = Vec::new();
    for step in 0..3_500u32 {
        now += SECOND;
        for (_, id, done) in loads.extract_if(.., |(due, ..)| *due <= now) {
            let held = &mut reports[id].get_or_insert_default().holdings;
            held.retain(|h| h.version != done.version);
            held.push(done);
        }
        let bundle = if step < 100 { &old } else { &new };
        let (zones, reports_now) = (&zones, &reports);
        let view = View {
            bundle,
            zones,
            reports: reports_now,
            health: &health,
            rate,
            stopped: 0,
        };
        let start = Instant::now();
        roll.step(now, &view, &mut actions);
        let time = start.elapsed();
        if step < 100 {
            settled += time / 100;
        } else {
            total += time;
            steps += 1;
            worst = worst.max(time);
        }
        for action in actions.drain(..) {
            let Action::Order(id, order) = action else {
                continue;
            };
            orders += 1;
            let report = reports[id as usize].get_or_insert_default();
            match (held(&order, false), held(&order, true)) {
                (Some(loading), Some(done)) => {
                    report.holdings.push(loading);
                    loads.push((now + LOAD, id as usize, done));
                }
                _ => report.holdings.retain(|h| h.version == "v2"),
            }
        }
        let done = reports
            .iter()
            .flatten()
            .all(|r| r.holdings.len() == 1 && r.holdings[0].version == "v2");
        if done {
            break;
        }
    }
    let mean = total / steps.max(1);
    println!(
        "{replicas:8}  {settled:>12.1?}  {mean:>12.1?}  {worst:>10.1?}  {:>9}s  {orders:6}",
        now.as_secs() - 100
    );
}
