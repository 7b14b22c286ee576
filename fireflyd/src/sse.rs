//! Server-sent events out of the chunks of a connection.
//!
//! The scan is a pure function over the bytes at hand; [`SseReader`] keeps what no event has
//! completed yet, within a bound.

use std::fmt;

/// Largest event in bytes, line ends included.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event; fields other than these are skipped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its `id`, if it has one of its own.
    pub id: Option<String>,
    /// Its `data` lines, joined by line feeds; empty for a comment.
    pub data: Vec<u8>,
}

/// An event grew beyond [`MAX_EVENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event over {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for TooLong {}

/// The first whole event of `buf` and what follows it; `None` when there is none yet.
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

/// The first whole line without its end, and what follows it.
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

/// Keeps the bytes that no event has completed yet.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: Vec<u8>,
    /// Start of what no event has taken.
    start: usize,
}

impl SseReader {
    /// Adds a chunk, wherever it was cut.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.drain(..self.start);
        self.start = 0;
        self.buf.extend_from_slice(chunk);
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// [`TooLong`] when an event, whole or not, is over the bound.
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
