//! Streams with long bodies at a node whose memory is in use. A replica crashes from time to time, and its streams
//! are resumed at the others.

use crate::client;
use crate::model::{Replica, Service, hash};
use crate::node::{Setup, free_addrs};
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const REPLICAS: usize = 6;
const INTERVAL: Duration = Duration::from_millis(100);
/// Tokens of an event, and the least and most of an answer. A replica has memory for about 20 requests at once.
const STRIDE: usize = 4;
const MIN_TOKENS: usize = 160;
const MAX_TOKENS: usize = 320;
/// Lengths of bodies, and of those in a burst; the manifest allows 4 MiB.
const MIN_BODY_BYTES: usize = 200_000;
const MAX_BODY_BYTES: usize = 1_800_000;
const LONG_BODY_BYTES: usize = 4_000_000;
const TENANTS: usize = 10;
/// Time between two requests: 24 a second, of which the replicas serve about 20 at 6 s a stream.
const PACE: Duration = Duration::from_millis(42);
const TIME: Duration = Duration::from_secs(84);
/// A replica crashes and is down for a while (at most 0.17 of the replicas, 4.5 s), and many users come at once
/// (at most 1.7 times the traffic, 3 s).
const FIRST_CRASH: Duration = Duration::from_millis(8_000);
const CRASH_INTERVAL: Duration = Duration::from_millis(8_500);
const DOWN_TIME: Duration = Duration::from_millis(4500);
const BURST_TIME: Duration = Duration::from_secs(3);
const BURST_PACE: Duration = Duration::from_millis(60);
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Returns the key of a tenant.
fn key(tenant: usize) -> String {
    format!("n2ctnfzs989anu6wsj{tenant:02}")
}

fn manifest() -> String {
    let tenant = |n| {
        format!(
            r#"{{"name":"t{n}","api_keys":["{}"],"priority":1}}"#,
            key(n)
        )
    };
    let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-menu","host":"menus.example","path_prefix":"/rewrite/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}}],
