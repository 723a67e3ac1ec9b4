//! Maximum number of layers for each endpoint of a zone.
//!
//! Two bounds are searched for each availability zone. The memory bound is the largest capacity for
//! requests with which the zone's endpoints still hold all layers and second copies of half of
//! them. The work bound applies if, with that capacity, the endpoints could hold more layers than
//! the complete and spare replica sets of the zone need: the endpoints that would be busiest then
//! hold fewer. A chain is as fast as its busiest stage, and a large endpoint that holds as many
//! layers as fit is saturated while small ones idle.

use crate::capacity::{max_tokens, min_tokens, sufficient_tokens};
use crate::holder::Holder;
use catalog::Layer;
use catalog::engine::{Accelerator, Engine};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of steps in which each bound is searched.
const SEARCH_STEPS: u32 = 40;
/// Minimum number of spare replica sets, beyond the complete ones, that a zone holds layers for.
/// Spare copies serve in place of an endpoint that dies until others have loaded its layers. With
/// 0.25, a zone of small accelerators has spare copies of 5 layers, fewer than any endpoint holds,
/// and cannot close a gap, so its requests keep passing through another zone and back. The value
/// depends on the capacity of a replica set; see [`crate::capacity`].
const MIN_SPARE_SETS: f64 = 0.5;
/// Same as a fraction of the complete replica sets, for zones that hold several of them.
const SPARE_FRACTION: f64 = 0.25;

/// Upper bounds on what the endpoints of one zone hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Capacity for requests that must remain free, in tokens through all layers held.
    pub tokens: f64,
    /// Maximum time for which one request of typical size may keep an endpoint busy.
    pub work: Duration,
}

impl Quota {
    /// Returns the maximum number of layers for an endpoint with accelerator `kind`.
    pub fn max_layers(&self, engine: &Engine, kind: &Accelerator) -> Layer {
        // An engine crashes if it is ordered to hold more layers than fit without any requests.
        let fit = engine
            .max_layers(kind, self.tokens)
            .min(engine.max_layers(kind, 0.0));
        let each = engine
            .layer_busy_time(kind, engine.typical_size)
            .as_secs_f64();
        let timely = (self.work.as_secs_f64() / each.max(1e-12)).floor() as Layer;
        fit.min(timely.max(1))
    }
}

/// Returns the quota of each availability zone.
pub fn per_zone(engine: &Engine, holders: &[Holder]) -> BTreeMap<String, Quota> {
    let mut zones: BTreeMap<&str, Vec<&Accelerator>> = BTreeMap::new();
    for holder in holders {
        if let Some(kind) = engine.accelerator(&holder.kind) {
            zones.entry(&holder.zone).or_default().push(kind);
        }
    }
    let zones = zones.into_iter();
    zones
        .map(|(zone, kinds)| (zone.to_owned(), zone_quota(engine, &kinds)))
        .collect()
}

fn zone_quota(engine: &Engine, kinds: &[&Accelerator]) -> Quota {
    let layers = |quota: &Quota| -> Layer {
        let each = kinds.iter().map(|k| quota.max_layers(engine, k));
        each.sum()
    };
    let max_work = kinds
        .iter()
        .map(|k| engine.layer_busy_time(k, engine.typical_size));
    let max_work = max_work.max().unwrap_or_default() * engine.layers;
    let (min, max) = (min_tokens(engine), max_tokens(engine));
    let with_step = |step: u32| Quota {
        tokens: min + (max - min).max(0.0) * f64::from(step) / f64::from(SEARCH_STEPS),
        work: max_work,
    };
    let largest = |sets: f64, limit: f64| {
        let steps = (0..=SEARCH_STEPS).rev().map(with_step);
        let mut sufficient =
            steps.filter(|q| f64::from(layers(q)) >= sets * f64::from(engine.layers));
        sufficient.find(|q| q.tokens <= limit)
    };
    // Take the largest capacity that leaves second copies. If that is less than the sufficient
    // capacity, take the largest one up to the sufficient one that leaves one copy of each layer. A
    // zone that cannot hold all layers takes the minimum capacity and holds some of them.
    let sufficient = sufficient_tokens(engine);
    let spared = largest(1.0 + MIN_SPARE_SETS, max).filter(|q| q.tokens >= sufficient);
    let base = spared.or_else(|| largest(1.0, sufficient));
    let base = base.unwrap_or_else(|| with_step(0));
    let sets = f64::from(layers(&base) / engine.layers.max(1));
    let wanted = (sets + MIN_SPARE_SETS.max(sets * SPARE_FRACTION)) * f64::from(engine.layers);
    let candidates = (1..=SEARCH_STEPS).map(|step| Quota {
        work: max_work * step / SEARCH_STEPS / WORK_DIVISOR,
        ..base
    });
    let holds_wanted = |q: &Quota| f64::from(layers(q)) >= wanted.min(f64::from(layers(&base)));
    candidates.into_iter().find(holds_wanted).unwrap_or(base)
}

/// Divisor of the longest work time that gives the upper end of the search for the work bound.
/// Above it, work bounds no endpoint.
const WORK_DIVISOR: u32 = 4;
