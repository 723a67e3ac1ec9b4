//! The answer to a caller that asks which entry node to use.
//!
//! Nodes of the caller's availability zone come first, then those of its region, then the rest. Within a group the order is
//! drawn with chances by free capacity, so that callers who all take the first address spread over
//! the nodes by load instead of meeting at the least loaded one. A node that leaves is not named.

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use std::net::SocketAddr;

/// Smallest chance weight: a node that reports itself full is still named, late.
const MIN_FREE_FRACTION: f64 = 0.01;

/// An entry node that takes new callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// Name of the node.
    pub node: String,
    /// Its callers' listener.
    pub addr: SocketAddr,
    /// Whether that listener speaks TLS.
    pub tls: bool,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// Share of its capacity that is free, 0 to 1, as last reported.
    pub free: f64,
}

/// One line of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Item {
    /// Base URL.
    pub url: String,
    /// Availability zone.
    pub zone: String,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct List {
    /// Seconds for which the caller may keep it.
    pub ttl_seconds: u64,
    /// Entry nodes, best first.
    pub addresses: Vec<Item>,
}

/// Orders `addresses` for a caller in `zone` of `region`; at most `most` lines.
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

/// Where the caller is, as far as known.
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

/// An exponential draw with rate `free`: the smallest of several is each one's with a chance in
/// proportion to its rate.
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
