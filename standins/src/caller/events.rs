//! Server-sent events with their ids, from the chunks of a body.

use serde_json::Value;

/// One event.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Event {
    /// Id to come back with.
    pub(super) id: Option<String>,
    /// Text of its data.
    pub(super) data: String,
}

/// What the data of an event says.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Payload {
    /// Part of the answer, which may be empty.
    Text(String),
    /// The end of the answer.
    Done,
    /// The system ended the answer with this error.
    Error(Value),
    /// Nothing that a caller understands.
    Unreadable,
}

/// Splits a body into events.
#[derive(Debug, Default)]
pub(super) struct Reader {
    buf: Vec<u8>,
    event: Event,
}

impl Reader {
    /// Takes in a chunk.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// The next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        loop {
            let end = self.buf.iter().position(|byte| *byte == b'\n')?;
            let line: Vec<u8> = self.buf.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(event) = self.line(line.trim_end_matches(['\r', '\n'])) {
                return Some(event);
            }
        }
    }

    /// Takes in a line; an empty one ends an event.
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
    /// What it says.
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
