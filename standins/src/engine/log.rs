//! Events in the run log of an engine.

use serde::Serialize;

use super::orders::FencedOrder;
use super::stream::EndReason;

/// An event in the run log.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum RunEvent<'a> {
    /// A generation was queued.
    Started {
        id: &'a str,
        stream_id: &'a str,
        request_id: Option<&'a str>,
        mark: Option<&'a str>,
        model: &'a str,
        nonce: String,
        prompt_tokens: u64,
        priority: i64,
    },
    /// A generation produced its first token.
    FirstToken { id: &'a str },
    /// A generation was preempted after `tokens` tokens.
    Preempted { id: &'a str, tokens: u64 },
    /// A generation ended.
    Finished {
        id: &'a str,
        tokens: u64,
        reason: EndReason,
    },
    /// A generation was cancelled after `tokens` tokens.
    Cancelled {
        id: &'a str,
        stream_id: &'a str,
        tokens: u64,
    },
    /// An order arrived.
    Order {
        accepted: bool,
        #[serde(flatten)]
        order: &'a FencedOrder,
    },
    /// A generation crashed the engine.
    Crashed { id: &'a str, mark: Option<&'a str> },
}
