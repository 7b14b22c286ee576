//! One generation as its readers see it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::batch::SeqKey;
use super::text::TokenText;
use crate::sync::lock;

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndReason {
    /// The model stopped by itself.
    Stop,
    /// The limit of tokens or memory was reached.
    Length,
    /// Someone cancelled it, or nobody came back for it.
    Cancelled,
}

/// How far a generation is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Tokens made so far.
    pub(super) generated: u64,
    /// How often it lost its memory.
    pub(super) preemptions: u64,
    /// Why it ended, if it did.
    pub(super) end: Option<EndReason>,
}

/// A generation.
#[derive(Debug)]
pub(super) struct Stream {
    /// Name for resumption, unique only until a restart.
    pub(super) id: Arc<str>,
    /// Name of the request in the run log.
    pub(super) request: Arc<str>,
    pub(super) key: SeqKey,
    pub(super) model: Arc<str>,
    pub(super) prompt_tokens: u64,
    /// Why it ends when nothing gets into its way.
    pub(super) natural_end: EndReason,
    pub(super) text: TokenText,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

/// Who reads a stream.
#[derive(Debug)]
struct Readers {
    count: usize,
    idle_since: Instant,
}

/// What a new stream is made from.
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

    /// How far it is now.
    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Changes the progress and wakes the readers.
    pub(super) fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    /// Shows the last tokens together with the end.
    pub(super) fn finish(&self, generated: u64, reason: EndReason) {
        self.update(|progress| {
            progress.generated = generated;
            progress.end = Some(reason);
        });
        lock(&self.readers).idle_since = Instant::now();
    }

    /// Begins to read.
    pub(super) fn attach(self: &Arc<Self>) -> Reader {
        lock(&self.readers).count += 1;
        Reader {
            progress: self.progress.subscribe(),
            stream: Arc::clone(self),
        }
    }

    /// Whether nobody has read for at least `window`.
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
