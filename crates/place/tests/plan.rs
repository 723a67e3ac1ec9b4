//! Orders for the layers that endpoints hold.

use catalog::Layer;
use catalog::endpoint::{Run, Span};
use catalog::engine::{Accelerator, Engine, Size};
use place::holder::Holder;
use place::order::Order;
use place::plan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

fn kind(name: &str, gigabytes: f64, pace: f64, read: f64) -> Accelerator {
    Accelerator {
        name: name.to_owned(),
        memory_bytes: gigabytes * 1e9,
        step_factor: pace,
        prefill_factor: read,
    }
}

/// An engine with 80 layers of 1.75 GB on three kinds of accelerators, as in production.
fn engine() -> Engine {
    Engine {
        layers: 80,
        layer_bytes: 1.75e9,
        kv_bytes_per_token: 7375.0,
        activation_bytes: 29_500.0,
        step_time: Duration::from_micros(1020),
        step_time_per_request: Duration::from_nanos(4590),
        step_time_per_1k_context: Duration::from_nanos(6150),
        prefill_rate: 164_000.0,
        prefill_chunk: None,
        prefill_ms_per_1m_pairs: 0.0,
        steps_per_event: 4,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        slots: 192,
        inter_zone_bps: 13e9,
        accelerators: vec![
            kind("a100", 72.0, 2.4, 3.2),
            kind("v100", 14.4, 5.3, 7.9),
            kind("l4", 21.6, 16.0, 8.2),
        ],
        typical_size: Size {
            prompt: 775,
            answer: 216,
        },
        delays: Vec::new(),
    }
}

/// Endpoints of a zone, by their number for each kind of accelerator.
fn zone(name: &str, a100: u16, v100: u16, l4: u16) -> Vec<Holder> {
    holders(name, &[("a100", a100), ("v100", v100), ("l4", l4)])
}

fn holders(name: &str, kinds: &[(&str, u16)]) -> Vec<Holder> {
    let kinds = kinds.iter().flat_map(|&(k, n)| (0..n).map(move |i| (k, i)));
    kinds
        .map(|(kind, number)| Holder {
            run: Run {
                id: format!("{name}-{kind}-{number}"),
                started_at: 1,
            },
            addr: ([127, 0, 0, 1], 1 + number).into(),
            zone: name.to_owned(),
            kind: kind.to_owned(),
            span: Span::default(),
            loading: false,
            busy: false,
        })
        .collect()
}

fn fleet() -> Vec<Holder> {
    [zone("a", 1, 10, 4), zone("b", 2, 4, 4), zone("c", 1, 6, 6)].concat()
}

fn apply_all(holders: &mut [Holder], orders: &[Order]) {
    for order in orders {
        let holder = holders.iter_mut().find(|h| h.run == order.run).unwrap();
        assert_eq!(holder.span, order.held, "{order:?}");
        holder.span = order.span;
    }
}

fn copies(holders: &[Holder], zone: Option<&str>) -> Vec<u32> {
    let mut copies = vec![0; 80];
    let own = holders.iter().filter(|h| zone.is_none_or(|z| z == h.zone));
    own.flat_map(|h| h.span.from..h.span.to)
        .for_each(|l| copies[l as usize] += 1);
    copies
}

fn is_complete(holders: &[Holder], zone: &str) -> bool {
    copies(holders, Some(zone)).iter().all(|&n| n > 0)
}

/// Fails if an endpoint holds more layers than fit into its memory: an engine crashes on such an
/// order.
fn assert_fits(engine: &Engine, holders: &[Holder]) {
    for holder in holders {
        let kind = engine.accelerator(&holder.kind).unwrap();
        let bytes = f64::from(holder.span.len()) * engine.layer_bytes;
        assert!(
            bytes <= kind.memory_bytes && holder.span.to <= engine.layers,
            "{holder:?}"
        );
    }
}

fn placed_fleet() -> Vec<Holder> {
    let mut holders = fleet();
    let orders = plan::next_orders(&engine(), &holders);
    apply_all(&mut holders, &orders);
    holders
}

