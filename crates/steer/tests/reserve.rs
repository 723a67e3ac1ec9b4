//! Capacity that less urgent requests leave free for urgent ones.

mod support;

use catalog::Catalog;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steer::chain::Need;
use steer::shortage::Shortage;
use steer::{Fleet, Selector};
use support::{ALLOWANCE, LAYERS, catalog, endpoint, fleet, load, ms, need};

/// Number of tokens that the endpoint holds at all its layers.
const CAPACITY: u32 = 250;

/// A selector with one endpoint, load reports of this age, and ten urgent requests of ten tokens in
/// the last second. The routes have these priorities.
fn selector(priorities: [u8; 2], age: Duration) -> Selector {
    let mut catalog = Catalog::clone(&catalog());
    catalog.routes = vec![catalog.routes[0].clone(); 2];
    catalog.routes[0].priority = priorities[0];
    catalog.routes[1].priority = priorities[1];
    let endpoint = endpoint(1, "a", "fast", 0, LAYERS);
    let report = (endpoint.run.to_string(), load(1, 0.0, 0, age));
    let mut selector = Selector::new(1, ALLOWANCE);
    let fleet = Fleet {
        catalog: Arc::new(catalog),
        loads: Arc::new(BTreeMap::from([report])),
        ..fleet(vec![endpoint], 1)
    };
    selector.update_fleet(ms(5_000), fleet);
    for at in 0..10 {
        selector.record_urgent(ms(4_000 + 100 * at), "model", &need(10));
    }
    selector
}

/// Returns whether a request of this many tokens finds capacity.
fn fits(selector: &mut Selector, tokens: u32, urgent: bool) -> bool {
    let need = Need {
        urgent,
        ..need(tokens)
    };
    let found = selector.can_select(ms(5_000), 0, &need, &[]);
    assert!(
        matches!(found, Ok(()) | Err(Shortage::Capacity)),
        "{found:?}"
    );
    found.is_ok()
}

// Guards against urgent requests that find no capacity since less urgent ones took it, and against a
// reservation beyond 30%.
#[test]
fn less_urgent_requests_leave_what_urgent_ones_are_expected_to_need() {
    // 0.4 s x 10 requests a second x 10 tokens are 16% of the capacity.
    let mut some = selector([0, 1], ms(400));
    assert!(fits(&mut some, CAPACITY * 8 / 10, false));
    assert!(!fits(&mut some, CAPACITY * 9 / 10, false));
    assert!(fits(&mut some, CAPACITY, true));
    let mut most = selector([0, 1], ms(1_400));
    assert!(fits(&mut most, CAPACITY * 7 / 10, false));
    assert!(!fits(&mut most, CAPACITY * 8 / 10, false));
}

// Guards against a change of deployments whose routes have one priority, and against a reservation by
// reports that say too little.
#[test]
fn nothing_is_reserved_with_one_priority_or_old_reports() {
    for (priorities, age) in [([0, 0], ms(400)), ([0, 1], ms(1_600))] {
        let mut selector = selector(priorities, age);
        assert!(fits(&mut selector, CAPACITY * 94 / 100, false));
    }
}
