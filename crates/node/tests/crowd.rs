//! Callers that don't behave: crowds that would make a node hold more than the memory of its machine.
//!
//! A node runs as a process with little memory in its settings. While a crowd is there and after it has left,
//! the process must live, its memory and its descriptors must be within the settings, and ordinary requests
//! must be answered. The tests run one after the other.

#[path = "crowd/caller.rs"]
mod caller;
#[path = "support/process.rs"]
mod process;
#[path = "crowd/site.rs"]
mod site;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use caller::{Crowd, Reading, get, in_chunks, many_parts, short_head, with_length};
use site::{BODY_BYTES, HEAD_BYTES, MEMORY_MB, Site};
use standin::plain;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// Largest bodies, so many that they exceed the memory of a node.
const LARGE: usize = 80;
/// Callers for which the descriptors of a node suffice.
const MANY: usize = 280;
/// More callers than that.
const TOO_MANY: usize = 400;
/// Length of a body in tiny chunks.
const TINY_CHUNKS_BYTES: usize = 256 << 10;
/// Maximum time until a node ends after a signal, far above its grace time.
const END_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Held while a test runs.
static TURN: Mutex<()> = Mutex::const_new(());

async fn start(name: &str) -> (MutexGuard<'static, ()>, Site) {
    let turn = TURN.lock().await;
    let site = Site::start(name).await;
    (turn, site)
}

/// Checks the node while a crowd is there, and after it has left.
async fn check(site: &mut Site, when: &str, crowds: Vec<Crowd>) {
    for crowd in &crowds {
        crowd.settle().await;
    }
    site.node.settle().await;
    site.node.check(&format!("{when}, there"));
    site.node.check_ordinary(&format!("{when}, there")).await;
    drop(crowds);
    site.node.check_ordinary(&format!("{when}, left")).await;
    site.node.check(&format!("{when}, left"));
}

/// Gathers one crowd, whose members read their responses.
fn one_crowd(site: &Site, count: usize, request: impl Fn(usize) -> Vec<u8>) -> Vec<Crowd> {
    vec![Crowd::gather(
        site.node.callers,
        count,
        Reading::All,
        request,
    )]
}

fn large_with_length(site: &Site) -> Vec<Crowd> {
    let request = |id| with_length("/once/x", id, BODY_BYTES, BODY_BYTES - 1);
    one_crowd(site, LARGE, request)
}

fn large_in_chunks(site: &Site) -> Vec<Crowd> {
    let request = |id| in_chunks("/chat/x", id, BODY_BYTES - 1, 64 << 10, false);
    one_crowd(site, LARGE, request)
}

fn tiny_chunks(site: &Site) -> Vec<Crowd> {
    let one = |id| in_chunks("/once/x", id, TINY_CHUNKS_BYTES, 1, false);
    let sixteen = |id| in_chunks("/chat/x", id, BODY_BYTES - 1, 16, false);
    let to = site.node.callers;
    vec![
        Crowd::gather(to, 10, Reading::All, one),
        Crowd::gather(to, 20, Reading::All, sixteen),
    ]
}

fn small_in_tiny_chunks(site: &Site) -> Vec<Crowd> {
    let request = |id| in_chunks("/once/x", id, 16 << 10, 1, false);
    one_crowd(site, MANY, request)
}

fn large_whole(site: &Site) -> Vec<Crowd> {
    let to = site.node.callers;
    let kinds = ["/once/x", "/safe/x", "/chat/slow", "/resume/slow"];
    let crowds = kinds.map(|path| {
        let request = |id| with_length(path, id, BODY_BYTES, BODY_BYTES);
        Crowd::gather(to, LARGE / 2, Reading::All, request)
    });
    crowds.into()
}

fn over_the_limit(site: &Site) -> Vec<Crowd> {
    let announced = |id| with_length("/once/x", id, 200 << 20, 8 << 20);
    let sent = |id| in_chunks("/chat/x", id, 8 << 20, 64 << 10, false);
    let to = site.node.callers;
    vec![
        Crowd::gather(to, 15, Reading::All, announced),
        Crowd::gather(to, 15, Reading::Nothing, announced),
        Crowd::gather(to, 15, Reading::All, sent),
        Crowd::gather(to, 15, Reading::Nothing, sent),
    ]
}

fn short_heads(site: &Site) -> Vec<Crowd> {
    let request = |id| short_head("/safe/x", id, HEAD_BYTES - 1000);
    one_crowd(site, MANY, request)
}

fn heads_of_many_parts(site: &Site) -> Vec<Crowd> {
    let request = |id| many_parts("/safe/x", id, HEAD_BYTES - 1000);
    one_crowd(site, MANY, request)
}

fn silent_connections(site: &Site) -> Vec<Crowd> {
    let request = |_| Vec::new();
    one_crowd(site, TOO_MANY, request)
}

