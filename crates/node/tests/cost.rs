//! Cost of a small request at a node: time that it takes, and time of the processor. A benchmark, run by hand:
//!
//! `cargo test --release -p wigeonshelf --test cost -- --ignored --nocapture`

#[path = "crowd/caller.rs"]
mod caller;
#[path = "support/process.rs"]
mod process;
#[path = "crowd/site.rs"]
#[allow(dead_code)]
mod site;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use site::Site;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Requests of one round, sent one after the other on one connection.
const REQUESTS: usize = 4000;
const ROUNDS: usize = 5;
/// Length of a request's body in bytes.
const BODY_BYTES: usize = 800;

/// Sends requests on a kept connection, and returns the time of each.
async fn send_all(addr: SocketAddr, path: &str, round: usize) -> Vec<Duration> {
    let mut conn = TcpStream::connect(addr).await.unwrap();
    conn.set_nodelay(true).unwrap();
    let mut times = Vec::new();
    let mut buffer = vec![0; 4096];
    for number in 0..REQUESTS {
        let id = round * REQUESTS + number;
        let request = caller::with_length(path, id, BODY_BYTES, BODY_BYTES);
        let begin = Instant::now();
        conn.write_all(&request).await.unwrap();
        let mut read = 0;
        // The responses are short, and end with these texts.
        while !buffer[..read].ends_with(b"ordinary") && !buffer[..read].ends_with(b"0\r\n\r\n") {
            let more = conn.read(&mut buffer[read..]).await.unwrap();
            assert!(more > 0, "the connection ended");
            read += more;
        }
        assert!(buffer.starts_with(b"HTTP/1.1 200"));
        times.push(begin.elapsed());
    }
    times
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a benchmark"]
async fn cost_of_a_small_request() {
    let site = Site::start("cost").await;
    for path in ["/safe/x", "/once/x", "/chat/x"] {
        for round in 0..ROUNDS {
            let before = site.node.process.processor_time();
            let mut times = send_all(site.node.callers, path, round).await;
            let used = site.node.process.processor_time() - before;
            times.sort();
            let mean = times.iter().sum::<Duration>() / REQUESTS as u32;
            println!(
                "{path} round {round}: mean {mean:?}, median {:?}, p99 {:?}; processor {:?} a request",
                times[REQUESTS / 2],
                times[REQUESTS * 99 / 100],
                used / REQUESTS as u32
            );
        }
    }
}
