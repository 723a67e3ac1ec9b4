//! Requesters.

use crate::http::{self, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a requester's attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status; 0 if there was none.
    pub status: u16,
    /// Ids of the events.
    pub events: Vec<u64>,
    /// Whether the answer ended as complete.
    pub complete: bool,
    pub body: Vec<u8>,
}

fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    // Requesters allow a new connection one second.
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends a request on a connection of its own and reads the whole answer.
pub fn exchange(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = connect(addr, limit)?;
    stream.write_all(request)?;
    http::read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request and reads the answer as it arrives, until its end or the time limit.
pub fn send(addr: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer {
        status: 0,
        events: Vec::new(),
        complete: false,
        body: Vec::new(),
    };
    let until = Instant::now() + limit;
    let _ = receive(addr, request, limit, until, &mut answer);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text
        .lines()
        .filter_map(|l| l.strip_prefix("id:")?.trim().parse().ok());
    answer.events = ids.collect();
    answer
}

fn receive(
    addr: SocketAddr,
    request: &[u8],
    limit: Duration,
    until: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = connect(addr, limit)?;
    stream.write_all(request)?;
    let mut input = BufReader::new(stream);
    let Some(head) = http::read_head(&mut input)? else {
        return Ok(());
    };
    answer.status = head.status();
    if !http::is_chunked(&head) {
        let length = head.header("content-length").parse().unwrap_or(0);
        answer.body = vec![0; length];
        io::Read::read_exact(&mut input, &mut answer.body)?;
        answer.complete = true;
        return Ok(());
    }
    while Instant::now() < until {
        let chunk = http::read_chunk(&mut input)?;
        if chunk.is_empty() {
            answer.complete = true;
            break;
        }
        answer.body.extend(chunk);
    }
    Ok(())
}
