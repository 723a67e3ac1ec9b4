//! Asks endpoints for their load.

use super::input::{Input, Inputs};
use engine::load::Report;
use engine::pool::Pool;
use entry::snapshot::SharedSnapshot;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How often an endpoint is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest time that an answer may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Endpoints asked at once.
const MAX_CONCURRENT_POLLS: usize = 16;
/// Most endpoints that a node asks in a period; of more, each is asked less often.
const MAX_POLLS_PER_INTERVAL: usize = 128;

/// Asks the endpoints in turn until control is gone.
pub async fn poll(shared_snapshot: SharedSnapshot, inputs: Inputs) {
    let pool = Pool::default();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    let mut offset = 0;
    loop {
        interval.tick().await;
        let targets = next_targets(&shared_snapshot, &mut offset);
        if !poll_targets(&pool, targets, &inputs).await {
            return;
        }
    }
}

/// An endpoint to ask.
struct Target {
    name: Arc<str>,
    addr: SocketAddr,
}

/// The next endpoints that run model stages.
fn next_targets(shared_snapshot: &SharedSnapshot, offset: &mut usize) -> Vec<Target> {
    let Some(snapshot) = shared_snapshot.load_full() else {
        return Vec::new();
    };
    let rows = snapshot.view.bundle.endpoints.iter();
    let polled: Vec<_> = rows.filter(|e| !e.spans.is_empty()).collect();
    let selected = polled
        .iter()
        .cycle()
        .skip(*offset)
        .take(polled.len().min(MAX_POLLS_PER_INTERVAL));
    let targets = selected.map(|e| Target {
        name: e.name.as_str().into(),
        addr: e.addr,
    });
    let targets: Vec<_> = targets.collect();
    *offset = (*offset + targets.len()) % polled.len().max(1);
    targets
}

/// Asks each; whether control is still there.
async fn poll_targets(pool: &Pool, targets: Vec<Target>, inputs: &Inputs) -> bool {
    let mut targets = targets.into_iter();
    let mut polls = FuturesUnordered::new();
    loop {
        while polls.len() < MAX_CONCURRENT_POLLS
            && let Some(target) = targets.next()
        {
            polls.push(fetch(pool, target));
        }
        let Some(answer) = polls.next().await else {
            return true;
        };
        if inputs
            .send(Input::LoadReport(answer.name, answer.report))
            .await
            .is_err()
        {
            return false;
        }
    }
}

/// An endpoint's answer, if there was one.
struct Answer {
    name: Arc<str>,
    report: Option<Report>,
}

async fn fetch(pool: &Pool, target: Target) -> Answer {
    let answer = timeout(POLL_TIMEOUT, engine::load::fetch(pool, target.addr));
    Answer {
        name: target.name,
        report: answer.await.ok().and_then(|load| load.ok()),
    }
}