#[test]
fn each_zone_of_an_empty_fleet_gets_a_replica_set() {
    let holders = placed_fleet();
    assert_fits(&engine(), &holders);
    for zone in ["a", "b", "c"] {
        assert!(
            is_complete(&holders, zone),
            "{zone}: {:?}",
            copies(&holders, Some(zone))
        );
    }
    assert_eq!(plan::next_orders(&engine(), &holders), []);
}

/// A fleet of 93 endpoints in three zones with different accelerators.
fn large_fleet() -> Vec<Holder> {
    [
        zone("a", 2, 24, 9),
        zone("b", 4, 10, 11),
        zone("c", 3, 14, 16),
    ]
    .concat()
}

// Guards against uneven copies in a zone with layers for three replica sets, where some layers have
// one copy and others five. The only holder of a layer receives all requests of the zone and is
// full while the rest idle, and its death leaves a gap.
#[test]
fn copies_are_spread_evenly_within_a_zone() {
    let engine = engine();
    let mut holders = large_fleet();
    let orders = plan::next_orders(&engine, &holders);
    apply_all(&mut holders, &orders);
    for name in ["a", "b", "c"] {
        let cover = copies(&holders, Some(name));
        let (least, most) = (cover.iter().min().unwrap(), cover.iter().max().unwrap());
        println!("zone {name}: {cover:?}");
        assert!(*least >= 2 && *most <= least + 2, "zone {name}: {cover:?}");
    }
}

/// An engine on smaller accelerators: each zone of [`small_fleet`] has memory for 1.7 to 2 replica
/// sets if no capacity is kept for requests.
fn small_engine() -> Engine {
    Engine {
        kv_bytes_per_token: 5325.0,
        step_time: Duration::from_micros(850),
        step_time_per_request: Duration::from_nanos(2760),
        step_time_per_1k_context: Duration::from_nanos(3700),
        prefill_rate: 272_000.0,
        prefill_chunk: None,
        prefill_ms_per_1m_pairs: 0.0,
        steps_per_event: 2,
        inter_zone_bps: 6.5e9,
        accelerators: vec![
            kind("a100s", 36.0, 3.1, 3.2),
            kind("l4", 21.6, 16.0, 8.2),
            kind("t4", 14.4, 15.0, 15.0),
        ],
        typical_size: Size {
            prompt: 775,
            answer: 150,
        },
        ..engine()
    }
}

fn small_fleet() -> Vec<Holder> {
    [
        holders("a", &[("a100s", 1), ("l4", 8), ("t4", 5)]),
        holders("b", &[("a100s", 3), ("l4", 3), ("t4", 5)]),
        holders("c", &[("a100s", 1), ("l4", 4), ("t4", 8)]),
    ]
    .concat()
}

// Guards against a zone that cannot close a gap: each of three zones has memory for 1.7 replica
// sets and 75 requests of typical size in flight, and one small endpoint is lost. If capacity for
// 150 requests were kept, the zone would have second copies of only 5 layers, no endpoint could be
// moved, and each request of the zone would pass through another zone and back. To close any gap of
// an endpoint of the smallest kind, the spare copies must be at least as many layers as that kind
// holds.
#[test]
fn a_zone_with_little_memory_recovers_from_the_loss_of_a_small_endpoint() {
    let engine = small_engine();
    let mut placed = small_fleet();
    let orders = plan::next_orders(&engine, &placed);
    apply_all(&mut placed, &orders);
    assert_fits(&engine, &placed);
    for gone in placed.iter().filter(|h| h.kind == "t4") {
        let mut left = placed.clone();
        left.retain(|h| h.run != gone.run);
        for _ in 0..4 {
            let orders = plan::next_orders(&engine, &left);
            apply_all(&mut left, &orders);
        }
        let own = copies(&left, Some(&gone.zone));
        assert!(
            is_complete(&left, &gone.zone),
            "without {}: {own:?}",
            gone.run
        );
    }
}

