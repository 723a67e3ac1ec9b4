//! Bodies of completions: what is read, and what is told about what can't be.

use entry::api::ask::{Ask, Kind};
use entry::api::error::Error;
use entry::api::{chat, completion};
use serde_json::{Value, json};

fn chat_body(change: impl FnOnce(&mut Value)) -> Result<Ask, Error> {
    let mut body = json!({
        "model": "menu",
        "messages": [{"role": "user", "content": "hello"}],
    });
    change(&mut body);
    chat::read(body.to_string().as_bytes())
}

fn text_body(change: impl FnOnce(&mut Value)) -> Result<Ask, Error> {
    let mut body = json!({"model": "menu", "prompt": "hello"});
    change(&mut body);
    completion::read(body.to_string().as_bytes())
}

fn told(result: Result<Ask, Error>) -> (u16, &'static str, Option<String>) {
    let error = result.expect_err("an error");
    (error.status.as_u16(), error.code, error.param)
}

fn invalid(param: &str) -> (u16, &'static str, Option<String>) {
    (422, "invalid_value", Some(param.to_owned()))
}

#[test]
fn least_body_has_the_usual_values() {
    let ask = chat_body(|_| {}).expect("an ask");
    assert_eq!(ask.kind, Kind::Chat);
    assert_eq!(&ask.prompt[..], b"<|user|>\nhello\n<|assistant|>\n");
    assert_eq!(
        (ask.stream, ask.usage, ask.most, ask.seed),
        (false, false, None, 0)
    );
    assert!(ask.stops.is_empty());
    let ask = text_body(|_| {}).expect("an ask");
    assert_eq!((ask.kind, &ask.prompt[..]), (Kind::Text, &b"hello"[..]));
}

#[test]
fn every_field_is_read() {
    let ask = chat_body(|b| {
        b["messages"] = json!([
            {"role": "developer", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]},
        ]);
        b["stream"] = json!(true);
        b["stream_options"] = json!({"include_usage": true});
        b["max_tokens"] = json!(7);
        b["max_completion_tokens"] = json!(9);
        b["seed"] = json!(-1);
        b["stop"] = json!(["x", "yz"]);
        b["n"] = json!(1);
        b["tools"] = json!([]);
        b["response_format"] = json!({"type": "text"});
        b["user"] = json!("someone");
    });
    let ask = ask.expect("an ask");
    assert_eq!(
        &ask.prompt[..],
        b"<|developer|>\nbe short\n<|user|>\nab\n<|assistant|>\n"
    );
    assert!(ask.stream && ask.usage);
    assert_eq!((ask.most, ask.seed), (Some(9), u64::MAX));
    assert_eq!(ask.stops, ["x", "yz"]);
}

#[test]
fn null_is_as_good_as_absent() {
    let ask = chat_body(|b| {
        for field in [
            "stream",
            "stream_options",
            "max_tokens",
            "seed",
            "n",
            "stop",
            "tools",
        ] {
            b[field] = Value::Null;
        }
    });
    assert_eq!(ask, chat_body(|_| {}));
}

// The caller is told which field is at fault. An option that was silently left out would give an
// answer other than the one asked for.
#[test]
fn unsupported_options_are_named() {
    let given = [
        ("n", json!(2)),
        ("best_of", json!(3)),
        ("logprobs", json!(true)),
        ("tools", json!([{"type": "function"}])),
        ("functions", json!([{"name": "f"}])),
        ("response_format", json!({"type": "json_object"})),
        ("echo", json!(true)),
        ("suffix", json!("end")),
    ];
    for (field, value) in given {
        assert_eq!(
            told(chat_body(|b| b[field] = value.clone())),
            invalid(field)
        );
        assert_eq!(told(text_body(|b| b[field] = value)), invalid(field));
    }
}

