//! Bodies of completions: the parameters that are parsed, and the errors for invalid bodies.

use entry::api::error::Error;
use entry::api::params::{Kind, Params};
use entry::api::{chat, completion};
use serde_json::{Value, json};

fn chat_body(change: impl FnOnce(&mut Value)) -> Result<Params, Error> {
    let mut body = json!({
        "model": "menu",
        "messages": [{"role": "user", "content": "hello"}],
    });
    change(&mut body);
    chat::read(body.to_string().as_bytes())
}

fn text_body(change: impl FnOnce(&mut Value)) -> Result<Params, Error> {
    let mut body = json!({"model": "menu", "prompt": "hello"});
    change(&mut body);
    completion::read(body.to_string().as_bytes())
}

fn error_fields(result: Result<Params, Error>) -> (u16, &'static str, Option<String>) {
    let error = result.expect_err("an error");
    (error.status.as_u16(), error.code, error.param)
}

fn invalid(param: &str) -> (u16, &'static str, Option<String>) {
    (422, "invalid_value", Some(param.to_owned()))
}

#[test]
fn minimal_body_gets_the_defaults() {
    let params = chat_body(|_| {}).expect("valid parameters");
    assert_eq!(params.kind, Kind::Chat);
    assert_eq!(&params.prompt[..], b"<|user|>\nhello\n<|assistant|>\n");
    assert_eq!(
        (
            params.stream,
            params.include_usage,
            params.max_tokens,
            params.seed
        ),
        (false, false, None, 0)
    );
    assert!(params.stops.is_empty());
    let params = text_body(|_| {}).expect("valid parameters");
    assert_eq!(
        (params.kind, &params.prompt[..]),
        (Kind::Text, &b"hello"[..])
    );
}

#[test]
fn every_field_is_read() {
    let params = chat_body(|b| {
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
    let params = params.expect("valid parameters");
    assert_eq!(
        &params.prompt[..],
        b"<|developer|>\nbe short\n<|user|>\nab\n<|assistant|>\n"
    );
    assert!(params.stream && params.include_usage);
    assert_eq!((params.max_tokens, params.seed), (Some(9), u64::MAX));
    assert_eq!(params.stops, ["x", "yz"]);
}

#[test]
fn null_is_treated_as_absent() {
    let params = chat_body(|b| {
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
    assert_eq!(params, chat_body(|_| {}));
}

// An unsupported option that was ignored would give an answer other than the requested one. The
// error names the option.
#[test]
fn errors_name_the_unsupported_option() {
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
            error_fields(chat_body(|b| b[field] = value.clone())),
            invalid(field)
        );
        assert_eq!(
            error_fields(text_body(|b| b[field] = value)),
            invalid(field)
        );
    }
}

#[test]
fn errors_name_the_field_out_of_range() {
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
        assert_eq!(
            error_fields(chat_body(|b| b[field] = value)),
            invalid(field)
        );
    }
    assert_eq!(
        error_fields(chat_body(|b| b["messages"] = Value::Null)),
        invalid("messages")
    );
    for prompt in [
        json!(""),
        json!([]),
        json!([""]),
        json!(["a", "b"]),
        Value::Null,
    ] {
        assert_eq!(
            error_fields(text_body(|b| b["prompt"] = prompt)),
            invalid("prompt")
        );
    }
}

#[test]
fn errors_in_messages_name_their_index() {
    let bad = |message: Value| {
        let good = json!({"role": "user", "content": "a"});
        error_fields(chat_body(|b| b["messages"] = json!([good, message])))
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
        error_fields(chat_body(|b| b["messages"] = json!(many))),
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
        let (status, code, _) = error_fields(chat_body(|b| b[field] = value));
        assert_eq!((status, code), (422, "invalid_type"), "{field}");
    }
    let (status, code, _) = error_fields(chat::read(b"[1, 2]"));
    assert_eq!((status, code), (422, "invalid_type"));
}

#[test]
fn invalid_json_is_400() {
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
            let (status, code, _) = error_fields(read(body));
            assert_eq!(
                (status, code),
                (400, "invalid_json"),
                "{:?}",
                body.get(..40)
            );
        }
    }
}

// An unknown field of a message is skipped at any depth without a stack frame for each level.
// Otherwise a body within the size limit could overflow the stack.
#[test]
fn deeply_nested_unknown_field_does_not_overflow_the_stack() {
    let deep = format!("{}{}", "[".repeat(400_000), "]".repeat(400_000));
    let message = format!("{{\"role\":\"user\",\"content\":\"a\",\"other\":{deep}}}");
    let body = format!("{{\"model\":\"menu\",\"messages\":[{message}]}}");
    let params = chat::read(body.as_bytes()).expect("valid parameters");
    assert_eq!(&params.prompt[..], b"<|user|>\na\n<|assistant|>\n");
}
