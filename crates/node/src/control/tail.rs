//! Reads the stream of bundles as it grows, and the instance list as it changes.

use super::input::{Input, Inputs};
use crate::settings::Platform;
use platform::backoff::Backoff;
use platform::{List, Log, Offset};
use std::time::Duration;
use tokio::sync::oneshot;

/// Stream of bundles.
pub const BUNDLES: &str = "bundles";
/// How long a read waits for a record.
const WAIT: Duration = Duration::from_secs(2);
/// First wait after a failure.
const LEAST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after failures: the log is in use again within this after an outage.
const MOST_BACKOFF: Duration = Duration::from_secs(2);
/// How often the instance list is read.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Reads bundles until control is gone.
pub async fn bundles(settings: Platform, inputs: Inputs, seed: u64) {
    let log = platform::http::Log::new(settings.log, settings.limits);
    let mut backoff = Backoff::new(LEAST_BACKOFF, MOST_BACKOFF, seed);
    let mut from: Offset = 0;
    loop {
        match log.read(BUNDLES, from, WAIT).await {
            Ok(page) => {
                backoff.succeeded();
                let (tx, rx) = oneshot::channel();
                if inputs.send(Input::Page(page, tx)).await.is_err() {
                    return;
                }
                let Ok(next) = rx.await else { return };
                from = next;
            }
            Err(error) => {
                let wait = backoff.failed(error.retry_after());
                if inputs.send(Input::LogOut(error)).await.is_err() {
                    return;
                }
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Reads the instance list until control is gone.
pub async fn instances(settings: Platform, inputs: Inputs, seed: u64) {
    let list = platform::http::List::new(settings.list, settings.limits);
    let mut backoff = Backoff::new(LEAST_BACKOFF, MOST_BACKOFF, seed);
    loop {
        let wait = match list.instances().await {
            Ok(instances) => {
                backoff.succeeded();
                if inputs.send(Input::Listed(instances)).await.is_err() {
                    return;
                }
                LIST_PERIOD
            }
            Err(error) => backoff.failed(error.retry_after()),
        };
        tokio::time::sleep(wait).await;
    }
}
