//! Callers that send requests and hold their connections open.
#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Maximum time until all members of a crowd have sent what they have to send. Those that the node does
/// not read from are left waiting.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a member of a crowd that returns waits before it connects again.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// Receive buffer of a member whose kernel takes little, in bytes.
const STALLED_BUFFER_BYTES: u32 = 4 << 10;

/// What a member does with the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It reads and drops it.
    All,
    /// It never reads.
    Nothing,
    /// It never reads, and its kernel takes little.
    Stalled,
}

/// A crowd of callers. Dropping it closes its connections.
pub struct Crowd {
    members: JoinSet<()>,
    settled: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects `count` callers to `addr`. Member `n` sends `request(n)`, and holds its connection open until
    /// the crowd is dropped.
    pub fn gather(
        addr: SocketAddr,
        count: usize,
        reading: Reading,
        request: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        Self::start(
            count,
            request,
            move |bytes: Vec<u8>, settled: Arc<AtomicUsize>| async move {
                let conn = send(addr, &bytes, reading).await;
                drop(bytes);
                settled.fetch_add(1, Ordering::Relaxed);
                hold(conn, reading).await;
                std::future::pending::<()>().await;
            },
        )
    }

    /// Like [`Self::gather`]; members whose connection ends connect again.
    pub fn gather_returning(
        addr: SocketAddr,
        count: usize,
        request: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        Self::start(
            count,
            request,
            move |bytes: Vec<u8>, settled: Arc<AtomicUsize>| async move {
                loop {
                    let conn = send(addr, &bytes, Reading::All).await;
                    settled.fetch_add(1, Ordering::Relaxed);
                    hold(conn, Reading::All).await;
                    tokio::time::sleep(RETURN_DELAY).await;
                }
            },
        )
    }

    /// Starts `count` members, each with its request and the number of those that have sent theirs.
    fn start<F: Future<Output = ()> + Send + 'static>(
        count: usize,
        request: impl Fn(usize) -> Vec<u8>,
        member: impl Fn(Vec<u8>, Arc<AtomicUsize>) -> F,
    ) -> Self {
        let settled: Arc<AtomicUsize> = Arc::default();
        let mut members = JoinSet::new();
        for number in 0..count {
            members.spawn(member(request(number), settled.clone()));
        }
        Self { members, settled }
    }

    /// Waits until all members have sent their request, or have failed to.
    pub async fn settle(&self) {
        let settled = async {
            while self.settled.load(Ordering::Relaxed) < self.members.len() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    }
}

/// Connects and sends a request. The node may end the connection at any time, and need not read all.
async fn send(addr: SocketAddr, bytes: &[u8], reading: Reading) -> Option<TcpStream> {
    let mut conn = connect(addr, reading).await.ok()?;
    let (mut reader, mut writer) = conn.split();
    let write = writer.write_all(bytes);
    match reading {
        Reading::Nothing | Reading::Stalled => write.await.ok()?,
        Reading::All => {
            // A response may come before the request is sent completely.
            let mut sink = tokio::io::sink();
            tokio::select! {
                sent = write => sent.ok()?,
                _ = tokio::io::copy(&mut reader, &mut sink) => return None,
            }
        }
    }
    Some(conn)
}

/// Connects with the receive buffer for a way of reading.
pub async fn connect(addr: SocketAddr, reading: Reading) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if reading == Reading::Stalled {
        socket.set_recv_buffer_size(STALLED_BUFFER_BYTES)?;
    }
    socket.connect(addr).await
}

/// Holds a connection until the node ends it.
async fn hold(conn: Option<TcpStream>, reading: Reading) {
    let Some(mut conn) = conn else {
        return;
    };
    if reading != Reading::All {
        std::future::pending::<()>().await;
    }
    let mut buffer = vec![0; 16 << 10];
    while conn.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
}

/// Returns the head of a request without its last line end.
fn head(method: &str, path: &str, id: usize, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd-{path}-{id}\r\nX-Deadline-Ms: 20000\r\n\
         Authorization: Token k1\r\n{framing}"
    )
}

/// Returns a request without a body.
pub fn get(path: &str, id: usize) -> Vec<u8> {
    format!("{}\r\n", head("GET", path, id, "")).into_bytes()
}

/// Returns a request that declares a body of `length` bytes, with the first `sent` of them.
pub fn with_length(path: &str, id: usize, length: usize, sent: usize) -> Vec<u8> {
    let framing = format!("Content-Length: {length}\r\n\r\n");
    let mut request = head("POST", path, id, &framing).into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

/// Returns a request with `length` bytes of a body in chunks, and its end if it is `whole`.
pub fn in_chunks(path: &str, id: usize, length: usize, chunk: usize, whole: bool) -> Vec<u8> {
    let framing = "Transfer-Encoding: chunked\r\n\r\n";
    let mut request = head("POST", path, id, framing).into_bytes();
    let mut left = length;
    while left > 0 {
        let size = chunk.min(left);
        request.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        request.resize(request.len() + size, b'x');
        request.extend_from_slice(b"\r\n");
        left -= size;
    }
    if whole {
        request.extend_from_slice(b"0\r\n\r\n");
    }
    request
}

/// Returns the first `length` bytes of a head that has no end.
pub fn short_head(path: &str, id: usize, length: usize) -> Vec<u8> {
    let mut text = head("GET", path, id, "X-Filler: ").into_bytes();
    text.resize(length.max(text.len()), b'x');
    text
}

/// Returns a request whose head lists as many parts of a prompt as fit into `length` bytes.
pub fn many_parts(path: &str, id: usize, length: usize) -> Vec<u8> {
    let parts = "a:1,".repeat(length / 4);
    let framing = format!("X-Prompt-Prefix: {parts}b:1\r\nContent-Length: 10\r\n\r\n");
    head("POST", path, id, &framing).into_bytes()
}
