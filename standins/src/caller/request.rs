//! Requests of callers.

use serde_json::{Value, json};

/// Work that a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A generation.
    Generate {
        /// Name of the model.
        model: String,
        /// Tokens in the complete answer.
        tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
        /// Further directives to the engine in the prompt.
        directives: String,
        /// Earlier messages of the conversation.
        history: Vec<String>,
    },
    /// A `POST` call of a plain service.
    Call {
        /// Name of the service.
        service: String,
        /// Path of the call, with a leading slash.
        path: String,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Tag that identifies the request in the run logs.
    pub mark: String,
    /// Key of the workspace.
    pub key: String,
    /// Work to run.
    pub work: Work,
    /// Value of `Idempotency-Key`, if sent.
    pub idempotency_key: Option<String>,
    /// Whether retries send the same body.
    pub keeps_body: bool,
}

impl Request {
    /// Creates a streamed generation.
    #[must_use]
    pub fn stream(mark: &str, key: &str, model: &str, tokens: u64) -> Self {
        Self {
            mark: mark.to_owned(),
            key: key.to_owned(),
            work: Work::Generate {
                model: model.to_owned(),
                tokens,
                stream: true,
                directives: String::new(),
                history: Vec::new(),
            },
            idempotency_key: None,
            keeps_body: false,
        }
    }

    /// Creates a generation with a single, non-streamed answer.
    #[must_use]
    pub fn non_streaming(mark: &str, key: &str, model: &str, tokens: u64) -> Self {
        let mut req = Self::stream(mark, key, model, tokens);
        if let Work::Generate { stream, .. } = &mut req.work {
            *stream = false;
        }
        req
    }

    /// Creates a call of a plain service.
    #[must_use]
    pub fn call(mark: &str, key: &str, service: &str, path: &str) -> Self {
        Self {
            work: Work::Call {
                service: service.to_owned(),
                path: path.to_owned(),
            },
            ..Self::stream(mark, key, "", 0)
        }
    }

    /// Adds an `Idempotency-Key`; retries send the same body.
    #[must_use]
    pub fn with_idempotency_key(mut self, idempotency_key: &str) -> Self {
        self.idempotency_key = Some(idempotency_key.to_owned());
        self.keeps_body = true;
        self
    }

    /// Makes retries send the same body.
    #[must_use]
    pub fn same_body(mut self) -> Self {
        self.keeps_body = true;
        self
    }

    /// Appends directives to the engine.
    #[must_use]
    pub fn directives(mut self, text: &str) -> Self {
        if let Work::Generate { directives, .. } = &mut self.work {
            directives.push_str(text);
        }
        self
    }

    /// Adds an earlier message of the conversation.
    #[must_use]
    pub fn after(mut self, text: &str) -> Self {
        if let Work::Generate { history, .. } = &mut self.work {
            history.push(text.to_owned());
        }
        self
    }

    /// Returns the tokens in a complete answer; `None` for a call.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        match &self.work {
            Work::Generate { tokens, .. } => Some(*tokens),
            Work::Call { .. } => None,
        }
    }

    /// Returns whether a retry is allowed although the request may have run.
    pub(super) fn is_retryable(&self) -> bool {
        let generates = matches!(self.work, Work::Generate { .. });
        generates || self.idempotency_key.is_some()
    }

    /// Returns the path of the URL.
    pub(super) fn path(&self) -> String {
        match &self.work {
            Work::Generate { .. } => "/v1/chat/completions".to_owned(),
            Work::Call { service, path } => format!("/services/{service}{path}"),
        }
    }

    /// Returns the body with the tag `mark`.
    pub(super) fn body(&self, mark: &str) -> Value {
        match &self.work {
            Work::Generate {
                model,
                tokens,
                stream,
                directives,
                history,
            } => {
                let content = format!("[[mark={mark}]][[len={tokens}]]{directives} hello");
                let last = [&content].into_iter();
                let messages = history.iter().chain(last);
                let messages = messages.map(|text| json!({"role": "user", "content": text}));
                json!({
                    "model": model,
                    "messages": messages.collect::<Vec<_>>(),
                    "max_tokens": tokens + 1,
                    "stream": stream,
                })
            }
            Work::Call { .. } => json!({ "text": format!("[[mark={mark}]]") }),
        }
    }
}
