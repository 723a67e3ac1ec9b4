//! Measures the bytes that a node relays.

use crate::engines::Engines;
use crate::job;
use engine::chain::{self, Event};
use engine::frame::{self, Call, Head, Input, Place, Reply, Step};
use engine::pool::Pool;
use std::cell::RefCell;
use std::sync::atomic::Ordering;
use tokio_util::sync::CancellationToken;

/// Prints the bytes relayed per token and link between stages, and the size of the frame heads.
pub async fn print(engines: &Engines) {
    println!("bytes per token and link between stages");
    println!("{:>12} {:>12} {:>12}", "activation", "payload", "step+done");
    for pipeline in &engines.pipelines {
        let pool = Pool::default();
        let steps = RefCell::new(0_u64);
        let mut out = |event: Event| {
            *steps.borrow_mut() += u64::from(matches!(event, Event::Token(_)));
        };
        // A run with one token gives the bytes of the prefill, which are subtracted below.
        chain::run(
            &pool,
            job(1, &pipeline.hops, 1),
            &mut out,
            CancellationToken::new(),
        )
        .await;
        let prefill = pool.counters().relayed.load(Ordering::Relaxed);
        let pool = Pool::default();
        chain::run(
            &pool,
            job(1, &pipeline.hops, 101),
            &mut out,
            CancellationToken::new(),
        )
        .await;
        let relayed = pool.counters().relayed.load(Ordering::Relaxed) - prefill;
        let links = (pipeline.hops.len() as u64 - 1) * (*steps.borrow() - 2);
        let head_bytes = head_bytes(pipeline.activation as u32);
        println!(
            "{:>12} {:>12} {:>12}",
            pipeline.activation,
            relayed / links,
            head_bytes
        );
    }
}

/// Returns the encoded size of the heads of a step and its reply.
fn head_bytes(payload: u32) -> usize {
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
    encoded_len(&step)
        + encoded_len(&Reply::Done {
            place,
            prompt_tokens: 0,
            payload,
        })
}

fn encoded_len<H: Head>(head: &H) -> usize {
    let mut buf = bytes::BytesMut::new();
    frame::encode(head, &mut buf).map_or(0, |()| buf.len())
}
