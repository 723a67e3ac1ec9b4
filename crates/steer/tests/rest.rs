//! Endpoints that ask to be left alone for a time.

mod support;

use catalog::Endpoint;
use catalog::endpoint::State;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::health::Outcome;
use steer::rest::MAX_REST;
use steer::shortage::Shortage;
use steer::target::Target;
use steer::{Fleet, Selector};
use support::{LAYERS, endpoint, fleet, load, ms, need, plain, selector};

const MODEL: u32 = 0;
const PLAIN: u32 = 1;

fn is_available(selector: &Selector, at: usize, now: Duration) -> bool {
    selector.rows()[at].is_available(now)
}

fn put_to_rest(selector: &mut Selector, now: Duration, endpoint: &Endpoint, length: Duration) {
    selector.record_rest(now, &endpoint.run, length);
}

fn plain_shortage(selector: &mut Selector, now: Duration) -> Shortage {
    let selected = selector.select(now, PLAIN, &need(0), &[]);
    selected.expect_err("a target was selected")
}

// Guards against a rest that ends early because a response, a load report or a view arrives.
#[test]
fn a_rest_lasts_until_its_end_whatever_happens_meanwhile() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    let earlier = selector.select(ms(0), PLAIN, &need(0), &[]).unwrap();
    put_to_rest(&mut selector, ms(100), &one, ms(3000));
    selector.record_accepted(earlier.reservation);
    selector.end(ms(200), earlier.reservation, Outcome::Success, None);
    let loads = [(one.run.to_string(), load(1, 0.0, 0, ms(10)))];
    let renewed = Fleet {
        loads: Arc::new(BTreeMap::from(loads)),
        ..fleet(vec![one.clone(), plain(2)], 7)
    };
    selector.update_fleet(ms(300), renewed);
    assert!(!is_available(&selector, 0, ms(3099)) && is_available(&selector, 0, ms(3100)));
}

// Guards against a rest that is forgotten because a view does not list the endpoint.
#[test]
fn a_rest_lasts_while_its_endpoint_is_not_listed() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    put_to_rest(&mut selector, ms(0), &one, ms(3000));
    selector.update_fleet(ms(100), fleet(Vec::new(), 1));
    selector.update_fleet(ms(200), fleet(vec![one], 1));
    assert!(!is_available(&selector, 0, ms(2999)) && is_available(&selector, 0, ms(3000)));
}

// Guards against a rest that a restarted endpoint inherits.
#[test]
fn a_rest_ends_with_the_run() {
    let mut one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    put_to_rest(&mut selector, ms(0), &one, ms(3000));
    one.run.started_at += 1;
    selector.update_fleet(ms(100), fleet(vec![one], 1));
    assert!(is_available(&selector, 0, ms(100)));
}

#[test]
fn a_later_rest_does_not_shorten_an_earlier_one() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    put_to_rest(&mut selector, ms(0), &one, ms(3000));
    put_to_rest(&mut selector, ms(100), &one, ms(500));
    assert!(!is_available(&selector, 0, ms(2999)));
    put_to_rest(&mut selector, ms(200), &one, ms(5000));
    assert!(!is_available(&selector, 0, ms(5199)) && is_available(&selector, 0, ms(5200)));
}

// Guards against a wrong value that puts an endpoint out of use for good.
#[test]
fn the_length_of_a_rest_is_bounded() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    put_to_rest(&mut selector, ms(0), &one, Duration::MAX);
    let last = MAX_REST - ms(1);
    assert!(!is_available(&selector, 0, last) && is_available(&selector, 0, MAX_REST));
}

#[test]
fn a_rest_is_not_a_failure() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    for round in 0..5 {
        put_to_rest(&mut selector, ms(round * 10), &one, ms(1000));
    }
    assert_eq!(selector.rows()[0].health.failures(), 0);
    assert!(selector.take_transitions().is_empty());
    assert!(is_available(&selector, 0, ms(1040)));
}

// Guards against a burst of requests at the end of a rest.
#[test]
fn after_a_rest_requests_are_paced_until_one_is_accepted() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    put_to_rest(&mut selector, ms(0), &one, ms(1000));
    let mut sent = Vec::new();
    for now in 1000..1120 {
        let selected = selector.select(ms(now), PLAIN, &need(0), &[]);
        sent.extend(selected.map(|target| (now, target)));
    }
    let times: Vec<u64> = sent.iter().map(|(now, _)| *now).collect();
    assert_eq!(times, [1000, 1050, 1100]);
    selector.record_accepted(sent[0].1.reservation);
    for _ in 0..3 {
        assert!(selector.select(ms(1121), PLAIN, &need(0), &[]).is_ok());
    }
}

