//! Callers of a soak run.

use crate::observation::{self, Observations};
use crate::standin::engine::EVENTS;
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Runs one caller, which sends requests of each kind until `end` is set. A caller that keeps its
/// connections uses them until they are closed, and waits a little after a refusal.
pub async fn run(
    seed: u64,
    nodes: Vec<SocketAddr>,
    number: usize,
    keeps: bool,
    observed: Arc<Mutex<Observations>>,
    end: Arc<Mutex<bool>>,
) {
    let mut count = 0;
    let mut kept = BTreeMap::new();
    while !*end.lock().unwrap() {
        count += 1;
        let addr = nodes[(count + number) % nodes.len()];
        let id = format!("s{seed}-{}-c{number}-{count}", std::process::id());
        let path = ["/chat/x", "/once/x"][count % 2];
        let slot = keeps.then(|| kept.entry(addr).or_default());
        let Some(got) = observation::send(&observed, addr, slot, path, &id).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if keeps && got.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let mut observed = observed.lock().unwrap();
        match path {
            "/once/x" => {
                observed.at_most_once.insert(id.clone(), got.status);
                if got.status == StatusCode::OK && got.complete && !got.body.ends_with(&id) {
                    observed
                        .violations
                        .push(format!("{id} got {:.60?}", got.body));
                }
            }
            _ if got.status == StatusCode::OK => {
                let lines = got.body.lines().filter_map(|l| l.strip_prefix("id: "));
                let ids: Vec<u64> = lines.filter_map(|n| n.parse().ok()).collect();
                let expected: Vec<u64> = (1..=EVENTS).collect();
                if !expected.starts_with(&ids) || (got.complete && ids != expected) {
                    observed.violations.push(format!(
                        "{id} got events {ids:?}, complete {}",
                        got.complete
                    ));
                }
            }
            _ => {}
        }
        observed.answered += usize::from(got.status == StatusCode::OK && got.complete);
    }
}

/// Checks that one node never serves an older version after a newer one. Version `n` has the route
/// `/v{n}/`.
pub async fn watch_versions(
    addr: SocketAddr,
    run: Arc<Mutex<u64>>,
    newest: Arc<Mutex<u64>>,
    observed: Arc<Mutex<Observations>>,
    end: Arc<Mutex<bool>>,
) {
    let (mut served, mut served_run, mut count) = (0, 0, 0);
    let mut id = || {
        count += 1;
        format!("v-{addr}-{count}")
    };
    while !*end.lock().unwrap() {
        let before = *run.lock().unwrap();
        if before != served_run {
            (served, served_run) = (0, before);
        }
        let newest = *newest.lock().unwrap();
        for version in served.max(1)..=newest {
            let path = format!("/v{version}/x");
            let got = observation::send(&observed, addr, None, &path, &id()).await;
            if *run.lock().unwrap() != served_run {
                break;
            }
            let known = got.is_some_and(|g| {
                g.status != StatusCode::NOT_FOUND && g.status != StatusCode::SERVICE_UNAVAILABLE
            });
            if known && version > served {
                served = version;
            }
        }
        if served > 1 {
            let old = served - 1;
            let path = format!("/v{old}/x");
            let got = observation::send(&observed, addr, None, &path, &id()).await;
            if *run.lock().unwrap() == served_run && got.is_some_and(|g| g.status == StatusCode::OK)
            {
                observed
                    .lock()
                    .unwrap()
                    .violations
                    .push(format!("{addr} served {old} after {served}"));
            }
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
