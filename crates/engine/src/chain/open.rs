//! Opens a stream to each stage.

use super::hops::{Failure, Fault, Link, Result};
use super::{Cause, Event, Job};
use crate::frame::{self, Call, Item, Open, Reason, Reply};
use crate::pool::{Counters, Error, Pool};
use crate::prefix;
use bytes::BytesMut;
use futures::stream::{FuturesUnordered, StreamExt};
use std::future::poll_fn;

/// Path on which stages accept streams.
const STAGE_PATH: &str = "/v1/stage";

/// Opens streams to all stages concurrently. After the first failure, the streams that are already
/// open are reset.
pub(super) async fn open(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) -> Result<Vec<Link>> {
    let version = job.version.as_str();
    let prefix = prefix::block_hashes(&job.model, version, job.adapter.as_deref(), &job.prompt);
    let mut pending: FuturesUnordered<_> = (0..job.hops.len())
        .map(|hop| open_stage(pool, job, &prefix, hop))
        .collect();
    let mut links: Vec<Option<Link>> = job.hops.iter().map(|_| None).collect();
    // Progress is reported in hop order, so that the hop after the last reported one is always the
    // first whose stream is not open yet.
    let mut next = 0;
    while let Some(opened) = pending.next().await {
        let (hop, link) = opened?;
        links[hop] = Some(link);
        while links.get(next).is_some_and(Option::is_some) {
            let hop = next as u8;
            out(Event::Progress { hop, step: 0 });
            next += 1;
        }
    }
    Ok(links.into_iter().flatten().collect())
}

/// Opens the stream to one stage. The stage may have closed a pooled connection without notice.
/// Opening a stream runs no layer, so it is safe to retry it once on a new connection.
async fn open_stage(pool: &Pool, job: &Job, prefix: &[u64], hop: usize) -> Result<(usize, Link)> {
    let first = handshake(pool, job, prefix, hop, false).await;
    let is_reset = matches!(&first.link, Err(failure) if failure.cause == Cause::Reset);
    if !(first.reused && is_reset) {
        return first.link.map(|link| (hop, link));
    }
    Counters::add(&pool.counters().reopens, 1);
    let second = handshake(pool, job, prefix, hop, true).await;
    second.link.map(|link| (hop, link))
}

/// Result of opening a stream, and whether the connection existed before.
struct Handshake {
    reused: bool,
    link: Result<Link>,
}

/// Opens a stream and requests a slot on it.
async fn handshake(
    pool: &Pool,
    job: &Job,
    prefix: &[u64],
    hop: usize,
    new_connection: bool,
) -> Handshake {
    let opened = match pool
        .open(job.hops[hop].addr, STAGE_PATH, new_connection)
        .await
    {
        Ok(opened) => opened,
        Err(error) => {
            let link = Err(Failure::new(hop, cause_of_error(error)));
            return Handshake {
                reused: false,
                link,
            };
        }
    };
    let reused = opened.reused;
    let mut link = Link::new(opened.stream, job.request, job.attempt);
    let accepted = accept(pool, &mut link, &open_frame(job, prefix, hop)).await;
    let link = accepted.map(|()| link).map_err(|fault| fault.at(hop));
    Handshake { reused, link }
}

/// Sends the open frame and waits until the stage reserves or refuses a slot.
async fn accept(pool: &Pool, link: &mut Link, open: &Open) -> std::result::Result<(), Fault> {
    let mut buf = BytesMut::new();
    frame::encode(&Call::Open(open.clone()), &mut buf).map_err(|_| Cause::Invalid)?;
    link.send(buf.freeze()).await.map_err(|_| Cause::Reset)?;
    match poll_fn(|cx| link.poll_item(cx, pool.counters())).await? {
        Item::Head(Reply::Opened(request, attempt))
            if (request, attempt) == (open.request, open.attempt) =>
        {
            Ok(())
        }
        Item::Head(Reply::Refused(reason, wait)) => Err(Fault {
            cause: cause_of_refusal(reason),
            retry_after: wait,
        }),
        _ => Err(Cause::Protocol.into()),
    }
}

fn open_frame(job: &Job, prefix: &[u64], hop: usize) -> Open {
    Open {
        request: job.request,
        attempt: job.attempt,
        model: job.model.clone(),
        version: job.version.clone(),
        adapter: job.adapter.clone(),
        from: job.hops[hop].from,
        to: job.hops[hop].to,
        max_tokens: job.max_tokens,
        seed: job.seed,
        priority: job.priority,
        prefix: prefix.to_vec(),
    }
}

fn cause_of_error(error: Error) -> Cause {
    match error {
        Error::Connect => Cause::Connect,
        Error::Full => Cause::Busy,
        Error::Reset | Error::Timeout => Cause::Reset,
        Error::Status(_) | Error::Format => Cause::Protocol,
    }
}

fn cause_of_refusal(reason: Reason) -> Cause {
    match reason {
        Reason::Busy => Cause::Busy,
        Reason::Leaving => Cause::Leaving,
        Reason::Unfit => Cause::Unfit,
    }
}