#[test]
fn a_target_whose_endpoint_asked_for_rest_since_is_recognized() {
    let (head, tail) = (
        endpoint(1, "a", "fast", 0, 4),
        endpoint(2, "a", "fast", 4, 8),
    );
    let mut selector = selector(vec![head, tail.clone()]);
    let target = selector.select(ms(0), MODEL, &need(100), &[]).unwrap();
    assert!(!selector.rests(ms(1), &target));
    put_to_rest(&mut selector, ms(1), &tail, ms(1000));
    assert!(selector.rests(ms(2), &target) && !selector.rests(ms(1001), &target));
}

#[test]
fn the_shortage_names_the_first_time_at_which_an_endpoint_is_available() {
    let (one, two, gone) = (plain(1), plain(2), plain(3));
    let mut draining = gone.clone();
    draining.state = State::Draining;
    let mut selector = selector(vec![one.clone(), two.clone(), draining]);
    put_to_rest(&mut selector, ms(0), &one, ms(3000));
    assert!(selector.select(ms(10), PLAIN, &need(0), &[]).is_ok());
    put_to_rest(&mut selector, ms(10), &two, ms(2000));
    put_to_rest(&mut selector, ms(10), &gone, ms(100));
    let shortage = plain_shortage(&mut selector, ms(20));
    assert_eq!(shortage, Shortage::Rest { until: ms(2010) });
}

// Guards against requests that are refused until the end of a rest although a full endpoint can
// take them earlier.
#[test]
fn an_endpoint_that_was_full_is_awaited_before_one_that_rests() {
    let (one, two) = (plain(1), plain(2));
    let mut selector = selector(vec![one.clone(), two.clone()]);
    put_to_rest(&mut selector, ms(0), &one, ms(3000));
    let target = selector.select(ms(0), PLAIN, &need(0), &[]).unwrap();
    assert_eq!(target.head().run, two.run);
    selector.end(ms(10), target.reservation, Outcome::Full, None);
    let shortage = plain_shortage(&mut selector, ms(20));
    assert_eq!(shortage, Shortage::Rest { until: ms(130) });
}

// Guards against chains and replaced stages on an endpoint that rests, and against a wrong time for
// callers: the request needs both halves of the model.
#[test]
fn a_chain_is_short_of_an_endpoint_that_rests_until_enough_rests_end() {
    let head = endpoint(1, "a", "fast", 0, 4);
    let tails = [
        endpoint(2, "a", "fast", 4, 8),
        endpoint(3, "a", "fast", 4, 8),
    ];
    let all = vec![head.clone(), tails[0].clone(), tails[1].clone()];
    let mut selector = selector(all);
    put_to_rest(&mut selector, ms(0), &head, ms(2000));
    put_to_rest(&mut selector, ms(0), &tails[0], ms(4000));
    put_to_rest(&mut selector, ms(0), &tails[1], ms(3000));
    let shortage = selector.select(ms(1), MODEL, &need(100), &[]);
    assert_eq!(shortage.unwrap_err(), Shortage::Rest { until: ms(3000) });
    let target = selector.select(ms(3000), MODEL, &need(100), &[]).unwrap();
    assert_eq!(target.stages[1].run, tails[1].run);
    let replaced = selector.reroute(ms(3001), &target, MODEL, &need(100), tails[1].addr);
    assert!(replaced.is_err());
    let replaced = selector.reroute(ms(4000), &target, MODEL, &need(100), tails[1].addr);
    assert_eq!(replaced.unwrap()[1].run, tails[0].run);
}

