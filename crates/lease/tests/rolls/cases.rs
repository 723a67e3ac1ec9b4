//! Scenarios of single rolls.

use crate::fleet::{Engine, Fleet, LOAD, SECOND, bundle, settings};
use lease::roll::{Health, Order, Phase, Rate, Roll};

#[test]
fn an_empty_fleet_is_loaded_zone_by_zone_within_the_rate() {
    let mut fleet = Fleet::new(bundle(1, 3, 2, "v1"));
    fleet.run(SECOND * 600);
    assert_eq!(fleet.done(), 12);
    assert_eq!(fleet.roll.phase(), &Phase::Settled);
    assert_eq!(fleet.findings, Vec::<String>::new());
    let starts: Vec<_> = fleet.orders.iter().map(|(at, ..)| *at).collect();
    assert!(
        starts
            .windows(2)
            .all(|w| w[1] - w[0] >= fleet.rate.spacing())
    );
}

#[test]
fn a_new_version_never_removes_the_last_complete_replica() {
    for engine in [Engine::InPlace, Engine::Beside] {
        let mut fleet = Fleet::full(bundle(1, 3, 2, "v1"));
        fleet.engine = engine;
        fleet.run(SECOND * 5);
        assert!(fleet.orders.is_empty());
        fleet.bundle = bundle(2, 3, 2, "v2");
        fleet.run(SECOND * 900);
        assert_eq!(fleet.done(), 12, "{engine:?}");
        assert_eq!(fleet.findings, Vec::<String>::new());
        assert!(
            fleet
                .reports
                .iter()
                .flatten()
                .all(|r| r.holdings.len() == 1)
        );
    }
}

/// Zones must be updated one after the other, each only after the soak time of the one before.
#[test]
fn one_zone_at_a_time() {
    let mut fleet = Fleet::full(bundle(1, 3, 2, "v1"));
    fleet.bundle = bundle(2, 3, 2, "v2");
    fleet.run(SECOND * 900);
    let loads = fleet
        .orders
        .iter()
        .filter(|(.., order)| order.fetches_weights());
    let loads: Vec<_> = loads
        .map(|(at, id, _)| (*at, fleet.bundle.endpoints[*id as usize].zone))
        .collect();
    assert_eq!(loads.len(), 12);
    let soak = settings().soak;
    for pair in loads.windows(2) {
        let ((before, from), (after, to)) = (pair[0], pair[1]);
        assert!(from <= to);
        assert!(from == to || after >= before + LOAD + soak, "{pair:?}");
    }
}

#[test]
fn a_model_with_one_replica_is_blocked_and_named() {
    let mut fleet = Fleet::full(bundle(1, 1, 1, "v1"));
    fleet.bundle = bundle(2, 1, 1, "v2");
    fleet.run(SECOND * 100);
    assert_eq!(fleet.roll.phase(), &Phase::Blocked("z0-0a".into()));
    assert!(fleet.orders.is_empty());
    fleet.bundle.models[0].version = "v1".into();
    fleet.bundle.models[0].adapters.push("extra".into());
    fleet.run(SECOND * 100);
    assert_eq!(fleet.roll.phase(), &Phase::Settled);
    assert_eq!(fleet.findings, Vec::<String>::new());
}

/// New replicas of v2 never become ready. After two failures the roll must stop, report this once,
/// and send no more orders, even under a new holder, which learns of the stop from the lease. A
/// newer bundle resumes the roll.
#[test]
fn failing_replicas_stop_the_roll_until_a_newer_bundle() {
    let mut fleet = Fleet::full(bundle(1, 3, 3, "v1"));
    fleet.bundle = bundle(2, 3, 3, "v2");
    fleet.bad = Some("v2".into());
    fleet.run(SECOND * 200);
    assert_eq!(fleet.roll.phase(), &Phase::Stopped(2));
    assert_eq!(fleet.stops, 1);
    assert!(fleet.covered());
    let orders = fleet.orders.len();
    fleet.roll = Roll::new(settings());
    fleet.run(SECOND * 200);
    assert_eq!((fleet.orders.len(), fleet.stops), (orders, 1));
    fleet.bundle = bundle(3, 3, 3, "v3");
    fleet.run(SECOND * 1500);
    assert_eq!(fleet.done(), 18);
    assert_eq!(fleet.findings, Vec::<String>::new());
}

