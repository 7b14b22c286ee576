//! The record of what a stand-in really ran.
//!
//! One JSON object a line, with the milliseconds since the log was opened. A
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

/// Where the lines go.
#[derive(Debug)]
enum Sink {
    /// Nowhere.
    Discard,
    /// To a file, flushed line by line.
    File(File),
    /// To memory, for tests in the same process.
    Memory(Vec<Value>),
}

/// An event with its time.
#[derive(Serialize)]
struct LogLine<'a, E> {
    ms: u128,
    #[serde(flatten)]
    event: &'a E,
}

impl RunLog {
    /// A log that keeps nothing.
    #[must_use]
    pub fn discard() -> Self {
        Self::new(Sink::Discard)
    }

    /// A log held in memory.
    #[must_use]
    pub fn memory() -> Self {
        Self::new(Sink::Memory(Vec::new()))
    }

    /// A log appended to the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
    pub fn file(path: impl AsRef<Path>) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self::new(Sink::File(file)))
    }

    /// Appends one event, stamped with the milliseconds since the log's start.
    pub fn append(&self, event: &impl Serialize) {
        let line = LogLine {
            ms: self.start.elapsed().as_millis(),
            event,
        };
        if let Err(err) = lock(&self.sink).write(&line) {
            log::error!("event=run-log-failed error={err}");
        }
    }

    /// The events kept so far by a log in memory; none for the other kinds.
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

/// Writes one whole line at once, so that lines of two processes don't mix.
fn write_line(file: &mut File, line: &impl Serialize) -> io::Result<()> {
    let mut buf = serde_json::to_vec(line)?;
    buf.push(b'\n');
    file.write_all(&buf)?;
    file.flush()
}
