//! Unit tests of flows, queues, team limits, concurrency limits, health, retry budget and crash
//! table.

#[path = "support/fixture.rs"]
mod fixture;

use route::concurrency::Limiter;
use route::crash;
use route::health::{EJECTION_THRESHOLD, Health, State};
use route::plan::{self, Plan};
use route::queue::{Entry, Queue, Rank};
use route::request::Target;
use route::retry::Budget;
use route::share::Table;
use route::view::Share;
use std::sync::Arc;
use std::time::Duration;

const MODEL: Target = Target::Model(0, None);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn max_throughput_is_the_minimum_cut() {
    // Two replicas in each of three zones, each with 6400 layers/s over 16 layers.
    let equal = fixture::fleet(2, 4, 1);
    assert!((plan::max_throughput(&equal, 0) - 2400.0).abs() < 1e-3);
    // The stages are in two zones that are connected by a link of 100 tokens/s only.
    let mut split = fixture::bundle(1);
    fixture::stage(&mut split, 0, 0, 0, 16, 4);
    fixture::stage(&mut split, 1, 0, 16, 32, 4);
    assert!((plan::max_throughput(&split, 0) - 400.0).abs() < 1e-3);
    fixture::link(&mut split, 0, 1, 100.0);
    assert!((plan::max_throughput(&split, 0) - 100.0).abs() < 1e-3);
    // Without a second stage there is no flow.
    split.endpoints.pop();
    assert_eq!(plan::max_throughput(&split, 0), 0.0);
}

#[test]
fn flow_is_split_by_capacity_and_never_exceeds_it() {
    let mut bundle = fixture::bundle(1);
    fixture::stage(&mut bundle, 0, 0, 0, 16, 4);
    fixture::stage(&mut bundle, 0, 0, 16, 32, 4);
    fixture::stage(&mut bundle, 0, 1, 16, 32, 4);
    let plan = Plan::new(&fixture::view(&Arc::new(bundle), 0), |_| true, 1, 96);
    let graph = &plan.full[0];
    let flows: Vec<f64> = graph.flows.iter().map(|f| f.round()).collect();
    assert_eq!(flows, [400.0, 320.0, 80.0]);
}

#[test]
fn chain_may_enter_an_overlapping_stage_at_an_inner_layer() {
    // One endpoint holds layers 0..20, the other 12..32; a chain enters the latter at 20.
    let mut bundle = fixture::bundle(1);
    fixture::stage(&mut bundle, 0, 0, 0, 20, 4);
    fixture::stage(&mut bundle, 0, 0, 12, 32, 4);
    assert!(plan::max_throughput(&bundle, 0) > 300.0);
}

fn entry(id: u128, team: u16, weight: u32) -> Entry {
    let (priority, rank, class) = (1, Rank::Fair, 1);
    Entry {
        id,
        seq: id as u64,
        line: MODEL,
        priority,
        team,
        rank,
        priority_weight: class,
        team_weight: weight,
    }
}

#[test]
fn full_line_is_shared_by_team_weight() {
    let mut queue = Queue::default();
    let mut waiting = std::collections::BTreeMap::new();
    for id in 0..4000 {
        // Team 0 sends half of all requests; team 1 has weight 3.
        let team = if id % 2 == 0 {
            0
        } else {
            1 + (id / 2 % 2) as u16
        };
        let entry = entry(id, team, if team == 1 { 3 } else { 1 });
        queue.push(&entry);
        waiting.insert(id, entry);
    }
    let mut served = [0_u32; 3];
    for _ in 0..1000 {
        let id = queue
            .line(MODEL)
            .and_then(|l| l.window(1).first().copied())
            .expect("something waits");
        let entry = waiting[&id];
        queue.remove(&entry);
        queue.charge(&entry, 10.0);
        served[usize::from(entry.team)] += 1;
    }
    assert_eq!(served, [200, 600, 200]);
    let (urgent, fair) = queue.recount();
    assert_eq!((queue.urgent_count, queue.fair_count), (urgent, fair));
}

#[test]
fn idle_time_earns_no_credit() {
    let mut queue = Queue::default();
    let early = entry(0, 0, 1);
    queue.push(&early);
    for id in 1..100 {
        queue.push(&entry(id, 1, 1));
    }
    for id in 1..50 {
        let entry = entry(id, 1, 1);
        queue.remove(&entry);
        queue.charge(&entry, 10.0);
    }
    // Team 2 arrives after team 1 was served for a long time; from now on they alternate.
    for id in 100..200 {
        queue.push(&entry(id, 2, 1));
    }
    queue.remove(&early);
    let mut served = [0; 3];
    for _ in 0..40 {
        let id = queue
            .line(MODEL)
            .and_then(|l| l.window(1).first().copied())
            .expect("something waits");
        let entry = entry(id, if id < 100 { 1 } else { 2 }, 1);
        queue.remove(&entry);
        queue.charge(&entry, 10.0);
        served[usize::from(entry.team)] += 1;
    }
    assert!(served[1] >= 19 && served[2] >= 19, "{served:?}");
}

