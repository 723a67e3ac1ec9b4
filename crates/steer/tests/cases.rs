//! Broken attempts whose endpoint may have ended.

use catalog::endpoint::{Endpoint, Run, Span, State};
use std::net::SocketAddr;
use std::time::Duration;
use steer::crash::{Case, Cases};

const ADDR: ([u8; 4], u16) = ([10, 0, 0, 1], 80);
const BROKE_AT: Duration = Duration::from_secs(10);

fn addr() -> SocketAddr {
    ADDR.into()
}

fn run(id: &str) -> Run {
    Run {
        id: id.to_owned(),
        started_at: 0,
    }
}

fn row(id: &str, addr: SocketAddr, state: State) -> Endpoint {
    Endpoint {
        run: run(id),
        service: "plain".to_owned(),
        addr,
        zone: "a".to_owned(),
        slots: 1,
        state,
        accelerator: None,
        span: Span::default(),
    }
}

/// Returns cases with one of the run `b`, at whose address the row of `a`, an earlier run, still was.
fn cases() -> Cases {
    let mut cases = Cases::default();
    cases.open(Case {
        run: run("b"),
        addr: addr(),
        known: vec![run("a"), run("b")],
        features: vec![(7, 1), (8, 2)],
        broke_at: BROKE_AT,
        refused: true,
    });
    cases
}

/// Returns the features of the runs that have ended by these rows.
fn settle(cases: &mut Cases, after: Duration, rows: &[Endpoint]) -> Vec<(u64, u8)> {
    let ended = cases.settle(BROKE_AT + after, rows, |_| false);
    ended.into_iter().flat_map(|case| case.features).collect()
}

// Guards against an end that is never counted, since no evidence was there when the attempt broke.
#[test]
fn another_run_at_the_address_shows_that_the_earlier_one_ended() {
    let mut cases = cases();
    let ready = |id| row(id, addr(), State::Ready);
    let rows = [ready("a"), ready("b")];
    assert!(settle(&mut cases, Duration::from_secs(1), &rows).is_empty());
    assert!(cases.is_suspect(BROKE_AT, 7) && cases.is_suspect(BROKE_AT, 8));
    assert!(!cases.is_suspect(BROKE_AT, 9));
    let rows = [ready("b"), ready("c")];
    let ended = settle(&mut cases, Duration::from_secs(2), &rows);
    assert_eq!(ended, [(7, 1), (8, 2)]);
    assert!(cases.is_empty());
}

// Guards against requests that are charged with the end of an endpoint that was merely out of reach, or
// left as announced, or whose row is only missing.
#[test]
fn evidence_against_a_crash_closes_a_case() {
    let elsewhere = ([10, 0, 0, 2], 80).into();
    let other_run = [row("c", addr(), State::Ready)];
    let second = Duration::from_secs(1);

    let mut alive = cases();
    alive.acquit(&run("b"), BROKE_AT - second);
    assert!(!alive.is_empty());
    alive.acquit(&run("b"), BROKE_AT + second);
    assert!(settle(&mut alive, 2 * second, &other_run).is_empty());

    let mut draining = cases();
    let rows = [row("b", addr(), State::Draining)];
    assert!(settle(&mut draining, second, &rows).is_empty());
    assert!(settle(&mut draining, 2 * second, &other_run).is_empty());

    let mut announced = cases();
    let ended = announced.settle(BROKE_AT + second, &other_run, |r| *r == run("b"));
    assert!(ended.is_empty() && announced.is_empty());

    let mut missing = cases();
    let rows = [row("c", elsewhere, State::Ready)];
    assert!(settle(&mut missing, second, &rows).is_empty());
    assert!(!missing.is_empty());
    assert!(settle(&mut missing, 60 * second, &other_run).is_empty());
}

// Guards against a request that completes and is charged with an end that becomes known afterwards.
#[test]
fn a_completion_removes_the_feature_from_all_cases() {
    let mut cases = cases();
    cases.clear(7);
    assert!(!cases.is_suspect(BROKE_AT, 7));
    let rows = [row("c", addr(), State::Ready)];
    let ended = settle(&mut cases, Duration::from_secs(1), &rows);
    assert_eq!(ended, [(8, 2)]);
}
