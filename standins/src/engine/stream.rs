//! The stream of a generation and its readers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::batch::SeqKey;
use super::text::TokenText;
use crate::sync::lock;

/// The end reason of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndReason {
    /// The model ended its output.
    Stop,
    /// The token or memory limit was reached.
    Length,
    /// The generation was cancelled, or had no reader for too long.
    Cancelled,
}

/// The progress of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Tokens generated so far.
    pub(super) generated: u64,
    /// Number of preemptions.
    pub(super) preemptions: u64,
    /// End reason, if the generation ended.
    pub(super) end: Option<EndReason>,
}

/// The stream of a generation.
#[derive(Debug)]
pub(super) struct Stream {
    /// Id for resumption, unique only until a restart.
    pub(super) id: Arc<str>,
    /// Request id in the run log.
    pub(super) request: Arc<str>,
    pub(super) key: SeqKey,
    pub(super) model: Arc<str>,
    pub(super) prompt_tokens: u64,
    /// End reason of an uninterrupted generation.
    pub(super) natural_end: EndReason,
    pub(super) text: TokenText,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

/// The number of readers, and when the last one left or the generation ended.
#[derive(Debug)]
struct Readers {
    count: usize,
    idle_since: Instant,
}

/// The fields of a new stream.
#[derive(Debug)]
pub(super) struct StreamParts {
    pub(super) id: Arc<str>,
    pub(super) request: Arc<str>,
    pub(super) key: SeqKey,
    pub(super) model: Arc<str>,
    pub(super) prompt_tokens: u64,
    pub(super) natural_end: EndReason,
    pub(super) text: TokenText,
}

impl Stream {
    pub(super) fn new(parts: StreamParts) -> Self {
        Self {
            id: parts.id,
            request: parts.request,
            key: parts.key,
            model: parts.model,
            prompt_tokens: parts.prompt_tokens,
            natural_end: parts.natural_end,
            text: parts.text,
            progress: watch::channel(Progress::default()).0,
            readers: Mutex::new(Readers {
                count: 0,
                idle_since: Instant::now(),
            }),
        }
    }

    /// Returns the current progress.
    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Updates the progress and wakes the readers.
    pub(super) fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    /// Publishes the last tokens together with the end.
    pub(super) fn finish(&self, generated: u64, reason: EndReason) {
        self.update(|progress| {
            progress.generated = generated;
            progress.end = Some(reason);
        });
        lock(&self.readers).idle_since = Instant::now();
    }

    /// Attaches a reader.
    pub(super) fn attach(self: &Arc<Self>) -> Reader {
        lock(&self.readers).count += 1;
        Reader {
            progress: self.progress.subscribe(),
            stream: Arc::clone(self),
        }
    }

    /// Returns whether the stream has had no reader for at least `window`.
    pub(super) fn is_idle(&self, window: Duration) -> bool {
        let readers = lock(&self.readers);
        readers.count == 0 && readers.idle_since.elapsed() >= window
    }
}

/// A reader of a stream; counted until dropped.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) stream: Arc<Stream>,
    pub(super) progress: watch::Receiver<Progress>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut readers = lock(&self.stream.readers);
        readers.count -= 1;
        readers.idle_since = Instant::now();
    }
}
