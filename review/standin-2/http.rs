//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    /// Returns a parameter of the request's query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .filter(|(n, _)| *n == name)
            .map(|(_, v)| decode(v))
            .next()
    }

    /// Returns the path of the request, without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        let hex = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        out.push(hex.unwrap_or(bytes[i]));
        i += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(broken("ended within a head")),
            };
        }
        let line = line.trim_end();
        if line.is_empty() && message.first.is_empty() {
            continue;
        }
        if line.is_empty() {
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(field);
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(input: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(broken("ended within a body"));
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| broken("no size of a chunk"))?;
    let mut chunk = vec![0; size];
    input.read_exact(&mut chunk)?;
    let mut end = String::new();
    input.read_line(&mut end)?;
    Ok(chunk)
}

/// Returns whether the body of a message comes in chunks.
pub fn is_chunked(message: &Message) -> bool {
    message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else {
        return Ok(None);
    };
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(input)?;
            if chunk.is_empty() {
                return Ok(Some(message));
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a response with a body of known length.
pub fn respond(mut out: &TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    out.write_all(&[head.as_bytes(), body].concat())
}

/// Sends one chunk of a chunked body; an empty one ends it.
pub fn write_chunk(mut out: &TcpStream, chunk: &[u8]) -> io::Result<()> {
    let size = format!("{:x}\r\n", chunk.len());
    out.write_all(&[size.as_bytes(), chunk, b"\r\n"].concat())
}

/// Takes the value of a number in a flat JSON text.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest
        .trim()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// Takes the value of a string in a flat JSON text.
pub fn json_text(text: &str, name: &str) -> Option<String> {
    let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}
