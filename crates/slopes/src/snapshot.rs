//! Cost of the snapshots that control builds for the workers, of the tables that it scans each
//! second for rolls, and of the dumps of its tables.

use crate::size::{ENDPOINTS, NODES, SIZES, TEAMS};
use crate::slope::Slope;
use crate::{clock, fleet, membership};
use bundle::Bundle;
use lease::roll::Health;
use member::group::Group;
use member::team::Share;
use node::control::demand;
use node::control::endpoints::Table;
use node::control::instance_list::InstanceList;
use node::control::view::Source;
use node::settings::Settings;
use std::sync::Arc;

/// Number of request workers of a node.
const WORKERS: usize = 2;
/// Settings of the example node in the documentation.
const SETTINGS: &str = include_str!("../../../etc/node.ini");

/// The inputs that a snapshot is built from.
struct World {
    settings: Settings,
    bundle: Arc<Bundle>,
    instance_list: InstanceList,
    shares: Vec<Share>,
    endpoints: Table,
    demand: demand::Table,
}

impl World {
    fn new(size: crate::size::Size) -> Self {
        let bundle = fleet::bundle(size);
        let mut endpoints = Table::default();
        for (id, row) in bundle.endpoints.iter().enumerate() {
            endpoints.record_report(&row.name, fleet::report(&bundle, id));
        }
        let mut instance_list = InstanceList::default();
        instance_list.update(&fleet::instances(size, NODES as usize));
        let share = Share {
            rate: 1.0,
            in_flight: 10.0,
        };
        Self {
            settings: node::settings::read("node.ini", SETTINGS).expect("sound settings"),
            instance_list,
            shares: vec![share; bundle.teams.len()],
            endpoints,
            demand: demand::Table::new(WORKERS),
            bundle,
        }
    }

    fn source<'a>(&'a self, group: &'a Group) -> Source<'a> {
        Source {
            settings: &self.settings,
            callers: self.settings.callers.listen,
            bundle: &self.bundle,
            instance_list: &self.instance_list,
            group,
            shares: &self.shares,
            endpoints: &self.endpoints,
            demand: &self.demand,
            leaving: false,
        }
    }

    /// Collects health and reports of all endpoints, which a node does each second for rolls
    /// whether or not it holds a lease. Returns the numbers of both.
    fn collect_roll_inputs(&self) -> (usize, usize) {
        let rows = self.bundle.endpoints.iter();
        let health = |e: &bundle::endpoint::Endpoint| {
            let accepts_work = self.instance_list.accepts_work(&e.instance);
            self.endpoints.health(&e.name, accepts_work)
        };
        let health: Vec<Health> = rows.map(health).collect();
        (health.len(), self.endpoints.reports(&self.bundle).len())
    }
}

/// Measures snapshots, tables and dumps, by endpoints and by items of peers.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "endpoints", ENDPOINTS);
    let mut built = new("snapshot for one worker", "us");
    let mut versions = new("of this, versions", "us");
    let mut rolls = new("reports and health for rolls, a second", "us");
    let mut memory = new("memory of one snapshot", "KB");
    let mut table = new("memory of the reports", "KB");
    let mut dump = new("dump of the reports", "us");
    let mut text = new("dump of the reports, text", "KB");
    let small = membership::group_with_demand(8, 3, 1);
    for size in SIZES {
        let x = size.endpoints() as f64;
        let world = World::new(size);
        let source = world.source(&small);
        memory.add(x, clock::memory(100, || source.snapshots(1)));
        let copies = (20_000 / size.endpoints()).clamp(2, 32);
        let copy = || {
            let mut table = Table::default();
            let rows = world.bundle.endpoints.iter().enumerate();
            rows.for_each(|(id, e)| {
                table.record_report(&e.name, fleet::report(&world.bundle, id));
            });
            table
        };
        table.add(x, clock::memory(copies, copy));
        built.add(x, clock::mean(|| source.snapshots(1)));
        versions.add(
            x,
            clock::mean(|| world.endpoints.serving_versions(&world.bundle)),
        );
        rolls.add(x, clock::mean(|| world.collect_roll_inputs()));
        dump.add(x, clock::mean(|| world.endpoints.to_string()));
        text.add(x, world.endpoints.to_string().len() as f64 / 1e3);
    }
    let mut slopes = vec![built, versions, rolls, memory, table, dump, text];
    slopes.extend(items());
    slopes
}

/// Measures the part of a snapshot that reads the items published by peers, and dumps of the
/// members.
fn items() -> Vec<Slope> {
    let all = NODES * TEAMS * 0.3;
    let mut built = Slope::new("snapshot, 80 endpoints", "us", "items stored", all);
    let mut dump = Slope::new("dump of the members", "us", "items stored", all);
    let mut text = Slope::new("dump of the members, text", "KB", "items stored", all);
    let world = World::new(SIZES[0]);
    for nodes in [8, 16, 32] {
        let group = membership::group_with_demand(nodes, 3, TEAMS as usize);
        let x = membership::item_count(&group) as f64;
        let source = world.source(&group);
        built.add(x, clock::mean(|| source.snapshots(1)));
        dump.add(x, clock::mean(|| group.to_string()));
        text.add(x, group.to_string().len() as f64 / 1e3);
    }
    vec![built, dump, text]
}
