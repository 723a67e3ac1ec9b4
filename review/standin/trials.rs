//! A request that crashes each replica which begins to run it comes again at all nodes at the same moment, some
//! time after it has crashed the third.

use crate::Outcome;
use crate::crash::{HARMLESS, judge, send};
use crate::endpoint::{DEADLY, Kind};
use crate::http;
use crate::platform;
use crate::record::Record;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

const NODES: usize = 7;
const ENGINES: u32 = 20;
/// Copies that come first, at the same moment at as many nodes.
const FIRST_COPIES: usize = 2;
/// Time until it comes again.
const RETURN: Duration = Duration::from_secs(16);
const ENGINE: Kind = Kind::Model {
    events: 10,
    interval: Duration::from_millis(50),
};

pub fn run(root: &Path, dir: &Path, record: &Record, trouble: bool) -> Outcome {
    let Some(nodes) = platform::start::<NODES>(root, dir, ENGINES, ENGINE, record) else {
        return Outcome::Failed("the nodes do not get ready".to_owned());
    };
    let path = if trouble { DEADLY } else { HARMLESS };
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let mut sent = send_to_all(&addresses[..FIRST_COPIES], path, 1, record);
    for round in 2..=3 {
        thread::sleep(RETURN);
        sent.extend(send_to_all(&addresses, path, round, record));
    }
    if !trouble {
        let answered = record.times("answered ");
        let whole = answered.iter().filter(|(_, line)| line.ends_with(" 200"));
        return match whole.count() {
            count if count == sent.len() => Outcome::Held(format!("{count} served")),
            count => Outcome::Broken(format!("{count} of {} served", sent.len())),
        };
    }
    judge(record, &sent, 0)
}

/// Sends a copy to each of these nodes at the same moment. Returns their ids; all nodes are in touch.
fn send_to_all(
    nodes: &[SocketAddr],
    path: &'static str,
    round: usize,
    record: &Record,
) -> Vec<(String, bool)> {
    let copies = nodes.iter().enumerate().map(|(number, &to)| {
        let id = format!("{:016x}", 0xdead_0000 + round * 100 + number);
        let (copy, record) = (id.clone(), record.clone());
        let sending = http::spawn(move || {
            send(to, path, &copy, &record);
        });
        (id, sending)
    });
    let copies: Vec<_> = copies.collect();
    copies
        .into_iter()
        .map(|(id, sending)| {
            let _ = sending.join();
            (id, true)
        })
        .collect()
}
