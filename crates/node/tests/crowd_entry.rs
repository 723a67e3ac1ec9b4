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

use bytes::Bytes;
use caller::{Crowd, Reading, get, in_chunks, short_head, with_length};
use process::Process;
use rig::caller::{Caller, ChatRequest};
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, Plan, Stage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

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
const SERVICE_PATH: &str = "/services/lookup/menu";
/// Most connections that the settings allow.
const CONNECTIONS: usize = 300;
/// Length of the longest answer that the model's context allows beside a prompt, in tokens.
const LONG_ANSWER: u32 = 8_000;
/// An answer of a service that exceeds the memory if a few are kept.
const SERVICES: usize = 4;
const PIECES: usize = 64;
const PIECE_BYTES: usize = 256 << 10;
/// HTTP/2 connections, with the number of streams of each.
const H2_CONNECTIONS: usize = 8;
const H2_STREAMS: usize = 200;
/// Flow-control window of callers that let a node send as much as it likes.
const H2_WINDOW_BYTES: u32 = 1 << 30;
/// Time in which a caller of HTTP/2 sends its requests.
const H2_SEND_TIME: Duration = Duration::from_millis(300);
/// Maximum time until endpoints have answered a crowd.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Held while a test runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// Returns a fleet whose engine serves more requests at once than any crowd sends.
fn plan() -> Plan {
    Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        stages: vec![Stage {
            from: 0,
            to: 1,
            layer_time: Duration::ZERO,
        }],
        layers: 1,
        slots: 512,
        services: 0,
        callers: format!("connections = {CONNECTIONS}\nbody_bytes = {BODY_BYTES}\n"),
        ..Plan::default()
    }
}

/// Returns a fleet with services whose answers have a length.
fn plan_with_services(pieces: usize, piece_bytes: usize) -> Plan {
    Plan {
        services: SERVICES,
        pieces,
        piece_bytes,
        ..plan()
    }
}

/// A node with its platform.
struct Site {
    _turn: MutexGuard<'static, ()>,
    fleet: Fleet,
    process: Process,
    callers: SocketAddr,
}

impl Site {
    async fn start(plan: Plan) -> Self {
        let turn = TURN.lock().await;
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
            _turn: turn,
            fleet,
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

    /// Checks the node while a crowd is there that asks for more than it reads, and after it has left.
    async fn check_unread(&mut self, crowd: Crowd) {
        crowd.settle().await;
        self.wait_for_answers().await;
        self.check("there");
        self.check_ordinary("there").await;
        drop(crowd);
        self.check_ordinary("left").await;
        self.check("left");
    }

    /// Waits until the engines have nothing to do, and the node has passed on what it passes on.
    async fn wait_for_answers(&self) {
        tokio::time::sleep(SETTLE_TIME).await;
        let idle = async {
            while self.fleet.endpoints.iter().any(|e| e.engine.running() > 0) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, idle).await;
        tokio::time::sleep(SETTLE_TIME).await;
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

/// Returns the body of a request for the longest answer.
fn long_request(streamed: bool) -> String {
    let mut request = ChatRequest::new("list all sesame");
    request.max_tokens = LONG_ANSWER;
    request.stream = streamed;
    request.body()
}

/// Returns a request for the longest answer.
fn ask_long(id: usize, streamed: bool) -> Vec<u8> {
    let body = long_request(streamed);
    let mut request = with_key(with_length(PATH, id, body.len(), 0));
    request.extend_from_slice(body.as_bytes());
    request
}

/// Holds connections with many streams each, which ask for a path and are never read.
struct Flood(Vec<FloodConnection>);

struct FloodConnection {
    _conn: h2::client::Connection<tokio::net::TcpStream, Bytes>,
    _sender: h2::client::SendRequest<Bytes>,
    _responses: Vec<h2::client::ResponseFuture>,
}

impl Flood {
    async fn send(addr: SocketAddr, path: &str) -> Self {
        let mut connections = Vec::new();
        for _ in 0..H2_CONNECTIONS {
            connections.extend(Self::connect(addr, path).await);
        }
        Self(connections)
    }

    async fn connect(addr: SocketAddr, path: &str) -> Option<FloodConnection> {
        let socket = caller::connect(addr, Reading::Stalled).await.ok()?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(H2_WINDOW_BYTES)
            .initial_connection_window_size(H2_WINDOW_BYTES)
            .initial_max_send_streams(H2_STREAMS);
        let (mut sender, mut conn) = builder.handshake(socket).await.ok()?;
        let mut responses = Vec::new();
        for _ in 0..H2_STREAMS {
            let request = http::Request::get(format!("http://{addr}{path}"))
                .header("authorization", format!("Bearer {}", KITCHENS.key))
                .body(())
                .ok()?;
            responses.push(sender.send_request(request, true).ok()?.0);
        }
        // A connection that is not polled sends and reads nothing.
        let _ = tokio::time::timeout(H2_SEND_TIME, &mut conn).await;
        Some(FloodConnection {
            _conn: conn,
            _sender: sender,
            _responses: responses,
        })
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
    let mut site = Site::start(plan()).await;
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

// Guards against streamed answers that pile up in the memory of a node because their callers don't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answers_that_nobody_reads_leave_room() {
    let mut site = Site::start(plan()).await;
    site.fleet.endpoints[0].engine.set_endless(true);
    let crowd = Crowd::gather(site.callers, MANY, Reading::Stalled, |id| {
        ask_long(id, true)
    });
    site.check_unread(crowd).await;
}

// Guards against answers that are collected for callers who want them whole, without a bound over all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answers_in_one_piece_leave_room() {
    let mut site = Site::start(plan()).await;
    site.fleet.endpoints[0].engine.set_endless(true);
    let crowd = Crowd::gather(site.callers, MANY, Reading::Stalled, |id| {
        ask_long(id, false)
    });
    site.check_unread(crowd).await;
}

// Guards against answers of services that pile up in the memory of a node because their callers don't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_services_that_nobody_reads_leave_room() {
    let mut site = Site::start(plan_with_services(PIECES, PIECE_BYTES)).await;
    let crowd = Crowd::gather(site.callers, MANY, Reading::Stalled, |id| {
        with_key(get(SERVICE_PATH, id))
    });
    site.check_unread(crowd).await;
}

// Guards against what streams of HTTP/2 keep for a connection that is not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_connections_that_nobody_reads_leave_room() {
    let mut site = Site::start(plan_with_services(1, 64 << 10)).await;
    let flood = Flood::send(site.callers, SERVICE_PATH).await;
    assert!(!flood.0.is_empty(), "no connection was made");
    site.wait_for_answers().await;
    site.check("there");
    site.check_ordinary("there").await;
    drop(flood);
    site.check_ordinary("left").await;
    site.check("left");
}

// Guards against connections that have carried a request and then keep all places.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_are_kept_leave_room() {
    let mut site = Site::start(plan()).await;
    let crowd = Crowd::gather(site.callers, CONNECTIONS + 20, Reading::All, |id| {
        with_key(get("/v1/models", id))
    });
    crowd.settle().await;
    tokio::time::sleep(SETTLE_TIME).await;
    site.check("there");
    site.check_ordinary("there").await;
    drop(crowd);
    site.check_ordinary("left").await;
    site.check("left");
}
