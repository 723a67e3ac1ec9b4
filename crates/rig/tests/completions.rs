//! Compatibility with clients of the chat-completion API: format of answers, events and errors.

use http::{HeaderMap, Method, StatusCode};
use rig::caller::{Caller, ChatRequest};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{ADAPTER, KITCHENS, MODEL, Plan};
use serde_json::{Value, json};
use standin::oracle;

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
/// Default maximum number of tokens of an answer.
const MAX_TOKENS: u32 = 12;

struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    text: String,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the events of a stream without `[DONE]`.
    fn events(&self) -> Vec<Value> {
        let events = self
            .text
            .strip_suffix("data: [DONE]\n\n")
            .expect("an end mark");
        let events = events
            .split_terminator("\n\n")
            .map(|e| e.strip_prefix("data: "));
        events
            .map(|e| serde_json::from_str(e.expect("data")).expect("JSON"))
            .collect()
    }
}

async fn single() -> Fleet {
    let plan = Plan {
        nodes: 1,
        zones: 1,
        replicas: 1,
        services: 1,
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

async fn call(fleet: &Fleet, method: Method, path: &str, body: &Value) -> Reply {
    let headers = [
        ("authorization", format!("Bearer {}", KITCHENS.key)),
        ("content-type", "application/json".to_owned()),
    ];
    let addr = fleet.node(0).callers;
    let body = match method == Method::GET {
        true => String::new(),
        false => body.to_string(),
    };
    let answer = Caller::new().call(addr, method, path, &headers, body).await;
    let (status, headers, body) = answer.expect("answer");
    Reply {
        status,
        headers,
        text: String::from_utf8(body.to_vec()).expect("text"),
    }
}

async fn post(fleet: &Fleet, path: &str, body: &Value) -> Reply {
    call(fleet, Method::POST, path, body).await
}

fn chat_request(message: &str) -> ChatRequest {
    ChatRequest {
        max_tokens: MAX_TOKENS,
        ..ChatRequest::new(message)
    }
}

fn chat(message: &str) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": message}],
        "max_tokens": MAX_TOKENS,
        "seed": 1,
    })
}

fn text(prompt: &str) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS, "seed": 1})
}

fn tokens(prompt: &str) -> Vec<String> {
    let question = oracle::Question {
        model: MODEL,
        version: rig::plan::VERSION,
        adapter: None,
        layers: Plan::default().layers,
        prompt: prompt.as_bytes(),
        seed: 1,
        max_tokens: MAX_TOKENS,
    };
    oracle::answer(&question)
        .into_iter()
        .map(|t| t.text)
        .collect()
}

fn is_id(text: Option<&str>) -> bool {
    text.is_some_and(|t| t.len() == 32 && t.bytes().all(|b| b.is_ascii_hexdigit()))
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answers_have_their_format_and_usage() {
    let fleet = single().await;
    let reply = post(&fleet, CHAT, &chat("flag the sesame")).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("content-type"), Some("application/json"));
    assert_eq!(reply.header("x-wigeonshelf-outcome"), Some("complete"));
    assert!(is_id(reply.header("x-request-id")));
    let value = reply.json();
    assert!(value["id"].as_str().expect("id").starts_with("chatcmpl-"));
    assert_eq!(value["object"], "chat.completion");
    assert!(value["created"].as_u64().expect("a time") > 1_700_000_000);
    assert_eq!(value["model"], MODEL);
    let choice = &value["choices"][0];
    assert_eq!(
        (&choice["index"], &choice["message"]["role"]),
        (&json!(0), &json!("assistant"))
    );
    assert_eq!(
        choice["message"]["content"],
        expect::text(&fleet.plan, &chat_request("flag the sesame"))
    );
    let prompt = "<|user|>\nflag the sesame\n<|assistant|>\n";
    let (prompted, made) = (
        oracle::prompt_tokens(prompt.as_bytes()),
        tokens(prompt).len() as u32,
    );
    let usage = json!({"prompt_tokens": prompted, "completion_tokens": made, "total_tokens": prompted + made});
    assert_eq!(value["usage"], usage);

    let reply = post(&fleet, TEXT, &text("once upon")).await;
    let value = reply.json();
    assert!(value["id"].as_str().expect("id").starts_with("cmpl-"));
    assert_eq!(value["object"], "text_completion");
    assert_eq!(value["choices"][0]["text"], tokens("once upon").concat());
    assert_eq!(
        value["usage"]["prompt_tokens"],
        oracle::prompt_tokens(b"once upon")
    );
}

