//! What this worker sends over the pipes between availability zones.
//!
//! All requests share a pipe, and each token of a request crosses it one after the other. A pipe
//! that is asked for more than it carries delays every request on it without bound, so its use is
//! counted and its price grows with it.

use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which what was sent counts less by a factor of e: about the time of a request.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Two zones, the smaller number first.
type Pair = (usize, usize);

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    bits: f64,
    updated_at: Timestamp,
}

/// The pipes.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<Pair, Link>,
}

impl Links {
    /// A request takes a hop from zone `a` to zone `b` that carries `bits` in all.
    pub fn record(&mut self, now: Timestamp, a: usize, b: usize, bits: f64) {
        let link = self.links.entry(pair(a, b)).or_default();
        link.bits = decayed_bits(link, now) + bits;
        link.updated_at = now;
    }

    /// Bits a second that this worker sends over its fullest pipe.
    pub fn max_rate(&self, now: Timestamp) -> f64 {
        let rates = self.links.keys().map(|&(a, b)| self.rate(now, a, b));
        rates.fold(0.0, f64::max)
    }

    /// Bits a second that this worker sends between two zones.
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
