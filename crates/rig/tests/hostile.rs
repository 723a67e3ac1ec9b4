//! Callers that exceed limits of size, time, connections or rate, or send invalid requests.
//!
//! Each test ends with a valid request on a new connection, which the node must still answer.

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rig::caller::{Answer, Caller, ChatRequest};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{DUTY, KITCHENS, LOOKUP, MODEL, Plan, Stage, Team};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for the node to close a connection. The limits set below are far shorter.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Settings with small limits, so that the tests reach them quickly.
const LIMITS: &str = "connections = 12\nstreams = 4\nhead_bytes = 8192\nbody_bytes = 4096\n\
                      head_time = 1s\nbody_time = 1s\nidle_time = 2s\n";
/// Maximum memory growth of the process under a flood, in KiB. The tests of this file share the
/// process.
const MAX_GROWTH_KIB: u64 = 256 << 10;

fn plan() -> Plan {
    Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        services: 1,
        callers: LIMITS.to_owned(),
        ..Plan::default()
    }
}

async fn single() -> Fleet {
    Fleet::start(plan()).await.expect("fleet")
}

fn addr(fleet: &Fleet) -> SocketAddr {
    fleet.node(0).callers
}

/// Checks that the node answers a valid request, at the latest once it can accept another
/// connection.
async fn still_answers(fleet: &Fleet) {
    let request = ChatRequest::new("flag the sesame");
    wait("a good answer", || async {
        let answer = Caller::new().chat(addr(fleet), &request).await;
        answer.is_ok_and(|a| a.complete() && a.text == expect::text(&fleet.plan, &request))
    })
    .await
    .expect("the node answers");
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(addr(fleet)).await.expect("connected")
}

/// Reads until the node closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut bytes));
    // A reset also counts as closed.
    let _ = read.await.expect("the node closes the connection");
    bytes
}

/// Sends one byte every 50 ms until the node has closed the connection.
async fn write_until_closed(stream: &mut TcpStream) {
    let end = tokio::time::Instant::now() + CLOSE_TIMEOUT;
    while stream.write_all(b"G").await.is_ok() {
        assert!(
            tokio::time::Instant::now() < end,
            "the node did not close the connection"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends `bytes` and reads until the node closes the connection.
async fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = connect(fleet).await;
    let _ = stream.write_all(bytes).await;
    String::from_utf8_lossy(&read_to_close(&mut stream).await).into_owned()
}

/// Returns the head of a chat completion request with additional header lines.
fn head(lines: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{lines}\r\n",
        KITCHENS.key
    )
}

/// Returns whether `answer` is an error with this status and code and the outcome "not run".
fn is_error(answer: &str, status: u16, code: &str) -> bool {
    let starts = answer.starts_with(&format!("HTTP/1.1 {status} "));
    starts && answer.contains(&format!("\"code\":\"{code}\"")) && answer.contains("\"not-run\"")
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).expect("a number")
}

// A body over the limit is refused with 413, whether its length is declared or it is sent in
// chunks.
#[tokio::test(flavor = "multi_thread")]
async fn body_over_the_limit_is_refused() {
    let fleet = single().await;
    let declared = exchange(&fleet, head("content-length: 4097\r\n").as_bytes()).await;
    assert!(is_error(&declared, 413, "body_too_large"), "{declared}");
    let huge = exchange(
        &fleet,
        head("content-length: 18446744073709551615\r\n").as_bytes(),
    )
    .await;
    assert!(huge.starts_with("HTTP/1.1 4"), "{huge}");
    let mut chunked = head("transfer-encoding: chunked\r\n");
    for _ in 0..5 {
        chunked.push_str(&format!("400\r\n{}\r\n", "x".repeat(0x400)));
    }
    let chunked = exchange(&fleet, chunked.as_bytes()).await;
    assert!(is_error(&chunked, 413, "body_too_large"), "{chunked}");
    still_answers(&fleet).await;
}

