//! A caller of the router: requests node addresses, sends requests and reads answers.

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

/// Timeout for a response head, for a complete body, and for each piece of a streamed body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A chat completion request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The caller's team.
    pub team: Team,
    /// Model, followed by `:` and the adapter if there is one.
    pub model: String,
    /// Text of the user's message.
    pub message: String,
    /// Maximum number of completion tokens.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Additional HTTP headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Default for ChatRequest {
    fn default() -> Self {
        Self {
            team: KITCHENS,
            model: MODEL.to_owned(),
            message: "rewrite the weekly menu".to_owned(),
            max_tokens: 16,
            seed: 1,
            stream: true,
            headers: Vec::new(),
        }
    }
}

impl ChatRequest {
    /// Creates a request with this message and default values.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            ..Self::default()
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the JSON body.
    pub fn body(&self) -> String {
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.message}],
            "max_tokens": self.max_tokens,
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
    /// Outcome of the request, from the header, the error or the last event.
    pub outcome: Option<String>,
    /// Error code, if the answer is an error.
    pub error: Option<String>,
    /// Reason why generation ended.
    pub finish_reason: Option<String>,
    /// Whether the `[DONE]` event of a stream, or the complete JSON body, was received.
    pub done: bool,
    /// Whether the body ended with an error or timed out before its end.
    pub broken: bool,
    /// Time from sending the request to each piece of text.
    pub times: Vec<Duration>,
    /// The body of an answer that is not streamed.
    pub body: Bytes,
}

impl Answer {
    /// Returns whether the outcome says that the answer is complete and it was received to its end.
    pub fn complete(&self) -> bool {
        self.outcome.as_deref() == Some("complete") && self.done && !self.broken
    }

    /// Returns whether the outcome says that the request was not run.
    pub fn not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    /// Returns whether the outcome says that the request may have run.
    pub fn unknown(&self) -> bool {
        self.outcome.as_deref() == Some("unknown")
    }

    /// Returns the retry-after delay in seconds, if the answer has one.
    pub fn retry_after(&self) -> Option<u64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

/// A caller with its own connection pool.
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
    /// Creates a caller that uses HTTP/1.1.
    pub fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client }
    }

    /// Creates a caller that uses HTTP/2.
    pub fn http2() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        let client = builder.http2_only(true).build_http();
        Self { client }
    }

    /// Sends a request and returns the response with its body unread.
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
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, self.client.request(request));
        Ok(answer.await??)
    }

    /// Sends a request and reads the complete response.
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
        let body = tokio::time::timeout(RESPONSE_TIMEOUT, body.collect()).await??;
        Ok((parts.status, parts.headers, body.to_bytes()))
    }

    /// Sends a chat completion request and returns the response with its body unread.
    pub async fn open(
        &self,
        addr: SocketAddr,
        request: &ChatRequest,
    ) -> Result<Response<Incoming>> {
        let mut headers = vec![
            ("authorization", format!("Bearer {}", request.team.key)),
            ("content-type", "application/json".to_owned()),
        ];
        headers.extend(request.headers.iter().map(|(n, v)| (*n, v.clone())));
        let path = "/v1/chat/completions";
        self.send(addr, Method::POST, path, &headers, request.body())
            .await
    }

    /// Sends a chat completion request and reads its answer to the end.
    pub async fn chat(&self, addr: SocketAddr, request: &ChatRequest) -> Result<Answer> {
        let start = Instant::now();
        let response = self.open(addr, request).await?;
        Ok(read(response, start).await)
    }
}

/// Reads an answer to its end. `start` is the time at which the request was sent.
pub async fn read(response: Response<Incoming>, start: Instant) -> Answer {
    let (parts, body) = response.into_parts();
    let mut answer = Answer {
        status: parts.status,
        outcome: header(&parts.headers, "x-wigeonshelf-outcome"),
        headers: parts.headers,
        text: String::new(),
        error: None,
        finish_reason: None,
        done: false,
        broken: false,
        times: Vec::new(),
        body: Bytes::new(),
    };
    let kind = header(&answer.headers, "content-type").unwrap_or_default();
    if kind.starts_with("text/event-stream") {
        read_stream(&mut answer, body, start).await;
    } else {
        read_json(&mut answer, body, start).await;
    }
    answer
}

async fn read_stream(answer: &mut Answer, body: Incoming, start: Instant) {
    let mut reader = Reader::default();
    let mut body = body.into_data_stream();
    loop {
        match tokio::time::timeout(RESPONSE_TIMEOUT, body.next()).await {
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
    answer.finish_reason = reader.finish_reason;
    answer.error = reader.error;
    answer.done = reader.done;
    answer.outcome = reader.outcome.or(answer.outcome.take());
}

async fn read_json(answer: &mut Answer, body: Incoming, start: Instant) {
    let Ok(Ok(collected)) = tokio::time::timeout(RESPONSE_TIMEOUT, body.collect()).await else {
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
    answer.finish_reason = text("/choices/0/finish_reason");
    let content = text("/choices/0/message/content").or(text("/choices/0/text"));
    answer.done = content.is_some();
    answer.text = content.unwrap_or_default();
    answer.times.push(start.elapsed());
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Entry nodes that a node offers to callers.
#[derive(Debug, serde::Deserialize)]
pub struct Addresses {
    /// Time for which callers may use the answer, in seconds.
    pub ttl_seconds: u64,
    /// The nodes, in order of preference.
    pub addresses: Vec<Address>,
}

/// One entry node.
#[derive(Debug, serde::Deserialize)]
pub struct Address {
    /// Base URL.
    pub url: String,
    /// Availability zone.
    pub zone: String,
}

impl Address {
    /// Parses the socket address from the URL.
    pub fn addr(&self) -> Result<SocketAddr> {
        let text = self.url.trim_start_matches("http://");
        Ok(text.trim_start_matches("https://").parse()?)
    }
}

/// Requests the addresses of entry nodes from a node.
pub async fn addresses(addr: SocketAddr) -> Result<Addresses> {
    get(addr, "/v1/addresses").await
}

/// Requests a node's status from its admin listener.
pub async fn status(admin: SocketAddr) -> Result<Status> {
    get(admin, "/admin/v1/status").await
}

/// Sends a GET request and decodes the JSON response. Returns an error for any status but success.
pub async fn get<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T> {
    let caller = Caller::new();
    let (status, _, body) = caller.call(addr, Method::GET, path, &[], "").await?;
    if !status.is_success() {
        return Err(eyre!("{path} answered {status}"));
    }
    Ok(serde_json::from_slice(&body)?)
}
