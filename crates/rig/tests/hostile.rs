//! Callers that send too much, too slowly, too often, or what they may not.
//!
//! Each test ends with a good request on a new connection: the node still answers.

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

/// Longest time for the node to end a connection. The bounds set below are far shorter.
const PATIENCE: Duration = Duration::from_secs(20);
/// Small bounds, so that a test meets them soon.
const BOUNDS: &str = "connections = 12\nstreams = 4\nhead_bytes = 8192\nbody_bytes = 4096\n\
                      head_time = 1s\nbody_time = 1s\nidle_time = 2s\n";
/// How much the process may grow under a flood, in KiB. The tests of this file share the process.
const GROWTH: u64 = 256 << 10;

fn plan() -> Plan {
    Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        services: 1,
        callers: BOUNDS.to_owned(),
        ..Plan::default()
    }
}

async fn single() -> Fleet {
    Fleet::start(plan()).await.expect("fleet")
}

fn addr(fleet: &Fleet) -> SocketAddr {
    fleet.node(0).callers
}

/// The node answers a good request, if not at once then as soon as it has room for a connection.
async fn still_answers(fleet: &Fleet) {
    let ask = ChatRequest::new("flag the sesame");
    wait("a good answer", || async {
        let answer = Caller::new().chat(addr(fleet), &ask).await;
        answer.is_ok_and(|a| a.complete() && a.text == expect::text(&fleet.plan, &ask))
    })
    .await
    .expect("the node answers");
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(addr(fleet)).await.expect("connected")
}

/// What comes until the node ends the connection.
async fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut bytes));
    // A reset is an end too.
    let _ = read.await.expect("the node ends the connection");
    bytes
}

/// Sends a byte now and then until the node has ended the connection.
async fn until_broken(stream: &mut TcpStream) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while stream.write_all(b"G").await.is_ok() {
        assert!(tokio::time::Instant::now() < end, "the connection is kept");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends `bytes`, reads until the node ends the connection.
async fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = connect(fleet).await;
    let _ = stream.write_all(bytes).await;
    String::from_utf8_lossy(&rest(&mut stream).await).into_owned()
}

/// The head of a chat completion, with more lines and without a body.
fn head(lines: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{lines}\r\n",
        KITCHENS.key
    )
}

fn is(answer: &str, status: u16, code: &str) -> bool {
    let starts = answer.starts_with(&format!("HTTP/1.1 {status} "));
    starts && answer.contains(&format!("\"code\":\"{code}\"")) && answer.contains("\"not-run\"")
}

/// Memory of this process, in KiB.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).expect("a number")
}

// The caller is told 413 before it has sent more than the bound, whatever it says of the length.
#[tokio::test(flavor = "multi_thread")]
async fn body_over_the_bound_is_refused() {
    let fleet = single().await;
    let declared = exchange(&fleet, head("content-length: 4097\r\n").as_bytes()).await;
    assert!(is(&declared, 413, "body_too_large"), "{declared}");
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
    assert!(is(&chunked, 413, "body_too_large"), "{chunked}");
    still_answers(&fleet).await;
}

// A length that is a lie, or said twice, gets an error or an end, never a wait without end.
#[tokio::test(flavor = "multi_thread")]
async fn lies_about_the_length_do_no_harm() {
    let fleet = single().await;
    let body = ChatRequest::new("a").body();
    let lies = [
        format!("content-length: {}\r\n", body.len() + 50),
        "content-length: -1\r\n".to_owned(),
        "content-length: 5\r\ncontent-length: 6\r\n".to_owned(),
        "content-length: many\r\n".to_owned(),
    ];
    for lie in lies {
        let answer = exchange(&fleet, format!("{}{body}", head(&lie)).as_bytes()).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{lie}: {answer}"
        );
    }
    let short = format!("{}{body}", head("content-length: 5\r\n"));
    let answer = exchange(&fleet, short.as_bytes()).await;
    assert!(is(&answer, 400, "invalid_json"), "{answer}");
    still_answers(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head_over_the_bound_is_refused() {
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

// Callers that connect and say nothing, or a byte at a time, are let go after the time of a head;
// otherwise a few of them would take up all connections.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_are_let_go() {
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
        rest(&mut silent),
        rest(&mut half),
        rest(&mut preface),
        until_broken(&mut slow)
    );
    still_answers(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_told_408() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    let start = head("content-length: 100\r\n") + "{";
    stream.write_all(start.as_bytes()).await.expect("sent");
    let answer = String::from_utf8_lossy(&rest(&mut stream).await).into_owned();
    assert!(is(&answer, 408, "slow_body"), "{answer}");
    still_answers(&fleet).await;
}

// A caller that keeps its connection without a request is let go after the idle time.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_let_go() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    let request = b"GET /v1/addresses HTTP/1.1\r\nhost: node\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let answer = String::from_utf8_lossy(&rest(&mut stream).await).into_owned();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    still_answers(&fleet).await;
}

// One connection more than the bound is closed at once, so that its caller goes elsewhere. Once the
// silent ones are let go there is room again.
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_bounded() {
    let fleet = single().await;
    let mut held = Vec::new();
    for _ in 0..30 {
        held.push(connect(&fleet).await);
    }
    let answers = futures::future::join_all(held.iter_mut().map(rest)).await;
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
async fn what_may_not_be_is_refused() {
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
        let told = post(&fleet, key, path, body).await;
        assert_eq!(told.0, status, "{path}: {told:?}");
        assert!(told.1.contains(code), "{path}: {told:?}");
    }
    still_answers(&fleet).await;
}

