//! Replicas of a model service: they register, take layers, report, and write streams of events.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What replicas of a service have in common.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    pub zone: String,
    pub slots: usize,
    pub layers: u32,
    pub kv_total: u64,
    /// Time between two events of a stream, and the tokens in one.
    pub interval: Duration,
    pub stride: u64,
    pub store: Store,
    pub record: Record,
    /// Length and hash of the body that each requester sent, by the id of the request.
    pub sent: Arc<Mutex<HashMap<String, (usize, u64)>>>,
    /// Ids of the requests that ran with another body than the requester's.
    pub changed: Arc<Mutex<Vec<String>>>,
}

/// A replica, which may crash and start again at its address.
pub struct Replica {
    service: Service,
    number: usize,
    addr: SocketAddr,
    listener: TcpListener,
    life: Mutex<Arc<Life>>,
}

/// One lifetime of a replica.
struct Life {
    id: String,
    born: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    down: bool,
    draining: bool,
    held: (u32, u32),
    sequence: u64,
    loading_until: Option<Instant>,
    running: usize,
    connections: Vec<TcpStream>,
}

impl Life {
    fn new(number: usize, lifetime: u64) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        Arc::new(Self {
            id: format!("i-{number}-{lifetime}"),
            born,
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn is_down(&self) -> bool {
        self.lock().down
    }
}

impl Replica {
    pub fn start(service: &Service, number: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = Arc::new(Self {
            service: service.clone(),
            number,
            addr: listener.local_addr().unwrap(),
            listener,
            life: Mutex::new(Life::new(number, 1)),
        });
        let accepting = replica.clone();
        std::thread::spawn(move || accepting.accept());
        let beating = replica.clone();
        std::thread::spawn(move || {
            loop {
                beating.beat();
                std::thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    fn life(&self) -> Arc<Life> {
        self.life.lock().unwrap().clone()
    }

    /// Ends the lifetime in the middle of what it does. A new one starts after `time`, with nothing loaded.
    pub fn crash(self: &Arc<Self>, time: Duration) {
        let life = self.life();
        self.service
            .record
            .line(&format!("replica {} crashes", life.id));
        let mut state = life.lock();
        state.down = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        let replica = self.clone();
        std::thread::spawn(move || {
            let (id, number) = (life.id.clone(), replica.number);
            // The entry is removed after three intervals of silence.
            std::thread::sleep(time.min(3 * HEARTBEAT));
            replica.service.store.put_entry(&id, "");
            std::thread::sleep(time.saturating_sub(3 * HEARTBEAT));
            let lifetime = id.rsplit('-').next().unwrap().parse::<u64>().unwrap() + 1;
            *replica.life.lock().unwrap() = Life::new(number, lifetime);
            replica
                .service
                .record
                .line(&format!("replica i-{number}-{lifetime} starts"));
            replica.beat();
        });
    }

    /// Writes its entry.
    fn beat(&self) {
        let life = self.life();
        let state = life.lock();
        if state.down {
            return;
        }
        let name = if state.draining { "draining" } else { "ready" };
        let (from, to) = shown(&state);
        let Service {
            name: service,
            zone,
            slots,
            ..
        } = &self.service;
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"{name}","cold_left_ms":0,"born":{},"kind":"card","layers":{{"from":{from},"to":{to},"version":1}},"sequence":1}}"#,
            self.addr, life.born,
        );
        self.service.store.put_entry(&life.id, &entry);
    }

    fn accept(self: Arc<Self>) {
        while let Ok((stream, _)) = self.listener.accept() {
            let life = self.life();
            if life.is_down() {
                let _ = stream.shutdown(Shutdown::Both);
                continue;
            }
            let _ = stream.set_nodelay(true);
            life.lock().connections.push(stream.try_clone().unwrap());
            let replica = self.clone();
            std::thread::spawn(move || replica.serve(&life, stream));
        }
    }

    fn serve(&self, life: &Life, stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = http::read(&mut input) {
            if life.is_down() || self.answer(life, &stream, &request).is_none() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a request; `None` if the connection ends.
    fn answer(&self, life: &Life, stream: &TcpStream, request: &Message) -> Option<()> {
        let expected = request.header("x-expect-instance");
        let echo = format!("X-Request-Id: {}\r\n", request.header("x-request-id"));
        if !expected.is_empty() && expected != life.id {
            let headers = format!("{echo}X-Instance-Id: {}\r\n", life.id);
            return http::respond(stream, 421, &headers, b"").ok();
        }
        match request.path() {
            "/wigeonshelf/report" => {
                let report = self.report(life);
                http::respond(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    report.as_bytes(),
                )
                .ok()
            }
            "/wigeonshelf/order" => {
                let status = self.order(life, &String::from_utf8_lossy(&request.body));
                http::respond(stream, status, "", b"").ok()
            }
            "/health" => {
                let headers = format!("X-Instance-Id: {}\r\n", life.id);
                http::respond(stream, 200, &headers, b"").ok()
            }
            _ => self.stream(life, stream, request, &echo),
        }
    }

    fn report(&self, life: &Life) -> String {
        let state = life.lock();
        let (from, to) = shown(&state);
        let busy = state.loading_until.is_some_and(|at| Instant::now() < at);
        let (layers, kv_total) = (u64::from(self.service.layers), self.service.kv_total);
        format!(
            r#"{{"stage":"hybrid","born":{},"kind":"card","layers":{{"from":{from},"to":{to},"version":1}},"busy":{busy},"sequence":{},"queued":0,"running":{},"kv_used":{},"kv_total":{kv_total},"pace":1.0,"stalled":[],"handles":0}}"#,
            life.born,
            state.sequence,
            state.running,
            state.running as u64 * 1040 * layers,
        )
    }

    /// Takes an order, if it fits the state, and returns the status.
    fn order(&self, life: &Life, body: &str) -> u16 {
        if http::json_text(body, "operation").as_deref() != Some("place") {
            return 404;
        }
        let (Some(from), Some(to)) = (
            http::json_number(body, "from"),
            http::json_number(body, "to"),
        ) else {
            return 400;
        };
        let mut state = life.lock();
        if http::json_number(body, "expected").is_some_and(|e| e != state.sequence) {
            return 409;
        }
        state.sequence += 1;
        state.held = (from as u32, to as u32);
        state.loading_until = Some(Instant::now() + Duration::from_millis(300));
        self.service
            .record
            .line(&format!("replica {} is to hold {from}-{to}", life.id));
        202
    }

    /// Runs a request if there is a slot.
    fn stream(&self, life: &Life, stream: &TcpStream, request: &Message, echo: &str) -> Option<()> {
        let id = request.header("x-request-id").to_owned();
        let record = &self.service.record;
        let hop = request.header("x-hop-count");
        let whole = format!("{}=0-{}", self.addr, self.service.layers);
        let holds = shown(&life.lock()) == (0, self.service.layers);
        if !holds || (!hop.is_empty() && hop != whole) {
            record.line(&format!("replica {} 421 {id} for {hop}", life.id));
            return http::respond(stream, 421, echo, b"").ok();
        }
        {
            let mut state = life.lock();
            if (state.running as u64 + 1) * 1040 > self.service.kv_total {
                drop(state);
                let headers = format!("{echo}X-Not-Executed: 1\r\n");
                return http::respond(stream, 503, &headers, b"").ok();
            }
            state.running += 1;
        }
        let ran = self.run(life, stream, request, &id, echo);
        life.lock().running -= 1;
        ran
    }

    fn run(
        &self,
        life: &Life,
        stream: &TcpStream,
        request: &Message,
        id: &str,
        echo: &str,
    ) -> Option<()> {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let sent = self.service.sent.lock().unwrap().get(id).copied();
        let length = request.body.len();
        let same = sent == Some((length, hash(&request.body)));
        let what = if same { "as sent" } else { "CHANGED" };
        self.service.record.line(&format!(
            "replica {} runs {id} after event {after}, body of {length} bytes {what}, sent {}",
            life.id,
            sent.map_or(0, |(length, _)| length),
        ));
        if !same {
            self.service.changed.lock().unwrap().push(id.to_owned());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        std::io::Write::write_all(&mut &*stream, head.as_bytes()).ok()?;
        let usage = request.header("x-token-usage");
        let tokens: u64 = usage
            .rsplit(',')
            .next()
            .and_then(|n| n.trim().parse().ok())
            .unwrap_or(0);
        for event in after + 1..=tokens / self.service.stride {
            std::thread::sleep(self.service.interval);
            if life.is_down() {
                return None;
            }
            let text = format!("id: {event}\ndata: {}\n\n", "e".repeat(65));
            http::write_chunk(stream, text.as_bytes()).ok()?;
        }
        http::write_chunk(stream, b"").ok()
    }
}

/// Returns the layers that have been loaded.
fn shown(state: &State) -> (u32, u32) {
    match state.loading_until.is_some_and(|at| Instant::now() < at) {
        true => (0, 0),
        false => state.held,
    }
}

/// Returns a hash of a body.
pub fn hash(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}