// A wrong, invalid or repeated content length leads to an error or a closed connection, never to an
// unbounded wait.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_content_length_is_refused() {
    let fleet = single().await;
    let body = ChatRequest::new("a").body();
    let lengths = [
        format!("content-length: {}\r\n", body.len() + 50),
        "content-length: -1\r\n".to_owned(),
        "content-length: 5\r\ncontent-length: 6\r\n".to_owned(),
        "content-length: many\r\n".to_owned(),
    ];
    for length in lengths {
        let answer = exchange(&fleet, format!("{}{body}", head(&length)).as_bytes()).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{length}: {answer}"
        );
    }
    let short = format!("{}{body}", head("content-length: 5\r\n"));
    let answer = exchange(&fleet, short.as_bytes()).await;
    assert!(is_error(&answer, 400, "invalid_json"), "{answer}");
    still_answers(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head_over_the_limit_is_refused() {
    let fleet = single().await;
    let long = format!("x-long: {}\r\n", "x".repeat(100_000));
    let answer = exchange(&fleet, head(&long).as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431 "),
        "{answer}"
    );
    let many = "x-many: 1\r\n".repeat(500);
    let answer = exchange(&fleet, head(&many).as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431 "),
        "{answer}"
    );
    still_answers(&fleet).await;
}

// Connections that send nothing, or one byte at a time, are closed after the head timeout;
// otherwise a few such callers would use up all connections.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_are_closed() {
    let fleet = single().await;
    let mut silent = connect(&fleet).await;
    let mut half = connect(&fleet).await;
    half.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:")
        .await
        .expect("sent");
    let mut preface = connect(&fleet).await;
    preface
        .write_all(b"PRI * HTTP/2.0\r\n")
        .await
        .expect("sent");
    let mut slow = connect(&fleet).await;
    tokio::join!(
        read_to_close(&mut silent),
        read_to_close(&mut half),
        read_to_close(&mut preface),
        write_until_closed(&mut slow)
    );
    still_answers(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_gets_408() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    let start = head("content-length: 100\r\n") + "{";
    stream.write_all(start.as_bytes()).await.expect("sent");
    let answer = String::from_utf8_lossy(&read_to_close(&mut stream).await).into_owned();
    assert!(is_error(&answer, 408, "slow_body"), "{answer}");
    still_answers(&fleet).await;
}

// A connection without a request is closed after the idle timeout.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_closed() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    let request = b"GET /v1/addresses HTTP/1.1\r\nhost: node\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let answer = String::from_utf8_lossy(&read_to_close(&mut stream).await).into_owned();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    still_answers(&fleet).await;
}

// Connections over the limit are closed at once, so that their callers use another node. Once the
// idle ones are closed, new connections are accepted again.
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_limited() {
    let fleet = single().await;
    let mut streams = Vec::new();
    for _ in 0..30 {
        streams.push(connect(&fleet).await);
    }
    let answers = futures::future::join_all(streams.iter_mut().map(read_to_close)).await;
    assert!(answers.iter().all(Vec::is_empty));
    let page = Caller::new()
        .call(fleet.node(0).admin, http::Method::GET, "/metrics", &[], "")
        .await;
    let page = String::from_utf8_lossy(&page.expect("page").2).into_owned();
    let refused = page
        .lines()
        .find(|l| l.starts_with("wigeonshelf_connections_refused"));
    assert!(refused.is_some_and(|l| !l.ends_with(" 0")), "{refused:?}");
    still_answers(&fleet).await;
}

