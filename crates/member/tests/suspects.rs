//! News of requests that crash endpoints, beside the many suspects that each crash makes.

#[path = "support/net.rs"]
mod net;

use member::event::Event;
use member::item::Observation;
use member::settings::Settings;
use net::{Net, ms};
use std::time::Duration;

/// Time within which all nodes must know of a condemned request. Nodes are to refuse it 3 s after the
/// crash, and each may take half a second to put what it learns in force.
const KNOWN_WITHIN: Duration = ms(2500);
/// Lifetime of the observations.
const TTL: Duration = ms(600_000);
/// Requests in flight at an endpoint.
const IN_FLIGHT: u64 = 192;
/// Number of endpoints that crash one after the other.
const CRASHES: u64 = 4;
/// Time between two crashes.
const CRASH_INTERVAL: Duration = ms(250);

/// Crashes endpoints, each with other requests in flight, whose nodes publish them as suspects. Then
/// one node publishes a condemned request. Returns the time until the last node knows of it.
fn time_to_know(nodes: usize, seed: u64) -> Duration {
    let mut net = Net::new(nodes, 3, seed, Settings::default());
    net.run(ms(12_000));
    assert!(net.all_up(), "{nodes} nodes, seed {seed}");
    for crash in 0..CRASHES {
        for number in 0..IN_FLIGHT {
            let fingerprint = 1 + crash * IN_FLIGHT + number;
            let suspect = Observation::Suspect {
                fingerprint,
                ttl: TTL,
            };
            let node = (fingerprint as usize * 7) % nodes;
            net.event(node, Event::Publish(vec![suspect]));
        }
        net.run(net.now + CRASH_INTERVAL);
    }
    let published_at = net.now;
    let condemned = Observation::Condemned {
        fingerprint: 0,
        ttl: TTL,
    };
    net.event(0, Event::Publish(vec![condemned]));
    net.run(published_at + ms(20_000));
    let learned = net.learned.iter();
    let learned = learned
        .filter(|(_, _, item)| matches!(item.body, Observation::Condemned { fingerprint: 0, .. }));
    let times: Vec<Duration> = learned.map(|(at, ..)| *at - published_at).collect();
    assert_eq!(times.len(), nodes - 1, "{nodes} nodes, seed {seed}");
    times.into_iter().max().unwrap_or_default()
}

// Guards against a condemned request that nodes go on sending for seconds, since the news waits behind
// hundreds of suspects.
#[test]
fn a_condemned_request_is_known_everywhere_beside_many_suspects() {
    for (nodes, seeds) in [(7, 0..8), (67, 20..24)] {
        for seed in seeds {
            let time = time_to_know(nodes, seed);
            assert!(time <= KNOWN_WITHIN, "{nodes} nodes, seed {seed}: {time:?}");
        }
    }
}
