//! Time for which nodes that missed a death or an exit still offer the node to callers, on a simulated network.

#[path = "support/net.rs"]
mod net;
#[path = "support/offers.rs"]
mod offers;

use member::event::Event;
use member::item::Observation;
use net::{Net, ms};
use offers::{MAX_OFFERED_TIME, OBSERVED_TIME, draw, offered_time, settled_net};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Nodes of each network.
const NODES: usize = 195;
/// Seeds of the runs by hand.
const MANY_SEEDS: std::ops::Range<u64> = 1200..1400;
/// Times between a death and the start of other nodes in the runs by hand.
const WAITS: [Duration; 5] = [ms(500), ms(1500), ms(3000), ms(8000), ms(20_000)];
/// Time between the announcement of a leaving node and its exit.
const DRAIN_TIME: Duration = ms(8000);
/// Threads of the runs by hand.
const THREADS: usize = 4;

/// A run of one seed and wait: returns the time for which a node that is gone was offered, and the last node
/// that offered it.
type Run = fn(u64, Duration) -> (Duration, usize);

/// Returns a settled network and nodes drawn from it.
fn net_and_drawn(seed: u64, count: usize) -> (Net, Vec<usize>) {
    let net = settled_net(NODES, seed);
    let drawn = draw(&mut ChaCha8Rng::seed_from_u64(seed), NODES, count);
    (net, drawn)
}

/// Eight nodes die at once. After `wait`, all but the first start again together. The time counts from then.
fn start_after_death(seed: u64, wait: Duration) -> (Duration, usize) {
    let (mut net, drawn) = net_and_drawn(seed, 8);
    drawn.iter().for_each(|of| net.kill(*of));
    net.run(net.now + wait);
    drawn[1..].iter().for_each(|of| net.start(*of));
    let offered = offered_time(&mut net, &drawn[..1], OBSERVED_TIME);
    net.verify();
    offered
}

/// A node announces that it leaves and seven die at that moment, which start again together after `wait`. It
/// exits 8 s after its announcement. The time counts from the start of the others.
fn start_after_leaving(seed: u64, wait: Duration) -> (Duration, usize) {
    let (mut net, drawn) = net_and_drawn(seed, 8);
    let (leaving, started) = (drawn[0], &drawn[1..]);
    let exit_at = net.now + DRAIN_TIME;
    net.event(leaving, Event::Publish(vec![Observation::Leaving]));
    started.iter().for_each(|of| net.kill(*of));
    net.run(net.now + wait);
    started.iter().for_each(|of| net.start(*of));
    let from = net.now;
    let before = offered_time(&mut net, &[leaving], exit_at.saturating_sub(from));
    net.event(leaving, Event::Quit);
    net.kill(leaving);
    let exited = net.now - from;
    let (time, by) = offered_time(&mut net, &[leaving], OBSERVED_TIME);
    net.verify();
    match time.is_zero() {
        true => before,
        false => (exited + time, by),
    }
}

/// A node dies while seven others are paused, which resume `wait` later. The time counts from then.
fn resume_after_death(seed: u64, wait: Duration) -> (Duration, usize) {
    let (mut net, drawn) = net_and_drawn(seed, 8);
    drawn[1..].iter().for_each(|of| net.pause(*of, wait));
    net.kill(drawn[0]);
    net.run(net.now + wait);
    let offered = offered_time(&mut net, &drawn[..1], OBSERVED_TIME);
    net.verify();
    offered
}

/// Seven nodes are paused, and resume `wait` after another one announced that it leaves. It exits 8 s after its
/// announcement. The time counts from the end of the pauses.
fn resume_after_leaving(seed: u64, wait: Duration) -> (Duration, usize) {
    let (mut net, drawn) = net_and_drawn(seed, 8);
    let leaving = drawn[0];
    let (exit_at, resume_at) = (net.now + DRAIN_TIME, net.now + wait);
    drawn[1..].iter().for_each(|of| net.pause(*of, wait));
    net.event(leaving, Event::Publish(vec![Observation::Leaving]));
    net.run(resume_at.min(exit_at));
    let before = offered_time(&mut net, &[leaving], exit_at.saturating_sub(resume_at));
    net.event(leaving, Event::Quit);
    net.kill(leaving);
    net.run(net.now.max(resume_at));
    let resumed = net.now - resume_at;
    let (time, by) = offered_time(&mut net, &[leaving], OBSERVED_TIME);
    net.verify();
    match time.is_zero() {
        true => before,
        false => (resumed + time, by),
    }
}

/// Panics if a node was offered for too long.
fn check(run: Run, cases: &[(u64, Duration)]) {
    let mut late = Vec::new();
    for (seed, wait) in cases {
        let (time, by) = run(*seed, *wait);
        let case = format!("seed {seed}, {wait:?}: offered for {time:?}, last by {by}");
        println!("{case}");
        late.extend((time > MAX_OFFERED_TIME).then_some(case));
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Runs all seeds with all waits, prints the longest times and panics if one was too long.
fn check_many(name: &str, run: Run) {
    let mut late = 0;
    for wait in WAITS {
        let next = AtomicU64::new(MANY_SEEDS.start);
        let times = Mutex::new(Vec::new());
        let work = || {
            while let Some(seed) =
                Some(next.fetch_add(1, Ordering::SeqCst)).filter(|s| MANY_SEEDS.contains(s))
            {
                let (time, by) = run(seed, wait);
                times.lock().expect("no panic").push((time, seed, by));
            }
        };
        std::thread::scope(|scope| (0..THREADS).for_each(|_| _ = scope.spawn(work)));
        let mut times = times.into_inner().expect("no panic");
        times.sort();
        let late_runs = times.iter().filter(|run| run.0 > MAX_OFFERED_TIME).count();
        let longest = &times[times.len() - 3..];
        println!(
            "{name}, {wait:?}: {} runs, {late_runs} late, longest {longest:?}",
            times.len()
        );
        late += late_runs;
    }
    assert_eq!(late, 0, "late runs");
}

// Guards against a node that starts while a dead one is suspected, learns of it through another starting node
// and offers it to callers until its own probe.
#[test]
fn a_node_that_starts_after_a_death_offers_the_dead_one_for_a_bounded_time() {
    let cases = [
        (1247, ms(3000)),
        (1210, ms(8000)),
        (1213, ms(8000)),
        (1200, ms(20_000)),
    ];
    check(start_after_death, &cases);
}

// Guards against a node that was paused while the news of a death spread, and offers the dead one to callers until
// its own probe.
#[test]
fn a_node_that_resumes_after_a_death_offers_the_dead_one_for_a_bounded_time() {
    let cases = [(1215, ms(8000)), (1217, ms(8000)), (1219, ms(20_000))];
    check(resume_after_death, &cases);
}

#[test]
#[ignore = "minutes long"]
fn many_starts_after_a_death() {
    check_many("start after death", start_after_death);
}

#[test]
#[ignore = "minutes long"]
fn many_starts_after_an_announced_exit() {
    check_many("start after leaving", start_after_leaving);
}

#[test]
#[ignore = "minutes long"]
fn many_resumes_after_a_death() {
    check_many("resume after death", resume_after_death);
}

#[test]
#[ignore = "minutes long"]
fn many_resumes_after_an_announced_exit() {
    check_many("resume after leaving", resume_after_leaving);
}
