//! Requests and responses of a model engine, and the decoder of its streams.

use std::sync::Arc;

use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::sse::{MAX_EVENT_BYTES, SseEvent, SseReader};

/// Most bytes between two tokens, such as comments; the largest event is half as long.
const MAX_IDLE_BYTES: usize = 2 * MAX_EVENT_BYTES;
/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

/// Request to run a generation.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Model to use.
    pub model: Arc<str>,
    /// Prompt, as the caller sent it.
    pub messages: Value,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; the engine's settings define the order of the numbers.
    pub priority: i64,
    /// Identifier for cancelling or resuming the stream.
    pub stream_id: Arc<str>,
    /// Identifier of the request across systems.
    pub request_id: Option<Arc<str>>,
}

#[derive(Serialize)]
pub(crate) struct ChatRequest<'a> {
    pub(crate) model: &'a str,
    pub(crate) messages: &'a Value,
    pub(crate) max_tokens: u64,
    pub(crate) priority: i64,
    pub(crate) stream_id: &'a str,
    pub(crate) stream: bool,
}

/// Event on the stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Head of the stream; the first event.
    Opened {
        /// Version of the engine's software; `None` if it states none.
        software_version: Option<Arc<str>>,
    },
    /// Next tokens that arrived together.
    Tokens(Vec<Token>),
    /// End of the generation; the last event.
    Finished {
        /// Reason of the end.
        reason: FinishReason,
        /// Resources used.
        usage: Usage,
    },
    /// End of the stream before that of the generation; the last event.
    Broken {
        /// Cause, for the log.
        cause: String,
    },
}

/// Token of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Text of the token.
    pub text: String,
    /// Index in the generation from 0, if the engine numbers its tokens.
    pub offset: Option<u64>,
}

/// Reason for the end of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
    /// The generation was cancelled.
    Cancelled,
    /// Another reason, as named by the engine.
    Other(Arc<str>),
}

impl From<&str> for FinishReason {
    fn from(text: &str) -> Self {
        match text {
            "stop" => Self::Stop,
            "length" => Self::Length,
            "cancelled" | "canceled" | "abort" | "aborted" => Self::Cancelled,
            other => Self::Other(other.into()),
        }
    }
}

/// Resources used by a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Number of times it lost its memory and was recomputed.
    pub preemptions: u64,
}

/// Events of one generation.
pub type EngineStream = BoxStream<'static, EngineEvent>;

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Decodes the bytes of a generation's stream into events; performs no I/O.
#[derive(Debug, Default)]
pub struct Decoder {
    sse: SseReader,
    reason: Option<FinishReason>,
    usage: Usage,
    /// Index of the next token, if the engine numbers its tokens.
    next_offset: u64,
    /// Whether the engine numbers its tokens; unknown before the first.
    is_numbered: Option<bool>,
    /// Bytes since the last token.
    idle_bytes: usize,
    pub(crate) ended: bool,
}

impl Decoder {
    /// Creates a decoder of a stream that is resumed at token `from`; only numbers show that it goes on there.
    #[must_use]
    pub fn resumed(from: u64) -> Self {
        Self {
            next_offset: from,
            is_numbered: (from > 0).then_some(true),
            ..Self::default()
        }
    }

    /// Returns the events that `chunk` completes; none after the last event.
    pub fn feed(&mut self, chunk: &[u8]) -> Vec<EngineEvent> {
        if self.ended {
            return Vec::new();
        }
        self.sse.push(chunk);
        let mut tokens = Vec::new();
        let last = self.decode_available(&mut tokens);
        self.idle_bytes = if tokens.is_empty() {
            self.idle_bytes + chunk.len()
        } else {
            0
        };
        let last = last.or_else(|| self.too_idle());
        self.ended = last.is_some();
        let tokens = (!tokens.is_empty()).then_some(EngineEvent::Tokens(tokens));
        tokens.into_iter().chain(last).collect()
    }

    /// Returns an error for a token that does not follow the one before, as far as the stream's tokens are numbered: all or
    /// none.
    fn check_offset(&mut self, token: &Token) -> std::result::Result<(), String> {
        let is_numbered = token.offset.is_some();
        if *self.is_numbered.get_or_insert(is_numbered) != is_numbered {
            return Err("tokens with and without numbers".to_owned());
        }
        let due = self.next_offset;
        if let Some(offset) = token.offset.filter(|offset| *offset != due) {
            return Err(format!("token {offset} instead of {due}"));
        }
        self.next_offset = due.saturating_add(1);
        Ok(())
    }

    /// Ends a stream of many bytes without a token.
    fn too_idle(&self) -> Option<EngineEvent> {
        (self.idle_bytes > MAX_IDLE_BYTES).then(|| EngineEvent::Broken {
            cause: format!("no token in {MAX_IDLE_BYTES} bytes"),
        })
    }

