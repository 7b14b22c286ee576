//! The work of a request and its demand on an upstream.

use crate::ids::{Digest, Name, PartId};
use std::sync::Arc;

/// Priority of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Long-running work that may wait.
    Batch,
    /// A person waits for the answer.
    Interactive,
}

/// Work of a request, opaque to the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A generation by a model.
    Generate {
        /// The caller's JSON body, in the upstream's format.
        body: Arc<[u8]>,
    },
    /// A call to a plain service.
    Call {
        /// HTTP method.
        method: Name,
        /// Path and query, relative to the service.
        path: Name,
        /// Value of `Content-Type`; empty for none.
        content_type: Name,
        /// Unchanged body.
        body: Arc<[u8]>,
    },
}

/// Properties of a request that are known before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Workspace of the caller.
    pub workspace: Name,
    /// Model or plain service requested.
    pub target: Name,
    /// Priority.
    pub priority: Priority,
    /// Prompt tokens, estimated by the entry.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that the caller accepts.
    pub max_tokens: u32,
    /// Digest of the prompt's beginning, for prefix affinity.
    pub prefix: Digest,
    /// Digest of the whole content, for quarantine.
    pub content: Digest,
    /// Messages of the prompt but the last, which other requests may share.
    pub shared_parts: Vec<PartId>,
    /// Whether it may be run again after a failure.
    pub retryable: bool,
    /// Number of upstreams that crashed while running this content.
    pub crashes: u8,
}

/// Path of generation requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";

impl Work {
    /// Returns the length of the body in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Self::Generate { body } | Self::Call { body, .. } => body.len(),
        }
    }

    /// Returns the method and path, for the retry rules.
    #[must_use]
    pub fn method_and_path(&self) -> (&str, &str) {
        match self {
            Self::Generate { .. } => ("POST", CHAT_PATH),
            Self::Call { method, path, .. } => (method, path),
        }
    }

    /// Returns whether the body is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
