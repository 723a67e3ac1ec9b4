//! How many layers an endpoint of a zone is to hold.
//!
//! Two bounds are searched for each availability zone. The first is memory: the most room for
//! requests with which the zone's endpoints still hold all layers and second copies of half of them. The second is work: with that
//! room there may be layers for more than the covers that the zone gets, and then the endpoints
//! that would be busiest hold less. A chain is as fast as its busiest stage, and a large endpoint
//! that holds as many layers as fit is busy while small ones idle.

use crate::demand::{enough_tokens, least_tokens, most_tokens};
use crate::stock::Holder;
use catalog::Layer;
use catalog::engine::{Accelerator, Engine};
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps in which a bound is searched.
const STEPS: u32 = 40;
/// Covers beside the whole ones that a zone should hold layers for, at the least. They replace an
/// endpoint that dies until others have loaded its layers. With a quarter, a zone of small
/// accelerators had spare copies of 5 layers, less than any endpoint holds, and could close no hole:
/// for the rest of the day its requests went to another zone and back. Measured together with the
/// room of a cover, see `demand`.
const SPARE: f64 = 0.5;
/// The same as a part of the whole covers, for zones with many of them.
const SPARE_PART: f64 = 0.25;

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
    pub fn layers(&self, engine: &Engine, kind: &Accelerator) -> Layer {
        // What fits with no room at all is the bound that an engine crashes beyond.
        let fit = engine.fit(kind, self.tokens).min(engine.fit(kind, 0.0));
        let each = engine.work(kind, engine.usual).as_secs_f64();
        let able = (self.work.as_secs_f64() / each.max(1e-12)).floor() as Layer;
        fit.min(able.max(1))
    }
}

/// The quota of each zone.
pub fn of(engine: &Engine, holders: &[Holder]) -> BTreeMap<String, Quota> {
    let mut zones: BTreeMap<&str, Vec<&Accelerator>> = BTreeMap::new();
    for holder in holders {
        if let Some(kind) = engine.accelerator(&holder.kind) {
            zones.entry(&holder.zone).or_default().push(kind);
        }
    }
    let zones = zones.into_iter();
    zones
        .map(|(zone, kinds)| (zone.to_owned(), quota(engine, &kinds)))
        .collect()
}

fn quota(engine: &Engine, kinds: &[&Accelerator]) -> Quota {
    let layers = |quota: &Quota| -> Layer {
        let each = kinds.iter().map(|k| quota.layers(engine, k));
        each.sum()
    };
    let longest = kinds.iter().map(|k| engine.work(k, engine.usual));
    let longest = longest.max().unwrap_or_default() * engine.layers;
    let (least, most) = (least_tokens(engine), most_tokens(engine));
    let room = |step: u32| Quota {
        tokens: least + (most - least).max(0.0) * f64::from(step) / f64::from(STEPS),
        work: longest,
    };
    let roomiest = |covers: f64, most: f64| {
        let steps = (0..=STEPS).rev().map(room);
        let mut able = steps.filter(|q| f64::from(layers(q)) >= covers * f64::from(engine.layers));
        able.find(|q| q.tokens <= most)
    };
    // The most room that leaves second copies; where that would be too little, the room that
    // suffices, with what copies it leaves. A zone that can't cover all layers by itself still
    // holds a part of them.
    let enough = enough_tokens(engine);
    let spared = roomiest(1.0 + SPARE, most).filter(|q| q.tokens >= enough);
    let roomy = spared.or_else(|| roomiest(1.0, enough));
    let roomy = roomy.unwrap_or_else(|| room(0));
    let covers = f64::from(layers(&roomy) / engine.layers.max(1));
    let wanted = (covers + SPARE.max(covers * SPARE_PART)) * f64::from(engine.layers);
    let lighter = (1..=STEPS).map(|step| Quota {
        work: longest * step / STEPS / WORK_PART,
        ..roomy
    });
    let heavy = |q: &Quota| f64::from(layers(q)) >= wanted.min(f64::from(layers(&roomy)));
    lighter.into_iter().find(heavy).unwrap_or(roomy)
}

/// Part of the longest work up to which the second bound is searched: past it no endpoint is
/// bound by work.
const WORK_PART: u32 = 4;
