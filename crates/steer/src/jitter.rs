//! Chance in the price of endpoints.
//!
//! Nodes choose by reports that are up to a second old. Were all of them to take the cheapest
//! chain by the same report, it would get all requests of that second, and refuse most of them.
//! The more nodes choose, the less each knows of what the others have just sent, and the more its
//! prices are shaken.

use rand::{Rng, RngExt};

/// Part by which a price changes at the most, among [`NODES`] nodes.
const PART: f64 = 0.15;
/// Nodes for which that holds; it grows with the root of their number.
const NODES: f64 = 8.0;
/// Most that it grows to. Among 84 nodes without it, a quarter of all arrivals were refused as
/// full while most endpoints had room.
const MOST: f64 = 0.6;

/// Power of the factor of a zone: its chain has many stages, whose own factors even out.
const ZONE: i32 = 2;

/// Factors on prices for one request.
#[derive(Clone, Debug)]
pub(crate) struct Jitter {
    part: f64,
    zones: Vec<f64>,
}

impl Jitter {
    /// Draws the factors of `zones` availability zones.
    pub(crate) fn new(rng: &mut impl Rng, nodes: f64, zones: usize) -> Self {
        let part = (PART * (nodes / NODES).sqrt()).min(MOST);
        let zones = (0..zones).map(|_| factor(rng, part).powi(ZONE)).collect();
        Self { part, zones }
    }

    /// The factor of one endpoint.
    pub(crate) fn row(&self, rng: &mut impl Rng, zone: usize) -> f64 {
        factor(rng, self.part) * self.zones.get(zone).copied().unwrap_or(1.0)
    }
}

fn factor(rng: &mut impl Rng, part: f64) -> f64 {
    1.0 + part * rng.random_range(-1.0..=1.0)
}
