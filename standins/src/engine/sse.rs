//! Streams as server-sent events, and whole answers.

use std::fmt::Write;
use std::io;
use std::sync::Arc;

use futures_util::stream;
use poem::{Body, Response};
use serde::Serialize;

use super::stream::{Progress, Reader, Reason, Stream};
use crate::reply;

/// Header that names the stream for resumption.
const STREAM_ID: &str = "x-stream-id";

/// The last event of a stream.
const DONE: &str = "data: [DONE]\n\n";

/// One event of a stream.
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
    finish_reason: Option<Reason>,
}

#[derive(Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "String::is_empty")]
    content: String,
}

/// A whole answer.
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
    finish_reason: Option<Reason>,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

/// What a generation took.
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

/// Answers with the tokens from `from` on, as they come.
pub(super) fn events(reader: Reader, from: u64) -> Response {
    let id = Arc::clone(&reader.stream.id);
    let cursor = Cursor {
        reader,
        next: from,
        done: false,
    };
    let chunks = stream::unfold(cursor, |mut cursor| async move {
        let chunk = cursor.chunk().await?;
        Some((Ok::<_, io::Error>(chunk), cursor))
    });
    Response::builder()
        .content_type("text/event-stream")
        .header(STREAM_ID, &*id)
        .body(Body::from_bytes_stream(chunks))
}

/// Answers with the whole text once it is complete.
pub(super) async fn whole(mut reader: Reader) -> Response {
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
                content: stream.text.whole(progress.generated),
            },
            finish_reason: progress.end,
        }],
        usage: Usage::new(stream, progress),
    });
    if let Ok(id) = stream.id.parse() {
        res.headers_mut().insert(STREAM_ID, id);
    }
    res
}

/// A reader's place in a stream.
struct Cursor {
    reader: Reader,
    next: u64,
    done: bool,
}

impl Cursor {
    /// All events that are there, waiting for at least one.
    async fn chunk(&mut self) -> Option<String> {
        while !self.done {
            let progress = *self.reader.progress.borrow_and_update();
            let chunk = self.events(progress);
            if !chunk.is_empty() {
                return Some(chunk);
            }
            self.reader.progress.changed().await.ok()?;
        }
        None
    }

    fn events(&mut self, progress: Progress) -> String {
        let mut buf = String::new();
        while self.next < progress.generated {
            self.token(&mut buf, progress);
            self.next += 1;
        }
        if progress.end.is_some() {
            self.finish(&mut buf, progress);
        }
        buf
    }

    fn token(&mut self, buf: &mut String, progress: Progress) {
        let last = self.next + 1 == progress.generated && natural(progress.end);
        let content = self.reader.stream.text.token(self.next);
        let _ = writeln!(buf, "id: {}", self.next);
        self.data(buf, content, progress, last);
        self.done = last;
    }

    /// Closes the stream, with an event of its own when no token carried the end.
    fn finish(&mut self, buf: &mut String, progress: Progress) {
        if !self.done {
            self.data(buf, String::new(), progress, true);
        }
        self.done = true;
        buf.push_str(DONE);
    }

    fn data(&self, buf: &mut String, content: String, progress: Progress, last: bool) {
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

/// Whether a stream ended with a token.
fn natural(end: Option<Reason>) -> bool {
    matches!(end, Some(Reason::Stop | Reason::Length))
}
