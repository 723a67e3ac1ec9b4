//! Endpoints that answer wrongly, attempt after attempt.

#[path = "support/fixture.rs"]
mod fixture;

use route::action::{Action, Hop};
use route::event::Event;
use route::failure::{Cause, Failure};
use route::router::Router;
use route::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// Wrong answers after which any endpoint has been ejected.
const MAX_REQUESTS: u128 = 60;

// Callers see whole answers. One stage answers every step with frames that break the protocol. The
// failure that ejects it ended the attempt that it is told of, so this attempt must not be
// cancelled as if it still ran: it would be started anew twice.
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
    // Whichever stage the router likes best: it is tried again and again.
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

/// The attempt that was just started for `id`, and its chain.
fn started(out: &[Action], id: u128) -> Option<(u32, Vec<Hop>)> {
    out.iter().find_map(|action| match action {
        Action::Start(i, attempt, hops) if *i == id => Some((*attempt, hops.clone())),
        _ => None,
    })
}
