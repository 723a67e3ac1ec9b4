//! Nodes are stopped and started in turn while requesters use them.
//!
//! Requesters keep a response of the directory three times as long as its `ttl_s`, so some of them send
//! requests to a node until about three seconds after its SIGTERM.

use crate::Outcome;
use crate::endpoint::Kind;
use crate::http::{self, Conn};
use crate::platform;
use crate::record::Record;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: u32 = 8;
/// `bounds.grace_s` of the pages.
const GRACE: Duration = Duration::from_secs(8);
/// Requests sent up to this time after the SIGTERM may be cut off at the end of the grace time.
const EXCUSED: Duration = Duration::from_secs(3);
/// Time limit of a stream, as on the customers' sheets.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Factor by which requesters keep a response of the directory.
const KEPT_FACTOR: f64 = 3.0;
const REQUESTERS: usize = 60;
const ROLLS: usize = 5;
const STREAM: Kind = Kind::Model {
    events: 40,
    interval: Duration::from_millis(150),
};
/// How a request ended.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    to: SocketAddr,
    at: Instant,
    ended_at: Instant,
    /// Status of the response; 0 without one.
    status: u16,
    /// Whether the response was complete.
    whole: bool,
}

pub fn run(root: &Path, dir: &Path, record: &Record, trouble: bool) -> Outcome {
    let Some(mut nodes) = platform::start::<3>(root, dir, ENGINES, STREAM, record) else {
        return Outcome::Failed("the nodes do not get ready".to_owned());
    };
    let (mut broken, mut sent_late, mut served) = (Vec::new(), 0, 0);
    for roll in 0..ROLLS {
        // The requesters ask the directory of another node.
        let directory = nodes[1].directory;
        let node = &mut nodes[0];
        // The requesters began together, so they ask at the same time, shortly after the SIGTERM.
        let asked_at = Instant::now() + Duration::from_millis(100);
        let term_at = asked_at - Duration::from_millis(45);
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let requesters: Vec<_> = (0..REQUESTERS)
            .map(|number| {
                let (sent, record) = (sent.clone(), record.clone());
                http::spawn(move || {
                    request_while_listed(roll, number, asked_at, directory, &sent, &record)
                })
            })
            .collect();
        thread::sleep(term_at.saturating_duration_since(Instant::now()));
        let mut signalled_at = Instant::now();
        if trouble {
            signalled_at = node.signal("-TERM");
            record.line(&format!("SIGTERM {}", node.name));
            node.wait_for_end(GRACE.saturating_sub(signalled_at.elapsed()));
            record.line(&format!("end {}", node.name));
            node.start();
        }
        requesters.into_iter().for_each(|r| r.join().unwrap_or(()));
        for request in sent.lock().unwrap().iter() {
            let after = request.at.saturating_duration_since(signalled_at);
            let ran = record.holds(&format!("run {} ", request.id));
            served += u32::from(request.whole && request.status == 200);
            let late = request.to == node.callers && after > EXCUSED;
            sent_late += u32::from(late);
            let in_time = request.ended_at - request.at < TIME_LIMIT;
            if trouble
                && late
                && ran
                && !request.whole
                && in_time
                && after < GRACE + Duration::from_secs(1)
            {
                let (after, ended) = (
                    after.as_secs_f64(),
                    (request.ended_at - signalled_at).as_secs_f64(),
                );
                broken.push(format!(
                    "{} sent {after:.3} s after the SIGTERM, cut at {ended:.3} s",
                    request.id
                ));
            }
            if !trouble && !(request.whole && request.status == 200) {
                broken.push(format!("{} is not served without a disruption", request.id));
            }
        }
        if !node.wait_until_ready(Duration::from_secs(8)) {
            return Outcome::Failed("the node does not get ready again".to_owned());
        }
        thread::sleep(Duration::from_secs(2));
    }
    broken
        .iter()
        .for_each(|line| record.line(&format!("LOST {line}")));
    let text = format!(
        "{} requests lost, {sent_late} sent later than 3 s after a SIGTERM, {served} served",
        broken.len()
    );
    match broken.is_empty() {
        true if served == 0 => Outcome::Failed(format!("nothing was served: {text}")),
        true => Outcome::Held(text),
        false => Outcome::Broken(text),
    }
}

/// Asks the directory, and shortly before the response expires sends a request to one of its addresses at
/// random.
fn request_while_listed(
    roll: usize,
    number: usize,
    asked_at: Instant,
    directory: SocketAddr,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    thread::sleep(asked_at.saturating_duration_since(Instant::now()));
    let Some((addresses, ttl)) = resolve(directory) else {
        return record.line(&format!("requester {number} gets no addresses"));
    };
    if addresses.is_empty() {
        return;
    }
    let kept = ttl.mul_f64(KEPT_FACTOR);
    // Spread over the last 100 ms.
    let left = Duration::from_micros(100_000 * number as u64 / REQUESTERS as u64);
    thread::sleep((asked_at + kept).saturating_duration_since(Instant::now() + left));
    let to = addresses[number * 7 % addresses.len()];
    let id = format!(
        "{:016x}",
        0x9c41_0000_0000_0000u64 + (roll as u64) * 1000 + number as u64
    );
    let at = Instant::now();
    record.line(&format!("sent {id} to {to}"));
    let (status, whole, events) = stream(to, &id);
    record.line(&format!(
        "answered {id} {status} {} after {events} events",
        if whole { "whole" } else { "cut" }
    ));
    let ended_at = Instant::now();
    sent.lock().unwrap().push(Sent {
        id,
        to,
        at,
        ended_at,
        status,
        whole,
    });
}

fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let mut conn = Conn::connect(directory, Duration::from_secs(1)).ok()?;
    conn.stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .ok()?;
    conn.write(b"GET /wigeonshelf/resolve?name=h&region=south&zone=a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").ok()?;
    let response = conn.message().ok()?;
    let body = String::from_utf8(response.body).ok()?;
    let list = body.split_once("\"addresses\":[")?.1.split(']').next()?;
    let addresses = list
        .split(',')
        .filter_map(|a| a.trim_matches('"').parse().ok());
    let ttl = body
        .split_once("\"ttl_s\":")?
        .1
        .split(['}', ','])
        .next()?
        .trim()
        .parse()
        .ok()?;
    Some((addresses.collect(), Duration::from_secs_f64(ttl)))
}

/// Sends a streaming request and reads its response to the end. Returns the status, whether the response is
/// complete, and the number of events.
fn stream(to: SocketAddr, id: &str) -> (u16, bool, usize) {
    let Ok(mut conn) = Conn::connect(to, Duration::from_secs(1)) else {
        return (0, false, 0);
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 100,160\r\n\
         X-Prompt-Prefix: 5c1e07a2:40,{}:60\r\nX-Deadline-Ms: {}\r\nAuthorization: Token k1\r\nContent-Length: 4\r\n\r\nbody",
        &id[8..],
        TIME_LIMIT.as_millis()
    );
    if conn.write(request.as_bytes()).is_err() {
        return (0, false, 0);
    }
    let Ok(mut response) = conn.head() else {
        return (0, false, 0);
    };
    let whole = conn.body(&mut response).is_ok();
    let events = String::from_utf8_lossy(&response.body)
        .matches("id: ")
        .count();
    let whole = whole && (response.status() != 200 || events == 40);
    (response.status(), whole, events)
}
