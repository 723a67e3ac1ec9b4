//! Nodes with little memory, and the endpoints and the store behind them.

use crate::caller;
use crate::process::{self, Process};
use crate::standin::address;
use crate::standin::plain;
use crate::standin::store::Store;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory that the settings of a node give it, in binary megabytes.
pub const MEMORY_MB: u64 = 64;
/// Descriptors that the settings of a node give it.
pub const DESCRIPTORS: u64 = 1500;
/// Largest body of a request that the manifest allows.
pub const BODY_BYTES: usize = 1 << 20;
/// Largest head of a request that the manifest allows.
pub const HEAD_BYTES: usize = 64 << 10;
/// Number of endpoints, so many that a node that reaches none is isolated.
const ENDPOINTS: usize = 4;
/// Number of tries of an ordinary request, and the pause between two.
const TRIES: usize = 100;
const TRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a node has read what it reads of a crowd, if nothing changes for this long.
const CALM_TIME: Duration = Duration::from_millis(600);
/// Maximum time to wait for that.
const CALM_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a manifest of version `version` with the limits of these tests.
fn manifest(version: u64) -> String {
    plain::manifest(version, HEAD_BYTES, BODY_BYTES)
}

/// A node, its addresses and its limits.
pub struct Node {
    pub process: Process,
    pub callers: SocketAddr,
    pub addresses: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
}

impl Node {
    fn start(name: &str, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let [callers, addresses, ready, metrics, peers] =
            std::array::from_fn(|_| address::unused());
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            "[node]\nname = {name}\nzone = {zone}\nregion = south\ngrace = 4s\n\
             [callers]\nlisten = {callers}\n[addresses]\nlisten = {addresses}\n[ready]\nlisten = {ready}\n\
             [metrics]\nlisten = {metrics}\n[peers]\nlisten = {peers}\nkey = {}\nseeds = {}\n\
             [store]\naddress = {store}\nheartbeat = 200ms\n\
             [limits]\ndescriptors = {DESCRIPTORS}\nmemory = {MEMORY_MB}MB\n",
            "03".repeat(32),
            seeds.join(", "),
        );
        Self {
            process: Process::start(process::settings(callers, &settings)),
            callers,
            addresses,
            ready,
            metrics,
            peers,
        }
    }

    /// Checks that the process lives, and that its memory and its descriptors are within its settings.
    /// What was received and not read yet counts as its memory.
    pub fn check(&mut self, when: &str) {
        assert_eq!(
            self.process.exit_status(),
            None,
            "{when}: the process ended"
        );
        let usage = self.process.usage();
        let unread = unread_bytes(self.callers.ip()) / 1024;
        println!("{when}: {usage:?}, unread {unread} KB");
        let limit = MEMORY_MB * 1024;
        let peak = usage.peak_kb;
        assert!(
            peak <= limit,
            "{when}: {peak} KB at the peak, limit {limit}"
        );
        let held = usage.resident_kb + unread;
        assert!(
            held <= limit,
            "{when}: {held} KB with what is unread, limit {limit}"
        );
        let open = usage.descriptors;
        assert!(open <= DESCRIPTORS, "{when}: {open} descriptors");
    }

    /// Waits until the node has read what it reads of a crowd.
    pub async fn settle(&mut self) {
        let used = |node: &Self| {
            let usage = node.process.usage();
            (usage.resident_kb, unread_bytes(node.callers.ip()))
        };
        let started = Instant::now();
        let (mut last, mut since) = ((0, 0), started);
        while since.elapsed() < CALM_TIME && started.elapsed() < CALM_TIMEOUT {
            tokio::time::sleep(CALM_TIME / 12).await;
            assert_eq!(self.process.exit_status(), None, "the process ended");
            let now = used(self);
            if now != last {
                (last, since) = (now, Instant::now());
            }
        }
    }

    /// Checks that an ordinary request is answered, within a number of tries.
    pub async fn check_ordinary(&mut self, when: &str) {
        let body = vec![b'o'; 800];
        for number in 0..TRIES {
            let mut request = caller::with_length("/safe/x", number, body.len(), 0);
            request.extend_from_slice(&body);
            if status(self.callers, &request).await == Some(200) {
                return;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
        let state = self.process.exit_status();
        panic!("{when}: no ordinary request is answered; exit status {state:?}");
    }

    /// Checks that a request with a large body is answered, within a number of tries.
    pub async fn check_large(&mut self, when: &str) {
        for number in 0..TRIES {
            let requests = [
                caller::with_length("/once/x", number, BODY_BYTES, BODY_BYTES),
                caller::in_chunks("/once/y", number, BODY_BYTES, 64 << 10, true),
            ];
            let mut served = 0;
            for request in requests {
                served += usize::from(status(self.callers, &request).await == Some(200));
            }
            if served == 2 {
                return;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
        panic!("{when}: no request with a large body is answered");
    }
}

/// Nodes, their store and their endpoints.
pub struct Site {
    pub store: Store,
    pub node: Node,
}

impl Site {
    /// Starts a node, and waits until it serves.
    pub async fn start(name: &str) -> Self {
        let store = Store::start().await;
        store.put_manifest(&manifest(1));
        for number in 0..ENDPOINTS {
            plain::start(&format!("p{number}"), &store).await;
        }
        let mut node = Node::start(name, "a", store.addr, &[]);
        node.check_ordinary("start").await;
        Self { store, node }
    }

    /// Starts a second node that reaches no endpoint, so that the first one gets its requests. Its store is
    /// another one.
    pub async fn start_isolated(&self, name: &str) -> Node {
        let store = Store::start().await;
        store.put_manifest(&manifest(1));
        for number in 0..ENDPOINTS {
            plain::register(
                &store,
                &format!("p{number}"),
                address::unused(),
                plain::SLOTS,
            );
        }
        let mut node = Node::start(name, "b", store.addr, &[self.node.peers]);
        node.check_ordinary("start of the second node").await;
        node
    }
}

/// Sends a request on a new connection and returns the status of the response; `None` if there is none.
pub async fn status(addr: SocketAddr, request: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut conn = TcpStream::connect(addr).await.ok()?;
        let (mut reader, mut writer) = conn.split();
        let mut head = Vec::new();
        let read = async {
            let mut byte = [0; 256];
            while !head.windows(4).any(|w| w == b"\r\n\r\n") {
                match reader.read(&mut byte).await {
                    Ok(0) | Err(_) => break,
                    Ok(read) => head.extend_from_slice(&byte[..read]),
                }
            }
        };
        // A refusal may come before the request is sent completely.
        let write = async {
            let _ = writer.write_all(request).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = read => {}
            () = write => {}
        }
        String::from_utf8_lossy(&head)
            .split_whitespace()
            .nth(1)?
            .parse()
            .ok()
    };
    tokio::time::timeout(TRY_TIMEOUT, exchange).await.ok()?
}

/// Returns the bytes that the kernel holds for the connections of an address and that were not read.
fn unread_bytes(ip: std::net::IpAddr) -> u64 {
    let std::net::IpAddr::V4(ip) = ip else {
        return 0;
    };
    // The table has addresses as hexadecimal numbers in the byte order of the machine.
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    let own = rows.filter(|row| row.len() > 4 && row[1].starts_with(&local) && row[3] == "01");
    let queues = own.filter_map(|row| u64::from_str_radix(row[4].split_once(':')?.1, 16).ok());
    queues.sum()
}
