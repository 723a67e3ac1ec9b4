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
const PERIOD: Duration = Duration::from_millis(1000);
/// Longest time that an answer may take.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Endpoints asked at once.
const AT_ONCE: usize = 16;
/// Most endpoints that a node asks in a period; of more, each is asked less often.
const MOST: usize = 128;

/// Asks the endpoints in turn until control is gone.
pub async fn poll(board: SharedSnapshot, inputs: Inputs) {
    let pool = Pool::default();
    let mut period = tokio::time::interval(PERIOD);
    let mut from = 0;
    loop {
        period.tick().await;
        let targets = targets(&board, &mut from);
        if !ask(&pool, targets, &inputs).await {
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
fn targets(board: &SharedSnapshot, from: &mut usize) -> Vec<Target> {
    let Some(snapshot) = board.load_full() else {
        return Vec::new();
    };
    let rows = snapshot.view.bundle.endpoints.iter();
    let all: Vec<_> = rows.filter(|e| !e.spans.is_empty()).collect();
    let taken = all.iter().cycle().skip(*from).take(all.len().min(MOST));
    let targets = taken.map(|e| Target {
        name: e.name.as_str().into(),
        addr: e.addr,
    });
    let targets: Vec<_> = targets.collect();
    *from = (*from + targets.len()) % all.len().max(1);
    targets
}

/// Asks each; whether control is still there.
async fn ask(pool: &Pool, targets: Vec<Target>, inputs: &Inputs) -> bool {
    let mut targets = targets.into_iter();
    let mut asking = FuturesUnordered::new();
    loop {
        while asking.len() < AT_ONCE
            && let Some(target) = targets.next()
        {
            asking.push(fetch(pool, target));
        }
        let Some(answer) = asking.next().await else {
            return true;
        };
        if inputs
            .send(Input::Load(answer.name, answer.report))
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
    let answer = timeout(ANSWER_TIME, engine::load::fetch(pool, target.addr));
    Answer {
        name: target.name,
        report: answer.await.ok().and_then(|load| load.ok()),
    }
}
