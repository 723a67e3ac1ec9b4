//! A request crashes each replica that begins to run it, and comes again; all nodes are killed at the same
//! moment, twice.

use crate::Outcome;
use crate::endpoint::{DEADLY, Kind};
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
/// `bounds.contact_ms` of the pages.
const CONTACT: Duration = Duration::from_secs(3);
/// Time until a killed process is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Time between two arrivals of the deadly request.
const RETURN_INTERVAL: Duration = Duration::from_secs(2);
/// Crashes from which on a request may reach replicas in three more retries only.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;
const KILLS: usize = 2;
/// Path of requests that crash nothing.
pub const HARMLESS: &str = "/chat/menu";
/// Length of each part of the case: until the first kill, and after each kill.
const PART: Duration = Duration::from_secs(28);
const ENGINE: Kind = Kind::Model {
    events: 10,
    interval: Duration::from_millis(50),
};

pub fn run(root: &Path, dir: &Path, record: &Record, trouble: bool) -> Outcome {
    let Some(mut nodes) = platform::start::<3>(root, dir, ENGINES, ENGINE, record) else {
        return Outcome::Failed("the nodes do not get ready".to_owned());
    };
    let addresses = nodes.each_ref().map(|node| node.callers);
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    // Other requesters, each with a prompt of its own.
    let (stop, count, log) = (ended.clone(), served.clone(), record.clone());
    let others = http::spawn(move || {
        for number in 0u32.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (count, log) = (count.clone(), log.clone());
            let to = addresses[number as usize % addresses.len()];
            http::spawn(move || {
                let status = send(
                    to,
                    "/chat/menu",
                    &format!("{:016x}", 0x1000_0000 + number),
                    &log,
                );
                count.fetch_add(u32::from(status == 200), Ordering::SeqCst);
            });
            thread::sleep(Duration::from_millis(200));
        }
    });
    // Times at which the deadly request was sent, and whether all nodes were in touch then.
    let mut sent: Vec<(String, bool)> = Vec::new();
    let mut started_at = Instant::now();
    let (mut number, mut whole) = (0, 0);
    let path = if trouble { DEADLY } else { HARMLESS };
    for part in 0..=KILLS {
        let end = Instant::now() + PART;
        if part > 0 {
            if trouble {
                for node in &nodes {
                    node.signal("-KILL");
                }
                record.line("SIGKILL all nodes");
                thread::sleep(RESTART);
                nodes.iter_mut().for_each(|node| {
                    node.wait_for_end(Duration::from_secs(1));
                    node.start();
                });
                started_at = Instant::now();
                if !nodes
                    .iter()
                    .all(|node| node.wait_until_ready(Duration::from_secs(8)))
                {
                    return Outcome::Failed("the nodes do not get ready again".to_owned());
                }
            }
            thread::sleep(
                (started_at + CONTACT + Duration::from_millis(500))
                    .saturating_duration_since(Instant::now()),
            );
        }
        while Instant::now() < end {
            number += 1;
            let id = format!("{:016x}", 0xdead_0000 + number);
            let in_touch = started_at.elapsed() > CONTACT;
            sent.push((id.clone(), in_touch));
            let status = send(addresses[number % addresses.len()], path, &id, record);
            whole += usize::from(status == 200);
            thread::sleep(RETURN_INTERVAL);
        }
    }
    ended.store(true, Ordering::SeqCst);
    let _ = others.join();
    if !trouble {
        return match whole == sent.len() {
            true => Outcome::Held(format!("{whole} of {} served", sent.len())),
            false => Outcome::Broken(format!("{whole} of {} served", sent.len())),
        };
    }
    judge(record, &sent, served.load(Ordering::SeqCst))
}

/// Counts the retries that reached replicas later than `CONTACT` after the third crash.
pub fn judge(record: &Record, sent: &[(String, bool)], served: u32) -> Outcome {
    let crashes = record.times("crash ");
    let Some((third, _)) = crashes.get(CRASHES - 1) else {
        return Outcome::Failed(format!(
            "the request crashed only {} replicas",
            crashes.len()
        ));
    };
    let runs = record.times("run ");
    let late = runs.iter().filter(|(at, line)| {
        let id = line.split(' ').nth(1).unwrap_or_default();
        *at > *third + CONTACT.as_secs_f64()
            && sent.iter().any(|(i, in_touch)| i == id && *in_touch)
    });
    let late = late.count();
    let text = format!(
        "{late} retries reached replicas later than 3 s after the third crash, {} replicas crashed, {} requests sent, {served} others served",
        crashes.len(),
        sent.len()
    );
    match late > MAX_RETRIES {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}

/// Sends a request and reads its response. Returns the status; 0 if it is not complete.
pub fn send(to: SocketAddr, path: &str, id: &str, record: &Record) -> u16 {
    record.line(&format!("sent {id} {path} to {to}"));
    let exchange = || -> std::io::Result<u16> {
        let mut conn = Conn::connect(to, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        // The deadly request has the same body and prompt each time.
        let own = if path == DEADLY { "00000bad" } else { &id[8..] };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 100,40\r\n\
             X-Prompt-Prefix: {own}:100\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\n\
             Connection: close\r\nContent-Length: 8\r\n\r\n{own}"
        );
        conn.write(request.as_bytes())?;
        Ok(conn.message()?.status())
    };
    let status = exchange().unwrap_or(0);
    record.line(&format!("answered {id} {status}"));
    status
}
