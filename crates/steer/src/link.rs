//! Traffic of this worker over the links between availability zones.
//!
//! All requests share a link, and the tokens of a request cross it one after the other. A link with
//! more traffic than it can carry delays every request on it without bound, so its traffic is
//! recorded and its price grows with its utilization.

use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which the weight of recorded traffic decays by a factor of e: about the duration of a
/// request.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Indexes of two zones, the smaller one first.
type Pair = (usize, usize);

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    bits: f64,
    updated_at: Timestamp,
}

/// Links between all pairs of zones.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<Pair, Link>,
}

impl Links {
    /// Records a request with a hop from zone `a` to zone `b` that carries `bits` in total.
    pub fn record(&mut self, now: Timestamp, a: usize, b: usize, bits: f64) {
        let link = self.links.entry(pair(a, b)).or_default();
        link.bits = decayed_bits(link, now) + bits;
        link.updated_at = now;
    }

    /// Returns the rate of this worker over its busiest link, in bits per second.
    pub fn max_rate(&self, now: Timestamp) -> f64 {
        let rates = self.links.keys().map(|&(a, b)| self.rate(now, a, b));
        rates.fold(0.0, f64::max)
    }

    /// Returns the rate of this worker between two zones, in bits per second.
    pub fn rate(&self, now: Timestamp, a: usize, b: usize) -> f64 {
        let link = self.links.get(&pair(a, b));
        link.map_or(0.0, |l| decayed_bits(l, now) / DECAY_TIME.as_secs_f64())
    }
}

fn pair(a: usize, b: usize) -> Pair {
    (a.min(b), a.max(b))
}

fn decayed_bits(link: &Link, now: Timestamp) -> f64 {
    let age = now.saturating_sub(link.updated_at).as_secs_f64();
    link.bits * (-age / DECAY_TIME.as_secs_f64()).exp()
}
