//! Time for which the address of a failed node is still offered to callers, on a simulated network.

#[path = "support/net.rs"]
mod net;
#[path = "support/offers.rs"]
mod offers;

use member::Now;
use member::event::Event;
use member::item::Observation;
use member::peer::State;
use net::{Faults, NO_FAULTS, Net, ms};
use offers::{
    MAX_OFFERED_TIME, OBSERVED_TIME, SECOND, ZONES, draw, offered_time, offers, settled_net,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Kills nodes one after the other in several networks. Returns the deaths after which the node was offered
/// for too long.
fn late_deaths(nodes: usize, seeds: std::ops::Range<u64>, kills: usize) -> Vec<String> {
    let mut late = Vec::new();
    for seed in seeds {
        let mut net = settled_net(nodes, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for of in draw(&mut random, nodes, kills) {
            net.run(net.now + ms(random.random_range(0..1000)));
            net.kill(of);
            let (time, by) = offered_time(&mut net, &[of], OBSERVED_TIME);
            let case =
                format!("{nodes} nodes, seed {seed}: {of} offered for {time:?}, last by {by}");
            println!("{case}");
            late.extend((time > MAX_OFFERED_TIME).then_some(case));
        }
        net.verify();
    }
    late
}

// Guards against a dead node that no peer probes for seconds, so that callers are sent to it.
#[test]
fn a_dead_node_is_offered_for_a_bounded_time() {
    let cases = [(8, 200..206, 5), (67, 210..214, 6), (195, 220..226, 10)];
    let late: Vec<String> = cases
        .into_iter()
        .flat_map(|(nodes, seeds, kills)| late_deaths(nodes, seeds, kills))
        .collect();
    assert!(late.is_empty(), "{late:#?}");
}

// Guards against a dead node that stays offered because its neighbours in the ring, which would probe it, died
// at the same time.
#[test]
fn nodes_that_die_together_are_offered_for_a_bounded_time() {
    for seed in 230..234 {
        let mut net = settled_net(195, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gone = draw(&mut random, 195, 20);
        gone.iter().for_each(|of| net.kill(*of));
        let (time, by) = offered_time(&mut net, &gone, OBSERVED_TIME);
        println!("seed {seed}: offered for {time:?}, last by {by}");
        assert!(
            time <= MAX_OFFERED_TIME,
            "seed {seed}: {time:?}, last by {by}"
        );
        net.verify();
    }
}

/// Kills all nodes of an availability zone at once. Returns the time for which any of them was offered, and the
/// last node that did.
fn offered_time_of_dead_zone(seed: u64) -> (Duration, usize) {
    let mut net = settled_net(195, seed);
    let zone = seed as usize % ZONES;
    let gone: Vec<usize> = (0..195).filter(|of| of % ZONES == zone).collect();
    gone.iter().for_each(|of| net.kill(*of));
    let offered = offered_time(&mut net, &gone, OBSERVED_TIME);
    net.verify();
    offered
}

/// Panics if a node of a dead zone was offered for too long.
fn check_dead_zones(seeds: impl IntoIterator<Item = u64>) {
    let mut late = Vec::new();
    for seed in seeds {
        let (time, by) = offered_time_of_dead_zone(seed);
        let case = format!("seed {seed}: offered for {time:?}, last by {by}");
        println!("{case}");
        late.extend((time > MAX_OFFERED_TIME).then_some(case));
    }
    assert!(late.is_empty(), "{late:#?}");
}

// Guards against dead nodes of a zone that stay offered because several of them follow each other in the ring, so
// that their watchers died with them.
#[test]
fn a_zone_that_dies_is_offered_for_a_bounded_time() {
    check_dead_zones([1100, 1120, 1130]);
}

#[test]
#[ignore = "minutes long"]
fn many_zones_that_die() {
    check_dead_zones(1100..1140);
}

// Guards against a starting node that receives the row of a dead one from a peer and offers it to callers.
#[test]
fn a_starting_node_offers_no_dead_one() {
    for (nodes, seed) in [(8, 240), (67, 241), (195, 242), (195, 243)] {
        let mut net = settled_net(nodes, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drawn = draw(&mut random, nodes, 4);
        let (dead, started) = (drawn[0], &drawn[1..]);
        net.kill(dead);
        net.run(net.now + SECOND * 35);
        for of in started {
            net.kill(*of);
            net.run(net.now + ms(800));
            net.start(*of);
        }
        let (time, by) = offered_time(&mut net, &[dead], SECOND * 25);
        println!("{nodes} nodes, seed {seed}: offered for {time:?}, last by {by}");
        assert!(
            time <= MAX_OFFERED_TIME,
            "{nodes} nodes, seed {seed}: {time:?}, by {by}"
        );
        for of in started {
            let up = net.nodes.len() - 1;
            let open = (0..nodes).filter(|n| offers(&net, *of, *n)).count();
            assert_eq!(open, up, "{of} offers all live nodes");
            assert!(net.state(*of, dead) != Some(State::Up));
        }
        net.verify();
    }
}

/// Returns a settled network that loses the fraction `loss` of all messages.
fn lossy_net(nodes: usize, seed: u64, loss: f64) -> (Net, ChaCha8Rng) {
    let mut net = settled_net(nodes, seed);
    net.faults = Faults {
        loss_ratio: loss,
        ..NO_FAULTS
    };
    (net, ChaCha8Rng::seed_from_u64(seed))
}

// Guards against a dead node that stays offered by nodes that missed its suspicion, when messages are lost.
#[test]
fn a_dead_node_is_offered_for_a_bounded_time_while_messages_get_lost() {
    for seed in 250..253 {
        let (mut net, mut random) = lossy_net(195, seed, 0.02);
        for of in draw(&mut random, 195, 5) {
            net.kill(of);
            let (time, by) = offered_time(&mut net, &[of], OBSERVED_TIME);
            println!("seed {seed}: {of} offered for {time:?}, last by {by}");
            assert!(
                time <= MAX_OFFERED_TIME,
                "seed {seed}: {time:?}, last by {by}"
            );
        }
        net.verify();
    }
}

// Guards against callers being sent to a node that is unreachable for all others, or whose process is paused.
#[test]
fn a_node_that_is_cut_off_or_paused_is_offered_for_a_bounded_time() {
    for seed in 260..264 {
        let (mut net, mut random) = lossy_net(195, seed, 0.0);
        let drawn = draw(&mut random, 195, 2);
        let (cut, frozen) = (drawn[0], drawn[1]);
        net.nodes[cut].side = 1;
        net.pause(frozen, SECOND * 10);
        let watched = SECOND * 9;
        let from = net.now;
        let mut last = (Now::ZERO, 0, 0);
        net.run_with(from + watched, |net, by| {
            let gone = [cut, frozen].into_iter().find(|of| offers(net, by, *of));
            if let Some(of) = gone.filter(|of| *of != by && by != cut) {
                last = (net.now - from, by, of);
            }
        });
        println!("seed {seed}: cut {cut}, frozen {frozen}: {last:?}");
        assert!(last.0 <= MAX_OFFERED_TIME, "seed {seed}: {last:?}");
        net.heal();
        net.run(net.now + SECOND * 15);
        assert!(net.all_up(), "seed {seed}: both are back");
        net.verify();
    }
}

// Guards against a leaving node that stays offered by nodes that its announcement did not reach.
#[test]
fn a_leaving_node_is_offered_for_a_bounded_time_while_messages_get_lost() {
    for seed in 270..276 {
        let (mut net, mut random) = lossy_net(195, seed, 0.05);
        for of in draw(&mut random, 195, 4) {
            net.event(of, Event::Publish(vec![Observation::Leaving]));
            let (time, by) = offered_time(&mut net, &[of], SECOND * 5);
            println!("seed {seed}: {of} offered for {time:?}, last by {by}");
            assert!(
                time <= MAX_OFFERED_TIME,
                "seed {seed}: {time:?}, last by {by}"
            );
            net.event(of, Event::Quit);
            net.kill(of);
            let (time, by) = offered_time(&mut net, &[of], SECOND * 5);
            assert!(
                time <= MAX_OFFERED_TIME,
                "seed {seed}: {time:?}, last by {by}"
            );
        }
        net.verify();
    }
}

// Guards against a starting node that adopts the suspicions of a node that was cut off, which sees all others
// as parted, and therefore offers none of them.
#[test]
fn a_node_that_starts_beside_one_that_was_cut_off_offers_all_live_nodes() {
    for (nodes, seed) in [(8, 280), (67, 281), (67, 282), (195, 283)] {
        let mut net = settled_net(nodes, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drawn = draw(&mut random, nodes, 2);
        let (cut, started) = (drawn[0], drawn[1]);
        net.nodes[cut].side = 1;
        net.kill(started);
        net.run(net.now + SECOND * 40);
        net.heal();
        net.start(started);
        let from = net.now;
        let all = |net: &Net| (0..nodes).all(|of| of == cut || offers(net, started, of));
        while !all(&net) && net.now < from + SECOND * 60 {
            net.run(net.now + ms(100));
        }
        let time = net.now - from;
        println!("{nodes} nodes, seed {seed}: all offered after {time:?}");
        assert!(time <= SECOND * 3, "{nodes} nodes, seed {seed}: {time:?}");
        net.verify();
    }
}
