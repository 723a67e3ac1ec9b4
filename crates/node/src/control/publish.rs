//! Publication of bundle versions for the admin listener, and appends of checkpoints.

use super::tail::BUNDLE_STREAM;
use bundle::answer::Answer;
use bundle::fold::Fold;
use bundle::publish::{Action, Event, Outcome, Publisher};
use bytes::Bytes;
use platform::backoff::Backoff;
use platform::http::Log as Client;
use platform::{Log, Page};
use std::time::Duration;

/// Backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after repeated failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Publishes the version in `body` and returns the outcome. `fold` is a copy of the node's fold. It
/// is advanced here by separate reads of the log, so that the answer does not depend on control.
pub async fn publish_version(log: Client, mut fold: Fold, body: Bytes, seed: u64) -> Answer {
    let mut publish = match Publisher::new(body.to_vec()) {
        Ok(publish) => publish,
        Err(error) => return Answer::from(&error),
    };
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, seed);
    let mut action = publish.start();
    loop {
        let event = match action {
            Action::Done(outcome) => return log_outcome(&outcome),
            Action::Read { failures } => {
                if failures > 0 {
                    tokio::time::sleep(backoff.record_failure(None)).await;
                }
                read(&log, &mut fold).await
            }
            Action::Append => append(&log, publish.body()).await,
        };
        action = publish.step(&fold, event);
    }
}

/// Logs the outcome of a publication and converts it to an answer.
fn log_outcome(outcome: &Outcome) -> Answer {
    let answer = Answer::from(outcome);
    log::info!("publication of a bundle version ended: {answer}");
    answer
}

/// Reads the next page of the bundle stream into `fold`.
async fn read(log: &Client, fold: &mut Fold) -> Event {
    match log
        .read(BUNDLE_STREAM, fold.next_offset(), Duration::ZERO)
        .await
    {
        Ok(page) => {
            apply(fold, &page);
            Event::Read {
                end: page.records.is_empty(),
            }
        }
        Err(_) => Event::Failed { unsure: false },
    }
}

fn apply(fold: &mut Fold, page: &Page) {
    let records = page.records.iter().map(|r| (r.offset, r.body.as_ref()));
    fold.apply_page(page.first, records);
}

/// Appends the version to the bundle stream.
async fn append(log: &Client, body: &[u8]) -> Event {
    match log
        .append(BUNDLE_STREAM, Bytes::copy_from_slice(body))
        .await
    {
        Ok(offset) => Event::Appended(offset),
        Err(error) => Event::Failed {
            unsure: error.unsure(),
        },
    }
}

/// Appends a checkpoint. A failed append is not retried here: the node sees from its reads of the
/// stream whether the checkpoint is there, and the policy writes a lost one again. A duplicate does
/// no harm.
pub async fn append_checkpoint(log: Client, body: Vec<u8>) {
    match log.append(BUNDLE_STREAM, Bytes::from(body)).await {
        Ok(offset) => log::info!("wrote a checkpoint at offset {offset}"),
        Err(error) => log::warn!("could not write a checkpoint: {error}"),
    }
}