async fn post(fleet: &Fleet, key: Option<&str>, path: &str, body: &str) -> (u16, String) {
    let mut headers = vec![("content-type", "application/json".to_owned())];
    headers.extend(key.map(|k| ("authorization", format!("Bearer {k}"))));
    let body = body.to_owned();
    let answer = Caller::new()
        .call(addr(fleet), http::Method::POST, path, &headers, body)
        .await;
    let (status, _, body) = answer.expect("answer");
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused() {
    let fleet = single().await;
    let chat = "/v1/chat/completions";
    let good = ChatRequest::new("a").body();
    let other = good.replace(MODEL, "none-such");
    let adapter = good.replace(MODEL, &format!("{MODEL}:none-such"));
    let deep = format!("{{\"model\":{}", "[".repeat(4000));
    let kitchens = Some(KITCHENS.key);
    let cases = [
        (None, chat, good.as_str(), 401, "invalid_api_key"),
        (Some("other"), chat, &good, 401, "invalid_api_key"),
        (None, "/services/lookup/a", "", 401, "invalid_api_key"),
        (None, "/v1/tickets", "", 401, "invalid_api_key"),
        (kitchens, chat, &other, 404, "model_not_found"),
        (kitchens, chat, &adapter, 404, "model_not_found"),
        (kitchens, chat, "{\"model\":", 400, "invalid_json"),
        (kitchens, chat, "", 400, "invalid_json"),
        (kitchens, chat, &deep, 400, "invalid_json"),
        (kitchens, "/v1/other", &good, 404, "unknown_path"),
        (kitchens, "/", &good, 404, "unknown_path"),
        (kitchens, "/services", "", 404, "unknown_path"),
        (
            kitchens,
            "/services/none-such/a",
            "",
            404,
            "service_not_found",
        ),
        (kitchens, "/v1/models", "", 405, "method_not_allowed"),
    ];
    for (key, path, body, status, code) in cases {
        let reply = post(&fleet, key, path, body).await;
        assert_eq!(reply.0, status, "{path}: {reply:?}");
        assert!(reply.1.contains(code), "{path}: {reply:?}");
    }
    still_answers(&fleet).await;
}

// Unsupported methods, known to the HTTP library or not, get errors of the same form as others.
#[tokio::test(flavor = "multi_thread")]
async fn unsupported_methods_are_refused() {
    let fleet = single().await;
    for method in ["PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"] {
        for (path, status, code) in [
            ("/v1/models", 405, "method_not_allowed"),
            ("/v1/chat/completions", 405, "method_not_allowed"),
            ("/v1/other", 404, "unknown_path"),
        ] {
            let request =
                format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
            let answer = exchange(&fleet, request.as_bytes()).await;
            assert!(is_error(&answer, status, code), "{method} {path}: {answer}");
        }
    }
    for target in ["BREW /v1/models", "PROPFIND /services/lookup/a"] {
        let request = format!("{target} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        let answer = exchange(&fleet, request.as_bytes()).await;
        assert!(
            is_error(&answer, 501, "unknown_method"),
            "{target}: {answer}"
        );
    }
    let request = b"OPTIONS * HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let answer = exchange(&fleet, request).await;
    assert!(is_error(&answer, 404, "unknown_path"), "{answer}");
    still_answers(&fleet).await;
}

// A team may not use a priority that only another team is allowed.
#[tokio::test(flavor = "multi_thread")]
async fn priority_of_another_team_is_refused() {
    let fleet = single().await;
    let alarm = |team: Team| ChatRequest {
        team,
        ..ChatRequest::new("a").header("x-wigeonshelf-priority", "alarm")
    };
    let caller = Caller::new();
    let refused = caller
        .chat(addr(&fleet), &alarm(KITCHENS))
        .await
        .expect("answer");
    assert_eq!(refused.status.as_u16(), 403);
    assert_eq!(refused.error.as_deref(), Some("priority_not_allowed"));
    assert!(refused.not_run());
    let allowed = caller
        .chat(addr(&fleet), &alarm(DUTY))
        .await
        .expect("answer");
    assert!(allowed.complete());
    still_answers(&fleet).await;
}

// Requests of a team over its limit get 429 with a retry-after delay and are not run. Its requests
// in flight are completed, and another team is served meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn team_over_its_limit_gets_a_retry_after_delay() {
    let limited = Team {
        name: "limited",
        key: "limited-key",
        in_flight: 2,
        ..KITCHENS
    };
    let stage = Stage {
        from: 0,
        to: 12,
        layer_time: Duration::from_millis(1),
    };
    let plan = Plan {
        stages: vec![stage],
        teams: vec![KITCHENS, limited.clone()],
        callers: String::new(),
        ..plan()
    };
    let fleet = Fleet::start(plan).await.expect("fleet");
    let request = |n: usize| ChatRequest {
        team: limited.clone(),
        ..ChatRequest::new(format!("menu {n}"))
    };
    let caller = Caller::http2();
    wait("the team's share reaches the node", || async {
        let answer = caller.chat(addr(&fleet), &request(0)).await;
        answer.is_ok_and(|a| a.complete())
    })
    .await
    .expect("a share");
    let requests: Vec<ChatRequest> = (0..30).map(request).collect();
    let pending: FuturesUnordered<_> = requests
        .iter()
        .map(|a| caller.chat(addr(&fleet), a))
        .collect();
    let answers: Vec<_> = pending.map(|a| a.expect("answer")).collect().await;
    let (complete, refused): (Vec<Answer>, Vec<Answer>) =
        answers.into_iter().partition(Answer::complete);
    assert!(
        !complete.is_empty() && !refused.is_empty(),
        "{} complete, {:?}",
        complete.len(),
        refused.first()
    );
    for answer in &refused {
        assert_eq!(answer.status.as_u16(), 429, "{answer:?}");
        assert_eq!(answer.error.as_deref(), Some("team_limit"));
        assert!(answer.not_run() && answer.retry_after().is_some_and(|s| s > 0));
    }
    still_answers(&fleet).await;
}

/// Encodes and decodes HTTP/2 frames. An HTTP/2 library would obey the limits that these tests
/// exceed.
mod http2 {
    pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    pub const HEADERS: u8 = 1;
    pub const RESET: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const CONTINUATION: u8 = 9;
    pub const END_STREAM: u8 = 1;
    pub const END_HEADERS: u8 = 4;
    /// Error code of a stream that was refused before any processing.
    pub const REFUSED: u32 = 7;

    /// Encodes a frame: length, kind, flags, stream, payload.
    pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        frame
    }

    /// Returns the preface and the settings frame that start a connection.
    pub fn start() -> Vec<u8> {
        [PREFACE.to_vec(), frame(SETTINGS, 0, 0, &[])].concat()
    }

    /// Encodes a header block without compression.
    pub fn block(method: &str, path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
        let fixed = [
            (":method", method),
            (":scheme", "http"),
            (":path", path),
            (":authority", "node"),
        ];
        let lines = fixed.iter().chain(headers);
        lines
            .flat_map(|(name, value)| literal(name, value))
            .collect()
    }

    /// Encodes a literal header field with a new name. Name and value must be shorter than 127
    /// bytes.
    fn literal(name: &str, value: &str) -> Vec<u8> {
        let parts = [name, value].map(|p| [&[p.len() as u8], p.as_bytes()].concat());
        [vec![0], parts.concat()].concat()
    }

    /// Returns kind, stream and first payload word of each frame in `bytes`.
    pub fn frames(mut bytes: &[u8]) -> Vec<(u8, u32, u32)> {
        let mut frames = Vec::new();
        while bytes.len() >= 9 {
            let length =
                usize::from(bytes[0]) << 16 | usize::from(bytes[1]) << 8 | usize::from(bytes[2]);
            let word = |at: usize| {
                bytes
                    .get(at..at + 4)
                    .map_or(0, |b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
            };
            frames.push((bytes[3], word(5), word(9)));
            bytes = bytes.get(9 + length..).unwrap_or_default();
        }
        frames
    }
}

// Streams over the advertised limit are refused. The earlier ones are not affected: they end on
// their own, here with the timeout of their bodies.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_limited() {
    let fleet = single().await;
    let bearer = format!("Bearer {}", KITCHENS.key);
    let block = http2::block(
        "POST",
        "/v1/chat/completions",
        &[("authorization", &bearer)],
    );
    let mut bytes = http2::start();
    for n in 0..10 {
        bytes.extend(http2::frame(
            http2::HEADERS,
            http2::END_HEADERS,
            2 * n + 1,
            &block,
        ));
    }
    let mut stream = connect(&fleet).await;
    stream.write_all(&bytes).await.expect("sent");
    let frames = http2::frames(&read_to_close(&mut stream).await);
    let refused = frames
        .iter()
        .filter(|(kind, _, code)| (*kind, *code) == (http2::RESET, http2::REFUSED));
    let refused: Vec<u32> = refused.map(|(_, stream, _)| *stream).collect();
    assert_eq!(refused, [9, 11, 13, 15, 17, 19], "{frames:?}");
    let answered = frames.iter().filter(|(kind, ..)| *kind == http2::HEADERS);
    let answered: Vec<u32> = answered.map(|(_, stream, _)| *stream).collect();
    assert_eq!(answered.len(), 4, "{frames:?}");
    still_answers(&fleet).await;
}