    /// Returns the memory of its buffer in bytes.
    pub(crate) fn buffered(&self) -> usize {
        self.sse.capacity()
    }

    /// Returns the last event when the connection ends; `None` if it was returned before.
    pub fn end(&mut self, cause: impl Into<String>) -> Option<EngineEvent> {
        if self.ended {
            return None;
        }
        self.ended = true;
        match self.reason.take() {
            // All tokens were received; only the closing event is missing.
            Some(reason) => Some(self.finished(reason)),
            None => Some(EngineEvent::Broken {
                cause: cause.into(),
            }),
        }
    }

    fn finished(&self, reason: FinishReason) -> EngineEvent {
        EngineEvent::Finished {
            reason,
            usage: self.usage,
        }
    }

    /// Decodes all complete events; returns the last event of the stream if it is among them.
    fn decode_available(&mut self, tokens: &mut Vec<Token>) -> Option<EngineEvent> {
        loop {
            let decoded = match self.sse.next_event() {
                Ok(Some(event)) => self.decode_event(&event, tokens),
                Ok(None) => return None,
                Err(e) => Err(e.to_string()),
            };
            match decoded {
                Ok(None) => {}
                Ok(last) => return last,
                Err(cause) => return Some(EngineEvent::Broken { cause }),
            }
        }
    }

    fn decode_event(
        &mut self,
        event: &SseEvent,
        tokens: &mut Vec<Token>,
    ) -> std::result::Result<Option<EngineEvent>, String> {
        if event.data.is_empty() {
            return Ok(None);
        }
        if event.data == DONE {
            let reason = self.reason.take().ok_or("end without a reason")?;
            return Ok(Some(self.finished(reason)));
        }
        let chunk: Chunk = serde_json::from_slice(&event.data).map_err(|e| e.to_string())?;
        if let Some(error) = chunk.error {
            return Err(error.to_string());
        }
        self.usage = chunk.usage.unwrap_or(self.usage);
        if let Some(choice) = chunk.choices.into_iter().next() {
            if let Some(token) = token(choice.delta, event) {
                self.check_offset(&token)?;
                if !token.text.is_empty() {
                    // An earlier reason was not that of the end.
                    self.reason = None;
                }
                tokens.push(token);
            }
            let reason = choice.finish_reason.filter(|reason| !reason.is_empty());
            let reason = reason.as_deref().map(FinishReason::from);
            self.reason = reason.or(self.reason.take());
        }
        Ok(None)
    }
}

/// Returns the token of an event that has text or a number.
fn token(delta: Delta, event: &SseEvent) -> Option<Token> {
    let offset = event.id.as_deref().and_then(|id| id.parse().ok());
    let text = delta.content.unwrap_or_default();
    (offset.is_some() || !text.is_empty()).then_some(Token { text, offset })
}

/// Load reported by an engine; may be out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number of generations in the batch.
    pub running: u64,
    /// Number of queued generations.
    pub waiting: u64,
    /// Number of tokens in memory.
    pub used_tokens: u64,
    /// Memory capacity in tokens.
    pub capacity_tokens: u64,
    /// Maximum number of generations in a batch.
    pub max_batch: u64,
    /// Number of preemptions since the start.
    pub preemptions_total: u64,
    /// Duration of the last step in milliseconds.
    pub step_ms: f64,
}

/// Page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EventPage {
    /// Number from which to request the next page.
    pub seq: u64,
    /// Events; a gap in their numbers means lost events.
    pub events: Vec<CacheEvent>,
}

/// Change of a block of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Kind of the change.
    pub kind: CacheChange,
    /// Digest of the prefix up to the end of the block.
    pub prefix: Arc<str>,
}

/// Kind of change of a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
    /// A kind unknown to this version.
    #[serde(other)]
    Unknown,
}

/// Order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FencedOrder {
    /// Fencing number of the issuer's lease.
    pub fence: u64,
    /// Order to execute.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model.
    Load {
        /// Name of the model.
        model: Arc<str>,
    },
    /// Unload a model.
    Unload {
        /// Name of the model.
        model: Arc<str>,
    },
    /// Change the engine's role.
    Role {
        /// Name of the role.
        role: Arc<str>,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a higher fencing number.
    Fenced {
        /// Highest number the engine has seen.
        fence: u64,
    },
}

#[derive(Deserialize)]
pub(crate) struct Fenced {
    pub(crate) fence: u64,
}

/// Models of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ModelList {
    /// Models that are loaded or being loaded.
    pub models: Vec<Model>,
    /// Role of the engine.
    pub role: Arc<str>,
    /// Highest fencing number the engine has seen.
    pub fence: u64,
}

/// Model of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Loading state.
    pub state: ModelState,
}

/// Loading state of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Being loaded into memory.
    Loading,
    /// Ready to use.
    Loaded,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}
