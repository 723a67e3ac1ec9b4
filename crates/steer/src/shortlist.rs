//! Random sample of the endpoints that one search examines.
//!
//! The time of a search grows with the number of endpoints that it examines. It therefore examines
//! a few holders of each layer in each availability zone, sampled anew for each request. A few
//! random endpoints suffice to find one with low load (the power of two choices, Mitzenmacher
//! 1996), and nodes with samples of their own do not all select the same endpoints.

use catalog::Layer;
use catalog::endpoint::Span;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// Number of holders of each layer in each zone that a search examines, if as many exist.
pub const HOLDERS_PER_LAYER: u32 = 6;

/// Layers that an endpoint holds, and the index of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Layers that the endpoint holds.
    pub span: Span,
    /// Index of the availability zone.
    pub zone: usize,
}

/// Returns the indexes of a sample of `holders`, in ascending order. It contains
/// [`HOLDERS_PER_LAYER`] holders of each of `layers` layers in each zone, or all of them if there
/// are fewer.
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
