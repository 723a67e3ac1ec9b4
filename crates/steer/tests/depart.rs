//! Stages that will not serve until the end of an answer.
//!
//! A chain of three stages is in flight. One endpoint drains, is replaced by its operator, or is
//! ordered to hold other layers, and keeps serving the requests that pass through it for a while.

mod support;

use catalog::Endpoint;
use catalog::endpoint::{Span, State};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use steer::target::Target;
use steer::{Fleet, Selector};
use support::{endpoint, fleet, need, selector};

fn rows() -> Vec<Endpoint> {
    vec![
        endpoint(1, "a", "fast", 0, 3),
        endpoint(2, "a", "fast", 3, 6),
        endpoint(3, "a", "fast", 6, 8),
    ]
}

fn in_flight() -> (Selector, Target) {
    let mut selector = selector(rows());
    let target = selector.select(Duration::ZERO, 0, &need(20), &[]).unwrap();
    assert_eq!(selector.departing(&target), None);
    (selector, target)
}

/// Returns the index of the departing stage after `change` to the endpoints.
fn departs(change: impl Fn(&mut Vec<Endpoint>)) -> Option<usize> {
    let (mut selector, target) = in_flight();
    let mut rows = rows();
    change(&mut rows);
    selector.update_fleet(Duration::from_secs(1), fleet(rows, 1));
    let addr = selector.departing(&target)?;
    target.stages.iter().position(|s| s.addr == addr)
}

#[test]
fn a_stage_departs_if_it_drains_disappears_or_releases_its_layers() {
    assert_eq!(departs(|rows| rows[1].state = State::Draining), Some(1));
    assert_eq!(departs(|rows| drop(rows.remove(2))), Some(2));
    assert_eq!(
        departs(|rows| rows[1].span = Span { from: 4, to: 8 }),
        Some(1)
    );
    // The endpoint restarted at its address, and holds nothing from before.
    assert_eq!(departs(|rows| rows[2].run.started_at = 2), Some(2));
}

// An endpoint that loads additional layers keeps serving the answer. The head holds the request, so
// it cannot be replaced.
#[test]
fn a_stage_with_more_layers_and_the_head_do_not_depart() {
    assert_eq!(departs(|rows| rows[1].span = Span { from: 2, to: 7 }), None);
    assert_eq!(departs(|rows| rows[0].state = State::Draining), None);
}

// Guards against requests that are sent to an endpoint about to release its layers, which then
// refuses them.
#[test]
fn an_endpoint_about_to_release_its_layers_departs_and_gets_no_new_requests() {
    let (mut selector, target) = in_flight();
    let moved = &target.stages[1];
    let releasing = BTreeSet::from([moved.run.to_string()]);
    let view = Fleet {
        releasing: Arc::new(releasing),
        ..fleet(rows(), 1)
    };
    selector.update_fleet(Duration::from_secs(1), view);
    assert_eq!(selector.departing(&target), Some(moved.addr));
    let row = selector.rows().iter().find(|r| r.endpoint.run == moved.run);
    assert!(row.is_some_and(|r| !r.is_available(Duration::from_secs(1))));
    selector.update_fleet(Duration::from_secs(2), fleet(rows(), 1));
    assert_eq!(selector.departing(&target), None);
}
