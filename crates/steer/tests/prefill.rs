//! Price and order of prefill, for single requests.

mod support;

use catalog::Catalog;
use catalog::engine::{Engine, Size};
use std::sync::Arc;
use steer::chain::Need;
use steer::load::Load;
use steer::prefill::Admission;
use steer::{Fleet, Selector};
use support::{ALLOWANCE, catalog_with, endpoint, fleet, large_engine, load, ms};

fn engine() -> Engine {
    Engine {
        prefill_chunk: Some(512),
        ..large_engine(8, 400)
    }
}

/// A fleet of this many equal endpoints, which hold all layers, as seen by a single node.
fn fleet_with(endpoints: u8) -> Fleet {
    let endpoints = (0..endpoints).map(|n| endpoint(n, "a", "slow", 0, 8));
    Fleet {
        catalog: catalog_with(engine()),
        ..fleet(endpoints.collect(), 1)
    }
}

/// A selector of one node that knows such a fleet.
fn selector(endpoints: u8) -> Selector {
    let mut selector = Selector::new(3, ALLOWANCE);
    selector.update_fleet(ms(0), fleet_with(endpoints));
    selector
}

fn need(prompt: u32) -> Need {
    let size = Size { prompt, answer: 50 };
    let urgent = false;
    Need { size, urgent }
}

/// Returns the endpoint that a request is sent to.
fn select(selector: &mut Selector, now: u64, prompt: u32) -> String {
    let target = selector.select(ms(now), 0, &need(prompt), &[]).unwrap();
    target.head().run.id.clone()
}

// Guards against prompts that wait behind prefill in progress while an equal endpoint has none, and
// against prefill that counts after the first event.
#[test]
fn a_prompt_avoids_prefill_in_progress() {
    let mut selector = selector(2);
    let [busy, idle] = [0, 1].map(|at| selector.rows()[at].endpoint.run.clone());
    for (other, is_done) in [(&idle, false), (&busy, true)] {
        for _ in 0..6 {
            let excluded = std::slice::from_ref(other);
            let target = selector.select(ms(0), 0, &need(700), excluded).unwrap();
            if is_done {
                selector.record_first_event(ms(20), target.reservation);
            }
        }
    }
    for _ in 0..10 {
        assert_eq!(select(&mut selector, 20, 100), idle.id);
    }
}

// Guards against a bound on prefill in progress that refuses requests, and against one that is not
// kept while another endpoint is below it.
#[test]
fn an_endpoint_over_the_bound_is_used_only_without_another() {
    let mut selector = selector(2);
    let [filled, other] = [0, 1].map(|at| selector.rows()[at].endpoint.run.clone());
    let slow = Load {
        slowdown: 100.0,
        ..load(1, 0.0, 0, ms(0))
    };
    let loads = [(other.to_string(), slow)];
    let reported = Fleet {
        loads: Arc::new(loads.into()),
        ..fleet_with(2)
    };
    selector.update_fleet(ms(0), reported);
    // Each long prompt takes 0.11 s with the steps between its chunks; two exceed the bound of
    // 0.4 x 0.5 s.
    for expected in [&filled, &filled, &other] {
        assert_eq!(select(&mut selector, 0, 10), expected.id);
        let excluded = std::slice::from_ref(&other);
        let target = selector.select(ms(0), 0, &need(2200), excluded);
        assert_eq!(target.unwrap().head().run, filled);
    }
    for _ in 0..30 {
        select(&mut selector, 0, 2200);
    }
}

// Guards against state that outlives its endpoint or grows without bound.
#[test]
fn prefill_ends_with_its_endpoint_and_is_bounded() {
    let mut selector = selector(1);
    for n in 0..300 {
        select(&mut selector, n, 10);
    }
    assert!(selector.rows()[0].prefill.prompts().len() <= 64);
    assert!(selector.prefill_in_progress(ms(300))["model"] > 0.0);
    selector.update_fleet(ms(300), fleet_with(0));
    selector.update_fleet(ms(301), fleet_with(1));
    assert_eq!(selector.prefill_in_progress(ms(301))["model"], 0.0);
}

fn priority(catalog: &Catalog, priority: u8, prompt: u32, waited: u64) -> u8 {
    let admission = Admission {
        priority,
        prompt,
        waited: ms(waited),
        may_overtake: prompt < 1000,
        latency_target: ms(500),
    };
    admission.engine_priority(catalog, 0)
}

// Guards against a long prompt of a more urgent route that comes after a short one of a less urgent
// route, and against long prompts that are overtaken for ever.
#[test]
fn the_size_class_orders_within_a_priority_and_ends_with_the_wait() {
    let catalog = catalog_with(engine());
    let classes = [300, 775, 2200].map(|prompt| priority(&catalog, 1, prompt, 0));
    assert_eq!(classes, [3, 4, 5]);
    assert_eq!(priority(&catalog, 0, 2200, 0), 2);
    assert_eq!(priority(&catalog, 2, 300, 0), 6);
    assert_eq!(priority(&catalog, 1, 2200, 166), 5);
    assert_eq!(priority(&catalog, 1, 2200, 167), 3);
}

// Guards against combined priorities above the 9 that engines accept, which would all be equal.
#[test]
fn a_priority_above_2_anywhere_leaves_priorities_as_they_are() {
    let tables = |priority| {
        let mut catalog = support::tables_with(engine());
        catalog.routes[0].priority = priority;
        Arc::new(Catalog::try_from(catalog).unwrap())
    };
    assert_eq!(priority(&tables(3), 1, 2200, 0), 1);
    assert_eq!(priority(&tables(2), 1, 2200, 0), 5);
}
