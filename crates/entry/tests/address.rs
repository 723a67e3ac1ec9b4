//! The order of the addresses that are offered to a caller.

use entry::address::{Address, Location, list};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn node(index: u8, zone: &str, region: &str, free: f64) -> Address {
    Address {
        node: format!("entry-{index}"),
        addr: ([127, 0, 0, index], 7100).into(),
        tls: index == 9,
        zone: zone.to_owned(),
        region: region.to_owned(),
        free,
    }
}

fn location() -> Location {
    Location {
        zone: "a".to_owned(),
        region: "south".to_owned(),
    }
}

fn urls(nodes: &[Address], max: usize, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let list = list(nodes, &location(), 5, max, &mut rng);
    assert_eq!(list.ttl_seconds, 5);
    list.addresses.into_iter().map(|l| l.url).collect()
}

#[test]
fn zone_comes_first_then_region_then_the_rest() {
    let nodes = [
        node(1, "x", "north", 1.0),
        node(2, "b", "south", 1.0),
        node(3, "a", "south", 0.0),
        node(9, "a", "south", 0.5),
    ];
    for seed in 0..50 {
        let urls = urls(&nodes, 16, seed);
        let mut near = urls[..2].to_vec();
        near.sort();
        assert_eq!(near, ["http://127.0.0.3:7100", "https://127.0.0.9:7100"]);
        assert_eq!(
            urls[2..],
            ["http://127.0.0.2:7100", "http://127.0.0.1:7100"]
        );
    }
}

#[test]
fn list_is_bounded_and_deterministic_for_a_seed() {
    let nodes: Vec<Address> = (1..100).map(|i| node(i, "a", "south", 0.5)).collect();
    let first = urls(&nodes, 16, 3);
    assert_eq!(first.len(), 16);
    assert_eq!(first, urls(&nodes, 16, 3));
    assert_ne!(first, urls(&nodes, 16, 4));
    assert!(urls(&[], 16, 1).is_empty());
}

// Callers take the first address. If the node with the most free capacity always came first, all
// callers would connect to it; so the first address is drawn in proportion to free capacity.
#[test]
fn first_address_is_drawn_by_free_capacity() {
    const DRAWS: usize = 4000;
    let nodes = [
        node(1, "a", "south", 0.8),
        node(2, "a", "south", 0.2),
        node(3, "a", "south", 0.0),
    ];
    let mut first = [0_usize; 3];
    for seed in 0..DRAWS as u64 {
        let url = urls(&nodes, 1, seed).remove(0);
        let at = nodes
            .iter()
            .position(|n| url.ends_with(&n.addr.to_string()));
        first[at.expect("a node")] += 1;
    }
    let share = |i: usize| first[i] as f64 / DRAWS as f64;
    assert!((share(0) - 0.79).abs() < 0.04, "{first:?}");
    assert!((share(1) - 0.20).abs() < 0.04, "{first:?}");
    assert!(share(2) > 0.0 && share(2) < 0.03, "{first:?}");
}

#[test]
fn invalid_free_fractions_are_tolerated() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 7.0];
    let nodes: Vec<Address> = (1..)
        .zip(odd)
        .map(|(i, f)| node(i, "a", "south", f))
        .collect();
    for seed in 0..50 {
        assert_eq!(urls(&nodes, 16, seed).len(), nodes.len());
    }
}
