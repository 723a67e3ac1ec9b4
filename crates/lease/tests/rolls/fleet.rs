//! Simulated endpoints that execute orders, in simulated time.

use bundle::Bundle;
use bundle::endpoint::{Endpoint, Span};
use bundle::id::{EndpointId, Layer, Number, ZoneId};
use bundle::model::Model;
use bundle::zone::Zone;
use lease::Now;
use lease::roll::{
    Action, Coverage, Health, Holding, Order, Phase, Rate, Report, Roll, Settings, View,
};
use std::net::SocketAddr;
use std::time::Duration;

pub const LAYERS: Layer = 40;
pub const SECOND: Duration = Duration::from_secs(1);
pub const LOAD: Duration = Duration::from_secs(20);

pub fn settings() -> Settings {
    Settings {
        load_timeout: Duration::from_secs(60),
        resend_interval: Duration::from_secs(10),
        soak: Duration::from_secs(15),
        drain: Duration::from_secs(30),
        ..Settings::default()
    }
}

/// Returns a bundle with `replicas` pairs of endpoints per zone. The endpoints of a pair hold one
/// half of the model's layers each.
pub fn bundle(number: Number, zones: ZoneId, replicas: usize, version: &str) -> Bundle {
    let zone = |z| Zone {
        name: format!("z{z}"),
        region: "south".into(),
    };
    let model = Model {
        name: "m".into(),
        version: version.into(),
        layers: LAYERS,
        context: 4096,
        adapters: vec!["plain".into()],
    };
    let mut endpoints = Vec::new();
    for zone in 0..zones {
        for replica in 0..replicas {
            for (half, from) in [("a", 0), ("b", LAYERS / 2)] {
                let name = format!("z{zone}-{replica}{half}");
                let span = Span {
                    model: 0,
                    from,
                    to: from + LAYERS / 2,
                };
                endpoints.push(endpoint(name, zone, span));
            }
        }
    }
    let zones = (0..zones).map(zone).collect();
    Bundle {
        number,
        zones,
        models: vec![model],
        endpoints,
        ..Bundle::default()
    }
}

fn endpoint(name: String, zone: ZoneId, span: Span) -> Endpoint {
    Endpoint {
        instance: name.clone(),
        name,
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone,
        kind: None,
        spans: vec![span],
        services: Vec::new(),
        slots: 4,
        fenced: false,
    }
}

/// Behavior of an engine during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Engine {
    /// The engine continues to serve the layers that it held.
    Beside,
    /// The engine first drops the layers of the model that it held.
    InPlace,
}

/// A deliberate defect, to show that violations of the invariants are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Reports show layers as ready that are still being loaded.
    FalseReady,
    /// The roll uses a higher rate than the weight store allows.
    OtherRate,
}

#[derive(Clone, Debug, Default)]
struct Load {
    held: Option<Holding>,
    due: Now,
}

pub struct Fleet {
    pub now: Now,
    pub bundle: Bundle,
    pub zones: Vec<ZoneId>,
    pub rate: Rate,
    pub stopped: Number,
    pub roll: Roll,
    pub reports: Vec<Option<Report>>,
    pub health: Vec<Health>,
    pub engine: Engine,
    pub defect: Defect,
    /// Version whose loads never become ready.
    pub bad: Option<String>,
    /// Number of next orders that are lost in transit.
    pub lose: u32,
    loads: Vec<Load>,
    pub phases: Vec<Phase>,
    pub orders: Vec<(Now, EndpointId, Order)>,
    pub stops: u32,
    /// Violated invariants, with the time of each.
    pub findings: Vec<String>,
}

impl Fleet {
    /// Returns a fleet whose endpoints hold nothing.
    pub fn new(bundle: Bundle) -> Self {
        let count = bundle.endpoints.len();
        Self {
            now: Duration::ZERO,
            zones: (0..bundle.zones.len() as ZoneId).collect(),
            rate: Rate {
                per_minute: 30,
                at_once: 2,
            },
            stopped: 0,
            roll: Roll::new(settings()),
            reports: vec![Some(Report::default()); count],
            health: vec![Health::Up; count],
            engine: Engine::InPlace,
            defect: Defect::None,
            bad: None,
            lose: 0,
            loads: vec![Load::default(); count],
            phases: Vec::new(),
            orders: Vec::new(),
            stops: 0,
            findings: Vec::new(),
            bundle,
        }
    }

