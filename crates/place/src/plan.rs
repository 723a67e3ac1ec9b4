//! Planning of the next orders to endpoints.
//!
//! Each availability zone gets a replica set of its own, because activations between zones share
//! one network link. Within a zone, endpoints with the fastest accelerators hold as many layers as
//! the zone's [`quota`] allows. Slower endpoints hold the layers that are still missing, and then
//! second copies of the layers with the fewest copies. An endpoint that holds layers keeps them
//! where possible: an order costs seconds of loading and delays the requests that wait for it.

use crate::capacity::min_tokens;
use crate::holder::Holder;
use crate::order::Order;
use crate::quota::{self, Quota};
use catalog::Layer;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use std::collections::BTreeMap;

/// Value of one more copy of a layer, by the copies that exist.
mod value {
    /// No endpoint of the fleet holds the layer, so no request can be served.
    pub const UNHELD_IN_FLEET: f64 = 1000.0;
    /// No endpoint of the zone holds the layer.
    pub const UNHELD_IN_ZONE: f64 = 30.0;
    /// The zone holds the layer: the value is divided by the square of the number of copies in the
    /// zone. Requests stay in their zone, so the layer with the fewest copies bounds what the zone
    /// can serve.
    pub const REPLICA_IN_ZONE: f64 = 3.0;
    /// Same for the copies in the fleet; decides between layers with equally many copies in the
    /// zone.
    pub const REPLICA_IN_FLEET: f64 = 0.3;
}

/// Returns the layers of a span that the model has.
fn within(span: Span, layers: usize) -> std::ops::Range<usize> {
    let to = (span.to as usize).min(layers);
    (span.from as usize).min(to)..to
}

/// Number of copies of each layer, in the fleet and in each availability zone.
struct Replicas {
    fleet: Vec<u32>,
    zones: BTreeMap<String, Vec<u32>>,
}

impl Replicas {
    fn count<'a>(engine: &Engine, holders: impl IntoIterator<Item = &'a Holder>) -> Self {
        let mut replicas = Self {
            fleet: vec![0; engine.layers as usize],
            zones: BTreeMap::new(),
        };
        for holder in holders {
            replicas.add(&holder.zone, holder.span);
        }
        replicas
    }

    fn add(&mut self, zone: &str, span: Span) {
        let layers = self.fleet.len();
        let zone = self.zones.entry(zone.to_owned());
        let zone = zone.or_insert_with(|| vec![0; layers]);
        for layer in within(span, layers) {
            self.fleet[layer] += 1;
            zone[layer] += 1;
        }
    }

    fn remove(&mut self, zone: &str, span: Span) {
        let Some(own) = self.zones.get_mut(zone) else {
            return;
        };
        let layers = self.fleet.len();
        for layer in within(span, layers) {
            self.fleet[layer] = self.fleet[layer].saturating_sub(1);
            own[layer] = own[layer].saturating_sub(1);
        }
    }

    /// Returns the first run of adjacent layers that no endpoint of a zone holds.
    fn gap(&self, zone: &str) -> Option<Span> {
        let own = self.zones.get(zone)?;
        let from = own.iter().position(|&n| n == 0)?;
        let len = own[from..].iter().take_while(|&&n| n == 0).count();
        Some(Span {
            from: u32::try_from(from).ok()?,
            to: u32::try_from(from + len).ok()?,
        })
    }

    /// Returns whether a zone holds at least two copies of each layer of a span.
    fn is_redundant(&self, zone: &str, span: Span) -> bool {
        let Some(own) = self.zones.get(zone) else {
            return false;
        };
        (span.from as usize..span.to as usize).all(|l| own.get(l).is_some_and(|&n| n >= 2))
    }

    /// Returns the value of one more copy of each layer in `zone`.
    fn values(&self, zone: &str) -> Vec<f64> {
        let none = vec![0; self.fleet.len()];
        let own = self.zones.get(zone).unwrap_or(&none);
        let pairs = self.fleet.iter().zip(own);
        pairs
            .map(|(&all, &here)| match (all, here) {
                (0, _) => value::UNHELD_IN_FLEET,
                (_, 0) => value::UNHELD_IN_ZONE,
                (all, here) => {
                    value::REPLICA_IN_ZONE / f64::from(here * here)
                        + value::REPLICA_IN_FLEET / f64::from(all * all)
                }
            })
            .collect()
    }
}

/// Returns the orders that can be sent now: one to each endpoint that holds nothing and, where a
/// zone lacks layers, to endpoints of that zone whose layers all have a second, loaded copy there.
pub fn next_orders(engine: &Engine, holders: &[Holder]) -> Vec<Order> {
    let mut replicas = Replicas::count(engine, holders);
    let quotas = quota::per_zone(engine, holders);
    let mut orders = fill(engine, holders, &quotas, &mut replicas);
    orders.extend(repair(engine, holders, &quotas, &mut replicas));
    orders
}

/// Returns whether every layer that an order makes its endpoint release is held, and loaded, by
/// another endpoint of the zone.
pub fn preserves_coverage(engine: &Engine, holders: &[Holder], order: &Order) -> bool {
    let Some(own) = holders.iter().find(|h| h.run == order.run) else {
        return false;
    };
    let others = holders.iter().filter(|h| h.run != order.run);
    let others = others.filter(|h| h.zone == own.zone && !h.loading);
    let replicas = Replicas::count(engine, others);
    let held = within(order.held, replicas.fleet.len());
    let mut released = held.filter(|&l| !within(order.span, replicas.fleet.len()).contains(&l));
    released.all(|l| replicas.fleet[l] > 0)
}

