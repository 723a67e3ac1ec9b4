//! Cost of leases of endpoint groups, and of a step of a roll.

use crate::size::Size;
use crate::slope::Slope;
use crate::{clock, fleet};
use bundle::id::ZoneId;
use bytes::Bytes;
use lease::group_lease::{self, Candidacy, Group};
use lease::roll::{Health, Holding, Rate, Report, Roll, View};
use lease::{Owner, Page, Record};
use std::time::Duration;

/// Number of groups: one for each region.
const GROUPS: f64 = 8.0;
/// Number of nodes in the simulation.
const NODES: u64 = 8;
/// Simulated time of a run, in seconds.
const RUN_SECONDS: u32 = 1_200;
/// Simulated time between two ticks of a table.
const STEP: Duration = Duration::from_millis(100);
/// Number of endpoints of all groups: a step visits every row of the bundle.
const TOTAL_ENDPOINTS: f64 = 9_400.0;

/// Measures processor time, appends and log bytes of leases, and steps of a roll.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "groups", GROUPS);
    let mut spent = new("leases, a second and node", "us");
    // With more groups than nodes a holder renews all its leases in one record, so appends grow
    // with the number of holders, not of groups.
    let holders = "groups, each with a holder of its own";
    let mut appends = Slope::new("appends, a second", "appends", holders, GROUPS);
    let mut read = new("bytes read, a second and node", "bytes");
    for groups in [1, 4, 8, 64] {
        let x = groups as f64;
        let mut world = World::new(groups);
        let (time, ()) = clock::once(|| world.run());
        let seconds = f64::from(RUN_SECONDS);
        spent.add(x, time / seconds / NODES as f64);
        if groups <= NODES {
            appends.add(x, world.appends as f64 / seconds);
        }
        read.add(x, world.read as f64 / seconds / NODES as f64);
    }
    let mut slopes = vec![spent, appends, read];
    slopes.push(rolls());
    slopes
}

/// Measures a step of the roll of one of eight regions when there is nothing to do.
fn rolls() -> Slope {
    let mut slope = Slope::new("step of a settled roll", "us", "endpoints", TOTAL_ENDPOINTS);
    for replicas in [40, 260, 1_175, 4_700] {
        let size = Size {
            replicas,
            teams: 10,
            models: 4,
            zones: 18,
        };
        let bundle = fleet::bundle(size);
        let reports: Vec<_> = (0..size.endpoints())
            .map(|e| Some(roll_report(&fleet::report(&bundle, e))))
            .collect();
        let health = vec![Health::Up; reports.len()];
        let zones: Vec<ZoneId> = vec![0, 8, 16];
        let view = View {
            bundle: &bundle,
            zones: &zones,
            reports: &reports,
            health: &health,
            rate: Rate {
                per_minute: 10,
                at_once: 10,
            },
            stopped: 0,
        };
        let mut roll = Roll::new(lease::roll::Settings::default());
        let mut now = Duration::ZERO;
        let mut actions = Vec::new();
        let each = clock::mean(|| {
            now += Duration::from_secs(1);
            roll.step(now, &view, &mut actions);
        });
        slope.add(size.endpoints() as f64, each);
    }
    slope
}

/// Converts an endpoint's load report to the report that a roll reads.
fn roll_report(report: &engine::load::Report) -> Report {
    let row = |m: &engine::load::Loaded| Holding {
        model: m.model.clone(),
        version: m.version.clone(),
        adapters: m.adapters.clone(),
        from: m.from,
        to: m.to,
        ready: m.ready,
    };
    Report {
        holdings: report.models.iter().map(row).collect(),
    }
}

/// Lease tables of eight nodes, and a log that stores appends and returns pages immediately.
struct World {
    tables: Vec<group_lease::Table>,
    events: Vec<Vec<group_lease::Event>>,
    records: Vec<Bytes>,
    appends: u64,
    read: u64,
}

impl World {
    fn new(groups: Group) -> Self {
        let owner = |node| Owner {
            node,
            incarnation: 1,
        };
        let table = |n| group_lease::Table::new(owner(n), n, group_lease::Settings::default());
        let candidacy = |n: u64, group| Candidacy {
            group,
            rank: ((group + n) % NODES) as u32,
        };
        let candidacies =
            |n| group_lease::Event::Candidacies((0..groups).map(|g| candidacy(n, g)).collect());
        Self {
            tables: (0..NODES).map(table).collect(),
            events: (0..NODES).map(|n| vec![candidacies(n)]).collect(),
            records: Vec::new(),
            appends: 0,
            read: 0,
        }
    }

    fn run(&mut self) {
        let mut now = Duration::ZERO;
        for _ in 0..RUN_SECONDS * 10 {
            now += STEP;
            (0..NODES as usize).for_each(|n| self.step(n, now));
        }
    }

    fn step(&mut self, n: usize, now: Duration) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events[n]);
        for event in events.into_iter().chain([group_lease::Event::Tick]) {
            self.tables[n].handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                group_lease::Action::Append { batch, body } => {
                    self.records.push(body);
                    self.appends += 1;
                    self.events[n].push(group_lease::Event::Appended(batch));
                }
                group_lease::Action::Read { from, .. } => {
                    let page = self.page(from);
                    self.events[n].push(group_lease::Event::Page(page));
                }
                group_lease::Action::Gained(..) | group_lease::Action::Lost(_) => {}
            }
        }
    }

    fn page(&mut self, from: u64) -> Page {
        let bodies = self.records.iter().skip(from as usize).cloned();
        let records = (from..).zip(bodies);
        let records: Vec<_> = records
            .map(|(offset, body)| Record { offset, body })
            .collect();
        self.read += records.iter().map(|r| r.body.len() as u64).sum::<u64>();
        Page {
            first: 0,
            next: from + records.len() as u64,
            records,
        }
    }
}