    /// Returns a fleet whose endpoints hold what the bundle assigns to them.
    pub fn full(bundle: Bundle) -> Self {
        let mut fleet = Self::new(bundle);
        for id in 0..fleet.reports.len() {
            let span = fleet.bundle.endpoints[id].spans[0];
            let order = Order::load(&fleet.bundle, &span).unwrap();
            let report = Report {
                holdings: vec![held(&order, true).unwrap()],
            };
            fleet.reports[id] = Some(report);
        }
        fleet
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND;
            self.finish();
            let before = self.covered();
            self.step();
            if before && !self.covered() {
                self.findings
                    .push(format!("{:?}: no whole replica is left", self.now));
            }
            let up = self
                .loads
                .iter()
                .zip(&self.health)
                .filter(|(_, h)| **h == Health::Up);
            let loading = up.filter(|(load, _)| load.held.is_some()).count();
            if loading > self.rate.at_once as usize {
                self.findings
                    .push(format!("{:?}: {loading} fetches at once", self.now));
            }
        }
    }

    /// Number of endpoints that hold the bundle's version ready.
    pub fn done(&self) -> usize {
        let version = &self.bundle.models[0].version;
        let ready = |r: &&Option<Report>| {
            let held = r.iter().flat_map(|report| &report.holdings);
            held.into_iter().any(|h| h.ready && h.version == *version)
        };
        self.reports.iter().filter(ready).count()
    }

    /// Returns whether endpoints that are up hold all layers of one version ready.
    pub fn covered(&self) -> bool {
        Coverage::new(&self.view(), |_| false).is_complete("m")
    }

    fn view(&self) -> View<'_> {
        View {
            bundle: &self.bundle,
            zones: &self.zones,
            reports: &self.reports,
            health: &self.health,
            rate: self.rate,
            stopped: self.stopped,
        }
    }

    /// Restarts the endpoint without any layers.
    pub fn restart(&mut self, id: usize) {
        self.reports[id] = Some(Report::default());
        self.loads[id] = Load::default();
    }

    /// Executes an order at the endpoint, also one that an earlier holder sent.
    pub fn obey(&mut self, id: usize, order: &Order) {
        let report = self.reports[id].get_or_insert_default();
        let Order::Load { model, version, .. } = order else {
            let Order::Unload { model, version } = order else {
                return;
            };
            return report
                .holdings
                .retain(|h| h.model != *model || h.version != *version);
        };
        if report.holdings.iter().any(|h| order.matches(h)) {
            return;
        }
        let bad = self.bad.as_ref() == Some(version);
        let gentle = order.changes_only_adapters(report);
        report
            .holdings
            .retain(|h| h.ready && (gentle || h.version != *version));
        if self.engine == Engine::InPlace && !gentle {
            report.holdings.retain(|h| h.model != *model);
        }
        report.holdings.extend(held(order, false));
        let time = if bad { LOAD * 1000 } else { LOAD };
        self.loads[id] = Load {
            held: held(order, true),
            due: self.now + time,
        };
    }

    fn finish(&mut self) {
        for (report, load) in self.reports.iter_mut().zip(&mut self.loads) {
            if load.due > self.now {
                continue;
            }
            let (Some(done), Some(report)) = (load.held.take(), report) else {
                continue;
            };
            report.holdings.retain(|h| h.version != done.version);
            report.holdings.push(done);
        }
    }

    fn step(&mut self) {
        let mut roll = self.roll.clone();
        let mut actions = Vec::new();
        let mut view = self.view();
        let mut reports = self.reports.clone();
        if self.defect == Defect::FalseReady {
            let held = reports
                .iter_mut()
                .flatten()
                .flat_map(|report| &mut report.holdings);
            held.for_each(|held| held.ready = true);
            view.reports = &reports;
        }
        if self.defect == Defect::OtherRate {
            view.rate.at_once += 2;
        }
        roll.step(self.now, &view, &mut actions);
        let findings = roll.check(&view);
        self.findings.extend(findings);
        self.roll = roll;
        for action in actions {
            match action {
                Action::Order(id, order) => {
                    self.orders.push((self.now, id, order.clone()));
                    match self.lose.checked_sub(1) {
                        Some(left) => self.lose = left,
                        None => self.obey(id as usize, &order),
                    }
                }
                Action::Stop(number, _) => {
                    self.stops += 1;
                    self.stopped = number;
                }
                Action::Phase(phase) => self.phases.push(phase),
            }
        }
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
