//! Parsing of a caller's HTTP request into a submission.

use std::sync::Arc;

use fireflycroft::{
    CHAT_PATH, Code, Delivery, Digest, MAX_SHARED_PARTS, Name, PartId, Priority, ResumePoint,
    Submission, Work, digest_key, parse_event_id,
};
use poem::http::HeaderMap;
use serde::Deserialize;

/// Largest body of a request in bytes; it must fit into one mailbox message.
pub const MAX_BODY_BYTES: usize = 768 * 1024;
/// Most headers of a request.
pub const MAX_HEADERS: usize = 64;
/// Most bytes of all headers.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Longest `Idempotency-Key` in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Token limit of an answer when the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 32_768;
/// Leading bytes of the prompt whose digest is the key of prefix affinity.
const PREFIX_BYTES: usize = 1024;
/// Bytes per token assumed for texts of long words, whose word count is too low an estimate.
const BYTES_PER_TOKEN: usize = 8;

/// Refusal of a request before it reaches the core.
#[derive(Debug)]
pub struct BadRequest {
    /// Result code.
    pub code: Code,
    /// Description of the fault for the caller.
    pub detail: String,
}

impl BadRequest {
    fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

/// Submission for the core, with the target for the response.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Submission for the core.
    pub submission: Submission,
    /// Model or plain service.
    pub target: Name,
}

#[derive(Deserialize)]
struct ChatRequest {
    model: Name,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority_class: Option<Priority>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Checks the number and total size of the headers.
///
/// # Errors
///
/// Returns `HeadersTooLarge` when there are too many bytes or headers.
pub fn check_headers(headers: &HeaderMap) -> Result<(), BadRequest> {
    let bytes: usize = headers
        .iter()
        .map(|(k, v)| k.as_str().len() + v.len())
        .sum();
    if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
        let detail = format!("{} headers of {bytes} bytes", headers.len());
        return Err(BadRequest::new(Code::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Parses a chat completion request.
///
/// # Errors
///
/// Returns `BadRequest` or `KeyRefused` with a description of the fault.
pub fn parse_chat(headers: &HeaderMap, body: Vec<u8>) -> Result<ParsedRequest, BadRequest> {
    let key_digest = parse_key(headers)?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|e| BadRequest::new(Code::BadRequest, e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(BadRequest::new(Code::BadRequest, "messages is empty"));
    }
    let target = chat.model.clone();
    let submission = Submission {
        key_digest,
        target: target.clone(),
        method: "POST".into(),
        path: CHAT_PATH.into(),
        priority: chat.priority_class,
        prompt_tokens: estimate_tokens(&chat.messages),
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        prefix: digest_prefix(&chat),
        shared_parts: digest_shared_parts(&chat),
        delivery: if chat.stream {
            Delivery::Stream
        } else {
            Delivery::Whole
        },
        idempotency_key: parse_idempotency_key(headers)?,
        never_retry: false,
        resume: parse_resume_point(headers)?,
        work: Work::Generate {
            body: Arc::from(body),
        },
    };
    Ok(ParsedRequest { submission, target })
}

/// Parses a call to a plain service.
///
/// # Errors
///
/// Returns `BadRequest` or `KeyRefused` with a description of the fault.
pub fn parse_call(
    headers: &HeaderMap,
    method: &str,
    service: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<ParsedRequest, BadRequest> {
    let target = Name::from(service);
    let method = Name::from(method);
    let path = Name::from(path);
    let content_type = Name::from(header_str(headers, "content-type").unwrap_or_default());
    let submission = Submission {
        key_digest: parse_key(headers)?,
        target: target.clone(),
        method: method.clone(),
        path: path.clone(),
        priority: Some(Priority::Interactive),
        prompt_tokens: 1,
        max_tokens: 1,
        prefix: Digest::of(&[]),
        shared_parts: Vec::new(),
        delivery: Delivery::Whole,
        idempotency_key: parse_idempotency_key(headers)?,
        never_retry: !is_idempotent(&method),
        resume: None,
        work: Work::Call {
            method,
            path,
            content_type,
            body: Arc::from(body),
        },
    };
    Ok(ParsedRequest { submission, target })
}

/// Returns whether HTTP defines the method as idempotent.
fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_key(headers: &HeaderMap) -> Result<[u8; 32], BadRequest> {
    let value = header_str(headers, "authorization");
    let key = value.and_then(|v| v.strip_prefix("Bearer "));
    match key.map(str::trim) {
        Some(key) if !key.is_empty() => Ok(digest_key(key)),
        _ => Err(BadRequest::new(Code::KeyRefused, "no bearer key")),
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, BadRequest> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().trim();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(BadRequest::new(
            Code::BadRequest,
            "Idempotency-Key is empty, too long or not ASCII",
        ));
    }
    Ok(Some(Name::from(key)))
}

fn parse_resume_point(headers: &HeaderMap) -> Result<Option<ResumePoint>, BadRequest> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let point = value.to_str().ok().and_then(parse_event_id);
    point
        .map(Some)
        .ok_or_else(|| BadRequest::new(Code::BadRequest, "Last-Event-ID is none of ours"))
}

fn estimate_tokens(messages: &[ChatMessage]) -> u32 {
    let words: usize = messages
        .iter()
        .map(|m| m.content.split_whitespace().count())
        .sum();
    let bytes: usize = messages.iter().map(|m| m.content.len()).sum();
    let tokens = words.max(bytes / BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the digests of the messages that other requests may share: all but the last, the first ones of a long
/// conversation.
fn digest_shared_parts(chat: &ChatRequest) -> Vec<PartId> {
    let shared = chat.messages.split_last().map_or(&[][..], |(_, rest)| rest);
    let part = |m: &ChatMessage| PartId(Digest::of(&[m.content.as_bytes()]).folded());
    shared.iter().take(MAX_SHARED_PARTS).map(part).collect()
}

fn digest_prefix(chat: &ChatRequest) -> Digest {
    let mut prefix_bytes = Vec::with_capacity(PREFIX_BYTES);
    for message in &chat.messages {
        let remaining = PREFIX_BYTES - prefix_bytes.len();
        prefix_bytes.extend(message.content.bytes().take(remaining));
    }
    Digest::of(&[chat.model.as_bytes(), &prefix_bytes])
}
