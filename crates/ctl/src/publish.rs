//! `wigeonctl publish`: appends a signed version to the log, directly or through a node.

use crate::admin::Admin;
use crate::failure::{Failure, Result, failed, input};
use crate::files;
use crate::output::Output;
use crate::source;
use crate::tail::{STREAM, Tail, backoff};
use crate::wait;
use bundle::answer::{Answer, OutcomeKind};
use bundle::publish::{Action, Event, Publisher};
use bytes::Bytes;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use platform::Log;
use platform::backoff::Backoff;
use std::net::SocketAddr;
use std::time::Duration;

/// Admin path for publishing, the only write of the admin API.
const BUNDLES_PATH: &str = "/admin/v1/bundles";

/// Maximum number of calls to a node. Publishing is idempotent, so a retry is safe; see
/// [`bundle::publish`].
const MAX_CALLS: u32 = 4;

/// Time for which a read of the log waits for new records, such as the one just appended.
const PAGE_WAIT: Duration = Duration::from_millis(500);

/// Publishes a signed version; with `--wait`, returns once every listed node has it in force.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let body = files::bytes(files::path_arg(args, "file"))?;
    let body = body.trim_ascii().to_vec();
    let publish = Publisher::new(body)
        .wrap_err("not a signed version")
        .map_err(input)?;
    let answer = match args.get_one::<SocketAddr>("admin") {
        Some(addr) => publish_through_node(Admin(*addr), publish.body()).await?,
        None => publish_to_log(source::tail(args)?, publish).await,
    };
    check_outcome(&answer)?;
    // The version is accepted, so the fleet is awaited even if the result can't be written.
    let shown = output.show(&answer);
    if args.get_flag("wait")
        && let Some(addr) = args.get_one::<SocketAddr>("admin")
    {
        let seconds = args.get_one::<u64>("timeout").copied().unwrap_or_default();
        let limit = Duration::from_secs(seconds);
        wait::run(Admin(*addr), answer.number, limit, output).await?;
    }
    shown
}

/// Turns any outcome but acceptance into a failure.
fn check_outcome(answer: &Answer) -> Result {
    let message = eyre!("{}", answer.message);
    match answer.outcome {
        OutcomeKind::Accepted => Ok(()),
        OutcomeKind::Refused => {
            let mut findings = bundle::finding::Findings::default();
            answer
                .findings
                .iter()
                .for_each(|f| findings.push(f.clone()));
            if findings.is_empty() {
                Err(input(message))
            } else {
                Err(Failure::Findings(findings))
            }
        }
        OutcomeKind::Lost => {
            let message = match answer.signer.as_str() {
                "" => message,
                signer => eyre!("lost to version {} by {signer}", answer.number),
            };
            Err(failed(message))
        }
        OutcomeKind::Failed | OutcomeKind::Unsure => Err(failed(message)),
    }
}

/// Publishes through a node's admin API, with retries on calls that fail.
async fn publish_through_node(admin: Admin, body: &[u8]) -> Result<Answer> {
    let mut backoff = backoff();
    loop {
        let response = admin.post(BUNDLES_PATH, Bytes::copy_from_slice(body)).await;
        let answer = response.and_then(|response| response.json::<Answer>());
        match answer {
            Ok(answer) => return Ok(answer),
            Err(e) if backoff.failures() + 1 >= MAX_CALLS => {
                let message = "the node did not answer; the version may be in force: publish the \
                            same file again to find out";
                return Err(failed(e.wrap_err(message)));
            }
            Err(_) => tokio::time::sleep(backoff.record_failure(None)).await,
        }
    }
}

/// Publishes by appending to the log directly.
async fn publish_to_log(mut tail: Tail, mut publish: Publisher) -> Answer {
    let mut backoff = backoff();
    let mut action = publish.start();
    loop {
        let event = match action {
            Action::Done(outcome) => return Answer::from(&outcome),
            Action::Append => append(&tail, &publish, &mut backoff).await,
            Action::Read { .. } => read(&mut tail, &mut backoff).await,
        };
        action = publish.step(&tail.fold, event);
    }
}

/// Appends once; backs off after a failure.
async fn append(tail: &Tail, publish: &Publisher, backoff: &mut Backoff) -> Event {
    let body = Bytes::copy_from_slice(publish.body());
    match tail.log.append(STREAM, body).await {
        Ok(offset) => Event::Appended(offset),
        Err(e) => {
            tokio::time::sleep(backoff.record_failure(e.retry_after())).await;
            Event::Failed { unsure: e.unsure() }
        }
    }
}

/// Reads one page of the log; backs off after a failure.
async fn read(tail: &mut Tail, backoff: &mut Backoff) -> Event {
    match tail.read_page(PAGE_WAIT).await {
        Ok(end) => Event::Read { end },
        Err(e) => {
            tokio::time::sleep(backoff.record_failure(e.retry_after())).await;
            Event::Failed { unsure: false }
        }
    }
}
