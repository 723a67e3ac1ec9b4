//! Whether a node reaches the endpoints of a service.

use catalog::endpoint::Run;
use steer::paths::{Evidence, Paths};

fn endpoint(id: &str) -> Run {
    Run {
        id: id.to_owned(),
        started_at: 1,
    }
}

// Guards against a failure that is judged by a check which began before it.
#[test]
fn a_check_judges_only_what_failed_before_it() {
    let mut paths = Paths::default();
    assert!(paths.hold("s", endpoint("a")));
    paths.begin("s");
    assert!(!paths.hold("s", endpoint("b")));
    let outcome = paths.end("s", Evidence::Reached);
    assert_eq!(outcome.failing, [endpoint("a")]);
    assert!(outcome.again);
    paths.begin("s");
    let outcome = paths.end("s", Evidence::Reached);
    assert_eq!(outcome.failing, [endpoint("b")]);
    assert!(!outcome.again);
}

// Guards against reports of a node that reaches no endpoint, and against a node that stays isolated
// since nothing fails any more.
#[test]
fn an_isolated_node_drops_its_reports_and_checks_until_it_reaches_an_endpoint() {
    let mut paths = Paths::default();
    paths.hold("s", endpoint("a"));
    paths.begin("s");
    let outcome = paths.end("s", Evidence::Unreached);
    assert!(outcome.failing.is_empty() && outcome.again);
    assert_eq!(outcome.changed, Some(true));
    assert!(paths.is_isolated("s") && !paths.is_isolated("t"));
    assert!(
        !paths.suspect("s"),
        "a second check beside the one that is due"
    );
    paths.begin("s");
    assert_eq!(paths.end("s", Evidence::Unreached).changed, None);
    paths.begin("s");
    let outcome = paths.end("s", Evidence::Reached);
    assert_eq!(outcome.changed, Some(false));
    assert!(outcome.failing.is_empty() && !outcome.again);
    assert!(!paths.is_isolated("s"));
}

// Guards against an endpoint that is never reported because there is no other one to compare it with.
#[test]
fn the_only_endpoint_of_a_service_is_reported() {
    let mut paths = Paths::default();
    paths.hold("s", endpoint("a"));
    paths.begin("s");
    let outcome = paths.end("s", Evidence::Unknown);
    assert_eq!(outcome.failing, [endpoint("a")]);
    assert!(!paths.is_isolated("s"));
}