#[test]
fn a_shortage_with_another_cause_is_not_attributed_to_a_rest() {
    let head = endpoint(1, "a", "fast", 0, 4);
    let mut selector = selector(vec![head.clone()]);
    put_to_rest(&mut selector, ms(0), &head, ms(2000));
    let shortage = selector.select(ms(1), MODEL, &need(100), &[]).unwrap_err();
    assert_eq!(shortage, Shortage::Endpoints);
    let whole = endpoint(2, "a", "fast", 0, LAYERS);
    let mut selector = support::selector(vec![whole.clone()]);
    put_to_rest(&mut selector, ms(0), &whole, ms(2000));
    let large = selector.select(ms(1), MODEL, &need(50_000), &[]);
    assert_eq!(large.unwrap_err(), Shortage::Endpoints);
    let large = selector.select(ms(2000), MODEL, &need(50_000), &[]);
    assert_eq!(large.unwrap_err(), Shortage::Size);
    // The second half is lost to a failure, and an endpoint with the first half rests.
    let tail = endpoint(3, "a", "fast", 4, 8);
    let mut selector = support::selector(vec![head.clone(), tail.clone()]);
    selector.report_failed(ms(0), tail.addr);
    put_to_rest(&mut selector, ms(0), &head, ms(100));
    let shortage = selector.select(ms(1), MODEL, &need(100), &[]);
    assert_eq!(shortage.unwrap_err(), Shortage::Endpoints);
}

// Guards against an order of responses, failures, load reports, views and reroutes in which an
// endpoint that rests is selected.
#[test]
fn no_order_of_events_sends_a_request_to_an_endpoint_that_rests() {
    let sent: usize = (0..200).map(run_random_events).sum();
    assert!(sent > 10_000, "{sent}");
}

/// Runs random events and returns the number of requests that were sent.
fn run_random_events(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let whole = |n| endpoint(n, "a", "fast", 0, LAYERS);
    let half = |n, from| endpoint(n, "b", "slow", from, from + 4);
    let endpoints = vec![
        whole(1),
        whole(2),
        half(3, 0),
        half(4, 4),
        half(5, 0),
        half(6, 4),
    ];
    let mut selector = Selector::new(seed, support::ALLOWANCE);
    selector.update_fleet(ms(0), fleet(endpoints.clone(), 1));
    let mut rest_ends: HashMap<SocketAddr, u64> = HashMap::new();
    let mut targets: Vec<Target> = Vec::new();
    let mut sent = 0;
    for now in (0..3000).step_by(5) {
        let drawn = &endpoints[rng.random_range(0..endpoints.len())];
        match rng.random_range(0..12) {
            0 => {
                let length = rng.random_range(1..800);
                put_to_rest(&mut selector, ms(now), drawn, ms(length));
                let end = rest_ends.entry(drawn.addr).or_default();
                *end = (*end).max(now + length);
            }
            1 => {
                let listed = endpoints.iter().filter(|_| rng.random_bool(0.9)).cloned();
                selector.update_fleet(ms(now), fleet(listed.collect(), 3));
            }
            2..5 if !targets.is_empty() => {
                let target = targets.swap_remove(rng.random_range(0..targets.len()));
                let outcomes = [Outcome::Success, Outcome::Full, Outcome::Unknown];
                let outcome = outcomes[rng.random_range(0..3)];
                selector.end(ms(now), target.reservation, outcome, None);
            }
            5 if !targets.is_empty() => {
                let target = &targets[rng.random_range(0..targets.len())];
                selector.record_accepted(target.reservation);
            }
            6 if !targets.is_empty() => {
                let at = rng.random_range(0..targets.len());
                let target = &mut targets[at];
                let faulty = target.stages[target.stages.len() - 1].addr;
                if let Ok(stages) = selector.reroute(ms(now), target, MODEL, &need(10), faulty) {
                    let new = stages.iter().filter(|s| !target.stages.contains(s));
                    let rested = |a: SocketAddr| rest_ends.get(&a).is_none_or(|&end| now >= end);
                    assert!(new.clone().all(|s| rested(s.addr)), "seed {seed}, {now} ms");
                    target.stages = stages;
                }
            }
            _ => {
                let Ok(target) = selector.select(ms(now), MODEL, &need(10), &[]) else {
                    continue;
                };
                let rested = |a: SocketAddr| rest_ends.get(&a).is_none_or(|&end| now >= end);
                let stages = &target.stages;
                assert!(
                    stages.iter().all(|s| rested(s.addr)),
                    "seed {seed}, {now} ms"
                );
                sent += 1;
                targets.push(target);
            }
        }
    }
    sent
}

#[test]
fn the_dump_shows_the_end_of_a_rest() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    assert!(!selector.to_string().contains("rest"));
    put_to_rest(&mut selector, ms(500), &one, ms(3000));
    assert!(selector.to_string().contains(" rest until 3.500"));
}
