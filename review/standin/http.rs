//! Minimal HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const STACK_BYTES: usize = 256 << 10;

/// First line, header fields in lower case, and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let field = self.headers.iter().find(|(n, _)| n == name);
        field.map_or("", |(_, value)| value)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let fields = self.target().split_once('?')?.1.split('&');
        fields
            .filter_map(|f| f.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, timeout).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message {
                    first,
                    headers,
                    body: Vec::new(),
                });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to a head. What was read before an error is kept in `message`.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.bytes(size)?;
                self.bytes(2)?;
                if size == 0 {
                    return Ok(());
                }
                message.body.extend_from_slice(&data);
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(())
    }

    /// Reads a message with its body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }
}

/// Builds a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Starts a thread with a small stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(work)
        .expect("thread")
}

/// A listener and its open connections.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.addr);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves each connection in a thread of its own. `serve` answers one request; an error closes the
/// connection.
pub fn listen<F>(serve: F) -> Server
where
    F: Fn(&Server, &mut Conn, Message) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let server = Server {
        addr: listener.local_addr().expect("address"),
        ended: Arc::default(),
        streams: Arc::default(),
    };
    let (accepting, serve) = (server.clone(), Arc::new(serve));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.has_ended() {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                accepting.streams.lock().unwrap().push(clone);
            }
            let (server, serve) = (accepting.clone(), serve.clone());
            spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.message() {
                    if serve(&server, &mut conn, request).is_err() {
                        break;
                    }
                }
                let _ = conn.stream.shutdown(Shutdown::Both);
                let own = conn.stream.peer_addr().ok();
                server
                    .streams
                    .lock()
                    .unwrap()
                    .retain(|s| s.peer_addr().ok().is_some_and(|addr| Some(addr) != own));
            });
        }
    });
    server
}