// Streams that are opened and reset at once cost the caller nothing but the node one request each.
// The node closes the connection, and its memory stays bounded.
#[tokio::test(flavor = "multi_thread")]
async fn reset_flood_is_closed() {
    let fleet = single().await;
    still_answers(&fleet).await;
    let before = resident_kib();
    let bearer = format!("Bearer {}", KITCHENS.key);
    let block = http2::block(
        "POST",
        "/v1/chat/completions",
        &[("authorization", &bearer)],
    );
    for _ in 0..4 {
        let mut bytes = http2::start();
        for n in 0..20_000 {
            bytes.extend(http2::frame(
                http2::HEADERS,
                http2::END_HEADERS,
                2 * n + 1,
                &block,
            ));
            bytes.extend(http2::frame(
                http2::RESET,
                0,
                2 * n + 1,
                &8_u32.to_be_bytes(),
            ));
        }
        exchange(&fleet, &bytes).await;
    }
    assert!(
        resident_kib() < before + MAX_GROWTH_KIB,
        "{} of {before}",
        resident_kib()
    );
    still_answers(&fleet).await;
}

// A head that continues over many frames is not buffered without limit.
#[tokio::test(flavor = "multi_thread")]
async fn endless_head_is_closed() {
    let fleet = single().await;
    still_answers(&fleet).await;
    let before = resident_kib();
    let block = http2::block("GET", "/v1/models", &[("x-more", &"x".repeat(100))]);
    let mut bytes = http2::start();
    bytes.extend(http2::frame(http2::HEADERS, http2::END_STREAM, 1, &block));
    for _ in 0..50_000 {
        bytes.extend(http2::frame(
            http2::CONTINUATION,
            0,
            1,
            &block[block.len() - 100..],
        ));
    }
    exchange(&fleet, &bytes).await;
    assert!(
        resident_kib() < before + MAX_GROWTH_KIB,
        "{} of {before}",
        resident_kib()
    );
    still_answers(&fleet).await;
}

