//! A stand-in for the platform's log service.

use crate::fault::{Answer, Faults, Server, Service, lock};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use platform::format::{Appended, Page, Record};
use platform::log::Offset;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Maximum size of a page, in bytes of record bodies. A page always includes the first available
/// record, even if that is larger.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Maximum time that a read waits for records.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A running log service; dropping it stops the server.
#[derive(Debug)]
pub struct Log {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Fault switches of the server.
    pub faults: Arc<Faults>,
    store: Arc<Store>,
    _server: Server,
}

impl Log {
    /// Starts an empty log service.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let store = Arc::new(Store::default());
        let server = Server::start(addr, faults.clone(), store.clone()).await?;
        Ok(Self {
            addr: server.addr,
            faults,
            store,
            _server: server,
        })
    }

    /// Limits the appends per second; 0 removes the limit.
    pub fn set_append_rate(&self, appends: u32) {
        self.store.rate.store(appends, Relaxed);
    }

    /// Drops the records of a stream below the offset `first`, as retention does.
    pub fn trim(&self, stream: &str, first: Offset) {
        lock(&self.store.state).stream(stream).trim(first);
    }

    /// Retains at most `records` records of each stream at later appends; 0 retains all.
    pub fn set_retention(&self, records: usize) {
        lock(&self.store.state).retain = records;
    }

    /// Appends a record directly, without faults or rate limit, as if by another client.
    pub fn append(&self, stream: &str, body: Bytes) -> Offset {
        self.store.append(stream, body)
    }

    /// Returns the retained records of a stream with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(Offset, Bytes)> {
        let mut state = lock(&self.store.state);
        let stream = state.stream(stream);
        (stream.first..)
            .zip(stream.records.iter().cloned())
            .collect()
    }

    /// Number of appends that took effect, over all streams.
    pub fn append_count(&self) -> u64 {
        *self.store.changed.borrow()
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Bytes>,
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    /// Drops the records below the offset `first`.
    fn trim(&mut self, first: Offset) {
        while self.first < first && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Returns the records from `from` on, or from the first retained one, up to
    /// [`MAX_PAGE_BYTES`].
    fn page(&self, from: Offset) -> Page {
        let start = from.max(self.first);
        let skip = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let mut remaining_bytes = MAX_PAGE_BYTES;
        let mut records = Vec::new();
        for (offset, body) in (start..).zip(self.records.iter().skip(skip)) {
            if !records.is_empty() && body.len() > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(body.len());
            records.push(Record {
                offset,
                body: body.to_vec(),
            });
        }
        let next = start + records.len() as u64;
        Page {
            first: self.first,
            next,
            records,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    /// Maximum number of records in a stream; 0 is unlimited.
    retain: usize,
    /// Tokens in the bucket of the append limit.
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams.entry(name.to_owned()).or_default()
    }

    /// Takes one token from a token bucket that holds the tokens of one second.
    fn admit(&mut self, rate: u32) -> bool {
        if rate == 0 {
            return true;
        }
        let now = Instant::now();
        let rate = f64::from(rate);
        let passed = self.refilled_at.map_or(1.0, |t| (now - t).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + passed * rate).min(rate);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

#[derive(Debug)]
struct Store {
    state: Mutex<State>,
    /// Allowed appends per second; 0 is unlimited.
    rate: AtomicU32,
    /// Number of appends; waiting reads watch it.
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            state: Mutex::default(),
            rate: AtomicU32::new(0),
            changed,
        }
    }
}

impl Store {
    fn append(&self, stream: &str, body: Bytes) -> Offset {
        let mut state = lock(&self.state);
        let retain = state.retain;
        let stream = state.stream(stream);
        let offset = stream.end();
        stream.records.push_back(body);
        if retain > 0 {
            stream.trim(stream.end().saturating_sub(retain as u64));
        }
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        offset
    }

    /// Appends a record for a client, subject to the rate limit.
    fn write(&self, stream: &str, body: Bytes) -> Answer {
        let admitted = lock(&self.state).admit(self.rate.load(Relaxed));
        if !admitted {
            let mut answer = Answer::new(StatusCode::TOO_MANY_REQUESTS, "");
            let after = header::HeaderValue::from_static("1");
            answer
                .response
                .headers_mut()
                .insert(header::RETRY_AFTER, after);
            return answer;
        }
        let offset = self.append(stream, body);
        Answer::json(&Appended { offset }).written()
    }

    /// Reads a page; waits until there are records at or after `from`, a gap shows or `wait` is
    /// over.
    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Answer {
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + wait.min(MAX_WAIT);
        loop {
            changed.borrow_and_update();
            let page = self.page(stream, from);
            let has_update = !page.records.is_empty() || page.first > from;
            if has_update || timeout_at(end, changed.changed()).await.is_err() {
                return Answer::new(StatusCode::OK, page.encode());
            }
        }
    }

    fn page(&self, stream: &str, from: Offset) -> Page {
        lock(&self.state).stream(stream).page(from)
    }
}

impl Service for Store {
    async fn answer(&self, request: Request<Bytes>) -> Answer {
        let Some(stream) = stream(request.uri().path()).map(str::to_owned) else {
            return Answer::new(StatusCode::NOT_FOUND, "");
        };
        if request.method() == Method::POST {
            return self.write(&stream, request.into_body());
        }
        let query = request.uri().query().unwrap_or_default();
        let (Some(from), Some(wait)) = (number(query, "from"), number(query, "wait")) else {
            return Answer::new(StatusCode::BAD_REQUEST, "");
        };
        self.read(&stream, from, Duration::from_millis(wait)).await
    }
}

/// Returns the stream name in the path of a log request.
fn stream(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/streams/")?.strip_suffix("/records")
}

/// Returns the value of a numeric query parameter.
fn number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}