"services":[{{"name":"pool","health_path":"/health","max_conns":1068,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv_capacity_tokens":21016,"kv_token_bytes":590000,"link_mbps":400000.0,"stride":4,"models":[{{"name":"m","pace":1.0,"load_s":0.5,"warm_s":0.1}}],"step_ms":24.0,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":800,"answer":240}},"layers":1,"layer_mb":4000.0,"act_bytes":29500,"pipe_mbps":13000.0,"kinds":[{{"name":"card","megabytes":16400.0,"pace":1.0,"read_x":1.0}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{tenants}]}}"#
    )
}

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(folder: &Path, record: &Record, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put_manifest(&manifest());
    let service = Service {
        name: "pool".to_owned(),
        zone: "hobart-a".to_owned(),
        slots: 192,
        layers: 1,
        kv_total: 21_016,
        interval: INTERVAL,
        stride: STRIDE as u64,
        store: store.clone(),
        record: record.clone(),
        sent: Arc::default(),
        changed: Arc::default(),
    };
    let replicas: Vec<_> = (1..=REPLICAS)
        .map(|n| Replica::start(&service, n))
        .collect();
    // An address of its own, so that runs beside each other don't share the port of the metrics.
    let process = std::process::id();
    let ip = format!("127.6.{}.{}", process / 250 % 250 + 1, process % 250 + 1);
    let addrs = free_addrs(&ip);
    let mut node = Setup {
        name: "front-hobart-a-1".to_owned(),
        zone: "hobart-a".to_owned(),
        ip,
        addrs,
        seeds: vec![addrs.peers],
        store: store.addr,
        memory_mb: 260,
    }
    .start(folder);
    if !node.await_ready(Duration::from_secs(10)) {
        record.line("the node does not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(6));
    let start = Instant::now();
    let sender = Arc::new(Sender {
        callers: addrs.callers,
        number: AtomicUsize::new(0),
        sent: service.sent.clone(),
        record: record.clone(),
        tally: Mutex::default(),
    });
    let bursting = sender.clone();
    let crashing = std::thread::spawn(move || {
        let times = (0..).map(|n| FIRST_CRASH + CRASH_INTERVAL * n);
        let times = times.take_while(|&at| trouble && at + DOWN_TIME < TIME);
        let mut clients = Vec::new();
        for (replica, at) in replicas.iter().cycle().zip(times) {
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            replica.crash(DOWN_TIME);
            while start.elapsed() < at + BURST_TIME {
                clients.push(bursting.send(LONG_BODY_BYTES));
                std::thread::sleep(BURST_PACE);
            }
        }
        clients.into_iter().for_each(|c| drop(c.join()));
    });
    let mut clients = Vec::new();
    for number in 1.. {
        if start.elapsed() >= TIME {
            break;
        }
        clients.push(sender.send(MAX_BODY_BYTES));
        std::thread::sleep((PACE * number).saturating_sub(start.elapsed()));
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    let _ = crashing.join();
    let changed = service.changed.lock().unwrap().clone();
    let tally = sender.tally.lock().unwrap().clone();
    let summary = format!(
        "answers {tally:?}; UNASKED: {} requests ran with another body {changed:?}",
        changed.len()
    );
    record.line(&summary);
    println!("{summary}");
    let whole = tally.get("200 whole").copied().unwrap_or(0);
    if !node.is_running() || whole * 2 < tally.values().sum() {
        record.line("the node ended, or fewer than half of the streams came whole");
        return None;
    }
    Some(changed.is_empty())
}

/// Sends the requests.
struct Sender {
    callers: SocketAddr,
    number: AtomicUsize,
    /// Length and hash of the body of each request.
    sent: Arc<Mutex<HashMap<String, (usize, u64)>>>,
    record: Record,
    /// Number of answers of each kind.
    tally: Mutex<BTreeMap<String, usize>>,
}

impl Sender {
    /// Sends a request with a body of up to `max_bytes`, and receives its answer in a thread.
    fn send(self: &Arc<Self>, max_bytes: usize) -> JoinHandle<()> {
        let sender = self.clone();
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        std::thread::spawn(move || sender.exchange(number, max_bytes))
    }

    fn exchange(&self, number: usize, max_bytes: usize) {
        let id = format!("{number:016x}");
        let random = hash(&number.to_le_bytes()) as usize;
        let key = key(random % TENANTS);
        let tokens = MIN_TOKENS + random / 1000 % (MAX_TOKENS - MIN_TOKENS);
        let length = match max_bytes {
            LONG_BODY_BYTES => LONG_BODY_BYTES,
            _ => MIN_BODY_BYTES + random / TENANTS % (max_bytes - MIN_BODY_BYTES),
        };
        let body: Vec<u8> = (0..length).map(|i| (i * 31 + number * 7) as u8).collect();
        let head = format!(
            "POST /rewrite/2f HTTP/1.1\r\nHost: menus.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 800,{tokens}\r\nX-Length-Hint: {tokens}\r\nX-Prompt-Prefix: 5c1e07a2:40,{number:x}:760\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token {key}\r\nContent-Length: {length}\r\n\r\n"
        );
        let request = [head.as_bytes(), &body].concat();
        self.sent
            .lock()
            .unwrap()
            .insert(id.clone(), (length, hash(&body)));
        self.record.line(&format!(
            "requester sends {id} with a body of {length} bytes"
        ));
        let answer = client::send(self.callers, &request, TIME_LIMIT);
        let whole = answer.complete && answer.events.len() == tokens / STRIDE;
        self.record.line(&format!(
            "requester gets {} for {id}: {} events, {}",
            answer.status,
            answer.events.len(),
            if answer.complete {
                "ended as complete"
            } else {
                "cut off"
            }
        ));
        let name = format!(
            "{} {}",
            answer.status,
            if whole { "whole" } else { "not whole" }
        );
        *self.tally.lock().unwrap().entry(name).or_default() += 1;
    }
}
