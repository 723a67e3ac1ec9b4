//! An endpoint that does what a script says, request by request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with this status, as the request's, sealed.
    Answer(u16, &'static str),
    /// Says that it did not run it.
    Refuse(u16),
    /// Answers as if to another request.
    Foreign,
    /// Answers without a seal.
    Unsealed,
    /// Answers, and sends a second answer behind it.
    Twice,
    /// Resets the connection once it has read the request.
    Reset,
    /// Sends the head and half of the body, then resets.
    Half,
    /// Never answers.
    Silent,
    /// Sends events `from..=to`, then the end of the answer.
    Events(u64, u64),
    /// Sends events `from..=to` and half of the next, then resets.
    Torn(u64, u64),
    /// Sends events `from..=to` and then nothing more.
    Stall(u64, u64),
}

/// A scripted endpoint.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    acts: VecDeque<Act>,
    /// Heads of the requests that came.
    heads: Vec<String>,
    /// The body of its report.
    report: String,
    /// Paths of orders.
    orders: Vec<String>,
    /// Stages that the next orders are refused for.
    missing: VecDeque<SocketAddr>,
    /// Connections that their other side closed while an answer was under way.
    left: usize,
}

impl Server {
    /// Starts an endpoint; the last act goes on for all further requests.
    pub async fn start(acts: Vec<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        server.state.lock().unwrap().acts = acts.into();
        let own = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(own.clone().serve(stream));
            }
        });
        server
    }

    /// Heads of the requests that came, in order.
    pub fn heads(&self) -> Vec<String> {
        self.state.lock().unwrap().heads.clone()
    }

    /// What its report says from now on.
    pub fn report(&self, text: String) {
        self.state.lock().unwrap().report = text;
    }

    /// The next order is refused since this stage is missing.
    pub fn miss(&self, stage: SocketAddr) {
        self.state.lock().unwrap().missing.push_back(stage);
    }

    /// Paths of the orders that came.
    pub fn orders(&self) -> Vec<String> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Connections that were closed under an answer.
    pub fn left(&self) -> usize {
        self.state.lock().unwrap().left
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            if let Some(body) = self.control(&head) {
                let _ = write(&mut stream, &answer(200, "", &body)).await;
                continue;
            }
            let act = self.next(&head);
            if self.act(&mut stream, &head, act).await.is_none() {
                return;
            }
        }
    }

    /// The answer to a question for the report or to an order.
    fn control(&self, head: &str) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        if head.starts_with("GET /report ") {
            return Some(state.report.clone());
        }
        let path = head.strip_prefix("GET /detour/")?;
        let path = path.split(' ').next()?.to_owned();
        state.orders.push(path);
        state.report.clear();
        let missing = state.missing.pop_front();
        Some(missing.map_or_else(String::new, |stage| stage.to_string()))
    }

    fn next(&self, head: &str) -> Act {
        let mut state = self.state.lock().unwrap();
        state.heads.push(head.to_owned());
        match state.acts.len() {
            0 => Act::Silent,
            1 => state.acts[0].clone(),
            _ => state.acts.pop_front().unwrap(),
        }
    }

    /// Nothing if the connection ends.
    async fn act(&self, stream: &mut TcpStream, head: &str, act: Act) -> Option<()> {
        let id = header(head, "id").unwrap_or_default();
        let own = format!("id: {id}\r\nseal: s\r\n");
        match act {
            Act::Answer(status, body) => write(stream, &answer(status, &own, body)).await,
            Act::Refuse(status) => {
                let headers = format!("id: {id}\r\nunrun: 1\r\n");
                write(stream, &answer(status, &headers, "")).await
            }
            Act::Foreign => write(stream, &answer(200, "id: other\r\nseal: s\r\n", "x")).await,
            Act::Unsealed => {
                let headers = format!("id: {id}\r\n");
                write(stream, &answer(200, &headers, "x")).await
            }
            Act::Twice => {
                let both = answer(200, &own, "one") + &answer(200, &own, "two");
                write(stream, &both).await
            }
            Act::Reset => reset(stream),
            Act::Half => {
                let whole = answer(200, &own, "0123456789");
                write(stream, &whole[..whole.len() - 5]).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Act::Silent => self.gone(stream).await,
            Act::Events(from, to) => {
                write(stream, &events(&own, from, to)).await?;
                write(stream, "0\r\n\r\n").await
            }
            Act::Torn(from, to) => {
                let half = format!("id: {}\nda", to + 1);
                write(stream, &events(&own, from, to)).await?;
                write(stream, &chunk(&half)).await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream)
            }
            Act::Stall(from, to) => {
                write(stream, &events(&own, from, to)).await?;
                self.gone(stream).await
            }
        }
    }

    /// Waits until the other side closes.
    async fn gone(&self, stream: &mut TcpStream) -> Option<()> {
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        self.state.lock().unwrap().left += 1;
        None
    }
}

/// The value of a header in a head.
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
    let events = (from..=to).map(|n| chunk(&format!("id: {n}\ndata: t{n}\n\n")));
    head + &events.collect::<String>()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn reset(stream: &TcpStream) -> Option<()> {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    None
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// The head of a request, whose body is read too; nothing at the connection's end.
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
