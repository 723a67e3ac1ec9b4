//! A request worker on loopback, with the test in place of its control thread.
#![allow(dead_code, reason = "each test file uses some of it")]

use arc_swap::ArcSwapOption;
use bundle::Bundle;
use bundle::sign;
use entry::api::error::Error;
use entry::claim::{self, Verdict};
use entry::core::{ControlEvent, Reports, WorkerEvent};
use entry::limits::{Limits, RequestLimits};
use entry::listener;
use entry::metrics::{Metrics, RingOverflows};
use entry::ring::{self, ring};
use entry::server::Shutdown;
use entry::snapshot::Snapshot;
use entry::worker::Worker;
use http::StatusCode;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use route::view::{Share, View};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Bearer key of the only team.
pub const KEY: &str = "kitchens-key";
/// Key that all nodes share.
const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Capacity of the rings to and from the worker.
pub const RING_CAPACITY: usize = 64;
/// Address of callers.
pub const CALLER: [u8; 4] = [127, 0, 0, 1];
/// Time limit of each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// A running worker.
pub struct Front {
    /// Address of its callers' listener.
    pub addr: SocketAddr,
    events: ring::Receiver<WorkerEvent>,
    control: ring::Sender<ControlEvent>,
    registry: Registry,
    shutdown: Shutdown,
    _provider: SdkMeterProvider,
}

impl Front {
    /// Starts a worker whose service `lookup` (repeatable) and service `newsletter` (not
    /// repeatable) have one endpoint, at `endpoint`.
    pub fn start(endpoint: SocketAddr) -> Self {
        Self::with_peers(endpoint, &[])
    }

    /// Starts a worker as [`Front::start`] does, whose other nodes have the addresses `peers`.
    pub fn with_peers(endpoint: SocketAddr, peers: &[IpAddr]) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = exporter.without_target_info().build().expect("an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let (worker_events, events) = ring(RING_CAPACITY);
        let (control, control_events) = ring(RING_CAPACITY);
        let (reserved, addr) =
            listener::reserve(SocketAddr::from(([127, 0, 0, 1], 0))).expect("an address");
        let overflows = RingOverflows {
            to_control: vec![worker_events.overflows()],
            to_worker: vec![control.overflows()],
        };
        overflows.register(&provider.meter("test"));
        let shutdown = Shutdown::default();
        let worker = Worker {
            number: 0,
            listener: listener::open(addr).expect("a listener"),
            limits: Limits::default(),
            request_limits: RequestLimits::default(),
            address_ttl: 1,
            route: route::settings::Settings::default(),
            seed: 1,
            tls: None,
            peer_key: PEER_KEY.try_into().expect("a key"),
            shared_snapshot: Arc::new(ArcSwapOption::from_pointee(snapshot(endpoint, peers))),
            metrics: Metrics::new(&provider.meter("test")),
            control_events,
            worker_events,
            reports: Reports::default(),
            shutdown: shutdown.clone(),
        };
        worker.start().expect("a worker");
        drop(reserved);
        Self {
            addr,
            events,
            control,
            registry,
            shutdown,
            _provider: provider,
        }
    }

    /// Waits for the claim of a key.
    pub async fn next_claim(&mut self) -> claim::Request {
        let claim = async {
            loop {
                match self.events.pop().await.expect("the worker runs") {
                    WorkerEvent::Claim(request) => return request,
                    _ => continue,
                }
            }
        };
        timeout(STEP_TIMEOUT, claim).await.expect("a claim")
    }

    /// Decides on a claim.
    pub fn decide(&mut self, claim: &claim::Request, verdict: Verdict) {
        let event = ControlEvent::Claim(claim.id, verdict);
        self.control.push(event).expect("space in the ring");
    }

    /// Returns the value of a counter on the metrics page, summed over its labels.
    pub fn counter(&self, name: &str) -> f64 {
        let mut page = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut page)
            .expect("a metrics page");
        let page = String::from_utf8(page).expect("text");
        let lines = page.lines().filter(|line| {
            line.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with(['{', ' ']))
        });
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.shutdown.kill.cancel();
    }
}

