//! Bytes that pass the node.

use crate::engines::Engines;
use crate::job;
use engine::chain::{self, Event};
use engine::frame::{self, Call, Head, Input, Place, Reply, Step};
use engine::pool::Pool;
use std::cell::RefCell;
use std::sync::atomic::Ordering;
use tokio_util::sync::CancellationToken;

/// Bytes that pass the node for a token, and how many of them are the protocol's own.
pub async fn print(engines: &Engines) {
    println!("bytes per token and link between stages");
    println!("{:>12} {:>12} {:>12}", "activation", "payload", "step+done");
    for line in &engines.lines {
        let pool = Pool::default();
        let steps = RefCell::new(0_u64);
        let mut out = |event: Event| {
            *steps.borrow_mut() += u64::from(matches!(event, Event::Token(_)));
        };
        // The prompt's positions are taken off: they pass in the first step.
        chain::run(
            &pool,
            job(1, &line.hops, 1),
            &mut out,
            CancellationToken::new(),
        )
        .await;
        let prefill = pool.counters().relayed.load(Ordering::Relaxed);
        let pool = Pool::default();
        chain::run(
            &pool,
            job(1, &line.hops, 101),
            &mut out,
            CancellationToken::new(),
        )
        .await;
        let relayed = pool.counters().relayed.load(Ordering::Relaxed) - prefill;
        let links = (line.hops.len() as u64 - 1) * (*steps.borrow() - 2);
        let heads = heads(line.activation as u32);
        println!(
            "{:>12} {:>12} {:>12}",
            line.activation,
            relayed / links,
            heads
        );
    }
}

fn heads(payload: u32) -> usize {
    let place = Place {
        request: u128::MAX / 3,
        attempt: 1,
        step: 500,
        from: 4,
        to: 8,
    };
    let step = Call::Step(Step {
        place,
        input: Input::Activations,
        payload,
    });
    length(&step)
        + length(&Reply::Done {
            place,
            prompt_tokens: 0,
            payload,
        })
}

fn length<H: Head>(head: &H) -> usize {
    let mut buf = bytes::BytesMut::new();
    frame::encode(head, &mut buf).map_or(0, |()| buf.len())
}
