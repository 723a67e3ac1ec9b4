//! Requesters send bodies up to the operator's limit, at the rate of an ordinary day.

use crate::Outcome;
use crate::endpoint::Kind;
use crate::http::{self, Conn};
use crate::platform;
use crate::record::Record;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: u32 = 8;
/// `limits.memory_mb` of the pages' example of settings, in binary megabytes.
const MEMORY_MB: u64 = 260;
/// Size of a body, below the `max_body_bytes` of 4,194,304.
const LARGE_BODY: usize = 4_000_000;
const SMALL_BODY: usize = 800;
/// Streaming requests, and the time between two of them: 13 a second at each node.
const STREAMS: usize = 320;
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Requesters that keep a connection for many short requests.
const KEPT: usize = 60;
/// Requests on kept connections that may end without an answer.
const MAX_UNANSWERED: usize = 3;
const ENGINE: Kind = Kind::Model {
    events: 40,
    interval: Duration::from_millis(150),
};

pub fn run(root: &Path, dir: &Path, record: &Record, trouble: bool) -> Outcome {
    let Some(mut nodes) = platform::start::<3>(root, dir, ENGINES, ENGINE, record) else {
        return Outcome::Failed("the nodes do not get ready".to_owned());
    };
    let addresses = nodes.each_ref().map(|node| node.callers);
    let body = if trouble { LARGE_BODY } else { SMALL_BODY };
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let kept: Vec<_> = (0..KEPT)
        .map(|number| {
            let (ended, record) = (ended.clone(), record.clone());
            let to = addresses[number % addresses.len()];
            http::spawn(move || keep_sending(number, to, &ended, &record))
        })
        .collect();
    let (counted, log) = (served.clone(), record.clone());
    let streams = http::spawn(move || {
        let mut running = Vec::new();
        for number in 0..STREAMS {
            let to = addresses[number % addresses.len()];
            let (counted, log) = (counted.clone(), log.clone());
            running.push(http::spawn(move || {
                let whole = stream(number, to, body, &log);
                counted.fetch_add(u32::from(whole), Ordering::SeqCst);
            }));
            thread::sleep(STREAM_INTERVAL);
        }
        running.into_iter().for_each(|r| r.join().unwrap_or(()));
    });
    // The platform kills a process that exceeds its memory, and starts it again.
    let (mut kills, mut peak) = (0, 0);
    while !streams.is_finished() {
        for node in &mut nodes {
            let used = node.memory_mb();
            peak = peak.max(used);
            if used > MEMORY_MB {
                kills += 1;
                record.line(&format!("{} uses {used} MB and is killed", node.name));
                node.wait_for_end(Duration::ZERO);
                thread::sleep(Duration::from_millis(500));
                node.start();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::SeqCst);
    kept.into_iter().for_each(|k| k.join().unwrap_or(()));
    let unanswered = record.times("unanswered ");
    let runs = record.times("run ");
    let lost = unanswered.iter().filter(|(_, line)| {
        let id = line.split(' ').nth(1).unwrap_or_default();
        runs.iter()
            .any(|(_, run)| run.split(' ').nth(1) == Some(id))
    });
    let lost = lost.count();
    let text = format!(
        "{lost} requests of kept connections were passed on and not answered, {kills} processes exceeded their memory, {peak} MB at most, {} of {STREAMS} streams whole",
        served.load(Ordering::SeqCst)
    );
    match lost > MAX_UNANSWERED {
        true => Outcome::Broken(text),
        false if served.load(Ordering::SeqCst) == 0 => Outcome::Failed(text),
        false => Outcome::Held(text),
    }
}

/// Sends short requests over one connection, and opens a new one when it ends.
fn keep_sending(requester: usize, to: SocketAddr, ended: &AtomicBool, record: &Record) {
    let mut conn: Option<Conn> = None;
    for number in 0.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{:016x}", 0x5000_0000 + requester * 100_000 + number);
        let used = conn.take().filter(|_| number > 0);
        let is_kept = used.is_some();
        let Some(mut open) = used.or_else(|| Conn::connect(to, Duration::from_secs(1)).ok()) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(2)));
        let request = format!(
            "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\n\r\n"
        );
        let sent_at = Instant::now();
        record.line(&format!("sent {id}"));
        match open.write(request.as_bytes()).and_then(|()| open.message()) {
            Ok(response) => {
                record.line(&format!("answered {id} {}", response.status()));
                let closes = response.header("connection").contains("close");
                conn = (!closes).then_some(open);
            }
            Err(error) if is_kept => {
                let after = sent_at.elapsed().as_millis();
                record.line(&format!(
                    "unanswered {id} at {to} after {after} ms: {error}"
                ));
            }
            Err(_) => {}
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a streaming request with a body of `size` bytes and reads its response. Returns whether it is whole.
fn stream(number: usize, to: SocketAddr, size: usize, record: &Record) -> bool {
    let id = format!("{:016x}", 0x7000_0000 + number);
    record.line(&format!("sent {id} to {to} with {size} bytes"));
    let exchange = || -> std::io::Result<bool> {
        let mut conn = Conn::connect(to, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let head = format!(
            "POST /chat/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 100,160\r\n\
             X-Prompt-Prefix: {}:100\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\nContent-Length: {size}\r\n\r\n",
            &id[8..]
        );
        conn.write(head.as_bytes())?;
        conn.write(&vec![b'x'; size])?;
        let response = conn.message()?;
        Ok(response.status() == 200
            && String::from_utf8_lossy(&response.body)
                .matches("id: ")
                .count()
                == 40)
    };
    let outcome = exchange();
    record.line(&format!("answered {id} {outcome:?}"));
    outcome.unwrap_or(false)
}
