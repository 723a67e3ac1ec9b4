//! Endpoints that limit the requests that they take from all nodes together.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::health::Outcome;
use steer::shortage::Shortage;
use steer::{Fleet, Selector, Timestamp};
use support::{ALLOWANCE, fleet, ms, need, plain, selector};

const PLAIN: u32 = 1;
/// When the endpoint first names its limit.
const NAMED_AT: Timestamp = ms(2000);
/// Time from then on after which the limit must hold.
const CONTACT: Duration = ms(3000);
/// Time for which a request runs.
const RUN_TIME: Duration = ms(20);
/// Time after which a node that was sent the limit counts.
const TOLD_AFTER: Duration = ms(500);
/// Window in which requests are counted.
const WINDOW: Duration = ms(4000);
/// End of a play.
const END: Timestamp = ms(32_000);

fn addr(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 80).into()
}

/// Nodes before endpoints, of which the first one names a limit.
struct Play {
    nodes: Vec<Selector>,
    /// When each node was first sent the limit.
    told: Vec<Option<Timestamp>>,
    /// Times and nodes of the requests that the limited endpoint got.
    got: Vec<(Timestamp, usize)>,
}

impl Play {
    /// Plays callers who send `rate` requests a second to random nodes. The endpoint allows
    /// `per_second`; `others` take what they get.
    fn run(nodes: usize, rate: f64, per_second: f64, others: u8, seed: u64) -> Self {
        let limited = plain(1).run;
        let endpoints: Vec<_> = (1..=1 + others).map(plain).collect();
        let members: Arc<Vec<SocketAddr>> = Arc::new((0..nodes).map(addr).collect());
        let selectors = (0..nodes).map(|node| {
            let mut selector = Selector::new(seed + node as u64, ALLOWANCE);
            let fleet = Fleet {
                members: members.clone(),
                me: Some(addr(node)),
                ..fleet(endpoints.clone(), nodes)
            };
            selector.update_fleet(ms(0), fleet);
            selector
        });
        let mut play = Self {
            nodes: selectors.collect(),
            told: vec![None; nodes],
            got: Vec::new(),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut running: BTreeMap<(Timestamp, u64), _> = BTreeMap::new();
        let mut sent = 0;
        let mut now = ms(0);
        while now < END {
            now += Duration::from_secs_f64(rng.random_range(0.0..2.0) / rate);
            while let Some(entry) = running.first_entry().filter(|e| e.key().0 <= now) {
                let ((at, _), (node, reservation)) = entry.remove_entry();
                play.respond(at, node, reservation, &limited, per_second);
            }
            let node = rng.random_range(0..nodes);
            let Ok(target) = play.nodes[node].select(now, PLAIN, &need(0), &[]) else {
                continue;
            };
            let to_limited = target.head().run == limited;
            if to_limited {
                play.got.push((now, node));
            }
            let reservation = to_limited.then_some(target.reservation);
            if reservation.is_none() {
                play.nodes[node].end(now, target.reservation, Outcome::Success, None);
            }
            sent += 1;
            running.insert((now + RUN_TIME, sent), (node, reservation));
        }
        play
    }

    fn respond(
        &mut self,
        now: Timestamp,
        node: usize,
        reservation: Option<u64>,
        limited: &catalog::endpoint::Run,
        per_second: f64,
    ) {
        let Some(reservation) = reservation else {
            return;
        };
        if now >= NAMED_AT {
            let interval = Duration::from_secs_f64(1.0 / per_second);
            self.nodes[node].record_limit(now, limited, interval);
            self.told[node].get_or_insert(now);
        }
        self.nodes[node].end(now, reservation, Outcome::Success, None);
    }

    /// Returns the largest number of requests in a window that count.
    fn most_in_a_window(&self) -> usize {
        let counted = |&&(at, node): &&(Timestamp, usize)| {
            at >= NAMED_AT + CONTACT - WINDOW
                && self.told[node].is_some_and(|told| told + TOLD_AFTER <= at)
        };
        let times: Vec<Timestamp> = self.got.iter().filter(counted).map(|g| g.0).collect();
        let ends = times.iter().filter(|end| **end >= NAMED_AT + CONTACT);
        let counts = ends.map(|&end| {
            let from = times.partition_point(|at| *at + WINDOW <= end);
            times.partition_point(|at| *at <= end) - from
        });
        counts.max().unwrap_or_default()
    }

    /// Returns the requests a second of the last ten seconds.
    fn last_rate(&self) -> f64 {
        let last = self.got.iter().filter(|g| g.0 >= END - ms(10_000));
        last.count() as f64 / 10.0
    }
}

fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

// Guards against nodes that together send more than an endpoint in need takes, in fleets with more and
// with fewer nodes than the limit has requests a second.
#[test]
fn nodes_together_keep_to_a_limit_and_use_it() {
    for (nodes, rate, per_second) in [
        (1, 60.0, 7.2),
        (7, 115.0, 7.2),
        (7, 115.0, 0.4),
        (7, 600.0, 60.0),
        (67, 400.0, 7.2),
        (300, 2000.0, 7.2),
        (300, 2000.0, 60.0),
    ] {
        for seed in 0..5 {
            let play = Play::run(nodes, rate, per_second, 3, seed);
            let case = format!("{nodes} nodes, {per_second} a second, seed {seed}");
            let most = play.most_in_a_window() as f64;
            assert!(most <= allowed(per_second), "{case}: {most} in 4 s");
            let used = play.last_rate();
            assert!(used >= per_second / 2.0, "{case}: {used} used");
        }
    }
}

// Guards against a limit that the only endpoint of a service names and that callers press beyond.
#[test]
fn a_limit_holds_when_there_is_no_other_endpoint() {
    for (nodes, rate) in [(7, 115.0), (300, 2000.0)] {
        for seed in 0..5 {
            let play = Play::run(nodes, rate, 7.2, 0, seed);
            let most = play.most_in_a_window() as f64;
            assert!(most <= allowed(7.2), "{nodes} nodes, seed {seed}: {most}");
        }
    }
}

// Guards against a limit that ends with a response which was sent before it, and against one that stays
// when the endpoint no longer names it.
#[test]
fn a_limit_ends_with_a_response_to_a_later_request() {
    let one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    let earlier = selector.select(ms(0), PLAIN, &need(0), &[]).unwrap();
    assert!(selector.record_limit(ms(100), &one.run, ms(500)));
    assert!(!selector.record_limit(ms(200), &one.run, ms(500)));
    assert!(!selector.record_no_limit(earlier.reservation));
    let later = selector.select(ms(700), PLAIN, &need(0), &[]).unwrap();
    let shortage = selector.select(ms(710), PLAIN, &need(0), &[]).unwrap_err();
    assert_eq!(shortage, Shortage::Rest { until: ms(1200) });
    assert!(selector.record_no_limit(later.reservation));
    assert!(selector.select(ms(720), PLAIN, &need(0), &[]).is_ok());
}

// Guards against a limit that is forgotten with a view that does not list its endpoint, and against one
// that a new run at the same address inherits.
#[test]
fn a_limit_belongs_to_a_run() {
    let mut one = plain(1);
    let mut selector = selector(vec![one.clone()]);
    selector.record_limit(ms(0), &one.run, ms(5000));
    selector.select(ms(0), PLAIN, &need(0), &[]).unwrap();
    selector.update_fleet(ms(10), fleet(Vec::new(), 1));
    selector.update_fleet(ms(20), fleet(vec![one.clone()], 1));
    assert!(selector.select(ms(30), PLAIN, &need(0), &[]).is_err());
    one.run.started_at += 1;
    selector.update_fleet(ms(40), fleet(vec![one], 1));
    assert!(selector.select(ms(50), PLAIN, &need(0), &[]).is_ok());
}

// Guards against wrong values that end the node or put an endpoint out of use for good.
#[test]
fn extreme_limits_are_kept() {
    let one = plain(1);
    for interval in [Duration::ZERO, Duration::MAX] {
        let mut selector = selector(vec![one.clone()]);
        selector.record_limit(ms(0), &one.run, interval);
        let target = selector.select(ms(1), PLAIN, &need(0), &[]).unwrap();
        let _ = selector.select(ms(2), PLAIN, &need(0), &[]);
        selector.record_no_limit(target.reservation);
        assert!(selector.select(ms(3), PLAIN, &need(0), &[]).is_ok());
    }
}
