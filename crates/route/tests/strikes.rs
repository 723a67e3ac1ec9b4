//! Endpoints that violate the protocol in every attempt.

#[path = "support/fixture.rs"]
mod fixture;

use route::action::{Action, Hop};
use route::event::Event;
use route::failure::{Cause, Failure};
use route::router::Router;
use route::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// Number of requests by which a faulty endpoint must have been ejected.
const MAX_REQUESTS: u128 = 60;

// One stage answers every step with frames that violate the protocol. The failure that ejects it
// has already ended its attempt, so this attempt must not be cancelled as if it still ran.
// Otherwise the request would be started twice.
#[test]
fn failure_that_ejects_its_endpoint_ends_its_attempt_once() {
    let mut router = Router::new(7, Settings::default());
    let bundle = Arc::new(fixture::fleet(3, 4, 1));
    let mut now = Duration::from_secs(1);
    let mut out = Vec::new();
    router.handle(
        now,
        Event::View(Arc::new(fixture::view(&bundle, 0))),
        &mut out,
    );
    // The first endpoint chosen for the second stage is faulty; the router selects it repeatedly.
    let mut faulty = None;
    for id in 1..=MAX_REQUESTS {
        now += Duration::from_millis(10);
        out.clear();
        let request = fixture::request(id, now + Duration::from_secs(60));
        router.handle(now, Event::Arrive(request), &mut out);
        while let Some((attempt, hops)) = started(&out, id) {
            out.clear();
            let faulty = *faulty.get_or_insert(hops[1].endpoint);
            if hops.iter().all(|h| h.endpoint != faulty) {
                router.handle(now, Event::Finished(id, attempt), &mut out);
                break;
            }
            let failure = Failure {
                endpoint: faulty,
                cause: Cause::Protocol,
                sent: true,
                retry_after: None,
            };
            router.handle(now, Event::Failed(id, attempt, failure), &mut out);
            assert!(!out.contains(&Action::Cancel(id, attempt)), "{out:?}");
        }
        assert!(router.verify().is_empty(), "{:?}", router.verify());
    }
    assert!(router.report().ejected > 0);
}

/// Returns the attempt that was just started for `id` and its chain.
fn started(out: &[Action], id: u128) -> Option<(u32, Vec<Hop>)> {
    out.iter().find_map(|action| match action {
        Action::Start(i, attempt, hops) if *i == id => Some((*attempt, hops.clone())),
        _ => None,
    })
}
