//! Stand-in for the platform's store: the two keyed topics that the nodes read.

use crate::http::{self, Conn, Message};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Records of a topic, each a key and a value; the index is the offset.
type Topic = Vec<(String, Vec<u8>)>;

#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)> = Arc::default();
        let shared = topics.clone();
        let addr = http::listen(move |_, conn, request| serve(&shared, conn, &request)).addr;
        Self { topics, addr }
    }

    /// Appends a record. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics
            .entry(topic.to_owned())
            .or_default()
            .push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
        Instant::now()
    }
}

fn serve(
    shared: &(Mutex<BTreeMap<String, Topic>>, Condvar),
    conn: &mut Conn,
    request: &Message,
) -> io::Result<()> {
    let (topics, changed) = shared;
    let name = request.query("topic").unwrap_or_default().to_owned();
    match request.path() {
        "/wigeonshelf/log-newest" => {
            let topics = topics.lock().unwrap();
            let empty = Topic::new();
            let topic = topics.get(&name).unwrap_or(&empty);
            let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
            for (offset, (key, _)) in topic.iter().enumerate() {
                newest.insert(key, offset);
            }
            let items = newest.iter().filter(|(_, at)| !topic[**at].1.is_empty());
            let items = items.map(|(key, at)| {
                format!(
                    r#"{{"key":"{key}","value":"{}","offset":{at}}}"#,
                    base64(&topic[*at].1)
                )
            });
            let items: Vec<String> = items.collect();
            let body = format!(
                r#"{{"items":[{}],"has_more":false,"end":{}}}"#,
                items.join(","),
                topic.len()
            );
            drop(topics);
            conn.write(&http::response(
                200,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            ))
        }
        "/wigeonshelf/log-read" => {
            let from: usize = request
                .query("from")
                .and_then(|f| f.parse().ok())
                .unwrap_or(0);
            let wait: u64 = request
                .query("wait_ms")
                .and_then(|w| w.parse().ok())
                .unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let mut guard = topics.lock().unwrap();
            loop {
                let end = guard.get(&name).map_or(0, Vec::len);
                let left = until.saturating_duration_since(Instant::now());
                if end > from || left.is_zero() {
                    break;
                }
                guard = changed.wait_timeout(guard, left).unwrap().0;
            }
            let empty = Topic::new();
            let topic = guard.get(&name).unwrap_or(&empty);
            let mut body = Vec::new();
            body.extend_from_slice(&(topic.len() as u64).to_be_bytes());
            body.extend_from_slice(&0u64.to_be_bytes());
            for (key, value) in topic.iter().skip(from) {
                let len = 1 + key.len() + value.len();
                body.extend_from_slice(&(len as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key.as_bytes());
                body.extend_from_slice(value);
            }
            drop(guard);
            conn.write(&http::response(200, "", &body))
        }
        _ => conn.write(&http::response(404, "", b"")),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            chunk.iter().fold(0u32, |g, b| g << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            text.push(match place <= chunk.len() {
                true => char::from(DIGITS[(group >> (18 - 6 * place) & 63) as usize]),
                false => '=',
            });
        }
    }
    text
}
