//! The platform's store: two keyed topics in memory, which are read and followed.

use crate::http::{self, Message};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Topics = BTreeMap<String, Vec<(String, String)>>;

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            addr: listener.local_addr().unwrap(),
            topics: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the operator's manifest. The store has acknowledged it when this returns.
    pub fn put_manifest(&self, manifest: &str) {
        self.put("keyed.op", "config", manifest);
    }

    /// Writes the entry of a replica; an empty one removes it.
    pub fn put_entry(&self, id: &str, entry: &str) {
        self.put("keyed.servers", id, entry);
    }

    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_owned()));
        self.topics.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = http::read(&mut input) {
            // The time of an answer of the users' store.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            if http::respond(&stream, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/wigeonshelf/log-newest" => (200, self.newest(&topic)),
            "/wigeonshelf/log-read" => {
                let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                (
                    200,
                    self.read(&topic, number("from").unwrap_or(0) as usize, wait),
                )
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut rows = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            rows.insert(key, (offset, value));
        }
        let rows = rows.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = rows
            .map(|(key, (offset, value))| {
                let value = base64(value.as_bytes());
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!(r#"{{"items":[{items}],"has_more":false,"end":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                return encode(records, from);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn encode(records: &[(String, String)], from: usize) -> Vec<u8> {
    let mut out = (records.len() as u64).to_be_bytes().to_vec();
    out.extend(0u64.to_be_bytes());
    for (key, value) in records.get(from..).unwrap_or_default() {
        out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        out.push(key.len() as u8);
        out.extend(key.as_bytes());
        out.extend(value.as_bytes());
    }
    out
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let b = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let n = u32::from_be_bytes([0, b[0], b[1], b[2]]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}
