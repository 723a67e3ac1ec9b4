//! Prints every measured cost that the figures of `docs/CAPACITY.md` are derived from.
//!
//! `cargo run --release -p wigeonshelf-slopes --example slopes [ROLE..]`

use slopes::slope::Slope;
use slopes::{claims, leases, membership, path, platform, polling, snapshot, versions};
use std::time::Instant;

/// Measures the costs of one role.
type Measure = fn() -> Vec<Slope>;

/// Roles by the name that selects them on the command line; all run if none is given.
const ROLES: [(&str, Measure); 9] = [
    ("bundles", versions::slopes),
    ("path", path::slopes),
    ("snapshot", snapshot::slopes),
    ("platform", platform::slopes),
    ("claims", claims::slopes),
    ("leases", leases::slopes),
    ("polling", polling::slopes),
    ("membership", membership::slopes),
    ("times", membership::propagation_times),
];

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("Load of the machine at the start: {load}");
    let wanted = |name: &str| selected.is_empty() || selected.iter().any(|a| a == name);
    for (name, slopes) in ROLES.iter().filter(|(name, _)| wanted(name)) {
        let start = Instant::now();
        println!("## {name}\n");
        println!("| what | unit | by | measured | a | b | residual | at | worked out |");
        println!("|---|---|---|---|---|---|---|---|---|");
        slopes().iter().for_each(|slope| println!("{slope}"));
        println!("\n({:.1} s)\n", start.elapsed().as_secs_f64());
    }
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("Load of the machine at the end: {load}");
}
