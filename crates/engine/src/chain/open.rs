//! Opens a stream to each stage.

use super::hops::{Failure, Fault, Link, Result};
use super::{Cause, Event, Job};
use crate::frame::{self, Call, Item, Open, Reason, Reply};
use crate::pool::{Counters, Error, Pool};
use crate::prefix;
use bytes::BytesMut;
use futures::stream::{FuturesUnordered, StreamExt};
use std::future::poll_fn;

/// Where stages take streams.
const PATH: &str = "/v1/stage";

/// Opens all stages at once; the first failure ends it, and the opened ones are reset.
pub(super) async fn open(pool: &Pool, job: &Job, out: &mut impl FnMut(Event)) -> Result<Vec<Link>> {
    let version = job.version.as_str();
    let prefix = prefix::chain(&job.model, version, job.adapter.as_deref(), &job.prompt);
    let mut pending: FuturesUnordered<_> = (0..job.hops.len())
        .map(|hop| stage(pool, job, &prefix, hop))
        .collect();
    let mut links: Vec<Option<Link>> = job.hops.iter().map(|_| None).collect();
    // Reported in order, so that the hop after the last one reported is the one that is missing.
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

/// Opens one stage. A kept connection may be gone without a sign; as an open runs nothing, it is
/// safe to send it once more on a fresh one.
async fn stage(pool: &Pool, job: &Job, prefix: &[u64], hop: usize) -> Result<(usize, Link)> {
    let (reused, first) = shake(pool, job, prefix, hop, false).await;
    let is_gone = matches!(&first, Err(failure) if failure.cause == Cause::Reset);
    if !(reused && is_gone) {
        return first.map(|link| (hop, link));
    }
    Counters::add(&pool.counters().reopens, 1);
    let (_, second) = shake(pool, job, prefix, hop, true).await;
    second.map(|link| (hop, link))
}

async fn shake(
    pool: &Pool,
    job: &Job,
    prefix: &[u64],
    hop: usize,
    fresh: bool,
) -> (bool, Result<Link>) {
    let opened = match pool.open(job.hops[hop].addr, PATH, fresh).await {
        Ok(opened) => opened,
        Err(error) => return (false, Err(Failure::new(hop, cause(error)))),
    };
    let mut link = Link::new(opened.stream, job.request, job.attempt);
    let accepted = accept(pool, &mut link, &call(job, prefix, hop)).await;
    (
        opened.reused,
        accepted.map(|()| link).map_err(|fault| fault.at(hop)),
    )
}

async fn accept(pool: &Pool, link: &mut Link, open: &Open) -> std::result::Result<(), Fault> {
    let mut buf = BytesMut::new();
    frame::encode(&Call::Open(open.clone()), &mut buf).map_err(|_| Cause::Unfit)?;
    link.send(buf.freeze()).await.map_err(|_| Cause::Reset)?;
    match poll_fn(|cx| link.poll_item(cx, pool.counters())).await? {
        Item::Head(Reply::Opened(request, attempt))
            if (request, attempt) == (open.request, open.attempt) =>
        {
            Ok(())
        }
        Item::Head(Reply::Refused(reason, wait)) => Err(Fault {
            cause: refused(reason),
            retry_after: wait,
        }),
        _ => Err(Cause::Protocol.into()),
    }
}

fn call(job: &Job, prefix: &[u64], hop: usize) -> Open {
    Open {
        request: job.request,
        attempt: job.attempt,
        model: job.model.clone(),
        version: job.version.clone(),
        adapter: job.adapter.clone(),
        from: job.hops[hop].from,
        to: job.hops[hop].to,
        most: job.most,
        seed: job.seed,
        rank: job.priority_rank,
        prefix: prefix.to_vec(),
    }
}

fn cause(error: Error) -> Cause {
    match error {
        Error::Connect => Cause::Connect,
        Error::Full => Cause::Busy,
        Error::Reset | Error::Late => Cause::Reset,
        Error::Status(_) | Error::Format => Cause::Protocol,
    }
}

fn refused(reason: Reason) -> Cause {
    match reason {
        Reason::Busy => Cause::Busy,
        Reason::Leaving => Cause::Leaving,
        Reason::Unfit => Cause::Unfit,
    }
}