fn unread_responses(site: &Site) -> Vec<Crowd> {
    let to = site.node.callers;
    let kinds = ["/once/long", "/safe/long", "/chat/flood", "/resume/flood"];
    let crowds =
        kinds.map(|path| Crowd::gather(to, LARGE / 2, Reading::Nothing, |id| get(path, id)));
    crowds.into()
}

/// Requests that follow each other on a connection before the first one is answered.
fn pipelined(site: &Site) -> Vec<Crowd> {
    let request = |id| {
        let mut requests = get("/chat/slow", id);
        requests.extend(with_length("/once/x", id, BODY_BYTES, BODY_BYTES - 1));
        requests
    };
    one_crowd(site, LARGE, request)
}

/// Crowds at the addresses that are not for requests.
fn other_ports(site: &Site) -> Vec<Crowd> {
    let node = &site.node;
    let ports = [node.addresses, node.ready, node.metrics, node.peers];
    let crowds = ports.map(|port| {
        let endless = |id| in_chunks("/wigeonshelf/resolve", id, 4 << 20, 64 << 10, false);
        let short = |id| short_head("/wigeonshelf/ready", id, HEAD_BYTES - 1000);
        [
            Crowd::gather(port, 20, Reading::Nothing, endless),
            Crowd::gather(port, 100, Reading::All, short),
            Crowd::gather(port, 100, Reading::Nothing, |id| get("/metrics", id)),
            Crowd::gather(port, 100, Reading::All, |_| Vec::new()),
        ]
    });
    crowds.into_iter().flatten().collect()
}

// Guards against bodies with a length that stop short of their end and together exceed the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_short_of_their_end_leave_room() {
    let (_turn, mut site) = start("short").await;
    let crowds = large_with_length(&site);
    check(&mut site, "with a length", crowds).await;
}

// Guards against bodies in chunks that stop short of their end and together exceed the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_in_chunks_short_of_their_end_leave_room() {
    let (_turn, mut site) = start("chunks").await;
    let crowds = large_in_chunks(&site);
    check(&mut site, "in chunks", crowds).await;
}

// Guards against bodies that cost many times their length since their chunks are tiny.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_tiny_chunks_leave_room() {
    let (_turn, mut site) = start("tiny").await;
    let crowds = tiny_chunks(&site);
    check(&mut site, "in tiny chunks", crowds).await;
}

// Guards against many small bodies that cost many times their length since their chunks are tiny.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_small_bodies_in_tiny_chunks_leave_room() {
    let (_turn, mut site) = start("small").await;
    let crowds = small_in_tiny_chunks(&site);
    check(&mut site, "small in tiny chunks", crowds).await;
}

// Guards against bodies of legal size that are held until their responses have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_large_bodies_at_once_leave_room() {
    let (_turn, mut site) = start("whole").await;
    let crowds = large_whole(&site);
    check(&mut site, "whole", crowds).await;
}

// Guards against bodies above the limit, which are to be refused without being held.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_leave_room() {
    let (_turn, mut site) = start("over").await;
    let crowds = over_the_limit(&site);
    check(&mut site, "over the limit", crowds).await;
}

// Guards against heads without an end that hold all connections and their buffers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_short_of_their_end_leave_room() {
    let (_turn, mut site) = start("heads").await;
    let crowds = short_heads(&site);
    check(&mut site, "heads", crowds).await;
}

// Guards against heads that cost many times their length since they list many parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_of_many_parts_leave_room() {
    let (_turn, mut site) = start("parts").await;
    let crowds = heads_of_many_parts(&site);
    check(&mut site, "parts", crowds).await;
}

// Guards against connections without a request that take all places.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_requests_leave_room() {
    let (_turn, mut site) = start("silent").await;
    let crowds = silent_connections(&site);
    check(&mut site, "silent", crowds).await;
}

// Guards against long responses that nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_are_not_read_leave_room() {
    let (_turn, mut site) = start("unread").await;
    let crowds = unread_responses(&site);
    check(&mut site, "unread", crowds).await;
}

// Guards against requests that are sent ahead and fill the buffers of their connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_are_sent_ahead_leave_room() {
    let (_turn, mut site) = start("ahead").await;
    let crowds = pipelined(&site);
    check(&mut site, "sent ahead", crowds).await;
}

// Guards against crowds at the addresses for the list of nodes, readiness, metrics and peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_at_other_ports_leave_room() {
    let (_turn, mut site) = start("ports").await;
    let crowds = other_ports(&site);
    check(&mut site, "other ports", crowds).await;
    let list = get("/wigeonshelf/resolve?name=h&region=south&zone=a", 1);
    assert_eq!(site::status(site.node.addresses, &list).await, Some(200));
}

