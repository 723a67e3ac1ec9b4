//! Broadcast of ended runs: its reach and cost, and what follows from verdicts of several nodes.

#[path = "support/net.rs"]
mod net;

use member::event::Event;
use member::item::Observation;
use net::{Net, ms};
use std::time::Duration;

const RUN: &str = "engine-1@7";
const TTL: Duration = ms(2_500);

fn ended(ended: bool) -> Event {
    Event::Publish(vec![Observation::Ended {
        name: RUN.to_owned(),
        ended,
        ttl: TTL,
    }])
}

/// Returns a settled network of `n` nodes.
fn settled(n: usize) -> Net {
    let mut net = Net::new(n, 6, 7, Default::default());
    net.run(ms(20_000));
    net.message_bytes = Some(|_| 1);
    net.traffic.messages.fill(0);
    net
}

/// Returns the number of nodes that consider the run ended.
fn informed(net: &Net) -> usize {
    let knows = |node: &&net::Node| {
        let now = net.now - node.started;
        let group = node.group.as_ref().expect("no node is down");
        !group.ended_by(now, 1).is_empty()
    };
    net.nodes.iter().filter(knows).count()
}

/// Guards against a verdict that spreads by gossip alone, which takes seconds, and against an origin
/// that sends to all nodes of a large group itself. A message takes up to 2 ms; a tree of 370 nodes
/// has a depth of three.
#[test]
fn all_nodes_learn_of_an_ended_run_within_milliseconds() {
    for (n, max_time, max_sent) in [(100, ms(3), 99 + 8), (370, ms(7), 16 + 8)] {
        let mut net = settled(n);
        let start = net.now;
        net.event(3, ended(true));
        net.run(start + max_time);
        assert_eq!(informed(&net), n, "of {n} nodes");
        let sent = net.traffic.messages.iter().max().copied();
        assert!(sent.is_some_and(|sent| sent <= max_sent), "{sent:?} of {n}");
    }
}

/// Guards against renewals that cost a broadcast each, for as long as a verdict holds.
#[test]
fn a_renewal_is_not_broadcast() {
    let mut net = settled(100);
    let start = net.now;
    net.event(3, ended(true));
    net.run(start + ms(1_250));
    net.traffic.messages.fill(0);
    net.event(3, ended(true));
    assert!(net.traffic.messages[3] <= 8, "{}", net.traffic.messages[3]);
    net.run(start + ms(2_600));
    assert_eq!(informed(&net), 100, "after the first ttl");
    net.run(start + ms(9_000));
    assert_eq!(informed(&net), 0, "after the ttl of the renewal");
}

/// Guards against a withdrawal that is dropped because another node published the same one, and
/// against one that takes back the verdict of another node.
#[test]
fn a_withdrawal_counts_for_its_origin_alone() {
    let mut net = settled(20);
    let start = net.now;
    net.event(3, ended(true));
    net.event(4, ended(true));
    net.run(start + ms(10));
    net.event(3, ended(false));
    net.run(start + ms(20));
    assert_eq!(informed(&net), 20, "one verdict is left");
    net.event(4, ended(false));
    net.run(start + ms(30));
    assert_eq!(informed(&net), 0);
}