// Guards against full fast endpoints in a zone with memory for two or more replica sets and 200
// requests of typical size in flight, without faults. Such a zone has second copies anyway. If
// capacity for only 100 requests were kept, its endpoints would hold more layers than second copies
// need, the fast ones, which most chains use, would be full, and requests would go to other zones.
// Each endpoint must have capacity for three quarters of the requests, while at least half of the
// layers have two copies.
#[test]
fn a_zone_with_memory_for_several_replica_sets_keeps_capacity_for_requests() {
    let engine = engine();
    let mut placed = zone("a", 1, 16, 7);
    let orders = plan::next_orders(&engine, &placed);
    apply_all(&mut placed, &orders);
    let usual = f64::from(engine.typical_size.prompt + engine.typical_size.answer);
    for holder in &placed {
        let kind = engine.accelerator(&holder.kind).unwrap();
        let places =
            engine.kv_capacity(kind, holder.span.len()) / f64::from(holder.span.len()) / usual;
        assert!(places >= 150.0, "{}: room for {places:.0}", holder.run);
    }
    let twice = copies(&placed, None).iter().filter(|&&n| n >= 2).count();
    assert!(twice >= 40, "{twice}");
}

#[test]
fn the_plan_does_not_depend_on_the_order_of_endpoints() {
    let mut reversed = fleet();
    reversed.reverse();
    let (mut a, mut b) = (
        plan::next_orders(&engine(), &fleet()),
        plan::next_orders(&engine(), &reversed),
    );
    a.sort_by(|x, y| x.run.cmp(&y.run));
    b.sort_by(|x, y| x.run.cmp(&y.run));
    assert_eq!(a, b);
}

// An endpoint crashes and restarts empty. It gets back the missing layers, since each load of
// another endpoint would take that one out of service for seconds.
#[test]
fn a_restarted_endpoint_fills_its_own_gap() {
    let mut holders = placed_fleet();
    let lost = holders[0].span;
    holders[0].span = Span::default();
    holders[0].run.started_at = 2;
    let orders = plan::next_orders(&engine(), &holders);
    assert!(orders.iter().any(|o| o.run == holders[0].run));
    apply_all(&mut holders, &orders);
    assert!(
        is_complete(&holders, "a"),
        "lost {lost}: {:?}",
        copies(&holders, Some("a"))
    );
}

// An endpoint is lost. Without a repair, every request of its zone would pass through another zone
// and back. Only endpoints whose layers all have a second copy are moved.
#[test]
fn a_zone_that_lost_an_endpoint_is_repaired_by_redundant_copies() {
    let mut holders = placed_fleet();
    // Remove an endpoint that is the only holder of a layer: the loss of a redundant copy needs no
    // repair.
    let own = copies(&holders, Some("a"));
    let alone = |h: &Holder| (h.span.from..h.span.to).any(|l| own[l as usize] == 1);
    let needed = |h: &Holder| h.zone == "a" && h.kind == "v100" && alone(h);
    let gone = holders.iter().position(needed).unwrap();
    holders.remove(gone);
    assert!(!is_complete(&holders, "a"));
    let orders = plan::next_orders(&engine(), &holders);
    assert_eq!(orders.len(), 1, "{orders:?}");
    for order in &orders {
        let own = copies(&holders, Some("a"));
        let span = order.held.from as usize..order.held.to as usize;
        assert!(own[span].iter().all(|&n| n >= 2), "{order:?}");
    }
    apply_all(&mut holders, &orders);
    assert!(is_complete(&holders, "a"));
    assert_eq!(plan::next_orders(&engine(), &holders), []);
}

// Endpoints die, restart, join and leave at random, and orders are carried out at once, late or not
// at all. No order may exceed the memory of an endpoint or move the last copy of a layer in its
// zone, and once no more faults occur the fleet must hold every layer.
#[test]
fn random_failures_end_in_a_complete_replica_set() {
    let engine = engine();
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut holders = fleet();
        let mut late: Vec<Order> = Vec::new();
        for step in 0..40 {
            match rng.random_range(0..4) {
                0 if holders.len() > 20 => {
                    holders.remove(rng.random_range(0..holders.len()));
                }
                1 => {
                    let at = rng.random_range(0..holders.len());
                    holders[at].span = Span::default();
                    holders[at].run.started_at += 1;
                }
                2 => {
                    let mut new = zone("b", 0, 1, 0);
                    new[0].run.id = format!("new-{step}");
                    holders.extend(new);
                }
                _ => {}
            }
            let orders = plan::next_orders(&engine, &holders);
            for order in orders {
                assert_copies_remain(&holders, &order);
                match rng.random_range(0..4) {
                    0 => late.push(order),
                    1 => {}
                    _ => apply_order(&mut holders, &order),
                }
            }
            if rng.random() && !late.is_empty() {
                let order = late.swap_remove(rng.random_range(0..late.len()));
                apply_order(&mut holders, &order);
            }
            assert_fits(&engine, &holders);
        }
        for _ in 0..5 {
            let orders = plan::next_orders(&engine, &holders);
            orders.iter().for_each(|o| apply_order(&mut holders, o));
        }
        let held = copies(&holders, None);
        assert!(held.iter().all(|&n| n > 0), "seed {seed}: {held:?}");
    }
}

