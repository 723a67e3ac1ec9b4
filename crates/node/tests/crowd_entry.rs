//! Crowds of callers that don't behave, at a node of the path with signed bundles.
//!
//! The bounds are those of `crowd.rs`. The node runs as a process, its platform and its endpoints in the test.

#[path = "../../../platform/standin/address.rs"]
#[allow(dead_code)]
mod address;
#[path = "crowd/caller.rs"]
mod caller;
#[path = "support/process.rs"]
mod process;

use caller::{Crowd, Reading, in_chunks, short_head, with_length};
use process::Process;
use rig::caller::{Caller, ChatRequest};
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, Plan};
use std::net::SocketAddr;
use std::time::Duration;

/// Memory that the settings give the node, in binary megabytes.
const MEMORY_MB: u64 = 64;
/// Largest body that the settings allow.
const BODY_BYTES: usize = 1 << 20;
/// Largest bodies, so many that they exceed the memory.
const LARGE: usize = 80;
/// Callers for which the settings have connections.
const MANY: usize = 250;
/// Length of a body in tiny chunks.
const TINY_CHUNKS_BYTES: usize = 256 << 10;
/// Number of tries of an ordinary request, and the pause between two.
const TRIES: usize = 100;
const TRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the node has read what it reads of a crowd.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const PATH: &str = "/v1/chat/completions";

/// A node with its platform.
struct Site {
    _fleet: Fleet,
    process: Process,
    callers: SocketAddr,
}

impl Site {
    async fn start() -> Self {
        let plan = Plan {
            nodes: 1,
            zones: 1,
            replicas: 1,
            services: 0,
            callers: format!("connections = 300\nbody_bytes = {BODY_BYTES}\n"),
            ..Plan::default()
        };
        let mut fleet = Fleet::start_standins(plan).await.unwrap();
        let callers = address::unused();
        let settings = fleet.plan.settings(0, &fleet.platform());
        let listen = format!("listen = {callers}");
        let settings = settings.replacen("listen = 127.0.0.1:0", &listen, 1);
        let settings = format!("{settings}[limits]\nmemory = {MEMORY_MB}MB\n");
        let process = Process::start(process::settings(callers, &settings));
        let text = fleet.text();
        fleet.publish(&text).await.unwrap();
        let mut site = Self {
            _fleet: fleet,
            process,
            callers,
        };
        site.check_ordinary("start").await;
        site
    }

    fn check(&mut self, when: &str) {
        assert_eq!(
            self.process.exit_status(),
            None,
            "{when}: the process ended"
        );
        let usage = self.process.usage();
        println!("{when}: {usage:?}");
        let peak = usage.peak_kb;
        assert!(peak <= MEMORY_MB * 1024, "{when}: {peak} KB at the peak");
    }

    async fn check_ordinary(&mut self, when: &str) {
        let request = ChatRequest::new("flag the sesame");
        for _ in 0..TRIES {
            let answer = Caller::new().chat(self.callers, &request).await;
            if answer.is_ok_and(|a| a.complete()) {
                return;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
        let state = self.process.exit_status();
        panic!("{when}: no ordinary request is answered; exit status {state:?}");
    }
}

/// Sets the key that the node knows in a request for a node on a store.
fn with_key(request: Vec<u8>) -> Vec<u8> {
    let (from, to) = (b"Token k1", format!("Bearer {}", KITCHENS.key));
    let at = request.windows(from.len()).position(|w| w == from).unwrap();
    [&request[..at], to.as_bytes(), &request[at + from.len()..]].concat()
}

type Gather = fn(SocketAddr) -> Crowd;

const KINDS: [(&str, Gather); 6] = [
    ("with a length", |to| {
        let request = |id| with_key(with_length(PATH, id, BODY_BYTES, BODY_BYTES - 1));
        Crowd::gather(to, LARGE, Reading::All, request)
    }),
    ("in chunks", |to| {
        let request = |id| with_key(in_chunks(PATH, id, BODY_BYTES - 1, 64 << 10, false));
        Crowd::gather(to, LARGE, Reading::All, request)
    }),
    ("in tiny chunks", |to| {
        let request = |id| with_key(in_chunks(PATH, id, TINY_CHUNKS_BYTES, 1, false));
        Crowd::gather(to, 20, Reading::All, request)
    }),
    ("small in tiny chunks", |to| {
        let request = |id| with_key(in_chunks(PATH, id, 16 << 10, 1, false));
        Crowd::gather(to, MANY, Reading::All, request)
    }),
    ("over the limit", |to| {
        let request = |id| with_key(in_chunks(PATH, id, 8 << 20, 64 << 10, false));
        Crowd::gather(to, 40, Reading::All, request)
    }),
    ("heads", |to| {
        Crowd::gather(to, MANY, Reading::All, |id| short_head(PATH, id, 30_000))
    }),
];

// Guards against crowds that together or one after the other exceed the memory of a node with signed bundles.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_at_a_node_with_bundles_leave_room() {
    let mut site = Site::start().await;
    for (name, gather) in KINDS {
        let crowd = gather(site.callers);
        crowd.settle().await;
        tokio::time::sleep(SETTLE_TIME).await;
        site.check(&format!("{name}, there"));
        drop(crowd);
        site.check_ordinary(&format!("{name}, left")).await;
        site.check(&format!("{name}, left"));
    }
    let crowds = KINDS.map(|(_, gather)| gather(site.callers));
    for crowd in &crowds {
        crowd.settle().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    site.check("together, there");
    drop(crowds);
    site.check_ordinary("together, left").await;
    site.check("together, left");
}