#[test]
fn team_is_limited_to_its_share() {
    // Eight workers, each with an eighth of 40 requests/s and of 12 requests in flight.
    let bundle = fixture::bundle(1);
    let share = Share {
        rate: 5.0,
        in_flight: 1.5,
    };
    let mut workers: Vec<Table> = (0..8).map(|_| Table::default()).collect();
    for table in &mut workers {
        table.apply_bundle(ms(0), &bundle, &[share]);
    }
    let mut taken = 0;
    for at in (0..10_000).step_by(5) {
        for table in &mut workers {
            if table.admit(ms(at), 0, false, 1.0).is_ok() {
                taken += 1;
                table.release(0);
            }
        }
    }
    // Ten seconds at 40/s, plus the initial bucket of one second.
    assert!((400..=440).contains(&taken), "{taken}");
    let mut held = 0;
    for table in &mut workers {
        table.apply_bundle(ms(20_000), &bundle, &[share]);
        while table.admit(ms(30_000), 0, false, 1.0).is_ok() {
            held += 1;
        }
    }
    // A share of 1.5 admits 2 requests: a worker overshoots by less than one request.
    assert_eq!(held, 16);
}

#[test]
fn urgent_work_may_overdraw_one_bucket() {
    let bundle = fixture::bundle(1);
    let mut table = Table::default();
    table.apply_bundle(
        ms(0),
        &bundle,
        &[Share {
            rate: 10.0,
            in_flight: 100.0,
        }],
    );
    let take = |table: &mut Table, urgent| {
        (0..50)
            .filter(|_| table.admit(ms(10_000), 0, urgent, 1.0).is_ok())
            .count()
    };
    assert_eq!(take(&mut table, false), 10);
    assert_eq!(take(&mut table, true), 10);
    assert!(table.accounts[0].is_within_bounds(1.0));
}

#[test]
fn limit_follows_the_hop_time() {
    let mut limiter = Limiter::new(16);
    let mut now = ms(0);
    for _ in 0..200 {
        now += ms(50);
        let running = limiter.limit as u32;
        limiter.record_hop(now, ms(u64::from(running) * 10), ms(60), running);
    }
    assert!((4.0..=8.0).contains(&limiter.limit), "{limiter:?}");
    for _ in 0..200 {
        now += ms(50);
        limiter.record_hop(now, ms(10), ms(60), limiter.limit as u32);
    }
    assert_eq!(limiter.limit, 16.0);
}

/// Returns the time of a hop on an endpoint that computes `batch` steps at once, each in `step`,
/// while it runs `running` requests.
fn batched(running: u32, batch: u32, step: Duration) -> Duration {
    step.mul_f64(f64::from(running.max(batch)) / f64::from(batch))
}

/// Runs hops back to back and returns the limit at the end of each second.
fn run_hops(
    limiter: &mut Limiter,
    allowed: Duration,
    seconds: u64,
    hop: impl Fn(u32) -> Duration,
) -> Vec<f64> {
    let mut now = Duration::ZERO;
    let mut limits = Vec::new();
    for second in 1..=seconds {
        while now < Duration::from_secs(second) {
            let running = (limiter.limit as u32).max(1);
            let took = hop(running);
            now += took / running;
            limiter.record_hop(now, took, allowed, running);
        }
        limits.push(limiter.limit);
    }
    limits
}

// Guards against low throughput beside idle accelerators. An endpoint whose single step takes
// longer than the target time can't become fast enough by a lower concurrency. Its limit must stay
// at the batch that it computes at once and must not fall to one.
#[test]
fn limit_does_not_fall_below_the_batch_size() {
    let mut limiter = Limiter::new(40);
    let limits = run_hops(&mut limiter, ms(15), 30, |running| {
        batched(running, 8, ms(20))
    });
    let settled = &limits[5..];
    assert!(
        settled.iter().all(|l| (7.0..=16.0).contains(l)),
        "{limits:?}"
    );
}

// As above, for an accelerator whose single step takes five times the target time: one request at a
// time would leave a batch of 64 almost empty without being faster.
#[test]
fn slow_accelerator_keeps_its_batch() {
    let mut limiter = Limiter::new(40);
    let limits = run_hops(&mut limiter, ms(22), 30, |running| {
        batched(running, 64, ms(120))
    });
    assert!(limits[15..].iter().all(|l| *l >= 30.0), "{limits:?}");
}

// Guards against oscillating throughput. From far above, the limit must fall to the target time and
// stay close to it. Averages that include hops from before an adjustment lag behind the limit and
// make it fall to one.
#[test]
fn limit_does_not_undershoot() {
    let mut limiter = Limiter::new(40);
    let limits = run_hops(&mut limiter, ms(22), 30, |running| {
        batched(running, 8, ms(17))
    });
    assert!(limits.iter().all(|l| *l >= 7.0), "{limits:?}");
    assert!(limits[10..].iter().all(|l| *l <= 16.0), "{limits:?}");
}