#[test]
fn values_out_of_range_are_named() {
    let given = [
        ("max_tokens", json!(0)),
        ("max_tokens", json!(-4)),
        ("max_tokens", json!(1_u64 << 40)),
        ("max_completion_tokens", json!(0)),
        ("stop", json!("")),
        ("stop", json!(["a", "b", "c", "d", "e"])),
        ("stop", json!("s".repeat(257))),
        ("model", json!("")),
        ("messages", json!([])),
    ];
    for (field, value) in given {
        assert_eq!(told(chat_body(|b| b[field] = value)), invalid(field));
    }
    assert_eq!(
        told(chat_body(|b| b["messages"] = Value::Null)),
        invalid("messages")
    );
    for prompt in [
        json!(""),
        json!([]),
        json!([""]),
        json!(["a", "b"]),
        Value::Null,
    ] {
        assert_eq!(told(text_body(|b| b["prompt"] = prompt)), invalid("prompt"));
    }
}

#[test]
fn messages_are_named_by_their_place() {
    let bad = |message: Value| {
        let good = json!({"role": "user", "content": "a"});
        told(chat_body(|b| b["messages"] = json!([good, message])))
    };
    assert_eq!(
        bad(json!({"role": "tool", "content": "a"})),
        invalid("messages[1].role")
    );
    assert_eq!(bad(json!({"role": "user"})), invalid("messages[1].content"));
    let image = json!({"type": "image_url", "image_url": {"url": "x"}});
    assert_eq!(
        bad(json!({"role": "user", "content": [{"type": "text", "text": "a"}, image]})),
        invalid("messages[1].content[1]")
    );
    let many = vec![json!({"role": "user", "content": "a"}); 4097];
    assert_eq!(
        told(chat_body(|b| b["messages"] = json!(many))),
        invalid("messages")
    );
}

#[test]
fn wrong_types_are_422() {
    let given = [
        ("model", json!(5)),
        ("stream", json!("yes")),
        ("stream_options", json!(true)),
        ("max_tokens", json!("many")),
        ("max_tokens", json!(1.5)),
        ("seed", json!(1e300)),
        ("stop", json!({"a": 1})),
        ("messages", json!("hello")),
        ("messages", json!([{"content": "no role"}])),
        ("messages", json!([{"role": "user", "content": 5}])),
    ];
    for (field, value) in given {
        let (status, code, _) = told(chat_body(|b| b[field] = value));
        assert_eq!((status, code), (422, "invalid_type"), "{field}");
    }
    let (status, code, _) = told(chat::read(b"[1, 2]"));
    assert_eq!((status, code), (422, "invalid_type"));
}

#[test]
fn what_is_no_json_is_400() {
    let deep = format!("{}{}", "{\"model\":".repeat(5000), "}".repeat(5000));
    let unread = format!(
        "{{\"other\":{}{}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    let bodies = [
        &b""[..],
        b"{",
        b"{\"model\":\"menu\"",
        b"\xff\xfe",
        b"{\"model\":\"\xff\"}",
    ];
    let bodies = bodies
        .into_iter()
        .chain([deep.as_bytes(), unread.as_bytes()]);
    for body in bodies {
        for read in [chat::read, completion::read] {
            let (status, code, _) = told(read(body));
            assert_eq!(
                (status, code),
                (400, "invalid_json"),
                "{:?}",
                body.get(..40)
            );
        }
    }
}

// A field of a message that nothing reads is skipped however deep it is, without a stack frame for
// each level: a body within its bound can't overflow the stack.
#[test]
fn depth_of_an_unread_field_does_no_harm() {
    let deep = format!("{}{}", "[".repeat(400_000), "]".repeat(400_000));
    let message = format!("{{\"role\":\"user\",\"content\":\"a\",\"other\":{deep}}}");
    let body = format!("{{\"model\":\"menu\",\"messages\":[{message}]}}");
    let ask = chat::read(body.as_bytes()).expect("an ask");
    assert_eq!(&ask.prompt[..], b"<|user|>\na\n<|assistant|>\n");
}
