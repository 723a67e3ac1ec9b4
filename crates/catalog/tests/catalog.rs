//! The checked catalog: lookup of a request's route, team and service, and rejection of invalid
//! tables.

use catalog::Catalog;
use catalog::kind::{Kind, Stream};
use catalog::limits::Limits;
use catalog::raw::{Route, Share, Tables, Team};
use catalog::service::Service;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        priority: 1,
        split: vec![Share {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 10,
        engine: None,
    }
}

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.to_owned(),
        keys: keys.iter().map(|k| (*k).to_owned()).collect(),
        priority: None,
    }
}

fn tables(routes: Vec<Route>) -> Tables {
    Tables {
        version: 3,
        routes,
        services: vec![service("menus"), service("sheets")],
        teams: Some(vec![team("north", &["k1", "k2"]), team("south", &["k3"])]),
        limits: Limits::default(),
    }
}

#[test]
fn a_path_gets_the_route_with_the_longest_prefix() {
    let routes = vec![
        route("short", "Menus.Example", "/a/", "menus"),
        route("long", "menus.example", "/a/b/", "sheets"),
        route("other", "sheets.example", "/a/", "sheets"),
    ];
    let catalog = Catalog::try_from(tables(routes)).unwrap();
    let name = |host, path| catalog.route(host, path).map(|r| r.name.as_str());
    assert_eq!(name("menus.example", "/a/b/c"), Some("long"));
    assert_eq!(name("MENUS.example:8080", "/a/bc"), Some("short"));
    assert_eq!(name("sheets.example", "/a/b/c"), Some("other"));
    assert_eq!(name("menus.example", "/a"), None);
    assert_eq!(name("nobody.example", "/a/"), None);
}

#[test]
fn a_key_identifies_its_team() {
    let catalog = Catalog::try_from(tables(Vec::new())).unwrap();
    assert!(catalog.requires_key);
    let name = |key| catalog.team(key).map(|t| t.name.as_str());
    assert_eq!(
        [name("k2"), name("k3"), name("k4")],
        [Some("north"), Some("south"), None]
    );
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("split", "h", "/", "menus");
    split.split = vec![
        Share {
            service: "menus".to_owned(),
            weight: 3,
        },
        Share {
            service: "sheets".to_owned(),
            weight: 1,
        },
        Share {
            service: "menus".to_owned(),
            weight: 0,
        },
    ];
    let catalog = Catalog::try_from(tables(vec![split])).unwrap();
    let route = &catalog.routes[0];
    let selected: Vec<_> = (0..4).map(|draw| route.service(draw).unwrap()).collect();
    assert_eq!(selected, [0, 0, 0, 1]);
}

// The operator sees all errors of a catalog at once, and an invalid catalog is rejected as a whole:
// a node that applied only its valid rows would refuse requests that the version before had served.
#[test]
fn all_findings_are_reported_and_the_catalog_is_rejected() {
    let mut invalid = tables(vec![
        route("slash", "h", "/a", "menus"),
        route("lost", "h", "/b/", "nowhere"),
        Route {
            timeout: Duration::ZERO,
            ..route("hasty", "h", "/c/", "menus")
        },
    ]);
    invalid.teams = Some(vec![team("north", &["k1"]), team("south", &["k1"])]);
    let findings = Catalog::try_from(invalid).unwrap_err();
    let locations: Vec<_> = findings.iter().map(|f| f.location.as_str()).collect();
    let expected = [
        "route slash",
        "route lost",
        "route lost",
        "route hasty",
        "team south",
    ];
    assert_eq!(locations, expected, "{findings:?}");
}

#[test]
fn the_kind_decides_whether_a_request_is_repeatable() {
    let stream = |resumable| {
        Kind::Stream(Stream {
            resumable,
            pause: None,
        })
    };
    let kinds = [
        Kind::Idempotent,
        Kind::AtMostOnce,
        stream(true),
        stream(false),
    ];
    assert_eq!(kinds.map(Kind::repeatable), [true, false, true, false]);
}