// Guards against refusals of a burst as overload. A node that was idle starts a single request,
// which does not show how many it could start. Only starts while others wait are measured, and idle
// time must not lower the measured rate.
#[test]
fn idle_time_does_not_lower_the_start_rate() {
    let mut meter = route::meter::Meter::default();
    meter.record_start(ms(30_000), false);
    meter.record_start(ms(62_000), false);
    assert_eq!(meter.expected_wait(100.0), Duration::ZERO);
    (0..100).for_each(|i| meter.record_start(ms(90_000 + i * 20), true));
    let wait = meter.expected_wait(100.0);
    assert!((ms(1_500)..=ms(2_500)).contains(&wait), "{wait:?}");
    meter.record_start(ms(200_000), false);
    assert!(meter.expected_wait(100.0) <= wait);
}

#[test]
fn silence_timeout_is_bounded() {
    let mut limiter = Limiter::new(16);
    (0..1000).for_each(|i| limiter.record_hop(ms(i * 300), ms(200), ms(22), 1));
    (0..20).for_each(|_| limiter.extend_silence());
    assert_eq!(limiter.silence_timeout(ms(600), ms(5000)), ms(5000));
}

#[test]
fn ejected_endpoint_returns_on_trial_with_exponential_backoff() {
    let mut health = Health::default();
    assert!(health.begin_probe(ms(0)) && !health.accepts_work());
    health.eject(ms(10), ms(1000), ms(60_000), 0.0);
    assert_eq!(health.state, State::Ejected(ms(1010)));
    assert!(!health.begin_return_probe(ms(1000)) && health.begin_return_probe(ms(1010)));
    health.record_answer();
    assert_eq!(
        (health.accepts_work(), health.trial_limit()),
        (true, Some(1))
    );
    health.eject(ms(2000), ms(1000), ms(60_000), 0.0);
    assert_eq!(health.state, State::Ejected(ms(4000)));
    assert!(health.begin_return_probe(ms(4000)));
    health.record_answer();
    assert!(!health.record_success(3) && !health.record_success(3) && health.record_success(3));
    assert_eq!(health.state, State::Up);
    let reached = (0..EJECTION_THRESHOLD)
        .filter(|&i| health.record_failure(ms(5000 + u64::from(i))))
        .count();
    assert_eq!(reached, 1, "only the last failure reaches the threshold");
}

#[test]
fn budget_grants_a_burst_and_then_a_fraction() {
    let mut budget = Budget::new(4.0);
    assert_eq!((0..10).filter(|_| budget.take()).count(), 4);
    (0..100).for_each(|_| budget.earn(0.1, 4.0, 0));
    assert_eq!(
        (0..10).filter(|_| budget.take()).count(),
        4,
        "no more than the capacity of the bucket"
    );
    budget.refill(ms(1000), 2.0, 4.0, 0);
    assert_eq!((0..10).filter(|_| budget.take()).count(), 2);
    assert!(budget.granted <= budget.earned());
}

#[test]
fn request_that_crashes_two_endpoints_is_condemned_alone() {
    // Requests 1, 2 and 3 are in flight when an endpoint dies. 2 and 3 complete on other endpoints;
    // 1 runs alone when the next endpoint dies. Two endpoints are lost, and 1 is condemned.
    let mut table = crash::Table::new(64);
    table.open_incident(ms(0), 0, vec![1, 2, 3]);
    assert_eq!(table.record_dead(ms(1), 0), [1, 2, 3]);
    table.clear(2);
    table.clear(3);
    assert!(table.is_suspect(1) && !table.is_suspect(2));
    table.open_incident(ms(5000), 7, vec![1]);
    assert!(table.record_dead(ms(5001), 7).is_empty());
    assert!(table.is_pending(1));
    assert!(
        table.conclude(ms(5002)).is_empty(),
        "the verdict is delayed by the window"
    );
    assert_eq!(table.conclude(ms(5001) + crash::CORRELATION_WINDOW), [1]);
    assert!(table.is_condemned(1) && !table.is_condemned(2));
}

#[test]
fn zone_loss_condemns_no_request() {
    // Request 1 is suspect after a death and runs alone on an endpoint when its whole zone dies.
    // Several endpoints died together, so that none of these deaths is evidence against the
    // requests on them.
    let mut table = crash::Table::new(64);
    table.open_incident(ms(0), 0, vec![1, 2]);
    table.record_dead(ms(1), 0);
    let fingerprints = [vec![1], vec![4], vec![5]];
    for (endpoint, fingerprints) in (10..).zip(fingerprints) {
        table.open_incident(ms(9000), endpoint, fingerprints);
    }
    for endpoint in 10..13 {
        table.record_dead(ms(9001 + u64::from(endpoint)), endpoint);
    }
    assert!(table.conclude(ms(20_000)).is_empty());
    assert!(!table.is_suspect(4) && !table.is_suspect(5));
}
