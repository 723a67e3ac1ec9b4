//! Chance in the price of endpoints.
//!
//! Nodes choose by reports that are up to a second old. Were all of them to take the cheapest
//! chain by the same report, it would get all requests of that second, and refuse most of them.
//! The more nodes choose, the less each knows of what the others have just sent, and the more its
//! prices are shaken.

use rand::{Rng, RngExt};

/// Part by which a price changes at the most, among [`BASE_NODES`] nodes.
const BASE_AMPLITUDE: f64 = 0.15;
/// Nodes for which that holds; it grows with the root of their number.
const BASE_NODES: f64 = 8.0;
/// Most that it grows to. Among 84 nodes without it, a quarter of all arrivals were refused as
/// full while most endpoints had room.
const MAX_AMPLITUDE: f64 = 0.6;

/// Power of the factor of a zone: its chain has many stages, whose own factors even out.
const ZONE_EXPONENT: i32 = 2;

/// Factors on prices for one request.
#[derive(Clone, Debug)]
pub(crate) struct Jitter {
    amplitude: f64,
    zones: Vec<f64>,
}

impl Jitter {
    /// Draws the factors of `zones` availability zones.
    pub(crate) fn new(rng: &mut impl Rng, nodes: f64, zones: usize) -> Self {
        let amplitude = (BASE_AMPLITUDE * (nodes / BASE_NODES).sqrt()).min(MAX_AMPLITUDE);
        let zones = (0..zones)
            .map(|_| draw(rng, amplitude).powi(ZONE_EXPONENT))
            .collect();
        Self { amplitude, zones }
    }

    /// The factor of one endpoint.
    pub(crate) fn factor(&self, rng: &mut impl Rng, zone: usize) -> f64 {
        draw(rng, self.amplitude) * self.zones.get(zone).copied().unwrap_or(1.0)
    }
}

fn draw(rng: &mut impl Rng, amplitude: f64) -> f64 {
    1.0 + amplitude * rng.random_range(-1.0..=1.0)
}
