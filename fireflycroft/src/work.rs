//! What a caller asks for, and how much of an upstream it may take.

use crate::ids::{Digest, Name};
use std::sync::Arc;

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Long work that may wait.
    Batch,
    /// Somebody waits at a counter.
    Interactive,
}

/// The work itself, opaque to the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A generation of a model; `body` is the caller's JSON.
    Generate {
        /// JSON body as the upstream takes it.
        body: Arc<[u8]>,
    },
    /// A call to a plain service.
    Call {
        /// HTTP method.
        method: Name,
        /// Path and query below the service.
        path: Name,
        /// Value of `Content-Type`; empty for none.
        content_type: Name,
        /// Body, as it came.
        body: Arc<[u8]>,
    },
}

/// What is known of a request before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Workspace that asks.
    pub workspace: Name,
    /// Model or plain service that is to answer.
    pub target: Name,
    /// How urgent it is.
    pub priority: Priority,
    /// Tokens of the prompt, as the entry estimates them.
    pub prompt_tokens: u32,
    /// Most tokens that the caller will take.
    pub max_tokens: u32,
    /// Digest of the prompt's head, for prefix affinity.
    pub prefix: Digest,
    /// Digest of the whole content, for quarantine.
    pub content: Digest,
    /// Whether it may be run again.
    pub retryable: bool,
    /// Upstreams that crashed while running this content.
    pub crashes: u8,
}

/// Path under which generations are asked for.
pub const CHAT_PATH: &str = "/v1/chat/completions";

impl Work {
    /// Bytes that the work holds.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Self::Generate { body } | Self::Call { body, .. } => body.len(),
        }
    }

    /// Method and path, for rules on repeating.
    #[must_use]
    pub fn method_and_path(&self) -> (&str, &str) {
        match self {
            Self::Generate { .. } => ("POST", CHAT_PATH),
            Self::Call { method, path, .. } => (method, path),
        }
    }

    /// Whether the body is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
