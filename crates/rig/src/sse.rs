//! Parses a streamed answer the way a client library does.

use serde_json::Value;

/// Incremental parser of a streamed answer, with what was received so far.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    /// Text of the answer.
    pub text: String,
    /// Number of events that carried text.
    pub pieces: usize,
    /// Reason why generation ended.
    pub finish_reason: Option<String>,
    /// Outcome of the request, from the last event or the error event.
    pub outcome: Option<String>,
    /// Whether the `[DONE]` event was received.
    pub done: bool,
    /// Code of an error event.
    pub error: Option<String>,
    /// Number of completion tokens, from the usage event.
    pub usage: Option<u64>,
}

impl Reader {
    /// Parses further bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            if let Some(data) = event.trim_end().strip_prefix("data: ") {
                self.event(data);
            }
        }
    }

    fn event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            self.error = Some("event is not valid JSON".to_owned());
            return;
        };
        if let Some(error) = value.get("error") {
            self.error = string_field(error, "code");
            self.outcome = string_field(error, "outcome");
            return;
        }
        self.outcome = string_field(&value, "outcome").or(self.outcome.take());
        let usage = value.pointer("/usage/completion_tokens");
        self.usage = usage.and_then(Value::as_u64).or(self.usage);
        let Some(choice) = value.pointer("/choices/0") else {
            return;
        };
        self.finish_reason = string_field(choice, "finish_reason").or(self.finish_reason.take());
        let delta = choice.pointer("/delta/content").or(choice.get("text"));
        if let Some(text) = delta.and_then(Value::as_str).filter(|t| !t.is_empty()) {
            self.text.push_str(text);
            self.pieces += 1;
        }
    }
}

fn string_field(value: &Value, key: &str) -> Option<String> {
    value.get(key)?.as_str().map(str::to_owned)
}
