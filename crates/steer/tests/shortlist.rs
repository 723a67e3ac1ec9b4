//! Selection among hundreds of endpoints for each layer.
//!
//! 300 nodes use 3,000 endpoints in three zones; each node has an eighth of a processor and two or
//! three requests per second. A search over every endpoint takes 40 ms of a whole processor, so
//! that a request would wait a third of a second for its selection.

mod support;

use catalog::Endpoint;
use catalog::endpoint::{Run, Span};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use steer::Selector;
use steer::shortlist::{self, HOLDERS_PER_LAYER, Holder};
use support::{LAYERS, endpoint, ms, need, selector};

/// Number of layers of a production model.
const MODEL: u32 = 80;
const ZONES: usize = 3;

/// Returns holders of layers in [`ZONES`] zones, with spans of several lengths that overlap.
fn holders(count: usize, rng: &mut ChaCha8Rng) -> Vec<Holder> {
    let holder = |n: usize| {
        let len = [7, 8, 11, 30][rng.random_range(0..4)];
        let from = (n as u32 * 7) % (MODEL - len + 1);
        let span = Span {
            from,
            to: from + len,
        };
        Holder {
            span,
            zone: n % ZONES,
        }
    };
    (0..count).map(holder).collect()
}

/// Returns the number of holders of each layer in each zone.
fn count_holders(holders: impl Iterator<Item = Holder>) -> BTreeMap<(usize, u32), u32> {
    let mut held = BTreeMap::new();
    for holder in holders {
        for layer in holder.span.from..holder.span.to {
            *held.entry((holder.zone, layer)).or_default() += 1;
        }
    }
    held
}

// Guards against a search time that grows with the fleet, and against layers that are left out of
// the sample.
#[test]
fn a_search_examines_a_few_holders_of_each_layer() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut sizes = Vec::new();
    for count in [300, 1000, 3000, 4700] {
        let all = holders(count, &mut rng);
        let few = shortlist::sample(&mut rng, MODEL, &all);
        assert!(few.is_sorted());
        let kept = count_holders(few.iter().map(|&at| all[at]));
        for (place, &there) in &count_holders(all.iter().copied()) {
            let kept = kept.get(place).copied().unwrap_or(0);
            assert!(
                kept >= there.min(HOLDERS_PER_LAYER),
                "{place:?}: {kept} of {there}"
            );
        }
        sizes.push(few.len());
    }
    // Each sampled holder has at least seven layers, one of which had too few holders before it.
    let bound = ZONES * (MODEL * HOLDERS_PER_LAYER) as usize / 4;
    assert!(sizes.iter().all(|&n| n <= bound), "{sizes:?}");
}

// Guards against a changed selection in small fleets, where every holder counts.
#[test]
fn a_small_fleet_is_examined_completely() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let all = holders(ZONES * HOLDERS_PER_LAYER as usize, &mut rng);
    let few = shortlist::sample(&mut rng, MODEL, &all);
    assert_eq!(few.len(), all.len());
}

// Guards against invalid spans in the reports of endpoints.
#[test]
fn spans_beyond_the_model_are_ignored() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let holder = |from, to| Holder {
        span: Span { from, to },
        zone: 0,
    };
    let all = [holder(0, u32::MAX), holder(9, 3), holder(200, 300)];
    assert_eq!(shortlist::sample(&mut rng, MODEL, &all), [0]);
}

/// Endpoints of one zone, each of which holds half of the layers.
fn half_model_endpoints(count: u16) -> Vec<Endpoint> {
    let one = |n: u16| {
        let from = u32::from(n % 2) * LAYERS / 2;
        Endpoint {
            run: Run {
                id: format!("e{n}"),
                started_at: 1,
            },
            addr: ([10, 0, (n >> 8) as u8, n as u8], 80).into(),
            ..endpoint(0, "a", "fast", from, from + LAYERS / 2)
        }
    };
    (0..count).map(one).collect()
}

/// Returns the heads of `chains` chains that are selected one after the other.
fn heads(selector: &mut Selector, chains: usize) -> BTreeSet<Run> {
    let chosen = (0..chains).map(|_| selector.select(ms(0), 0, &need(100), &[]));
    let chosen = chosen.map(|target| target.expect("there is room").stages[0].run.clone());
    chosen.collect()
}

// Guards against nodes that keep using the endpoints of one sample while hundreds of others idle.
#[test]
fn each_request_examines_a_new_sample() {
    let mut selector = selector(half_model_endpoints(400));
    let heads = heads(&mut selector, 100);
    assert!(heads.len() >= 60, "{} heads of 200", heads.len());
}

// Guards against refusals for lack of capacity while an endpoint outside of the sample has some.
#[test]
fn all_endpoints_are_examined_before_a_refusal() {
    // Each endpoint holds four layers and has capacity for 1,500 tokens: one request of this size.
    let mut selector = selector(half_model_endpoints(120));
    for _ in 0..60 {
        let found = selector.select(ms(0), 0, &need(1000), &[]);
        assert!(found.is_ok(), "{found:?}");
    }
    let full = selector.select(ms(0), 0, &need(1000), &[]);
    assert!(full.is_err(), "{full:?}");
}
