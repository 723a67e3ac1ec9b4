//! When an endpoint is left out, for how long, and whom that is told.

mod support;

use steer::health::{Health, Outcome};
use steer::note::Note;
use support::{ms, need, plain, steer};

const PLAIN: u32 = 1;

/// When an endpoint is used again that fails each time it is tried, from 0 on.
fn trials(count: usize) -> Vec<u64> {
    let mut health = Health::default();
    let mut now = 0;
    let mut trials = Vec::new();
    for _ in 0..count {
        health.ended(ms(now), ms(now), Outcome::Failed);
        while !health.usable(ms(now)) {
            now += 1;
        }
        trials.push(now);
    }
    trials
}

#[test]
fn a_dead_endpoint_is_tried_more_and_more_seldom() {
    assert_eq!(trials(6), [300, 900, 2100, 4500, 8500, 12500]);
}

// An endpoint crashes under a hundred requests. Each of them fails; counted one by one they would
// keep the endpoint out for the longest time, although it is back after a moment.
#[test]
fn requests_that_break_off_together_are_one_failure() {
    let mut health = Health::default();
    for _ in 0..100 {
        health.ended(ms(50), ms(10), Outcome::Failed);
    }
    assert_eq!(health.failures(), 1);
    assert!(health.usable(ms(350)));
}

#[test]
fn one_good_answer_clears_an_endpoint() {
    let mut health = Health::default();
    health.ended(ms(0), ms(0), Outcome::Failed);
    health.ended(ms(10), ms(0), Outcome::Good);
    assert!(health.usable(ms(10)) && health.failures() == 0);
}

#[test]
fn a_full_endpoint_is_passed_over_and_not_blamed() {
    let mut health = Health::default();
    health.ended(ms(0), ms(0), Outcome::Full);
    assert!(!health.usable(ms(100)) && health.usable(ms(120)));
    assert_eq!(health.failures(), 0);
}

// Other nodes should not learn of a dead endpoint by an attempt each. One failure may be the
// request's or this node's own, so the second in a row is told, and the recovery after it.
#[test]
fn the_second_failure_in_a_row_is_told() {
    let mut steer = steer(vec![plain(1)]);
    let mut attempt = |now: u64, outcome| {
        let target = steer.target(ms(now), PLAIN, &need(0), &[]).unwrap();
        steer.end(ms(now), target.hold, outcome, None);
        steer.take_notes()
    };
    assert_eq!(attempt(0, Outcome::Failed), []);
    let run = plain(1).run;
    assert_eq!(attempt(300, Outcome::Failed), [Note::Down(run.clone())]);
    assert_eq!(attempt(900, Outcome::Good), [Note::Up(run)]);
}

#[test]
fn the_endpoint_with_the_least_under_way_gets_the_next_request() {
    let mut steer = steer(vec![plain(1), plain(2), plain(3)]);
    let mut heads: Vec<_> = (0..3)
        .map(|_| steer.target(ms(0), PLAIN, &need(0), &[]).unwrap())
        .map(|t| t.head().run.id.clone())
        .collect();
    heads.sort();
    assert_eq!(heads, ["e1", "e2", "e3"]);
    let tried = [plain(1).run, plain(2).run];
    let other = steer.target(ms(0), PLAIN, &need(0), &tried);
    assert_eq!(other.unwrap().head().run.id, "e3");
}
