//! Log of the work that a stand-in executed.
//!
//! Each line is a JSON object with the milliseconds since the log was opened. A
//! file is flushed after each line, so that a crash loses none.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;

use crate::sync::lock;

/// An append-only log of typed events.
#[derive(Debug)]
pub struct RunLog {
    start: Instant,
    sink: Mutex<Sink>,
}

/// Destination of the lines.
#[derive(Debug)]
enum Sink {
    /// Discards all lines.
    Discard,
    /// A file, flushed after each line.
    File(File),
    /// Memory, for tests in the same process.
    Memory(Vec<Value>),
}

/// An event with its timestamp.
#[derive(Serialize)]
struct LogLine<'a, E> {
    ms: u128,
    #[serde(flatten)]
    event: &'a E,
}

impl RunLog {
    /// Creates a log that discards all events.
    #[must_use]
    pub fn discard() -> Self {
        Self::new(Sink::Discard)
    }

    /// Creates a log in memory.
    #[must_use]
    pub fn memory() -> Self {
        Self::new(Sink::Memory(Vec::new()))
    }

    /// Opens a log that appends to the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
    pub fn file(path: impl AsRef<Path>) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self::new(Sink::File(file)))
    }

    /// Appends an event with the milliseconds since the log was opened.
    pub fn append(&self, event: &impl Serialize) {
        let line = LogLine {
            ms: self.start.elapsed().as_millis(),
            event,
        };
        if let Err(err) = lock(&self.sink).write(&line) {
            log::error!("event=run-log-failed error={err}");
        }
    }

    /// Returns the events of a log in memory; empty for the other kinds.
    #[must_use]
    pub fn events(&self) -> Vec<Value> {
        match &*lock(&self.sink) {
            Sink::Memory(events) => events.clone(),
            Sink::Discard | Sink::File(_) => Vec::new(),
        }
    }

    fn new(sink: Sink) -> Self {
        Self {
            start: Instant::now(),
            sink: Mutex::new(sink),
        }
    }
}

impl Sink {
    fn write(&mut self, line: &impl Serialize) -> io::Result<()> {
        match self {
            Self::Discard => Ok(()),
            Self::File(file) => write_line(file, line),
            Self::Memory(events) => {
                events.push(serde_json::to_value(line)?);
                Ok(())
            }
        }
    }
}

/// Writes a line in a single call, so that lines of two processes don't interleave.
fn write_line(file: &mut File, line: &impl Serialize) -> io::Result<()> {
    let mut buf = serde_json::to_vec(line)?;
    buf.push(b'\n');
    file.write_all(&buf)?;
    file.flush()
}
