//! How copies of the store's tables reach 300 nodes before 3,000 endpoints, in virtual time.
//!
//! The cores that ask, give and take copies run as they do in the node; links have the bandwidth of
//! small nodes, and a frame that takes too long is sent again, as connections between nodes do.
//!
//! The failure behind these tests: at 300 nodes some answered by a catalog whose successor had been
//! acknowledged 3.7 s before. Each node asked any of seven readers every 350 ms, and again while the
//! answer was on its way, so that a reader sent the same rows to a hundred nodes several times over.
//! Links of readers were full (2.3 of 2.5 MB/s), every second ask for a copy ended after 2 s without
//! an answer, and the few bytes of a new catalog waited behind the rows of endpoints.

#[path = "support/report.rs"]
mod report;
#[path = "support/spread.rs"]
mod spread;

use spread::{Fleet, LOAD_END, ms};
use std::time::Duration;

/// Time in which an operator's change must be in force on all nodes.
const CATALOG_DEADLINE: Duration = Duration::from_secs(3);
/// Time after which nodes that all started anew must serve.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Nodes and endpoints.
const NODES: usize = 300;
const ENDPOINTS: usize = 3001;

// Guards against catalogs that wait behind rows of endpoints on the links of readers.
#[test]
fn a_catalog_reaches_300_nodes_in_time() {
    let mut fleet = Fleet::new(NODES, ENDPOINTS, 1);
    let mut slowest = Duration::ZERO;
    for at in [0, 3100, 6200, 10_500] {
        fleet.run_until(ms(at));
        fleet.publish();
        fleet.run_until(ms(at) + CATALOG_DEADLINE);
        slowest = slowest.max(fleet.catalog_latency());
    }
    assert!(
        slowest <= CATALOG_DEADLINE,
        "{slowest:?}; {}",
        fleet.traffic()
    );
    assert!(
        fleet.nodes_missing_rows() == 0,
        "{} nodes lack rows",
        fleet.nodes_missing_rows()
    );
}

// Guards against nodes that keep an old catalog because their reader, short of processor, reads the
// store late and does not know it: 3 of 7 readers of a zone did, and their askers with them.
#[test]
fn a_stale_reader_does_not_delay_a_catalog() {
    let mut fleet = Fleet::new(NODES, ENDPOINTS, 3);
    fleet.publish();
    fleet.run_until(ms(3000));
    fleet.make_readers_stale();
    fleet.publish();
    fleet.run_until(ms(3000) + CATALOG_DEADLINE);
    assert!(
        fleet.catalog_latency() <= CATALOG_DEADLINE,
        "{:?}",
        fleet.catalog_latency()
    );
}

// Guards against nodes that know no endpoints for long after all of them started anew, since whole
// tables do not fit through the links of readers in the time that an ask may take.
#[test]
fn all_nodes_know_all_endpoints_soon_after_a_restart() {
    let mut fleet = Fleet::new(NODES, ENDPOINTS, 2);
    fleet.publish();
    fleet.run_until(LOAD_END);
    fleet.restart_all();
    fleet.run_until(LOAD_END + RECOVERY_TIMEOUT);
    assert!(
        fleet.nodes_missing_rows() == 0,
        "{} nodes lack rows; {}",
        fleet.nodes_missing_rows(),
        fleet.traffic()
    );
}

/// Time in which the word that an endpoint leaves must be with all nodes.
const REMOVAL_DEADLINE: Duration = Duration::from_millis(2500);

// Guards against requests to an endpoint seconds after it said that it leaves, by nodes whose reader
// lost power: their asks for rows waited until their time limit, and no other reader was asked.
#[test]
fn a_leaving_endpoint_is_known_everywhere_in_time_when_a_reader_fails() {
    for seed in 10..12 {
        let mut fleet = Fleet::new(NODES, ENDPOINTS, seed);
        fleet.publish();
        for at in 0..24 {
            fleet.run_until(ms(10_000 + at * 500));
            fleet.leave();
            if at % 8 == 2 {
                fleet.kill_reader();
            }
        }
        fleet.run_until(ms(27_000));
        let (time, node) = fleet.slowest_removal();
        println!("seed {seed}: {time:?} on node {node}; {}", fleet.traffic());
        assert!(
            time <= REMOVAL_DEADLINE,
            "seed {seed}: {time:?} on node {node}"
        );
    }
}

// Guards against a zone that learns nothing new for seconds, since all its readers have just started
// and have no tables yet, while those that read before them stopped at once.
#[test]
fn a_leaving_endpoint_is_known_everywhere_in_time_when_readers_restart() {
    let mut fleet = Fleet::new(NODES, ENDPOINTS, 20);
    fleet.publish();
    fleet.run_until(ms(9000));
    fleet.restart_readers("b");
    // From the time on at which the others of the zone read in their place.
    for at in 0..12 {
        fleet.run_until(ms(12_000 + at * 400));
        fleet.leave();
    }
    fleet.run_until(ms(22_000));
    let (time, node) = fleet.slowest_removal();
    println!("{time:?} on node {node}; {}", fleet.traffic());
    assert!(time <= REMOVAL_DEADLINE, "{time:?} on node {node}");
}
