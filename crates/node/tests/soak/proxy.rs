//! A loopback proxy that delays, resets or stalls connections, or cuts them in one direction.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Fault that the proxy injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// No fault.
    Pass,
    /// Each read is forwarded after this delay.
    Delay(Duration),
    /// Connections are reset after this many bytes of responses.
    Reset(usize),
    /// No bytes are forwarded, and connections stay open.
    Silent,
    /// Requests are forwarded, responses are not.
    OneWay,
}

/// A proxy; its clones share the mode.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    /// When the mode was changed, and to which.
    changes: Arc<Mutex<Vec<(Instant, Mode)>>>,
    /// Whether new connections are refused.
    refusing: Arc<watch::Sender<bool>>,
}

impl Proxy {
    /// Starts a proxy in front of `to`.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Pass)),
            changes: Arc::default(),
            refusing: Arc::default(),
        };
        tokio::spawn(proxy.clone().listen(listener, to));
        proxy
    }

    async fn listen(self, mut listener: TcpListener, to: SocketAddr) {
        let mut refusing = self.refusing.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().connection(stream, to));
                    }
                    continue;
                }
                _ = refusing.wait_for(|refusing| *refusing) => {}
            }
            drop(listener);
            let _ = refusing.wait_for(|refusing| !*refusing).await;
            listener = loop {
                match TcpListener::bind(self.addr).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            };
        }
    }

    /// Sets whether new connections are refused; open ones go on.
    pub fn refuse(&self, refuse: bool) {
        self.refusing.send_replace(refuse);
    }

    /// Changes the mode, also for open connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        self.changes.lock().unwrap().push((Instant::now(), mode));
    }

    /// Returns whether it injected a fault at any time from `from` to `to`.
    pub fn was_faulty(&self, from: Instant, to: Instant) -> bool {
        let changes = self.changes.lock().unwrap();
        let before = changes.iter().rev().find(|(at, _)| *at <= from);
        let within = changes.iter().filter(|(at, _)| *at > from && *at <= to);
        within.chain(before).any(|(_, mode)| *mode != Mode::Pass)
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    async fn connection(self, from: TcpStream, to: SocketAddr) {
        let Ok(onward) = TcpStream::connect(to).await else {
            return;
        };
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = onward.into_split();
        let requests = self.clone().copy(from_read, to_write, false);
        let answers = self.copy(to_read, from_write, true);
        // When one direction ends, the other is closed too.
        tokio::select! {
            () = requests => {}
            () = answers => {}
        }
    }

    async fn copy(self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, answers: bool) {
        let mut buffer = [0; 1024];
        let mut passed = 0;
        while let Ok(n) = read.read(&mut buffer).await {
            if n == 0 {
                return;
            }
            loop {
                match self.mode() {
                    Mode::Silent => tokio::time::sleep(Duration::from_millis(20)).await,
                    Mode::OneWay if answers => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    Mode::Delay(time) => {
                        tokio::time::sleep(time).await;
                        break;
                    }
                    Mode::Reset(after) if answers && passed + n > after => {
                        let _ =
                            socket2::SockRef::from(write.as_ref()).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    _ => break,
                }
            }
            passed += n;
            if write.write_all(&buffer[..n]).await.is_err() {
                return;
            }
        }
    }
}
