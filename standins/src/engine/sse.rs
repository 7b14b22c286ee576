//! Responses as server-sent events or as one JSON document.

use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex};

use futures_util::stream;
use poem::{Body, Response};
use serde::Serialize;

use super::stream::{EndReason, Progress, Reader, Stream};
use super::stream_faults::{BodyEnd, StreamFaults};
use crate::reply;
use crate::sync::lock;

/// Header of the stream id for resumption.
const STREAM_ID_HEADER: &str = "x-stream-id";

/// Header of the version of the engine's software.
const SOFTWARE_VERSION_HEADER: &str = "x-software-version";

/// The final event of a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A token event of a stream.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    model: &'a str,
    choices: [ChunkChoice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice {
    index: u64,
    delta: Delta,
    finish_reason: Option<EndReason>,
}

#[derive(Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "String::is_empty")]
    content: String,
}

/// A complete, non-streamed response.
#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    model: &'a str,
    choices: [Choice; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice {
    index: u64,
    message: Message,
    finish_reason: Option<EndReason>,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

/// Token usage of a generation.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    preemptions: u64,
}

impl Usage {
    fn new(stream: &Stream, progress: Progress) -> Self {
        Self {
            prompt_tokens: stream.prompt_tokens,
            completion_tokens: progress.generated,
            preemptions: progress.preemptions,
        }
    }
}

/// Streams the tokens from index `from` on.
pub(super) fn stream_response(
    reader: Reader,
    from: u64,
    software_version: &str,
    faults: Arc<Mutex<StreamFaults>>,
) -> Response {
    let id = Arc::clone(&reader.stream.id);
    let cursor = Cursor {
        reader,
        next: from,
        done: false,
        faults,
    };
    let chunks = stream::unfold(cursor, |mut cursor| async move {
        let chunk = cursor.next_chunk().await?;
        Some((Ok::<_, io::Error>(chunk), cursor))
    });
    let mut head = Response::builder()
        .content_type("text/event-stream")
        .header(STREAM_ID_HEADER, &*id);
    if !software_version.is_empty() {
        head = head.header(SOFTWARE_VERSION_HEADER, software_version);
    }
    head.body(Body::from_bytes_stream(chunks))
}

/// Waits for the end of a generation and returns its whole text.
pub(super) async fn completion_response(mut reader: Reader) -> Response {
    let ended = reader.progress.wait_for(|progress| progress.end.is_some());
    let progress = ended.await.map(|progress| *progress).unwrap_or_default();
    let stream = &reader.stream;
    let mut res = reply::ok(&Completion {
        id: &stream.request,
        model: &stream.model,
        choices: [Choice {
            index: 0,
            message: Message {
                role: "assistant",
                content: stream.text.text_before(progress.generated),
            },
            finish_reason: progress.end,
        }],
        usage: Usage::new(stream, progress),
    });
    if let Ok(id) = stream.id.parse() {
        res.headers_mut().insert(STREAM_ID_HEADER, id);
    }
    res
}

/// A reader's position in a stream.
struct Cursor {
    reader: Reader,
    next: u64,
    done: bool,
    faults: Arc<Mutex<StreamFaults>>,
}

impl Cursor {
    /// Waits for at least one event and returns all available ones.
    async fn next_chunk(&mut self) -> Option<String> {
        while !self.done {
            let progress = *self.reader.progress.borrow_and_update();
            let chunk = self.render_events(progress);
            if !chunk.is_empty() {
                return Some(chunk);
            }
            match self.unmarked_end(progress) {
                None | Some(BodyEnd::Marked) => {}
                Some(BodyEnd::Closing) => {
                    self.done = true;
                    return Some(DONE_EVENT.to_owned());
                }
                Some(BodyEnd::InOrder) => return None,
            }
            self.reader.progress.changed().await.ok()?;
        }
        None
    }

    fn render_events(&mut self, progress: Progress) -> String {
        let mut buf = String::new();
        let faults = *lock(&self.faults);
        let limit = faults.early_limit();
        while self.next < limit.unwrap_or(u64::MAX).min(progress.generated) {
            self.write_token(&mut buf, progress);
            self.next += 1;
        }
        let is_unmarked =
            progress.end == Some(EndReason::Cancelled) && faults.cancelled_end != BodyEnd::Marked;
        let is_reached = limit.is_none_or(|limit| progress.generated < limit);
        if progress.end.is_some() && is_reached && !is_unmarked {
            self.write_end(&mut buf, progress);
        }
        buf
    }

    /// Returns how the body ends now without the marks of a generation's end.
    fn unmarked_end(&self, progress: Progress) -> Option<BodyEnd> {
        let mut faults = lock(&self.faults);
        let early = faults.take_early_end(self.next);
        let is_cancelled = progress.end == Some(EndReason::Cancelled);
        early.or_else(|| is_cancelled.then_some(faults.cancelled_end))
    }

    fn write_token(&mut self, buf: &mut String, progress: Progress) {
        let last = self.next + 1 == progress.generated && ended_with_token(progress.end);
        let content = self.reader.stream.text.token(self.next);
        let _ = writeln!(buf, "id: {}", self.next);
        self.write_data(buf, content, progress, last);
        self.done = last;
    }

    /// Ends the stream, with an extra event if no token carried the end reason.
    fn write_end(&mut self, buf: &mut String, progress: Progress) {
        if !self.done {
            self.write_data(buf, String::new(), progress, true);
        }
        self.done = true;
        buf.push_str(DONE_EVENT);
    }

    fn write_data(&self, buf: &mut String, content: String, progress: Progress, last: bool) {
        let stream = &self.reader.stream;
        let chunk = Chunk {
            id: &stream.request,
            model: &stream.model,
            choices: [ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason: progress.end.filter(|_| last),
            }],
            usage: last.then(|| Usage::new(stream, progress)),
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        let _ = write!(buf, "data: {json}\n\n");
    }
}

/// Returns whether a stream ended with a token.
fn ended_with_token(end: Option<EndReason>) -> bool {
    matches!(end, Some(EndReason::Stop | EndReason::Length))
}
