//! The list of entry nodes that is offered to a caller.
//!
//! Nodes of the caller's availability zone come first, then those of its region, then the rest.
//! Within a group the order is random, weighted by free capacity: callers usually take the first
//! address, and they spread over the nodes by load instead of all choosing the least loaded one.
//! A node that is leaving is not offered.

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use std::net::SocketAddr;

/// Lower bound of a node's weight: a node that reports no free capacity is still listed, usually
/// near the end of its group.
const MIN_FREE_FRACTION: f64 = 0.01;

/// An entry node that accepts new callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// Name of the node.
    pub node: String,
    /// Address of its listener for callers.
    pub addr: SocketAddr,
    /// Whether that listener uses TLS.
    pub tls: bool,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// Fraction of its capacity that is free, 0 to 1, as last reported.
    pub free: f64,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Item {
    /// Base URL of the node.
    pub url: String,
    /// Availability zone of the node.
    pub zone: String,
}

/// The body of the answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct List {
    /// Seconds for which the caller may cache the list.
    pub ttl_seconds: u64,
    /// Entry nodes, best first.
    pub addresses: Vec<Item>,
}

/// Orders `addresses` for a caller at `location` and returns the first `max` of them.
pub fn list(
    addresses: &[Address],
    location: &Location,
    ttl_seconds: u64,
    max: usize,
    rng: &mut StdRng,
) -> List {
    let mut ranked: Vec<(u8, f64, &Address)> = addresses
        .iter()
        .map(|a| (distance(a, location), exponential_draw(a.free, rng), a))
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let items = ranked.iter().take(max).map(|(_, _, a)| item(a));
    List {
        ttl_seconds,
        addresses: items.collect(),
    }
}

/// Location of a caller, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

fn distance(address: &Address, location: &Location) -> u8 {
    if address.zone == location.zone {
        0
    } else if address.region == location.region {
        1
    } else {
        2
    }
}

/// Draws from an exponential distribution with rate `free`. The probability that a node has the
/// smallest draw of its group is proportional to its rate.
fn exponential_draw(free: f64, rng: &mut StdRng) -> f64 {
    let u: f64 = rng.random();
    -(1.0 - u).ln() / free.clamp(MIN_FREE_FRACTION, 1.0)
}

fn item(address: &Address) -> Item {
    let scheme = if address.tls { "https" } else { "http" };
    Item {
        url: format!("{scheme}://{}", address.addr),
        zone: address.zone.clone(),
    }
}