// Methods that nothing takes, known to the HTTP library or not, get an answer in the same shape.
#[tokio::test(flavor = "multi_thread")]
async fn other_methods_are_told_so() {
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
            assert!(is(&answer, status, code), "{method} {path}: {answer}");
        }
    }
    for target in ["BREW /v1/models", "PROPFIND /services/lookup/a"] {
        let request = format!("{target} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        let answer = exchange(&fleet, request.as_bytes()).await;
        assert!(is(&answer, 501, "unknown_method"), "{target}: {answer}");
    }
    let request = b"OPTIONS * HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let answer = exchange(&fleet, request).await;
    assert!(is(&answer, 404, "unknown_path"), "{answer}");
    still_answers(&fleet).await;
}

// A team may not use what only another team's key opens.
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

// A team over its limit is told 429 and when to come back, and its requests have not run; what it
// has in flight goes on, and another team is served meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn team_at_its_limit_is_told_when_to_come_back() {
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
    let ask = |n: usize| ChatRequest {
        team: limited.clone(),
        ..ChatRequest::new(format!("menu {n}"))
    };
    let caller = Caller::http2();
    wait("the team's share reaches the node", || async {
        let answer = caller.chat(addr(&fleet), &ask(0)).await;
        answer.is_ok_and(|a| a.complete())
    })
    .await
    .expect("a share");
    let asks: Vec<ChatRequest> = (0..30).map(ask).collect();
    let asked: FuturesUnordered<_> = asks.iter().map(|a| caller.chat(addr(&fleet), a)).collect();
    let answers: Vec<_> = asked.map(|a| a.expect("answer")).collect().await;
    let (whole, refused): (Vec<Answer>, Vec<Answer>) =
        answers.into_iter().partition(Answer::complete);
    assert!(
        !whole.is_empty() && !refused.is_empty(),
        "{} whole, {:?}",
        whole.len(),
        refused.first()
    );
    for answer in &refused {
        assert_eq!(answer.status.as_u16(), 429, "{answer:?}");
        assert_eq!(answer.error.as_deref(), Some("team_limit"));
        assert!(answer.not_run() && answer.retry_after().is_some_and(|s| s > 0));
    }
    still_answers(&fleet).await;
}

/// Frames of HTTP/2, by hand: a library would keep the bounds that are to be broken here.
mod http2 {
    pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    pub const HEADERS: u8 = 1;
    pub const RESET: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const CONTINUATION: u8 = 9;
    pub const END_STREAM: u8 = 1;
    pub const END_HEADERS: u8 = 4;
    /// Code of a stream that was refused before any work.
    pub const REFUSED: u32 = 7;

    /// A frame: length, kind, flags, stream, payload.
    pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        frame
    }

    /// A connection's start.
    pub fn start() -> Vec<u8> {
        [PREFACE.to_vec(), frame(SETTINGS, 0, 0, &[])].concat()
    }

    /// A header block without compression.
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

    /// A literal line with a new name; both are shorter than 127 bytes.
    fn literal(name: &str, value: &str) -> Vec<u8> {
        let parts = [name, value].map(|p| [&[p.len() as u8], p.as_bytes()].concat());
        [vec![0], parts.concat()].concat()
    }

    /// Kinds, streams and first payload words of the frames in `bytes`.
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

// A caller that opens more streams than it was told it may has the further ones refused, and the
// earlier ones are left alone: they end by themselves, here by their slow bodies.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_bounded() {
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
    let frames = http2::frames(&rest(&mut stream).await);
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

// Streams that are opened and reset at once cost their caller nothing and the node a request each.
// The node ends the connection, and its memory stays bounded.
#[tokio::test(flavor = "multi_thread")]
async fn reset_flood_is_ended() {
    let fleet = single().await;
    still_answers(&fleet).await;
    let before = memory();
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
    assert!(memory() < before + GROWTH, "{} of {before}", memory());
    still_answers(&fleet).await;
}

// A head that goes on in frame after frame is not gathered without end.
#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_ended() {
    let fleet = single().await;
    still_answers(&fleet).await;
    let before = memory();
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
    assert!(memory() < before + GROWTH, "{} of {before}", memory());
    still_answers(&fleet).await;
}

// A caller that reads nothing of its answer is let go after the idle time: its connection would be
// taken for good otherwise, since its request counts as under way until its last byte is sent.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_does_not_read_is_let_go() {
    let fleet = single().await;
    let mut stream = connect(&fleet).await;
    // Requests in a row on one connection, until the node can write no more and so reads no more.
    let request = b"GET /v1/addresses HTTP/1.1\r\nhost: node\r\n\r\n".repeat(1000);
    let end = tokio::time::Instant::now() + PATIENCE;
    loop {
        let sent = tokio::time::timeout_at(end, stream.write_all(&request)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(_)) => break,
            Err(_) => panic!("the connection is kept"),
        }
    }
    still_answers(&fleet).await;
}

// The same, with one long answer: what the kernel and the node hold of it is bounded, so the node
// can send no more and waits for the caller, as the plain service waits for the node.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_an_answer_unread_is_let_go() {
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
    let before = memory();
    let mut stream = connect(&fleet).await;
    let request = format!(
        "GET /services/lookup/a HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\r\n",
        KITCHENS.key
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    until_broken(&mut stream).await;
    assert!(memory() < before + GROWTH, "{} of {before}", memory());
    still_answers(&fleet).await;
}

// Bytes that are no HTTP, and streams of good requests cut anywhere, end in an answer or a close.
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
        rest(&mut stream).await;
    }
    still_answers(&fleet).await;
}
