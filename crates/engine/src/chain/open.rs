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
    let prefix = prefix::block_hashes(&job.model, version, job.adapter.as_deref(), &job.prompt);
    let mut pending: FuturesUnordered<_> = (0..job.hops.len())
        .map(|hop| open_stage(pool, job, &prefix, hop))
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
async fn open_stage(pool: &Pool, job: &Job, prefix: &[u64], hop: usize) -> Result<(usize, Link)> {
    let first = handshake(pool, job, prefix, hop, false).await;
    let is_gone = matches!(&first.link, Err(failure) if failure.cause == Cause::Reset);
    if !(first.reused && is_gone) {
        return first.link.map(|link| (hop, link));
    }
    Counters::add(&pool.counters().reopens, 1);
    let second = handshake(pool, job, prefix, hop, true).await;
    second.link.map(|link| (hop, link))
}

/// A try to open a stage, and whether it was made on a kept connection.
struct Handshake {
    reused: bool,
    link: Result<Link>,
}

async fn handshake(
    pool: &Pool,
    job: &Job,
    prefix: &[u64],
    hop: usize,
    new_connection: bool,
) -> Handshake {
    let opened = match pool.open(job.hops[hop].addr, PATH, new_connection).await {
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