// The connection of a caller that does not read its answer is closed after the idle timeout. It
// would stay open forever otherwise, since a request is in flight until its last byte is sent.
#[tokio::test(flavor = "multi_thread")]
async fn connection_of_a_caller_that_does_not_read_is_closed() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    // Sends requests on one connection until the node can't write any more and so stops reading.
    let request = b"GET /v1/addresses HTTP/1.1\r\nhost: node\r\n\r\n".repeat(1000);
    let end = tokio::time::Instant::now() + CLOSE_TIMEOUT;
    loop {
        let sent = tokio::time::timeout_at(end, stream.write_all(&request)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(_)) => break,
            Err(_) => panic!("the node did not close the connection"),
        }
    }
    still_answers(&fleet).await;
}

// The same with one long answer. The buffers of kernel and node are bounded, so the node can't send
// any more and waits for the caller, and the plain service waits for the node.
#[tokio::test(flavor = "multi_thread")]
async fn connection_with_a_long_unread_answer_is_closed() {
    let mut fleet = Fleet::start_standins(plan()).await.expect("stand-ins");
    let lookup = fleet.services.iter_mut().find(|s| s.service == LOOKUP);
    let config = standin::service::Config {
        pieces: 64,
        piece_bytes: 1 << 20,
        ..standin::service::Config::default()
    };
    let handle = standin::service::Service::start(config).await;
    lookup.expect("a service").handle = handle.expect("a service");
    fleet.start_node(0).expect("node");
    fleet.update_instance_list();
    fleet.publish(&fleet.text()).await.expect("published");
    fleet.wait_until_settled().await.expect("in force");
    let before = resident_kib();
    let mut stream = connect(&fleet).await;
    let request = format!(
        "GET /services/lookup/a HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\r\n",
        KITCHENS.key
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    write_until_closed(&mut stream).await;
    assert!(
        resident_kib() < before + MAX_GROWTH_KIB,
        "{} of {before}",
        resident_kib()
    );
    still_answers(&fleet).await;
}

// Bytes that are not valid HTTP, and valid requests with some bytes replaced, lead to an answer or
// a closed connection.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_is_answered_or_closed() {
    use rand::{Rng, RngExt, SeedableRng};
    let fleet = single().await;
    let good = format!(
        "{}{}",
        head("content-length: 120\r\n"),
        ChatRequest::new("a").body()
    );
    for seed in 0..60 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = match seed % 3 {
            0 => vec![0; 300],
            1 => good.clone().into_bytes(),
            _ => [http2::start(), vec![0; 300]].concat(),
        };
        let fixed = if seed % 3 == 2 {
            http2::start().len()
        } else {
            0
        };
        match seed % 3 {
            1 => {
                for _ in 0..4 {
                    let at = rng.random_range(0..bytes.len());
                    bytes[at] = rng.random();
                }
            }
            _ => rng.fill_bytes(&mut bytes[fixed..]),
        }
        let mut stream = connect(&fleet).await;
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        read_to_close(&mut stream).await;
    }
    still_answers(&fleet).await;
}
