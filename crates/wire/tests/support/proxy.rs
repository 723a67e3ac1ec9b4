//! A relay between two sockets that can lose track of its connections.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running relay.
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Connections made so far.
    pub connections: Arc<AtomicUsize>,
    /// Bytes relayed in both directions.
    pub bytes: Arc<AtomicU64>,
    first_working: watch::Sender<usize>,
}

impl Proxy {
    /// Relays to what `target` says at the time of a connection.
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

    /// Lets all connections made so far go silent; new ones work.
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
