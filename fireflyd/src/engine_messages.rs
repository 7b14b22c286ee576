//! What a model engine is asked and answers, and reading its streams.

use std::sync::Arc;

use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::sse::{SseEvent, SseReader};

/// Last event of a generation's stream.
const DONE: &[u8] = b"[DONE]";

/// A generation to run.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Model to run it on.
    pub model: Arc<str>,
    /// The prompt, as the caller sent it.
    pub messages: Value,
    /// Most tokens to make.
    pub max_tokens: u64,
    /// Priority; what a greater number means is the engine's setting.
    pub priority: i64,
    /// Name under which the stream is cancelled or resumed.
    pub stream_id: Arc<str>,
    /// Name of the request across systems.
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

/// What happens on the stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next tokens, as many as arrived together.
    Tokens(Vec<Token>),
    /// The generation ended; the last event.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// What it took.
        usage: Usage,
    },
    /// The stream ended before the generation; the last event.
    Broken {
        /// What happened, for the log.
        cause: String,
    },
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its text.
    pub text: String,
    /// Its place in the generation, counted from 0, if the engine numbers its tokens.
    pub offset: Option<u64>,
}

/// Why a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model stopped by itself.
    Stop,
    /// It reached its bound of tokens.
    Length,
    /// It was cancelled.
    Cancelled,
    /// Another reason, in the engine's words.
    Other(Arc<str>),
}

impl From<&str> for FinishReason {
    fn from(text: &str) -> Self {
        match text {
            "stop" => Self::Stop,
            "length" => Self::Length,
            "cancelled" | "canceled" | "abort" => Self::Cancelled,
            other => Self::Other(other.into()),
        }
    }
}

/// What a generation took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens made.
    pub completion_tokens: u64,
    /// How often it lost its memory and began again.
    pub preemptions: u64,
}

/// The events of one generation.
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

/// Turns the bytes of a generation's stream into events; holds no socket.
#[derive(Debug, Default)]
pub struct Decoder {
    sse: SseReader,
    reason: Option<FinishReason>,
    usage: Usage,
    pub(crate) ended: bool,
}

impl Decoder {
    /// The events that `chunk` completes; none after the last one.
    pub fn feed(&mut self, chunk: &[u8]) -> Vec<EngineEvent> {
        if self.ended {
            return Vec::new();
        }
        self.sse.push(chunk);
        let mut tokens = Vec::new();
        let last = self.decode_available(&mut tokens);
        self.ended = last.is_some();
        let tokens = (!tokens.is_empty()).then_some(EngineEvent::Tokens(tokens));
        tokens.into_iter().chain(last).collect()
    }

    /// The last event, when the connection ended; `None` when it was given out before.
    pub fn end(&mut self, cause: impl Into<String>) -> Option<EngineEvent> {
        if self.ended {
            return None;
        }
        self.ended = true;
        match self.reason.take() {
            // All tokens are there; only the closing event is missing.
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

    /// Takes the whole events at hand; gives the last event of the stream if it is among them.
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
            tokens.extend(token(choice.delta, event));
            let reason = choice.finish_reason.as_deref().map(FinishReason::from);
            self.reason = reason.or(self.reason.take());
        }
        Ok(None)
    }
}

/// The token of an event: one with text, or a numbered one without.
fn token(delta: Delta, event: &SseEvent) -> Option<Token> {
    let offset = event.id.as_deref().and_then(|id| id.parse().ok());
    let text = delta.content.unwrap_or_default();
    (offset.is_some() || !text.is_empty()).then_some(Token { text, offset })
}

/// What an engine reports of its load; it lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u64,
    /// Generations that wait.
    pub waiting: u64,
    /// Tokens held in memory.
    pub used_tokens: u64,
    /// Tokens that fit in memory.
    pub capacity_tokens: u64,
    /// Most generations in a batch.
    pub max_batch: u64,
    /// Preemptions since the start.
    pub preemptions_total: u64,
    /// Length of the last step in milliseconds.
    pub step_ms: f64,
}

/// A page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EventPage {
    /// Number from which the next page goes on.
    pub seq: u64,
    /// The events; gaps in their numbers are lost events.
    pub events: Vec<CacheEvent>,
}

/// What happened to a block of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Digest of the prefix that the block ends.
    pub prefix: Arc<str>,
}

/// What can happen to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was taken in.
    Stored,
    /// It was thrown out.
    Evicted,
    /// A change this version doesn't know.
    #[serde(other)]
    Unknown,
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FencedOrder {
    /// Fencing number of the issuer's lease.
    pub fence: u64,
    /// What is ordered.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model.
    Load {
        /// Its name.
        model: Arc<str>,
    },
    /// Unload a model.
    Unload {
        /// Its name.
        model: Arc<str>,
    },
    /// Take another role.
    Role {
        /// Its name.
        role: Arc<str>,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine refused it, having seen a greater fencing number.
    Fenced {
        /// The greatest number it has seen.
        fence: u64,
    },
}

#[derive(Deserialize)]
pub(crate) struct Fenced {
    pub(crate) fence: u64,
}

/// The models of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ModelList {
    /// The models, loaded or on their way.
    pub models: Vec<Model>,
    /// Role of the engine.
    pub role: Arc<str>,
    /// Greatest fencing number the engine has seen.
    pub fence: u64,
}

/// A model of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Whether it can be used.
    pub state: ModelState,
}

/// Whether a model can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// On its way into memory.
    Loading,
    /// Ready.
    Loaded,
    /// A state this version doesn't know.
    #[serde(other)]
    Unknown,
}