/// Replicas of a new version go down soon after they are ready. The roll must stop.
#[test]
fn replicas_that_go_down_when_ready_stop_the_roll() {
    let mut fleet = Fleet::full(bundle(1, 3, 3, "v1"));
    fleet.bundle = bundle(2, 3, 3, "v2");
    for _ in 0..200 {
        fleet.run(SECOND);
        for id in 0..fleet.reports.len() {
            let held = fleet.reports[id].iter().flat_map(|r| &r.holdings);
            if held.into_iter().any(|h| h.ready && h.version == "v2") {
                fleet.health[id] = Health::Down;
            }
        }
    }
    assert_eq!(fleet.roll.phase(), &Phase::Stopped(2));
    assert!(fleet.covered());
}

/// Bundle 3 comes into force during the roll of bundle 2. From then on endpoints on either older
/// version must get only orders for the version of bundle 3. The zone in progress is finished
/// first.
#[test]
fn a_newer_bundle_takes_over_mid_roll() {
    let mut fleet = Fleet::full(bundle(1, 3, 2, "v1"));
    fleet.bundle = bundle(2, 3, 2, "v2");
    fleet.run(SECOND * 30);
    assert!(fleet.done() < 12);
    fleet.bundle = bundle(3, 3, 2, "v3");
    let before = fleet.orders.len();
    fleet.run(SECOND * 1500);
    let late = |(_, _, order): &&(_, _, Order)| matches!(order, Order::Load { version, .. } if version != "v3");
    assert_eq!(fleet.orders[before..].iter().filter(late).count(), 0);
    assert_eq!(fleet.done(), 12);
    assert_eq!(fleet.findings, Vec::<String>::new());
}

/// Orders are lost in transit. Each must be sent again until a report shows its effect.
#[test]
fn lost_orders_are_sent_again() {
    let mut fleet = Fleet::full(bundle(1, 2, 2, "v1"));
    fleet.bundle = bundle(2, 2, 2, "v2");
    fleet.lose = 5;
    fleet.run(SECOND * 900);
    assert_eq!(fleet.done(), 8);
    assert_eq!(fleet.stops, 0);
}

/// An endpoint that ignores fencing numbers executes a late order of an old holder and loads the
/// old version over the new one. Once it reports this, it must get the right order again.
#[test]
fn a_late_order_of_an_old_holder_is_corrected() {
    let mut fleet = Fleet::full(bundle(2, 2, 2, "v2"));
    fleet.run(SECOND * 5);
    let span = fleet.bundle.endpoints[3].spans[0];
    let old = Order::load(&bundle(1, 2, 2, "v1"), &span).unwrap();
    fleet.obey(3, &old);
    assert_eq!(fleet.done(), 7);
    fleet.run(SECOND * 300);
    assert_eq!(fleet.done(), 8);
    let report = fleet.reports[3].clone().unwrap();
    assert!(
        report.holdings.iter().all(|h| h.version == "v2"),
        "{report:?}"
    );
    assert_eq!(fleet.roll.phase(), &Phase::Settled);
}

/// The holder changes while endpoints load. The new one must take the loads from the reports,
/// respect the rate of the weight store, and continue the roll.
#[test]
fn a_new_holder_continues_within_the_rate() {
    let mut fleet = Fleet::full(bundle(1, 3, 2, "v1"));
    fleet.rate = Rate {
        per_minute: 6,
        at_once: 2,
    };
    fleet.bundle = bundle(2, 3, 2, "v2");
    while fleet.now < SECOND * 1500 {
        fleet.run(LOAD + SECOND * 7);
        fleet.roll = Roll::new(settings());
    }
    assert_eq!(fleet.done(), 12);
    assert_eq!(fleet.findings, Vec::<String>::new());
}

/// Endpoints of two zones restart without any layers. Both must load again without waiting for the
/// other zone.
#[test]
fn a_restarted_endpoint_is_loaded_at_once() {
    let mut fleet = Fleet::full(bundle(1, 3, 2, "v1"));
    fleet.run(SECOND * 60);
    fleet.restart(0);
    fleet.restart(9);
    fleet.run(SECOND * 30);
    assert_eq!(fleet.done(), 12);
}