// Guards against refusals of a request with a body of the largest size when there is nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_body_of_the_largest_size_is_served() {
    let (_turn, mut site) = start("single").await;
    let whole = with_length("/once/x", 1, BODY_BYTES, BODY_BYTES);
    assert_eq!(site::status(site.node.callers, &whole).await, Some(200));
    let chunks = in_chunks("/chat/x", 2, BODY_BYTES, 1024, true);
    assert_eq!(site::status(site.node.callers, &chunks).await, Some(200));
    site.node.check("single");
}

type Gather = fn(&Site) -> Vec<Crowd>;

const KINDS: [(&str, Gather); 11] = [
    ("with a length", large_with_length),
    ("in tiny chunks", tiny_chunks),
    ("heads", short_heads),
    ("whole", large_whole),
    ("unread", unread_responses),
    ("small in tiny chunks", small_in_tiny_chunks),
    ("in chunks", large_in_chunks),
    ("over the limit", over_the_limit),
    ("parts", heads_of_many_parts),
    ("silent", silent_connections),
    ("sent ahead", pipelined),
];

// Guards against memory that crowds of different kinds use up one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_in_series_leave_room() {
    let (_turn, mut site) = start("series").await;
    for (name, gather) in KINDS {
        let crowds = gather(&site);
        check(&mut site, name, crowds).await;
    }
    site.node.check_large("series").await;
}

// Guards against memory that crowds of different kinds use up together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_of_all_kinds_together_leave_room() {
    let (_turn, mut site) = start("together").await;
    let crowds = KINDS.iter().flat_map(|(_, gather)| gather(&site)).collect();
    check(&mut site, "together", crowds).await;
    site.node.check_large("together").await;
}

// Guards against large bodies that a crowd keeps out although it makes no progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_make_no_progress_give_way() {
    let (_turn, mut site) = start("progress").await;
    let crowds = large_with_length(&site);
    crowds[0].settle().await;
    site.node.check_large("no progress").await;
    check(&mut site, "no progress", crowds).await;
}

// Guards against crowds at a node that relays its requests, which then counts for both nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_at_a_node_that_relays_leave_room() {
    let (_turn, mut site) = start("behind").await;
    let isolated = site.start_isolated("isolated").await;
    let mut front = std::mem::replace(&mut site.node, isolated);
    for (name, gather) in [KINDS[0], KINDS[3], KINDS[4]] {
        let crowds = gather(&site);
        check(&mut site, &format!("{name}, relayed"), crowds).await;
        front.check(&format!("{name}, second node"));
        front.check_ordinary(&format!("{name}, second node")).await;
    }
}

// Guards against a drain that a crowd holds up, or that exceeds the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_drains_beside_crowds() {
    let (_turn, mut site) = start("drain").await;
    let crowds: Vec<Crowd> = KINDS.iter().flat_map(|(_, gather)| gather(&site)).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(site.node.process.signal("-TERM"));
    let mut peak_kb = 0;
    let ends = async {
        while site.node.process.exit_status().is_none() {
            peak_kb = site.node.process.peak_kb().unwrap_or(peak_kb);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let ended = tokio::time::timeout(END_TIMEOUT, ends).await;
    ended.expect("the node does not end");
    println!("drain: {peak_kb} KB at the peak");
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB at the peak");
    drop(crowds);
}

// Guards against nodes that don't serve after a roll, because the crowd is back before ordinary callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_serves_after_a_roll_beside_crowds() {
    let (_turn, mut site) = start("roll").await;
    let to = site.node.callers;
    let short = |id| with_length("/once/x", id, BODY_BYTES, BODY_BYTES - 1);
    let heads = |id| short_head("/safe/x", id, HEAD_BYTES - 1000);
    let crowds = vec![
        Crowd::gather_returning(to, LARGE, short),
        Crowd::gather_returning(to, TOO_MANY, heads),
    ];
    for signal in ["-TERM", "-KILL"] {
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.node.check("before the restart");
        assert!(site.node.process.signal(signal));
        let ends = async {
            while site.node.process.exit_status().is_none() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(END_TIMEOUT, ends).await;
        ended.expect("the node does not end");
        site.node.process.restart();
        site.node.check_ordinary("after the restart").await;
    }
    check(&mut site, "roll", crowds).await;
}

// Guards against a new manifest, or a store that is away, which let a crowd exceed the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_leave_room_beside_changes_of_the_manifest_and_outages_of_the_store() {
    let (_turn, mut site) = start("changes").await;
    // The third allows larger bodies than the memory of the node holds.
    for (version, body_bytes) in [(2, BODY_BYTES / 4), (3, 256 << 20), (4, BODY_BYTES)] {
        let mut crowds = large_with_length(&site);
        crowds.extend(large_in_chunks(&site));
        site.store
            .put_manifest(&plain::manifest(version, HEAD_BYTES, body_bytes));
        crowds.extend(large_whole(&site));
        site.store.set_down(version == 3);
        crowds.extend(over_the_limit(&site));
        check(&mut site, &format!("version {version}"), crowds).await;
        site.store.set_down(false);
    }
    site.node.check_large("after the changes").await;
}
