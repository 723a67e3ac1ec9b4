//! Selection for services without a policy for prefill.

mod support;

use catalog::engine::{Engine, Size};
use std::hash::Hasher;
use std::time::Duration;
use steer::chain::Need;
use steer::health::Outcome;
use steer::{Fleet, Selector};
use support::{ALLOWANCE, catalog_with, endpoint, fleet, large_engine, load, ms};
use xxhash_rust::xxh3::Xxh3;

/// Hash of the chains on commit f9c10a8.
const EXPECTED: u64 = 9_894_468_882_390_535_897;

/// Returns the hash of the chains of 600 requests of mixed sizes with reports every 400 ms, half of
/// which end.
fn chains(engine: Engine, target: Duration) -> u64 {
    let endpoints = (0..48).map(|n| {
        let from = u32::from(n % 4) * 2;
        let zone = ["a", "b", "c"][usize::from(n / 4 % 3)];
        endpoint(
            n,
            zone,
            if n < 12 { "fast" } else { "slow" },
            from,
            from + 2,
        )
    });
    let mut catalog = (*catalog_with(engine)).clone();
    catalog.routes[0].latency_target = target;
    let base = Fleet {
        catalog: catalog.into(),
        ..fleet(endpoints.collect(), 20)
    };
    let mut selector = Selector::new(7, ALLOWANCE);
    let mut hash = Xxh3::new();
    for n in 0..600 {
        let now = ms(u64::from(n) * 13);
        if n % 30 == 0 {
            let mut fleet = base.clone();
            let runs = base.endpoints.iter().map(|e| e.run.to_string()).zip(0..);
            let loads = runs.map(|(run, i)| {
                let used = f64::from((n + i * 37) % 97) * 1e4;
                (run, load(u64::from(n), used, (n + i) % 3, ms(300)))
            });
            fleet.loads = std::sync::Arc::new(loads.collect());
            selector.update_fleet(now, fleet);
        }
        let size = Size {
            prompt: 100 + n * 7919 % 2200,
            answer: 214,
        };
        let urgent = n % 3 == 0;
        selector.record_request(now, "model");
        let found = selector.select(now, 0, &Need { size, urgent }, &[]);
        let Ok(target) = found else {
            hash.write(b"none");
            continue;
        };
        for stage in &target.stages {
            hash.write(stage.run.to_string().as_bytes());
            hash.write_u32(stage.span.to);
        }
        if n % 2 == 0 {
            selector.end(now + ms(5), target.reservation, Outcome::Success, None);
        }
    }
    hash.finish()
}

// Guards against changes to the selection in deployments whose catalog states no chunk: with the
// same seed they must get the same chains. The hash is that of commit f9c10a8, before prefill had a
// price.
#[test]
fn without_a_chunk_the_chains_are_those_before() {
    let mut engine = large_engine(2, 40);
    assert_eq!(chains(engine.clone(), ms(500)), EXPECTED);
    engine.prefill_ms_per_1m_pairs = 0.2;
    assert_eq!(chains(engine.clone(), ms(500)), EXPECTED);
    engine.prefill_chunk = Some(512);
    assert_eq!(chains(engine.clone(), Duration::ZERO), EXPECTED);
    // With a chunk and a latency target, the requests are such that prefill matters.
    assert_ne!(chains(engine, ms(500)), EXPECTED);
}
