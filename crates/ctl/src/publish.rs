//! `wigeonctl publish`

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

/// Path of the admin API's one write.
const BUNDLES_PATH: &str = "/admin/v1/bundles";

/// Calls to a node that may fail before giving up; repeating is safe, see [`bundle::publish`].
const MAX_CALLS: u32 = 4;

/// How long a read waits for the own record to turn up.
const PAGE_WAIT: Duration = Duration::from_millis(500);

/// Publishes a signed version.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let body = files::bytes(files::path_arg(args, "file"))?;
    let body = body.trim_ascii().to_vec();
    let publish = Publisher::new(body)
        .wrap_err("signed version")
        .map_err(input)?;
    let answer = match args.get_one::<SocketAddr>("admin") {
        Some(addr) => publish_through_node(Admin(*addr), publish.body()).await?,
        None => publish_to_log(source::tail(args)?, publish).await,
    };
    check_outcome(&answer)?;
    output.show(&answer);
    if args.get_flag("wait")
        && let Some(addr) = args.get_one::<SocketAddr>("admin")
    {
        let seconds = args.get_one::<u64>("timeout").copied().unwrap_or_default();
        let limit = Duration::from_secs(seconds);
        wait::run(Admin(*addr), answer.number, limit, output).await?;
    }
    Ok(())
}

/// An answer other than acceptance as a failure.
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

/// Publishes through a node.
async fn publish_through_node(admin: Admin, body: &[u8]) -> Result<Answer> {
    let mut backoff = backoff();
    loop {
        let called = admin.post(BUNDLES_PATH, Bytes::copy_from_slice(body)).await;
        let answer = called.and_then(|answer| answer.json::<Answer>());
        match answer {
            Ok(answer) => return Ok(answer),
            Err(e) if backoff.failures() + 1 >= MAX_CALLS => {
                let message = "the node gave no answer; the version may be in force, publish the \
                            same file again to learn it";
                return Err(failed(e.wrap_err(message)));
            }
            Err(_) => tokio::time::sleep(backoff.record_failure(None)).await,
        }
    }
}

/// Publishes into the log.
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

/// Appends once; waits after a failure.
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

/// Reads a page; waits after a failure.
async fn read(tail: &mut Tail, backoff: &mut Backoff) -> Event {
    match tail.read_page(PAGE_WAIT).await {
        Ok(end) => Event::Read { end },
        Err(e) => {
            tokio::time::sleep(backoff.record_failure(e.retry_after())).await;
            Event::Failed { unsure: false }
        }
    }
}
