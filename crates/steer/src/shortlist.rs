//! The endpoints that one search looks at.
//!
//! A search costs time in proportion to the endpoints that it looks at. So it looks at a few holders of
//! each layer in each availability zone, drawn anew for each request. A few drawn at random are enough to find one
//! with little load (the power of two choices, Mitzenmacher 1996), and nodes that draw for
//! themselves do not all choose the same ones.

use catalog::Layer;
use catalog::endpoint::Span;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// Holders of each layer in each zone that a search looks at, if there are so many.
pub const HOLDERS_PER_LAYER: u32 = 6;

/// The layers that an endpoint holds, and the number of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its layers.
    pub span: Span,
    /// Its zone.
    pub zone: usize,
}

/// Indexes of the holders that are looked at, in ascending order: so many that each of `layers`
/// layers has [`HOLDERS_PER_LAYER`] in each zone, or all that there are.
pub fn sample(rng: &mut impl Rng, layers: Layer, holders: &[Holder]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..holders.len()).collect();
    order.shuffle(rng);
    let mut zones: BTreeMap<usize, Vec<u32>> = BTreeMap::new();
    order.retain(|&at| {
        let Holder { span, zone } = holders[at];
        let counts = zones.entry(zone);
        let counts = counts.or_insert_with(|| vec![0; layers as usize]);
        let own = span.from.min(layers) as usize..span.to.min(layers) as usize;
        let Some(own) = counts.get_mut(own) else {
            return false;
        };
        let wanted = own.iter().any(|&n| n < HOLDERS_PER_LAYER);
        own.iter_mut().for_each(|n| *n += u32::from(wanted));
        wanted
    });
    order.sort_unstable();
    order
}
