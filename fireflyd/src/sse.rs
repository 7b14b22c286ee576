//! Parser of server-sent events from the chunks of a connection.
//!
//! [`parse_event`] is a pure function; [`SseReader`] buffers the bytes of an incomplete event up to
//! a limit.

use std::fmt;

/// Largest event in bytes, line endings included.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event; other fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its `id` field, if present.
    pub id: Option<String>,
    /// Its `data` lines, joined by line feeds; empty for a comment.
    pub data: Vec<u8>,
}

/// Error for an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event over {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for TooLong {}

/// Returns the first complete event of `buf` and the remaining bytes; `None` if none is complete.
///
/// An event ends at an empty line; lines end in a line feed, with or without a carriage return.
#[must_use]
pub fn parse_event(buf: &[u8]) -> Option<(SseEvent, &[u8])> {
    let mut event = SseEvent::default();
    let mut rest = buf;
    loop {
        let (line, after) = split_line(rest)?;
        rest = after;
        if line.is_empty() {
            return Some((event, rest));
        }
        apply_line(&mut event, line);
    }
}

/// Returns the first complete line without its ending and the remaining bytes.
fn split_line(buf: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = buf.iter().position(|byte| *byte == b'\n')?;
    let line = &buf[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), &buf[end + 1..]))
}

fn apply_line(event: &mut SseEvent, line: &[u8]) {
    let colon = line.iter().position(|byte| *byte == b':');
    let (field, value) = line.split_at(colon.unwrap_or(line.len()));
    let value = value.strip_prefix(b":").unwrap_or(value);
    let value = value.strip_prefix(b" ").unwrap_or(value);
    match field {
        b"data" => {
            if !event.data.is_empty() {
                event.data.push(b'\n');
            }
            event.data.extend_from_slice(value);
        }
        b"id" => event.id = Some(String::from_utf8_lossy(value).into_owned()),
        _ => {}
    }
}

/// Incremental parser that buffers the bytes of incomplete events.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: Vec<u8>,
    /// Offset of the first unparsed byte.
    start: usize,
}

impl SseReader {
    /// Adds a chunk, which may end anywhere in an event.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.drain(..self.start);
        self.start = 0;
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the memory of the buffer in bytes.
    pub(crate) fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`TooLong`] when an event, complete or not, exceeds [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, TooLong> {
        let pending = &self.buf[self.start..];
        let Some((event, rest)) = parse_event(pending) else {
            return if pending.len() > MAX_EVENT_BYTES {
                Err(TooLong)
            } else {
                Ok(None)
            };
        };
        let len = pending.len() - rest.len();
        if len > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.start += len;
        Ok(Some(event))
    }
}
