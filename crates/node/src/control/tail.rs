//! Tasks that follow the bundle stream, the instance list and the rate of the weight store.

use super::input::{Input, Inputs};
use crate::settings::Platform;
use platform::backoff::Backoff;
use platform::{List, Log, Offset, Weights};
use std::time::Duration;
use tokio::sync::oneshot;

/// Name of the log's stream of bundles.
pub const BUNDLE_STREAM: &str = "bundles";
/// Maximum time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Backoff after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after repeated failures, which bounds the delay until the service is used again
/// after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Interval at which the rate is read from the weight store.
const RATE_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the instance list is read.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the bundle stream until control ends. After each page, control replies with the offset to
/// read next.
pub async fn read_bundles(settings: Platform, inputs: Inputs, seed: u64) {
    let log = platform::http::Log::new(settings.log, settings.limits);
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, seed);
    let mut from: Offset = 0;
    loop {
        match log.read(BUNDLE_STREAM, from, READ_WAIT).await {
            Ok(page) => {
                backoff.record_success();
                let (next_tx, next_rx) = oneshot::channel();
                if inputs.send(Input::BundlePage(page, next_tx)).await.is_err() {
                    return;
                }
                let Ok(next) = next_rx.await else { return };
                from = next;
            }
            Err(error) => {
                let wait = backoff.record_failure(error.retry_after());
                if inputs.send(Input::LogReadFailed(error)).await.is_err() {
                    return;
                }
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Reads the rate of loads that the weight store allows, until control ends. Returns at once if
/// there is no weight store.
pub async fn poll_rate(settings: Platform, inputs: Inputs) {
    let Some(addr) = settings.weights else {
        return;
    };
    let weights = platform::http::Weights::new(addr, settings.limits);
    loop {
        if let Ok(rate) = weights.rate().await
            && inputs.send(Input::Rate(rate)).await.is_err()
        {
            return;
        }
        tokio::time::sleep(RATE_POLL_INTERVAL).await;
    }
}

/// Reads the instance list until control ends.
pub async fn poll_instances(settings: Platform, inputs: Inputs, seed: u64) {
    let list = platform::http::List::new(settings.list, settings.limits);
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, seed);
    loop {
        let wait = match list.instances().await {
            Ok(instances) => {
                backoff.record_success();
                if inputs.send(Input::Instances(instances)).await.is_err() {
                    return;
                }
                LIST_POLL_INTERVAL
            }
            Err(error) => backoff.record_failure(error.retry_after()),
        };
        tokio::time::sleep(wait).await;
    }
}
