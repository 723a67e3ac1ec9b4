//! Polls endpoints for their load reports.

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

/// Interval between two polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 16;
/// Maximum number of endpoints polled in one interval. If there are more, each of them is polled
/// less often.
const MAX_POLLS_PER_INTERVAL: usize = 128;

/// Polls the endpoints in turn until control ends.
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

/// An endpoint to poll.
struct Target {
    name: Arc<str>,
    addr: SocketAddr,
}

/// Returns the next endpoints to poll, of those that run model stages, and advances `offset`.
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

/// Polls `targets` and sends the results to control. Returns whether control still runs.
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

/// Result of a poll. The report is `None` if the endpoint did not answer in time.
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