/// Checks the properties that the events of both APIs have in common and returns their text, which
/// is at `text_at` in each event.
fn check_events(events: &[Value], object: &str, with_usage: bool, text_at: &str) -> String {
    let (usage, events) = match with_usage {
        true => {
            let (usage, events) = events.split_last().expect("events");
            (Some(usage), events)
        }
        false => (None, events),
    };
    if let Some(usage) = usage {
        assert_eq!(usage["choices"], json!([]));
        let sum = usage["usage"]["prompt_tokens"].as_u64().expect("tokens")
            + usage["usage"]["completion_tokens"]
                .as_u64()
                .expect("tokens");
        assert_eq!(usage["usage"]["total_tokens"], sum);
    }
    let (last, before) = events.split_last().expect("events");
    for event in before {
        assert_eq!(event["choices"][0]["finish_reason"], Value::Null);
        assert!(event.get("outcome").is_none() && event.get("usage").is_none());
    }
    let reason = last["choices"][0]["finish_reason"]
        .as_str()
        .expect("a reason");
    assert!(["stop", "length"].contains(&reason));
    assert_eq!(last["outcome"], "complete");
    for event in events.iter().chain(usage) {
        assert_eq!(
            (&event["object"], &event["model"]),
            (&json!(object), &json!(MODEL))
        );
        assert_eq!(
            (&event["id"], &event["created"]),
            (&events[0]["id"], &events[0]["created"])
        );
    }
    let texts = events.iter().filter_map(|e| e.pointer(text_at)?.as_str());
    texts.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_have_their_events() {
    let fleet = single().await;
    for with_usage in [true, false] {
        let mut body = chat("explain the swap");
        body["stream"] = json!(true);
        body["stream_options"] = json!({"include_usage": with_usage});
        let reply = post(&fleet, CHAT, &body).await;
        assert_eq!(reply.header("content-type"), Some("text/event-stream"));
        assert!(is_id(reply.header("x-request-id")));
        let events = reply.events();
        let first = &events[0]["choices"][0]["delta"];
        assert_eq!(*first, json!({"role": "assistant", "content": ""}));
        let given = check_events(
            &events,
            "chat.completion.chunk",
            with_usage,
            "/choices/0/delta/content",
        );
        assert_eq!(
            given,
            expect::text(&fleet.plan, &chat_request("explain the swap"))
        );

        let mut body = text("once upon");
        body["stream"] = json!(true);
        body["stream_options"] = json!({"include_usage": with_usage});
        let events = post(&fleet, TEXT, &body).await.events();
        let given = check_events(&events, "text_completion", with_usage, "/choices/0/text");
        assert_eq!(given, tokens("once upon").concat());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_stream_has_the_same_events() {
    let fleet = single().await;
    let mut body = chat("explain the swap");
    body["stream"] = json!(true);
    let headers = [
        ("authorization", format!("Bearer {}", KITCHENS.key)),
        ("x-wigeonshelf-whole", "true".to_owned()),
    ];
    let addr = fleet.node(0).callers;
    let answer = Caller::http2()
        .call(addr, Method::POST, CHAT, &headers, body.to_string())
        .await;
    let (status, headers, body) = answer.expect("answer");
    let reply = Reply {
        status,
        headers,
        text: String::from_utf8(body.to_vec()).expect("text"),
    };
    assert_eq!(reply.header("x-wigeonshelf-outcome"), Some("complete"));
    let given = check_events(
        &reply.events(),
        "chat.completion.chunk",
        false,
        "/choices/0/delta/content",
    );
    assert_eq!(
        given,
        expect::text(&fleet.plan, &chat_request("explain the swap"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_with_their_adapters() {
    let fleet = single().await;
    let reply = call(&fleet, Method::GET, "/v1/models", &Value::Null).await;
    assert!(is_id(reply.header("x-request-id")));
    let list = reply.json();
    assert_eq!(list["object"], "list");
    let ids: Vec<&Value> = list["data"]
        .as_array()
        .expect("data")
        .iter()
        .map(|m| &m["id"])
        .collect();
    assert_eq!(ids, [&json!(MODEL), &json!(format!("{MODEL}:{ADAPTER}"))]);
    assert!(
        list["data"]
            .as_array()
            .expect("data")
            .iter()
            .all(|m| m["object"] == "model")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_sequence_ends_the_answer() {
    let fleet = single().await;
    let prompt = "<|user|>\nrepair steps\n<|assistant|>\n";
    let whole = tokens(prompt).concat();
    // The stop sequence covers the end of the third token and the beginning of the fourth.
    let third: usize = tokens(prompt)[..3].iter().map(String::len).sum();
    let stop = &whole[third - 1..third + 2];
    let kept = &whole[..whole.find(stop).expect("it is there")];
    let mut body = chat("repair steps");
    body["stop"] = json!([stop, "never there"]);
    let value = post(&fleet, CHAT, &body).await.json();
    assert_eq!(value["choices"][0]["message"]["content"], kept);
    assert_eq!(value["choices"][0]["finish_reason"], "stop");
    let usage = &value["usage"];
    let (prompted, made) = (
        usage["prompt_tokens"].as_u64(),
        usage["completion_tokens"].as_u64(),
    );
    // The answer ends before the engines report the token count of the prompt, so the usage
    // contains an estimate.
    assert!(prompted.is_some_and(|t| t > 0), "{usage}");
    assert!(made.is_some_and(|t| t > 0 && t <= 5), "{usage}");
    assert_eq!(
        usage["total_tokens"].as_u64(),
        prompted.zip(made).map(|(p, m)| p + m)
    );
    body["stream"] = json!(true);
    let events = post(&fleet, CHAT, &body).await.events();
    let given = check_events(
        &events,
        "chat.completion.chunk",
        false,
        "/choices/0/delta/content",
    );
    assert_eq!(given, kept);
}

#[tokio::test(flavor = "multi_thread")]
async fn token_limits_and_seeds_are_applied() {
    let fleet = single().await;
    let mut body = chat("weekly menu");
    for field in ["max_tokens", "max_completion_tokens"] {
        body[field] = json!(3);
        let value = post(&fleet, CHAT, &body).await.json();
        assert_eq!(value["usage"]["completion_tokens"], 3);
        assert_eq!(value["choices"][0]["finish_reason"], "length");
    }
    let mut answers = Vec::new();
    for seed in [5, 5, 6] {
        let mut body = chat("weekly menu");
        body["seed"] = json!(seed);
        let value = post(&fleet, CHAT, &body).await.json();
        answers.push(value["choices"][0]["message"]["content"].clone());
    }
    assert_eq!(answers[0], answers[1]);
    assert_ne!(answers[1], answers[2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_text_are_joined() {
    let fleet = single().await;
    let mut body = chat("");
    body["messages"][0]["content"] =
        json!([{"type": "text", "text": "flag "}, {"type": "text", "text": "the sesame"}]);
    let value = post(&fleet, CHAT, &body).await.json();
    let whole = expect::text(&fleet.plan, &chat_request("flag the sesame"));
    assert_eq!(value["choices"][0]["message"]["content"], whole);
}

// All errors have the same format, an outcome, and an id that callers can give to the operators,
// also if the request never reached a router.
#[tokio::test(flavor = "multi_thread")]
async fn errors_have_their_format_and_an_id() {
    let fleet = single().await;
    let mut unknown = chat("a");
    unknown["model"] = json!("none-such");
    let mut long = text("a");
    long["max_tokens"] = json!(1_000_000);
    let mut tools = chat("a");
    tools["tools"] = json!([{"type": "function"}]);
    let cases = [
        (
            CHAT,
            unknown,
            404,
            "not_found_error",
            "model_not_found",
            Value::Null,
        ),
        (
            TEXT,
            long,
            400,
            "invalid_request_error",
            "context_length_exceeded",
            json!("prompt"),
        ),
        (
            CHAT,
            tools,
            422,
            "invalid_request_error",
            "invalid_value",
            json!("tools"),
        ),
        (
            CHAT,
            json!(5),
            422,
            "invalid_request_error",
            "invalid_type",
            Value::Null,
        ),
        (
            "/v1/none-such",
            chat("a"),
            404,
            "not_found_error",
            "unknown_path",
            Value::Null,
        ),
        (
            "/services/none-such/a",
            chat("a"),
            404,
            "not_found_error",
            "service_not_found",
            Value::Null,
        ),
        (
            "/v1/models",
            chat("a"),
            405,
            "invalid_request_error",
            "method_not_allowed",
            Value::Null,
        ),
    ];
    for (path, body, status, kind, code, param) in cases {
        let reply = post(&fleet, path, &body).await;
        assert_eq!(reply.status.as_u16(), status, "{path} {code}");
        assert!(is_id(reply.header("x-request-id")), "{path} {code}");
        assert_eq!(reply.header("x-wigeonshelf-outcome"), Some("not-run"));
        let error = &reply.json()["error"];
        assert!(error["message"].as_str().is_some_and(|m| !m.is_empty()));
        assert_eq!(
            (&error["type"], &error["code"]),
            (&json!(kind), &json!(code))
        );
        assert_eq!(
            (&error["param"], &error["outcome"]),
            (&param, &json!("not-run"))
        );
    }
    let reply = post(&fleet, "/v1/models", &Value::Null).await;
    assert_eq!(reply.header("allow"), Some("GET"));
}

// A node without a bundle refuses requests with a retry-after delay. Nothing has been published
// here, which looks to the node like an unavailable log.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_starting_node_has_a_retry_after_delay() {
    let mut fleet = Fleet::start_standins(Plan::default())
        .await
        .expect("stand-ins");
    fleet.start_node(0).expect("node");
    wait("the node answers", || async {
        Caller::new()
            .chat(fleet.node(0).callers, &chat_request("a"))
            .await
            .is_ok()
    })
    .await
    .expect("an answer");
    let reply = post(&fleet, CHAT, &chat("a")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(reply.json()["error"]["code"], "starting");
    assert_eq!(reply.header("x-wigeonshelf-outcome"), Some("not-run"));
}
