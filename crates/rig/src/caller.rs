//! A caller: asks for an address, sends requests, reads answers.

use crate::plan::{KITCHENS, MODEL, Team};
use crate::sse::Reader;
use bytes::Bytes;
use entry::admin::Status;
use eyre::{Result, eyre};
use futures::StreamExt;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for one answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What is asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The caller's team.
    pub team: Team,
    /// Model, with the adapter if any.
    pub model: String,
    /// Text of the user's message.
    pub message: String,
    /// Most tokens.
    pub most: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            team: KITCHENS,
            model: MODEL.to_owned(),
            message: "rewrite the weekly menu".to_owned(),
            most: 16,
            seed: 1,
            stream: true,
            headers: Vec::new(),
        }
    }
}

impl Ask {
    /// An ask with this message.
    pub fn of(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            ..Self::default()
        }
    }

    /// The same with one more header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The body that is sent.
    pub fn body(&self) -> String {
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.message}],
            "max_tokens": self.most,
            "seed": self.seed,
            "stream": self.stream,
        })
        .to_string()
    }
}

/// An answer as the caller sees it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Text of the answer.
    pub text: String,
    /// Outcome, from the header, the error or the last event.
    pub outcome: Option<String>,
    /// Code of the error.
    pub error: Option<String>,
    /// Why the answer ended.
    pub finish: Option<String>,
    /// Whether the end mark of a stream came, or the whole JSON.
    pub done: bool,
    /// Whether the body was broken off.
    pub broken: bool,
    /// Time from sending to each piece of text.
    pub times: Vec<Duration>,
    /// The body of an answer that is not streamed.
    pub body: Bytes,
}

impl Answer {
    /// Whether the caller was told that the answer is whole.
    pub fn complete(&self) -> bool {
        self.outcome.as_deref() == Some("complete") && self.done && !self.broken
    }

    /// Whether the caller was told that the request was not run.
    pub fn not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    /// Whether the caller was told that it may have run.
    pub fn unknown(&self) -> bool {
        self.outcome.as_deref() == Some("unknown")
    }

    /// Seconds to wait, if told.
    pub fn retry_after(&self) -> Option<u64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

/// A caller with connections of its own.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// A caller that speaks HTTP/1.1.
    pub fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client }
    }

    /// A caller that speaks HTTP/2.
    pub fn http2() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        let client = builder.http2_only(true).build_http();
        Self { client }
    }

    /// Sends a request; the body of the answer is still to be read.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body.into()))?;
        let answer = tokio::time::timeout(PATIENCE, self.client.request(request));
        Ok(answer.await??)
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, HeaderMap, Bytes)> {
        let response = self.send(addr, method, path, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = tokio::time::timeout(PATIENCE, body.collect()).await??;
        Ok((parts.status, parts.headers, body.to_bytes()))
    }

    /// Opens a chat completion.
    pub async fn open(&self, addr: SocketAddr, ask: &Ask) -> Result<Response<Incoming>> {
        let mut headers = vec![
            ("authorization", format!("Bearer {}", ask.team.key)),
            ("content-type", "application/json".to_owned()),
        ];
        headers.extend(ask.headers.iter().map(|(n, v)| (*n, v.clone())));
        let path = "/v1/chat/completions";
        self.send(addr, Method::POST, path, &headers, ask.body())
            .await
    }

    /// Sends a chat completion and reads its answer to the end.
    pub async fn chat(&self, addr: SocketAddr, ask: &Ask) -> Result<Answer> {
        let start = Instant::now();
        let response = self.open(addr, ask).await?;
        Ok(read(response, start).await)
    }
}

/// Reads an answer to its end.
pub async fn read(response: Response<Incoming>, start: Instant) -> Answer {
    let (parts, body) = response.into_parts();
    let mut answer = Answer {
        status: parts.status,
        outcome: header(&parts.headers, "x-wigeonshelf-outcome"),
        headers: parts.headers,
        text: String::new(),
        error: None,
        finish: None,
        done: false,
        broken: false,
        times: Vec::new(),
        body: Bytes::new(),
    };
    let kind = header(&answer.headers, "content-type").unwrap_or_default();
    if kind.starts_with("text/event-stream") {
        stream(&mut answer, body, start).await;
    } else {
        whole(&mut answer, body, start).await;
    }
    answer
}

async fn stream(answer: &mut Answer, body: Incoming, start: Instant) {
    let mut reader = Reader::default();
    let mut body = body.into_data_stream();
    loop {
        match tokio::time::timeout(PATIENCE, body.next()).await {
            Ok(Some(Ok(bytes))) => {
                let before = reader.pieces;
                reader.push(&bytes);
                let new = reader.pieces - before;
                answer
                    .times
                    .extend(std::iter::repeat_n(start.elapsed(), new));
            }
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => {
                answer.broken = true;
                break;
            }
        }
    }
    answer.text = reader.text;
    answer.finish = reader.finish;
    answer.error = reader.error;
    answer.done = reader.done;
    answer.outcome = reader.outcome.or(answer.outcome.take());
}

async fn whole(answer: &mut Answer, body: Incoming, start: Instant) {
    let Ok(Ok(collected)) = tokio::time::timeout(PATIENCE, body.collect()).await else {
        answer.broken = true;
        return;
    };
    answer.body = collected.to_bytes();
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let text = |path: &str| {
        value
            .pointer(path)
            .and_then(Value::as_str)
            .map(str::to_owned)
    };
    answer.error = text("/error/code");
    answer.outcome = text("/error/outcome").or(answer.outcome.take());
    answer.finish = text("/choices/0/finish_reason");
    let content = text("/choices/0/message/content").or(text("/choices/0/text"));
    answer.done = content.is_some();
    answer.text = content.unwrap_or_default();
    answer.times.push(start.elapsed());
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Entry nodes that a node names.
#[derive(Debug, serde::Deserialize)]
pub struct Addresses {
    /// How long to keep the answer.
    pub ttl_seconds: u64,
    /// The nodes, best first.
    pub addresses: Vec<Line>,
}

/// One entry node.
#[derive(Debug, serde::Deserialize)]
pub struct Line {
    /// Base URL.
    pub url: String,
    /// Availability zone.
    pub zone: String,
}

impl Line {
    /// Its socket address.
    pub fn addr(&self) -> Result<SocketAddr> {
        let text = self.url.trim_start_matches("http://");
        Ok(text.trim_start_matches("https://").parse()?)
    }
}

/// Asks a node which addresses to use.
pub async fn addresses(addr: SocketAddr) -> Result<Addresses> {
    get(addr, "/v1/addresses").await
}

/// Asks a node's admin listener for its state.
pub async fn status(admin: SocketAddr) -> Result<Status> {
    get(admin, "/admin/v1/status").await
}

/// Gets a JSON value.
pub async fn get<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T> {
    let caller = Caller::new();
    let (status, _, body) = caller.call(addr, Method::GET, path, &[], "").await?;
    if !status.is_success() {
        return Err(eyre!("{path} answered {status}"));
    }
    Ok(serde_json::from_slice(&body)?)
}