/// Plans orders for the endpoints that hold nothing.
fn fill(
    engine: &Engine,
    holders: &[Holder],
    quotas: &BTreeMap<String, Quota>,
    replicas: &mut Replicas,
) -> Vec<Order> {
    let mut empty: Vec<&Holder> = holders
        .iter()
        .filter(|h| h.span.is_empty() && !h.busy)
        .collect();
    // Faster endpoints come first, and of equally fast ones those with more memory: they take the
    // long spans, and small endpoints fill the gaps.
    let key = |h: &Holder| {
        engine
            .accelerator(&h.kind)
            .map_or((0.0, 0.0), |k| (k.step_factor, -k.memory_bytes))
    };
    empty.sort_by(|a, b| {
        let (a, b) = ((key(a), &a.run), (key(b), &b.run));
        a.0.partial_cmp(&b.0)
            .unwrap_or(std::cmp::Ordering::Equal)
            .then_with(|| a.1.cmp(b.1))
    });
    let mut orders = Vec::new();
    for holder in empty {
        let Some(kind) = engine.accelerator(&holder.kind) else {
            continue;
        };
        let Some(quota) = quotas.get(&holder.zone) else {
            continue;
        };
        let max_layers = quota.max_layers(engine, kind);
        let Some(span) = window(&replicas.values(&holder.zone), max_layers) else {
            continue;
        };
        replicas.add(&holder.zone, span);
        orders.push(holder.order(span));
    }
    orders
}

/// Plans orders that close the gaps in the layers that zones hold.
///
/// If an endpoint of a zone is lost and the gap stays, every request of the zone passes through
/// another zone and back; with gaps in two zones, the links between them are saturated. Only
/// endpoints whose layers all have a second copy in the zone are moved, so no layer is lost.
fn repair(
    engine: &Engine,
    holders: &[Holder],
    quotas: &BTreeMap<String, Quota>,
    replicas: &mut Replicas,
) -> Vec<Order> {
    let mut orders = Vec::new();
    let mut moved: Vec<&Holder> = Vec::new();
    // A copy that is still loading does not make another copy redundant: if the loaded one were
    // moved meanwhile, the zone would have no usable copy.
    let finished = holders.iter().filter(|h| !h.loading);
    let mut loaded = Replicas::count(engine, finished);
    for (zone, quota) in quotas {
        let own = |h: &&Holder| h.zone == *zone && !h.busy && !h.loading && !h.span.is_empty();
        if holders.iter().any(|h| h.zone == *zone && h.busy) || !can_hold_all(engine, holders, zone)
        {
            continue;
        }
        while let Some(gap) = replicas.gap(zone) {
            let free = holders.iter().filter(own).filter(|h| !moved.contains(h));
            let free = free.filter(|h| loaded.is_redundant(zone, h.span));
            let max_layers = |h: &Holder| {
                engine
                    .accelerator(&h.kind)
                    .map_or(0, |k| quota.max_layers(engine, k))
            };
            // Prefer the smallest endpoint that closes the gap, or else the largest one: an
            // endpoint serves no requests while it loads, and a large one loads for seconds.
            let key = |h: &Holder| match max_layers(h) {
                fit if fit >= gap.len() => (0, fit),
                fit => (1, Layer::MAX - fit),
            };
            let Some(holder) = free.min_by(|a, b| (key(a), &a.run).cmp(&(key(b), &b.run))) else {
                break;
            };
            let fit = max_layers(holder);
            replicas.remove(zone, holder.span);
            loaded.remove(zone, holder.span);
            let Some(span) = window(&replicas.values(zone), fit) else {
                break;
            };
            replicas.add(zone, span);
            moved.push(holder);
            orders.push(holder.order(span));
        }
    }
    orders
}

/// Returns whether the endpoints of a zone can together hold all layers with the minimum capacity
/// for requests.
fn can_hold_all(engine: &Engine, holders: &[Holder], zone: &str) -> bool {
    let min_tokens = min_tokens(engine);
    let own = holders.iter().filter(|h| h.zone == zone);
    let kinds = own.filter_map(|h| engine.accelerator(&h.kind));
    kinds
        .map(|k| engine.max_layers(k, min_tokens))
        .sum::<Layer>()
        >= engine.layers
}

/// Returns the span of `max_layers` adjacent layers with the highest total value, or `None` if
/// `max_layers` is 0.
fn window(values: &[f64], max_layers: Layer) -> Option<Span> {
    let max_layers = (max_layers as usize).min(values.len());
    if max_layers == 0 {
        return None;
    }
    let mut best: Option<(f64, usize)> = None;
    let mut sum: f64 = values[..max_layers].iter().sum();
    for from in 0..=values.len() - max_layers {
        if from > 0 {
            sum += values[from + max_layers - 1] - values[from - 1];
        }
        // The first of equally valuable spans wins, so that consecutive spans adjoin without gaps.
        if best.is_none_or(|(best, _)| sum > best + 1e-6) {
            best = Some((sum, from));
        }
    }
    let (_, from) = best?;
    Some(Span {
        from: u32::try_from(from).ok()?,
        to: u32::try_from(from + max_layers).ok()?,
    })
}
