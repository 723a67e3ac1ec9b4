//! Random factors on the prices of endpoints.
//!
//! Nodes select by load reports that are up to a second old. If all of them took the cheapest chain
//! by the same report, that chain would receive all requests of that second and refuse most of
//! them. The more nodes select, the less each of them knows of the requests that the others have
//! just sent, and the larger the factors are.

use rand::{Rng, RngExt};

/// Maximum relative change of a price among [`BASE_NODES`] nodes.
const BASE_AMPLITUDE: f64 = 0.15;
/// Number of nodes that [`BASE_AMPLITUDE`] applies to; the amplitude grows with the square root of
/// the number of nodes.
const BASE_NODES: f64 = 8.0;
/// Maximum amplitude. Without the growth up to it, 84 nodes have a quarter of all attempts refused
/// by full endpoints while most endpoints have free capacity.
const MAX_AMPLITUDE: f64 = 0.6;

/// Exponent of the factor of a zone: the factors of the many stages of a chain in that zone average
/// out.
const ZONE_EXPONENT: i32 = 2;

/// Random factors on the prices for one request.
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

    /// Draws the factor of one endpoint in `zone`.
    pub(crate) fn factor(&self, rng: &mut impl Rng, zone: usize) -> f64 {
        draw(rng, self.amplitude) * self.zones.get(zone).copied().unwrap_or(1.0)
    }
}

fn draw(rng: &mut impl Rng, amplitude: f64) -> f64 {
    1.0 + amplitude * rng.random_range(-1.0..=1.0)
}
