//! Measures the bytes on a loopback connection between two nodes, without the headers of IP and
//! TCP: for frames of several sizes and for opening a connection. Also measures the time to encode
//! and decode a frame.

#[path = "../tests/support/bare.rs"]
mod bare;
#[path = "../tests/support/node.rs"]
mod node;
#[path = "../tests/support/proxy.rs"]
mod proxy;

use bare::{BareLink, numbered_message, wait_until};
use member::message::{Body, Message, Summary};
use node::KEY;
use proxy::Proxy;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wire::frame::Frame;
use wire::limits::Limits;

/// Number of frames over which the bytes of one frame are averaged.
const FRAMES: u64 = 200;

fn digest(number: u64, versions: usize) -> Message {
    let summary = Summary {
        hash: 1,
        versions: vec![300; versions],
    };
    Message {
        body: Body::Digest(vec![summary; 16]),
        ..numbered_message(number)
    }
}

async fn measure(versions: usize) {
    let mut far = BareLink::start(KEY, Limits::default()).await;
    let (_target, watch) = tokio::sync::watch::channel(far.link.addr());
    let proxy = Proxy::start(watch).await;
    let near = BareLink::start(KEY, Limits::default()).await;
    let bytes = || proxy.bytes.load(Ordering::Relaxed);
    let settle = || tokio::time::sleep(Duration::from_millis(100));
    near.link
        .send(proxy.addr, digest(0, versions))
        .expect("queued");
    far.next().await;
    settle().await;
    let first = bytes();
    for number in 1..=FRAMES {
        near.link
            .send(proxy.addr, digest(number, versions))
            .expect("queued");
        far.next().await;
        let confirmed = || near.link.counters().sent.get() > number;
        wait_until("sent", confirmed).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    settle().await;
    let each = (bytes() - first) as f64 / FRAMES as f64;
    let frame = Frame::send(digest(0, versions))
        .encode()
        .expect("encodes")
        .len();
    let handshake = first as f64 - each;
    println!(
        "| {frame} | {each:.0} | {:.0} | {handshake:.0} |",
        each - frame as f64
    );
}

fn codec() {
    let frame = Frame::send(digest(1, 24));
    let bytes = frame.encode().expect("encodes");
    let rounds = 20_000u32;
    let started = Instant::now();
    (0..rounds).for_each(|_| drop(std::hint::black_box(frame.encode())));
    let encode = started.elapsed() / rounds;
    let started = Instant::now();
    (0..rounds).for_each(|_| drop(std::hint::black_box(Frame::decode(&bytes))));
    let decode = started.elapsed() / rounds;
    println!(
        "\nA digest frame of {} bytes: encode {encode:?}, decode and check {decode:?}",
        bytes.len()
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("| bytes of a frame | on the connection | over the frame | new connection |");
    println!("|---|---|---|---|");
    for versions in [0, 1, 24] {
        measure(versions).await;
    }
    codec();
}
