//! A TCP proxy that can stop relaying on its open connections without closing them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running proxy.
pub struct Proxy {
    /// Address that the proxy listens on.
    pub addr: SocketAddr,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// Bytes received in both directions, those that are discarded included.
    pub bytes: Arc<AtomicU64>,
    /// Number of the first connection whose data is relayed.
    first_working: watch::Sender<usize>,
}

impl Proxy {
    /// Starts a proxy. Each connection is relayed to the value of `target` when it is accepted.
    pub async fn start(target: watch::Receiver<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let addr = listener.local_addr().expect("address");
        let (first_working, working_from) = watch::channel(0);
        let (connections, bytes) = (Arc::default(), Arc::default());
        let proxy = Self {
            addr,
            connections,
            bytes,
            first_working,
        };
        let (connections, bytes) = (proxy.connections.clone(), proxy.bytes.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::Relaxed);
                let to = *target.borrow();
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(relay(
                    near_in,
                    far_out,
                    number,
                    working_from.clone(),
                    bytes.clone(),
                ));
                tokio::spawn(relay(
                    far_in,
                    near_out,
                    number,
                    working_from.clone(),
                    bytes.clone(),
                ));
            }
        });
        proxy
    }

    /// Discards all further data of the connections accepted so far, which stay open. New
    /// connections work.
    pub fn silence_connections(&self) {
        let connections = self.connections.load(Ordering::Relaxed);
        self.first_working.send_replace(connections);
    }
}

async fn relay(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: usize,
    working_from: watch::Receiver<usize>,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(len) = from.read(&mut buffer).await {
        if len == 0 {
            break;
        }
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        if number >= *working_from.borrow() && to.write_all(&buffer[..len]).await.is_err() {
            break;
        }
    }
}
