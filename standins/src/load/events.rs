//! Parses server-sent events from the chunks of a response body.

use serde::Deserialize;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A parsed event of a stream.
#[derive(Debug, PartialEq)]
pub(super) enum Event {
    /// The next part of the answer.
    Delta(Delta),
    /// The end of the stream.
    Done,
    /// An error, with its code.
    Error(String),
}

/// An increment of an answer.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Delta {
    pub(super) content: String,
    pub(super) finish_reason: Option<String>,
    pub(super) preemptions: Option<u64>,
}

/// An incremental parser that splits a body into events.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buf: Vec<u8>,
    data: String,
}

impl EventReader {
    /// Parses a chunk and returns the events that it completes.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for line in chunk.split_inclusive(|byte| *byte == b'\n') {
            self.buf.extend_from_slice(line);
            if line.ends_with(b"\n") {
                let line = std::mem::take(&mut self.buf);
                events.extend(self.push_line(&String::from_utf8_lossy(&line)));
            }
        }
        events
    }

    /// Parses a line; an empty one ends an event.
    fn push_line(&mut self, line: &str) -> Option<Event> {
        let line = line.trim_end_matches(['\r', '\n']);
        if let Some(data) = line.strip_prefix("data:") {
            self.data.push_str(data.trim_start());
        }
        if !line.is_empty() || self.data.is_empty() {
            return None;
        }
        Some(parse_event(&std::mem::take(&mut self.data)))
    }
}

/// The JSON data of an event.
#[derive(Deserialize)]
struct RawEvent {
    #[serde(default)]
    choices: Vec<RawChoice>,
    usage: Option<RawUsage>,
    error: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawChoice {
    #[serde(default)]
    delta: RawDelta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct RawDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct RawUsage {
    preemptions: Option<u64>,
}

fn parse_event(data: &str) -> Event {
    if data == DONE {
        return Event::Done;
    }
    match serde_json::from_str::<RawEvent>(data) {
        Ok(RawEvent {
            error: Some(error), ..
        }) => Event::Error(error_code(&error)),
        Ok(raw) => Event::Delta(parse_delta(raw)),
        Err(_) => Event::Error("unreadable".to_owned()),
    }
}

fn parse_delta(raw: RawEvent) -> Delta {
    let mut delta = Delta {
        preemptions: raw.usage.and_then(|usage| usage.preemptions),
        ..Delta::default()
    };
    if let Some(choice) = raw.choices.into_iter().next() {
        delta.content = choice.delta.content.unwrap_or_default();
        delta.finish_reason = choice.finish_reason;
    }
    delta
}

/// Returns the `code` field of an error, or the entire error without one.
pub(super) fn error_code(error: &serde_json::Value) -> String {
    let code = error.get("code").unwrap_or(error);
    code.as_str()
        .map_or_else(|| code.to_string(), str::to_owned)
}
