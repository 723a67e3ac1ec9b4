//! Endpoints that announced that they leave: they are not selected again, whatever the views say.

mod support;

use catalog::Endpoint;
use std::sync::Arc;
use std::time::Duration;
use steer::health::Outcome;
use steer::shortage::Shortage;
use steer::target::Target;
use steer::transition::Transition;
use steer::{Fleet, Selector};
use support::{catalog, endpoint, fleet, load, ms, need, plain, selector};

/// Id of the plain service in the catalog of the tests.
const PLAIN: u32 = 1;

/// Returns a selector of one plain endpoint that announced that it leaves.
fn announced(endpoint: &Endpoint) -> Selector {
    let mut selector = selector(vec![endpoint.clone()]);
    selector.record_leaving(ms(10), &endpoint.run, endpoint.addr);
    selector
}

fn select(selector: &mut Selector, at: Duration) -> steer::Result<Target> {
    selector.select(at, PLAIN, &need(20), &[])
}

fn is_unused(selector: &mut Selector, at: Duration) -> bool {
    select(selector, at) == Err(Shortage::Endpoints)
}

// Guards against an announcement that is undone by what a node learns of the endpoint later.
#[test]
fn nothing_undoes_an_announcement() {
    let endpoint = plain(1);
    let mut selector = selector(vec![endpoint.clone()]);
    let earlier = select(&mut selector, ms(5)).unwrap();
    selector.record_leaving(ms(10), &endpoint.run, endpoint.addr);
    assert!(is_unused(&mut selector, ms(10)));
    selector.end(ms(20), earlier.reservation, Outcome::Success, None);
    assert!(is_unused(&mut selector, ms(20)), "after a success");
    let reported = load(20, 0.0, 0, Duration::ZERO);
    let view = Fleet {
        catalog: catalog(),
        loads: Arc::new([(endpoint.run.to_string(), reported)].into()),
        ..fleet(vec![endpoint.clone()], 1)
    };
    selector.update_fleet(ms(30), view);
    assert!(is_unused(&mut selector, ms(30)), "after a view");
    assert!(is_unused(&mut selector, Duration::from_secs(60)), "later");
}

// Guards against an announcement that is forgotten while the registration is missing, or that comes
// before the registration.
#[test]
fn an_announcement_does_not_depend_on_the_registration() {
    let endpoint = plain(1);
    let mut missing = announced(&endpoint);
    missing.update_fleet(ms(20), fleet(Vec::new(), 1));
    missing.update_fleet(Duration::from_secs(90), fleet(vec![endpoint.clone()], 1));
    assert!(is_unused(&mut missing, Duration::from_secs(90)));
    let mut early = selector(Vec::new());
    early.record_leaving(ms(10), &endpoint.run, endpoint.addr);
    early.update_fleet(ms(20), fleet(vec![endpoint], 1));
    assert!(is_unused(&mut early, ms(20)));
}

// Guards against an announcement in a view that the next view undoes.
#[test]
fn an_announcement_in_a_view_is_kept() {
    let endpoint = plain(1);
    let mut selector = selector(vec![endpoint.clone()]);
    let view = Fleet {
        leaving: Arc::new([endpoint.run.to_string()].into()),
        ..fleet(vec![endpoint.clone()], 1)
    };
    selector.update_fleet(ms(10), view);
    assert!(is_unused(&mut selector, ms(10)));
    let (run, addr) = (endpoint.run.clone(), endpoint.addr);
    let transition = Transition::Leaving { run, addr };
    assert_eq!(selector.take_transitions(), [transition]);
    selector.update_fleet(ms(20), fleet(vec![endpoint], 1));
    assert!(is_unused(&mut selector, ms(20)));
    assert!(selector.take_transitions().is_empty());
}

// Guards against a new run that inherits the announcement of its predecessor at the address.
#[test]
fn a_new_run_is_used() {
    let endpoint = plain(1);
    let mut restarted = endpoint.clone();
    restarted.run.started_at += 1;
    let mut selector = announced(&endpoint);
    selector.update_fleet(ms(20), fleet(vec![endpoint, restarted.clone()], 1));
    let target = select(&mut selector, ms(20)).unwrap();
    assert_eq!(target.head().run, restarted.run);
}

// Guards against announcements that are kept for ever.
#[test]
fn an_announcement_is_discarded_long_after_the_run_has_disappeared() {
    let endpoint = plain(1);
    let mut selector = announced(&endpoint);
    let hours = |n: u64| Duration::from_secs(3600 * n);
    selector.update_fleet(hours(1), fleet(vec![endpoint.clone()], 1));
    assert!(is_unused(&mut selector, hours(1)), "while it is registered");
    selector.update_fleet(hours(2), fleet(Vec::new(), 1));
    selector.update_fleet(hours(3), fleet(vec![endpoint], 1));
    assert!(select(&mut selector, hours(3)).is_ok());
}

// Guards against responses that stay on a stage whose endpoint announced that it leaves until the
// next view, and against a replacement by such an endpoint.
#[test]
fn a_stage_departs_at_once_and_is_replaced_by_an_endpoint_that_stays() {
    let rows: Vec<Endpoint> = [(1, 0, 3), (2, 3, 8), (3, 3, 8), (4, 3, 8)]
        .map(|(number, from, to)| endpoint(number, "a", "fast", from, to))
        .into();
    let mut selector = selector(rows.clone());
    let target = selector.select(ms(1), 0, &need(20), &[]).unwrap();
    let stage = &target.stages[1];
    let others: Vec<&Endpoint> = rows[1..].iter().filter(|e| e.run != stage.run).collect();
    selector.record_leaving(ms(2), &stage.run, stage.addr);
    assert_eq!(selector.departing(&target), Some(stage.addr));
    selector.record_leaving(ms(3), &others[0].run, others[0].addr);
    let reroute =
        |selector: &mut Selector| selector.reroute(ms(4), &target, 0, &need(20), stage.addr);
    let stages = reroute(&mut selector).unwrap();
    assert_eq!(stages[1].run, others[1].run);
    selector.record_leaving(ms(5), &others[1].run, others[1].addr);
    assert_eq!(reroute(&mut selector), Err(Shortage::Layers));
}

// Guards against a target that is used although one of its endpoints announced meanwhile that it
// leaves, and against an announcement that is reported with each response.
#[test]
fn a_target_and_the_control_task_learn_of_an_announcement_once() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 3),
        endpoint(2, "a", "fast", 3, 8),
    ];
    let mut selector = selector(rows.clone());
    let target = selector.select(ms(1), 0, &need(20), &[]).unwrap();
    assert!(!selector.is_leaving(&target));
    let (run, addr) = (rows[1].run.clone(), rows[1].addr);
    selector.record_leaving(ms(2), &run, addr);
    selector.record_leaving(ms(3), &run, addr);
    assert!(selector.is_leaving(&target));
    let dump = selector.to_string();
    let marked: Vec<&str> = dump.lines().filter(|l| l.contains(" leaving")).collect();
    assert!(
        marked.len() == 1 && marked[0].contains(&run.to_string()),
        "{dump}"
    );
    assert_eq!(
        selector.take_transitions(),
        [Transition::Leaving { run, addr }]
    );
}
