//! How many layers an endpoint of a zone is to hold.
//!
//! Two bounds are searched for each availability zone. The first is memory: the most room for
//! requests with which the zone's endpoints still hold all layers and second copies of half of them. The second is work: with that
//! room there may be layers for more than the covers that the zone gets, and then the endpoints
//! that would be busiest hold less. A chain is as fast as its busiest stage, and a large endpoint
//! that holds as many layers as fit is busy while small ones idle.

use crate::capacity::{max_tokens, min_tokens, sufficient_tokens};
use crate::holder::Holder;
use catalog::Layer;
use catalog::engine::{Accelerator, Engine};
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps in which a bound is searched.
const SEARCH_STEPS: u32 = 40;
/// Covers beside the whole ones that a zone should hold layers for, at the least. They replace an
/// endpoint that dies until others have loaded its layers. With a quarter, a zone of small
/// accelerators had spare copies of 5 layers, less than any endpoint holds, and could close no hole:
/// for the rest of the day its requests went to another zone and back. Measured together with the
/// room of a cover, see `capacity`.
const MIN_SPARE_SETS: f64 = 0.5;
/// The same as a part of the whole covers, for zones with many of them.
const SPARE_FRACTION: f64 = 0.25;

/// What endpoints of one zone hold at the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Room for requests that is left, in tokens through all layers held.
    pub tokens: f64,
    /// Time for which one usual request keeps an endpoint busy.
    pub work: Duration,
}

impl Quota {
    /// Most layers of an endpoint on `kind`.
    pub fn max_layers(&self, engine: &Engine, kind: &Accelerator) -> Layer {
        // What fits with no room at all is the bound that an engine crashes beyond.
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

/// The quota of each zone.
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
    // The most room that leaves second copies; where that would be too little, the room that
    // suffices, with what copies it leaves. A zone that can't cover all layers by itself still
    // holds a part of them.
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

/// Part of the longest work up to which the second bound is searched: past it no endpoint is
/// bound by work.
const WORK_DIVISOR: u32 = 4;
