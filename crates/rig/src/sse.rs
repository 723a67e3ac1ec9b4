//! Reads a streamed answer as a caller's library does.

use serde_json::Value;

/// A streamed answer so far.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    /// Text of the answer.
    pub text: String,
    /// Events that carried text.
    pub pieces: usize,
    /// Why it ended.
    pub finish: Option<String>,
    /// Outcome told in the last event.
    pub outcome: Option<String>,
    /// Whether the end mark came.
    pub done: bool,
    /// Code of an error event.
    pub error: Option<String>,
    /// Completion tokens told in the usage.
    pub usage: Option<u64>,
}

impl Reader {
    /// Takes bytes of the body.
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
            self.error = Some("an event is no JSON".to_owned());
            return;
        };
        if let Some(error) = value.get("error") {
            self.error = text_of(error, "code");
            self.outcome = text_of(error, "outcome");
            return;
        }
        self.outcome = text_of(&value, "outcome").or(self.outcome.take());
        let usage = value.pointer("/usage/completion_tokens");
        self.usage = usage.and_then(Value::as_u64).or(self.usage);
        let Some(choice) = value.pointer("/choices/0") else {
            return;
        };
        self.finish = text_of(choice, "finish_reason").or(self.finish.take());
        let delta = choice.pointer("/delta/content").or(choice.get("text"));
        if let Some(text) = delta.and_then(Value::as_str).filter(|t| !t.is_empty()) {
            self.text.push_str(text);
            self.pieces += 1;
        }
    }
}

fn text_of(value: &Value, key: &str) -> Option<String> {
    value.get(key)?.as_str().map(str::to_owned)
}
