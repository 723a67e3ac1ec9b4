//! Stand-ins for replicas: engines that hold layers and stream events, and replicas of a plain service.

use crate::http::{self, Conn, Message, Server};
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which an endpoint writes its row.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time from a crash until the endpoint is back under another id.
const RESTART: Duration = Duration::from_secs(3);
/// Path of the request that crashes each endpoint which begins to run it.
pub const DEADLY: &str = "/chat/deadly";
/// Memory for requests, in tokens x layers.
const KV_TOTAL: u32 = 1_355_000;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Streams this number of events, one at a time.
    Model {
        events: u32,
        interval: Duration,
    },
    Plain {
        work: Duration,
    },
}

#[derive(Default)]
struct State {
    layers: (u32, u32),
    /// Number of orders accepted.
    orders: u64,
    /// Number of rows written.
    rows: u64,
    running: u32,
}

pub struct Endpoint {
    id: String,
    zone: String,
    kind: Kind,
    store: Store,
    state: Mutex<State>,
    record: Record,
}

/// Starts an endpoint and registers it. Its next lifetimes have ids that begin with `name`.
pub fn start(name: &str, zone: &str, kind: Kind, store: &Store, record: &Record) {
    let (name, zone, store, record) = (
        name.to_owned(),
        zone.to_owned(),
        store.clone(),
        record.clone(),
    );
    http::spawn(move || {
        for lifetime in 0.. {
            let endpoint = Arc::new(Endpoint {
                id: format!("{name}-{lifetime}"),
                zone: zone.clone(),
                kind,
                store: store.clone(),
                state: Mutex::default(),
                record: record.clone(),
            });
            endpoint.live();
            http::spawn(move || endpoint.expire());
            thread::sleep(RESTART);
        }
    });
}

impl Endpoint {
    /// Serves until a request crashes it.
    fn live(self: &Arc<Self>) {
        let serving = self.clone();
        let server =
            http::listen(move |server, conn, request| serving.serve(server, conn, &request));
        let mut written = None;
        while !server.has_ended() {
            if written.is_none_or(|at: Instant| at.elapsed() >= HEARTBEAT) {
                self.store
                    .put("keyed.servers", &self.id, &self.row(server.addr));
                written = Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Removes the row of an endpoint that crashed, after three heartbeats of silence.
    fn expire(&self) {
        thread::sleep(3 * HEARTBEAT);
        self.store.put("keyed.servers", &self.id, "");
    }

    fn row(&self, addr: SocketAddr) -> String {
        let mut state = self.state.lock().unwrap();
        state.rows += 1;
        let (service, more) = match self.kind {
            Kind::Model { .. } => {
                let (from, to) = state.layers;
                let layers = format!(r#"{{"from":{from},"to":{to},"version":1}}"#);
                (
                    "model",
                    format!(
                        r#","slots":192,"stage":"hybrid","models":[],"kind":"card","layers":{layers}"#
                    ),
                )
            }
            Kind::Plain { .. } => ("app", r#","slots":6"#.to_owned()),
        };
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{}","version":"v1","state":"ready","cold_left_ms":0,"sequence":{}{more}}}"#,
            self.zone, state.rows
        )
    }

    fn serve(&self, server: &Server, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let json = "Content-Type: application/json\r\n";
        match request.path() {
            "/wigeonshelf/report" => {
                let state = self.state.lock().unwrap();
                let (from, to) = state.layers;
                let used = state.running * 2000;
                let body = format!(
                    r#"{{"stage":"hybrid","models":[],"busy":false,"sequence":{},"queued":0,"running":{},"kv_used":{used},"kv_total":{KV_TOTAL},"handles":0,"pace":1.0,"kind":"card","layers":{{"from":{from},"to":{to},"version":1}},"stalled":[]}}"#,
                    state.orders, state.running
                );
                drop(state);
                conn.write(&http::response(200, json, body.as_bytes()))
            }
            "/wigeonshelf/order" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let number = |name: &str| -> Option<u64> {
                    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
                    body[at..]
                        .split(|c: char| !c.is_ascii_digit())
                        .next()?
                        .parse()
                        .ok()
                };
                let mut state = self.state.lock().unwrap();
                let status = match (body.contains("\"place\""), number("from"), number("to")) {
                    (true, Some(_), Some(_))
                        if number("expected").is_some_and(|e| e != state.orders) =>
                    {
                        409
                    }
                    (true, Some(from), Some(to)) => {
                        state.layers = (from as u32, to as u32);
                        state.orders += 1;
                        202
                    }
                    (true, ..) => 400,
                    (false, ..) => 404,
                };
                drop(state);
                conn.write(&http::response(status, json, b"{}"))
            }
            _ => self.run(server, conn, request),
        }
    }

    fn run(&self, server: &Server, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let id = request.header("x-request-id");
        let echo = format!("X-Request-Id: {id}\r\n");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return conn.write(&http::response(421, &echo, b""));
        }
        self.record.line(&format!("run {id} {}", self.id));
        if request.path() == DEADLY {
            self.record.line(&format!("crash {} under {id}", self.id));
            server.end();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let sealed = format!("{echo}X-Response-Seal: {}.{id}\r\n", self.id);
        let (events, interval) = match self.kind {
            Kind::Plain { work } => {
                thread::sleep(work);
                return conn.write(&http::response(200, &sealed, id.as_bytes()));
            }
            Kind::Model { events, interval } => (events, interval),
        };
        self.state.lock().unwrap().running += 1;
        let sent = self.stream(conn, request, &sealed, events, interval);
        self.state.lock().unwrap().running -= 1;
        let end = if sent.is_ok() { "whole" } else { "cut" };
        self.record.line(&format!("run-end {id} {} {end}", self.id));
        sent
    }

    fn stream(
        &self,
        conn: &mut Conn,
        request: &Message,
        sealed: &str,
        events: u32,
        interval: Duration,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{sealed}Transfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
        for event in after + 1..=events {
            let text = format!("id: {event}\ndata: event {event} of {events}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(interval);
        }
        conn.write(b"0\r\n\r\n")
    }
}