/// Applies an order if the endpoint is still in the state that the order was planned for.
fn apply_order(holders: &mut [Holder], order: &Order) {
    let found = holders.iter_mut().find(|h| h.run == order.run);
    if let Some(holder) = found.filter(|h| h.span == order.held) {
        holder.span = order.span;
    }
}

fn assert_copies_remain(holders: &[Holder], order: &Order) {
    let holder = holders.iter().find(|h| h.run == order.run).unwrap();
    let own = copies(holders, Some(&holder.zone));
    let span = holder.span.from as usize..holder.span.to as usize;
    assert!(own[span].iter().all(|&n| n >= 2), "{order:?}");
}

/// Returns the capacity of the layer with the least, in tokens.
fn bottleneck(engine: &Engine, holders: &[Holder]) -> f64 {
    let capacity = |layer: Layer| -> f64 {
        let own = holders.iter().filter(|h| h.span.contains(layer));
        own.map(|h| {
            let kind = engine.accelerator(&h.kind).unwrap();
            engine.kv_capacity(kind, h.span.len()) / f64::from(h.span.len())
        })
        .sum()
    };
    (0..engine.layers).map(capacity).fold(f64::MAX, f64::min)
}

// The baseline is the best of many random plans, in which each endpoint holds as many layers as
// leave the same capacity, starting at a random layer. Requests pass through all layers, so plans
// are compared by the layer with the least capacity.
#[test]
fn the_plan_leaves_more_capacity_than_random_plans() {
    let engine = engine();
    let planned = bottleneck(&engine, &placed_fleet());
    let mut best: f64 = 0.0;
    for seed in 0..1000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut holders = fleet();
        for holder in &mut holders {
            let kind = engine.accelerator(&holder.kind).unwrap();
            let fit = engine.max_layers(kind, 148_650.0);
            let from = rng.random_range(0..=engine.layers - fit);
            holder.span = Span {
                from,
                to: from + fit,
            };
        }
        best = best.max(bottleneck(&engine, &holders));
    }
    println!(
        "room of the scarcest layer: plan {planned:.0} tokens, best of 1,000 random {best:.0}"
    );
    assert!(planned > best, "{planned} against {best}");
}

// While layers are missing, a small instance plans ten times a second. A plan for the maximum
// supported size of 4,700 endpoints in 18 zones must not occupy it for seconds.
#[test]
fn thousands_of_endpoints_are_planned() {
    let zones = (0..18).map(|z| format!("z{z}"));
    let holders: Vec<Holder> = zones.flat_map(|z| zone(&z, 28, 137, 96)).collect();
    let begun = Instant::now();
    let orders = plan::next_orders(&engine(), &holders);
    println!("{} orders in {:?}", orders.len(), begun.elapsed());
    assert_eq!(orders.len(), holders.len());
}

// Guards against a plan that walks every layer that an endpoint claims to hold.
#[test]
fn a_span_beyond_the_model_takes_no_time() {
    let engine = engine();
    let mut holders = zone("a", 1, 10, 4);
    holders[0].span = Span {
        from: 0,
        to: Layer::MAX,
    };
    let order = holders[0].order(Span { from: 0, to: 4 });
    let started = Instant::now();
    plan::next_orders(&engine, &holders);
    plan::preserves_coverage(&engine, &holders, &order);
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}
