//! Parser of server-sent events with their ids.

use serde_json::Value;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Event {
    /// Value for `Last-Event-ID` on a reconnection.
    pub(super) id: Option<String>,
    /// Contents of the `data` fields.
    pub(super) data: String,
}

/// Parsed data of an event.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Payload {
    /// Part of the answer; may be empty.
    Text(String),
    /// End of the answer.
    Done,
    /// Error that ended the answer.
    Error(Value),
    /// Data that isn't JSON.
    Unreadable,
}

/// Incremental splitter of a body into events.
#[derive(Debug, Default)]
pub(super) struct Reader {
    buf: Vec<u8>,
    event: Event,
}

impl Reader {
    /// Appends a chunk of the body.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next complete event, if there is one.
    pub(super) fn next(&mut self) -> Option<Event> {
        loop {
            let line_end = self.buf.iter().position(|byte| *byte == b'\n')?;
            let line: Vec<u8> = self.buf.drain(..=line_end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(event) = self.line(line.trim_end_matches(['\r', '\n'])) {
                return Some(event);
            }
        }
    }

    /// Processes a line; an empty one ends an event.
    fn line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (!event.data.is_empty()).then_some(event);
        }
        if let Some(data) = line.strip_prefix("data:") {
            self.event.data.push_str(data.trim_start());
        } else if let Some(id) = line.strip_prefix("id:") {
            self.event.id = Some(id.trim_start().to_owned());
        }
        None
    }
}

impl Event {
    /// Parses the data.
    pub(super) fn payload(&self) -> Payload {
        if self.data == "[DONE]" {
            return Payload::Done;
        }
        match serde_json::from_str::<Value>(&self.data) {
            Ok(value) if value.get("error").is_some() => Payload::Error(value),
            Ok(value) => {
                let content = &value["choices"][0]["delta"]["content"];
                Payload::Text(content.as_str().unwrap_or_default().to_owned())
            }
            Err(_) => Payload::Unreadable,
        }
    }
}