fn snapshot(endpoint: SocketAddr, peers: &[IpAddr]) -> Snapshot {
    let text = format!(
        "[zone zone-0]\nregion = south\n\
         [link zone-0 zone-0]\nlatency = 100us\ntokens_per_second = 1000000\n\
         [service lookup]\nrepeatable = yes\n\
         [service newsletter]\nrepeatable = no\n\
         [priority normal]\nrank = 10\nweight = 4\n\
         [endpoint e]\ninstance = e\naddr = {endpoint}\nzone = zone-0\nservices = lookup, newsletter\nslots = 100\n\
         [team kitchens]\nkeys = {}\nweight = 1\nrate = 1000\nin_flight = 100\ntop = normal\nusual = normal\n",
        sign::bearer_digest(KEY)
    );
    let bundle: Bundle = text.parse().unwrap_or_else(|e| panic!("{e}"));
    let view = View {
        bundle: Arc::new(bundle),
        zone: 0,
        available: vec![true],
        ejected: Vec::new(),
        suspects: Vec::new(),
        pending: Vec::new(),
        condemned: Vec::new(),
        shares: vec![Share {
            rate: 1000.0,
            in_flight: 100.0,
        }],
        retry_rate: 1.0,
        leaving: false,
    };
    Snapshot {
        view: Arc::new(view),
        versions: Vec::new(),
        addresses: Vec::new(),
        peer_ips: Arc::new(peers.iter().copied().collect()),
    }
}

/// Returns the verdict on a key that the node at `owner` owns.
pub fn owned_by(owner: SocketAddr) -> Verdict {
    let message = "the request's key belongs to another node";
    let mut error = Error::new(StatusCode::CONFLICT, "key_on_another_node", message);
    error.owner_url = Some(format!("http://{owner}"));
    Verdict::Error(Box::new(error))
}

/// A message as it was received: the lines of its head, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line and headers.
    pub head: String,
    /// Body of the length that the head states.
    pub body: String,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).expect("a status")
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }

    /// Reads a message whose body, if any, has a length.
    async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        loop {
            let mut buffer = [0; 4096];
            let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = head_end {
                let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
                let mut message = Self {
                    head,
                    body: String::new(),
                };
                let length = message.header("content-length").unwrap_or("0");
                let length: usize = length.parse().expect("a length");
                let body = &bytes[at + 4..];
                if body.len() >= length {
                    message.body = String::from_utf8_lossy(&body[..length]).into_owned();
                    return Some(message);
                }
            }
            match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
                _ => return None,
            }
        }
    }
}

/// An HTTP/1.1 server that answers every request with the same bytes.
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    received: mpsc::UnboundedReceiver<Message>,
}

impl Origin {
    /// Starts a server that sends `response`.
    pub async fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let (tx, received) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let tx = tx.clone();
                tokio::spawn(async move {
                    while let Some(request) = Message::read(&mut stream).await {
                        let _ = tx.send(request);
                        let _ = stream.write_all(response.as_bytes()).await;
                    }
                });
            }
        });
        Self { addr, received }
    }

    /// Returns the next request that was received.
    pub async fn next(&mut self) -> Message {
        let next = timeout(STEP_TIMEOUT, self.received.recv());
        next.await.expect("a request").expect("the server runs")
    }

    /// Returns whether no request was received since the last call of `next`.
    pub fn is_unused(&mut self) -> bool {
        self.received.try_recv().is_err()
    }
}

/// Sends a POST request with these header lines to `addr` and returns the response.
pub async fn post(addr: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Message {
    post_from(CALLER, addr, path, headers, body).await
}

/// Sends a POST request from the local address `from`.
pub async fn post_from(
    from: impl Into<IpAddr>,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Message {
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {addr}\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n{}\r\n{body}",
        body.len(),
        lines.collect::<String>()
    );
    let response = async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind((from.into(), 0).into())
            .expect("a local address");
        let mut stream = socket.connect(addr).await.expect("a connection");
        stream.write_all(request.as_bytes()).await.expect("sent");
        Message::read(&mut stream).await.expect("a response")
    };
    timeout(STEP_TIMEOUT, response).await.expect("a response")
}
