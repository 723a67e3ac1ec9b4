//! An endpoint with a scripted behavior for each request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Time in which the files of a process are closed that is killed.
const EXIT_TIME: Duration = Duration::from_millis(5);

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Responds with this status and body, with the request's id and a seal.
    Answer(u16, &'static str),
    /// Sends this text as it is, then closes the connection.
    Text(String),
    /// Sends this text as it is, then resets the connection.
    TextThenReset(String),
    /// Sends this text as it is and closes the connection, then the listener and all other connections, as a
    /// process that is killed.
    TextThenExit(String),
    /// Responds with this status and states that the request was not executed.
    Refuse(u16),
    /// Like `Refuse`, and sends the response again in the place of the next one on the connection.
    RefuseTwice(u16),
    /// Does what the behavior says, and sends this text in the place of the next response on the connection.
    Stray(Box<Behavior>, String),
    /// Responds with this status and these header lines, each with its line break.
    WithHeaders(u16, &'static str),
    /// Responds with 503, states that the request was not executed, and asks to be left alone for
    /// this time.
    AskForRest(Duration),
    /// Like `AskForRest`, with the address of the stage at fault.
    AskForRestBecauseOf(Duration, SocketAddr),
    /// Like `AskForRest`, with the id of another request.
    AskForRestAsOtherRequest(Duration),
    /// Closes the listener and resets all connections, as a process that crashes.
    Crash,
    /// Sends the events `from..=to`, then crashes.
    EventsThenCrash(u64, u64),
    /// Does what the first behavior says if the request has this path, else what the second says.
    ForPath(&'static str, Box<Behavior>, Box<Behavior>),
    /// Does what the first behavior says if the request is for this run, else what the second says.
    ForRun(String, Box<Behavior>, Box<Behavior>),
    /// Sends a head or a body of this kind without end, until the connection closes.
    Endless(Endless),
    /// Responds with the id of another request.
    OtherRequest,
    /// Responds without a seal.
    Unsealed,
    /// Responds, and sends a second response after the first.
    Duplicate,
    /// Resets the connection after reading the request.
    Reset,
    /// Sends the head and half of the body, then resets the connection.
    HalfBody,
    /// Never responds.
    Silent,
    /// Sends the events `from..=to` and ends the response.
    Events(u64, u64),
    /// Sends the events `from..=to` and half of the next one, then resets the connection.
    EventsThenReset(u64, u64),
    /// Sends the events `from..=to` and then nothing more, without closing the connection.
    EventsThenStall(u64, u64),
    /// Sends the first events, pauses, sends the others and ends the response. Without others, it
    /// resets the connection after the pause.
    EventsWithPause(RangeInclusive<u64>, Duration, RangeInclusive<u64>),
    /// Sends the first events one by one at this interval, and then nothing more.
    PacedEvents(u64, Duration),
    /// Sends the events in one piece, then resets the connection.
    OneChunk(Vec<u64>),
    /// Waits before it does what the other behavior says.
    Delayed(Duration, Box<Behavior>),
    /// Waits for `Server::release` before it does what the other behavior says.
    Held(Box<Behavior>),
    /// Does what the other behavior says, and announces in the head of the response that it leaves.
    /// A delay comes around it, not within it.
    Leaving(Box<Behavior>),
    /// Does what the other behavior says, and names in the head of the response the time between two
    /// requests of all nodes. A delay comes around it, not within it.
    Limited(Duration, Box<Behavior>),
}

/// What an endpoint sends without end.
#[derive(Clone, Copy, Debug)]
pub enum Endless {
    /// A header.
    Head,
    /// A body without a length.
    Body,
    /// An event.
    Event,
    /// Interim responses.
    Interim,
    /// Header lines.
    HeaderLines,
    /// Chunks of a byte.
    ShortChunks,
    /// Zeros before the length of a chunk.
    Zeros,
    /// The extension of a chunk.
    Extension,
    /// Trailers.
    Trailers,
    /// Comments of an event stream, in chunks.
    Comments,
    /// The same event again, in chunks.
    SameEvent,
    /// The body of a refusal, in chunks of a byte.
    Refusal,
}

impl Endless {
    /// Returns what is sent first, with these header lines, and then without end.
    fn text(self, lines: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\n{lines}");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let refusal =
            format!("HTTP/1.1 503 X\r\n{lines}unrun: 1\r\ntransfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Head => (head + "x-endless: ", "x".to_owned()),
            Self::Body => (head + "\r\n", "x".to_owned()),
            Self::Event => (head + "\r\nid: 1\ndata: ", "x".to_owned()),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::HeaderLines => (head, "x-a: b\r\n".to_owned()),
            Self::ShortChunks => (chunked, chunk("x")),
            Self::Zeros => (chunked, "0".to_owned()),
            Self::Extension => (chunked + "1;", "x".to_owned()),
            Self::Trailers => (chunked + "0\r\n", "x-a: b\r\n".to_owned()),
            Self::Comments => (chunked + &chunks(1..=1), chunk(": c\n\n")),
            Self::SameEvent => (chunked, chunks(1..=1)),
            Self::Refusal => (refusal, chunk("x")),
        }
    }
}

impl Behavior {
    /// Announces in the head of the response that the endpoint leaves.
    pub fn leaving(self) -> Self {
        Self::Leaving(Box::new(self))
    }

    /// Names the time between two requests of all nodes in the head of the response.
    pub fn limited(self, interval: Duration) -> Self {
        Self::Limited(interval, Box::new(self))
    }

    /// Waits before the response.
    pub fn delayed(self, delay: Duration) -> Self {
        Self::Delayed(delay, Box::new(self))
    }

    /// Waits for `Server::release` before the response.
    pub fn held(self) -> Self {
        Self::Held(Box::new(self))
    }
}

/// A scripted endpoint.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    /// One permit for each held response that may be sent.
    released: Arc<Semaphore>,
    /// Cancelled when new connections are refused.
    refusing: CancellationToken,
    /// Cancelled when the endpoint crashes.
    crashed: CancellationToken,
    /// Cancelled when it ends without resetting its connections.
    exited: CancellationToken,
    /// Cancelled when the listener is closed.
    closed: CancellationToken,
}

#[derive(Default)]
struct State {
    behaviors: VecDeque<Behavior>,
    /// Heads of the received requests.
    heads: Vec<String>,
    /// Body of the status report.
    report: String,
    /// Paths of the received orders.
    orders: Vec<String>,
    /// Stages that the next orders are refused for, as missing.
    missing: VecDeque<SocketAddr>,
    /// Number of orders whose response is lost.
    lost_responses: usize,
    /// Number of connections that the other side closed during a response.
    aborted: usize,
    /// Bytes that were sent without end, by connection.
    endless_bytes: Vec<usize>,
    /// Number of accepted connections.
    opened: usize,
    /// Number of connections that the other side closed between two requests.
    closed_idle: usize,
}

impl Server {
    /// Starts an endpoint. The last behavior applies to all further requests.
    pub async fn start(behaviors: Vec<Behavior>) -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into(), behaviors).await
    }

    /// Like [`Self::start`], at a given address.
    pub async fn start_at(addr: SocketAddr, behaviors: Vec<Behavior>) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::default(),
            released: Arc::new(Semaphore::new(0)),
            refusing: CancellationToken::new(),
            crashed: CancellationToken::new(),
            exited: CancellationToken::new(),
            closed: CancellationToken::new(),
        };
        server.state.lock().unwrap().behaviors = behaviors.into();
        let own = server.clone();
        tokio::spawn(async move {
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    own.state.lock().unwrap().opened += 1;
                    tokio::spawn(own.clone().serve(stream));
                }
            };
            let accepting = own.refusing.run_until_cancelled(accepting);
            own.crashed.run_until_cancelled(accepting).await;
            drop(listener);
            own.crashed.cancelled().await;
            own.closed.cancel();
        });
        server
    }

    /// Returns the heads of the received requests in order.
    pub fn heads(&self) -> Vec<String> {
        self.state.lock().unwrap().heads.clone()
    }

    /// Applies a behavior to all further requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behaviors = [behavior].into();
    }

    /// Sets the body of the status report.
    pub fn set_report(&self, text: String) {
        self.state.lock().unwrap().report = text;
    }

    /// Refuses the next order because this stage is missing.
    pub fn refuse_next_order(&self, stage: SocketAddr) {
        self.state.lock().unwrap().missing.push_back(stage);
    }

    /// Accepts the next order, but responds with an error, as if the response was lost on the way.
    pub fn lose_next_order_response(&self) {
        self.state.lock().unwrap().lost_responses += 1;
    }

    /// Returns the paths of the received orders.
    pub fn orders(&self) -> Vec<String> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Returns the number of connections that were closed during a response.
    pub fn aborted(&self) -> usize {
        self.state.lock().unwrap().aborted
    }

    /// Returns the bytes that were sent without end on connections that were closed since.
    pub fn endless_bytes(&self) -> Vec<usize> {
        self.state.lock().unwrap().endless_bytes.clone()
    }

    /// Lets this number of held responses be sent.
    pub fn release(&self, count: usize) {
        self.released.add_permits(count);
    }

    /// Returns the number of accepted connections.
    pub fn opened(&self) -> usize {
        self.state.lock().unwrap().opened
    }

    /// Returns the number of connections that were closed between two requests.
    pub fn closed_idle(&self) -> usize {
        self.state.lock().unwrap().closed_idle
    }

    /// Refuses new connections; the open ones go on.
    pub async fn refuse_new(&self) {
        self.refusing.cancel();
        while TcpStream::connect(self.addr).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }

    /// Crashes: new connections are refused before the open ones are reset.
    pub async fn crash(&self) {
        self.crashed.cancel();
        self.closed.cancelled().await;
    }

    /// Returns whether the endpoint has crashed.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    async fn serve(self, mut stream: TcpStream) {
        let served = self.serve_requests(&mut stream);
        let is_cut = self.closed.run_until_cancelled(served).await.is_none();
        if is_cut && !self.exited.is_cancelled() {
            reset(&stream);
        }
    }

    async fn serve_requests(&self, stream: &mut TcpStream) {
        while let Some(head) = read_request(stream).await {
            if let Some((status, body)) = self.control_response(&head) {
                let _ = write(stream, &answer(status, "", &body)).await;
                continue;
            }
            let behavior = self.next_behavior(&head);
            if self.perform(stream, &head, behavior).await.is_none() {
                return;
            }
        }
        self.state.lock().unwrap().closed_idle += 1;
    }

    /// Returns the status and body of the response to a request for the status report or to an order; `None`
    /// for other requests.
    fn control_response(&self, head: &str) -> Option<(u16, String)> {
        let mut state = self.state.lock().unwrap();
        if head.starts_with("GET /report ") {
            return Some((200, state.report.clone()));
        }
        let path = head.strip_prefix("GET /detour/")?;
        let path = path.split(' ').next()?.to_owned();
        state.orders.push(path);
        state.report.clear();
        if state.lost_responses > 0 {
            state.lost_responses -= 1;
            return Some((504, String::new()));
        }
        let missing = state.missing.pop_front();
        Some((
            200,
            missing.map_or_else(String::new, |stage| stage.to_string()),
        ))
    }

    fn next_behavior(&self, head: &str) -> Behavior {
        let mut state = self.state.lock().unwrap();
        state.heads.push(head.to_owned());
        match state.behaviors.len() {
            0 => Behavior::Silent,
            1 => state.behaviors[0].clone(),
            _ => state.behaviors.pop_front().unwrap(),
        }
    }

    /// Responds to a request; `None` if the connection ends.
    async fn perform(&self, stream: &mut TcpStream, head: &str, behavior: Behavior) -> Option<()> {
        let id = header(head, "id").unwrap_or_default();
        let (behavior, notice) = match behavior {
            Behavior::Leaving(behavior) => (*behavior, "leaving: 1\r\n".to_owned()),
            Behavior::Limited(interval, behavior) => {
                (*behavior, format!("interval: {}\r\n", interval.as_millis()))
            }
            other => (other, String::new()),
        };
        let own = format!("id: {id}\r\nseal: s\r\n{notice}");
        let refusal = |status| answer(status, &format!("id: {id}\r\nunrun: 1\r\n{notice}"), "");
        match behavior {
            Behavior::Answer(status, body) => write(stream, &answer(status, &own, body)).await,
            Behavior::Refuse(status) => write(stream, &refusal(status)).await,
            Behavior::Text(text) => {
                write(stream, &text).await?;
                stream.shutdown().await.ok()?;
                self.wait_for_close(stream).await
            }
            Behavior::TextThenReset(text) => {
                write(stream, &text).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Behavior::TextThenExit(text) => {
                write(stream, &text).await?;
                stream.shutdown().await.ok()?;
                // The kernel closes the files of a process one after the other.
                tokio::time::sleep(EXIT_TIME).await;
                self.exited.cancel();
                self.crash().await;
                None
            }
            Behavior::RefuseTwice(status) => {
                let twice = Behavior::Stray(Behavior::Refuse(status).into(), refusal(status));
                Box::pin(self.perform(stream, head, twice)).await
            }
            Behavior::Stray(behavior, text) => {
                Box::pin(self.perform(stream, head, *behavior)).await?;
                write_before_next(stream, &text).await
            }
            Behavior::WithHeaders(status, headers) => {
                write(stream, &answer(status, headers, "x")).await
            }
            Behavior::AskForRest(time) => {
                let headers = format!("id: {id}\r\nunrun: 1\r\nrest: {}\r\n", time.as_millis());
                write(stream, &answer(503, &headers, "")).await
            }
            Behavior::AskForRestBecauseOf(time, stage) => {
                let rest = time.as_millis();
                let headers =
                    format!("id: {id}\r\nunrun: 1\r\nrest: {rest}\r\nculprit: {stage}\r\n");
                write(stream, &answer(503, &headers, "")).await
            }
            Behavior::AskForRestAsOtherRequest(time) => {
                let rest = time.as_millis();
                let headers = format!("id: other\r\nunrun: 1\r\nrest: {rest}\r\n");
                write(stream, &answer(503, &headers, "")).await
            }
            Behavior::OtherRequest => {
                write(stream, &answer(200, "id: other\r\nseal: s\r\n", "x")).await
            }
            Behavior::Unsealed => {
                let headers = format!("id: {id}\r\n");
                write(stream, &answer(200, &headers, "x")).await
            }
            Behavior::Duplicate => {
                let both = answer(200, &own, "one") + &answer(200, &own, "two");
                write(stream, &both).await
            }
            Behavior::Reset => reset(stream),
            Behavior::Crash => {
                self.crash().await;
                reset(stream)
            }
            Behavior::EventsThenCrash(from, to) => {
                write(stream, &events(&own, from, to)).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                Box::pin(self.perform(stream, head, Behavior::Crash)).await
            }
            Behavior::ForPath(path, behavior, other) => {
                let matches = head.split(' ').nth(1) == Some(path);
                let behavior = if matches { *behavior } else { *other };
                Box::pin(self.perform(stream, head, behavior)).await
            }
            Behavior::ForRun(run, behavior, other) => {
                let matches = header(head, "expect").as_ref() == Some(&run);
                let behavior = if matches { *behavior } else { *other };
                Box::pin(self.perform(stream, head, behavior)).await
            }
            Behavior::HalfBody => {
                let full = answer(200, &own, "0123456789");
                write(stream, &full[..full.len() - 5]).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Behavior::Endless(kind) => {
                let (start, filler) = kind.text(&own);
                write(stream, &start).await?;
                let filler = filler.repeat((1 << 16) / filler.len());
                let mut written = 0;
                while write(stream, &filler).await.is_some() {
                    written += filler.len();
                }
                self.state.lock().unwrap().endless_bytes.push(written);
                None
            }
            Behavior::Silent => self.wait_for_close(stream).await,
            Behavior::Events(from, to) => {
                write(stream, &events(&own, from, to)).await?;
                write(stream, "0\r\n\r\n").await
            }
            Behavior::EventsThenReset(from, to) => {
                let half = format!("id: {}\nda", to + 1);
                write(stream, &events(&own, from, to)).await?;
                write(stream, &chunk(&half)).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Behavior::EventsThenStall(from, to) => {
                write(stream, &events(&own, from, to)).await?;
                self.wait_for_close(stream).await
            }
            Behavior::EventsWithPause(first, pause, others) => {
                write(stream, &events(&own, *first.start(), *first.end())).await?;
                tokio::time::sleep(pause).await;
                if others.is_empty() {
                    return reset(stream);
                }
                write(stream, &chunks(others)).await?;
                write(stream, "0\r\n\r\n").await
            }
            Behavior::PacedEvents(count, interval) => {
                write(stream, &events(&own, 1, 0)).await?;
                for id in 1..=count {
                    write(stream, &chunks(id..=id)).await?;
                    tokio::time::sleep(interval).await;
                }
                self.wait_for_close(stream).await
            }
            Behavior::OneChunk(ids) => {
                let events = ids.iter().map(|n| format!("id: {n}\ndata: t{n}\n\n"));
                let head = self::events(&own, 1, 0);
                write(stream, &(head + &chunk(&events.collect::<String>()))).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Behavior::Delayed(delay, behavior) => {
                tokio::time::sleep(delay).await;
                Box::pin(self.perform(stream, head, *behavior)).await
            }
            Behavior::Held(behavior) => {
                self.released.acquire().await.ok()?.forget();
                Box::pin(self.perform(stream, head, *behavior)).await
            }
            Behavior::Leaving(behavior) | Behavior::Limited(_, behavior) => {
                Box::pin(self.perform(stream, head, *behavior)).await
            }
        }
    }

    /// Waits until the other side closes the connection.
    async fn wait_for_close(&self, stream: &mut TcpStream) -> Option<()> {
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        self.state.lock().unwrap().aborted += 1;
        None
    }
}

/// Returns the value of a header in a request head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines();
    let value = lines.find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))?;
    Some(value.to_owned())
}

fn answer(status: u16, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {len}\r\n\r\n{body}")
}

fn events(headers: &str, from: u64, to: u64) -> String {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n");
    head + &chunks(from..=to)
}

fn chunks(ids: RangeInclusive<u64>) -> String {
    ids.map(|n| chunk(&format!("id: {n}\ndata: t{n}\n\n")))
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn reset(stream: &TcpStream) -> Option<()> {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    None
}

/// Waits for the next request and writes this text before its response.
async fn write_before_next(stream: &mut TcpStream, text: &str) -> Option<()> {
    let next = stream.peek(&mut [0]).await;
    next.ok().filter(|&n| n > 0)?;
    write(stream, text).await
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Reads a request with its body and returns the head; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        let at = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(at) = at {
            break at + 4;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let len = header(&head, "content-length").and_then(|l| l.parse().ok());
    let mut left = len.unwrap_or(0_usize).saturating_sub(bytes.len() - end);
    while left > 0 {
        let n = stream.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
        left = left.saturating_sub(n);
    }
    Some(head)
}
