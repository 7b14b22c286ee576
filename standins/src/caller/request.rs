//! What a caller asks for.

use serde_json::{Value, json};

/// What is to be run.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A generation.
    Generate {
        /// Model to ask for.
        model: String,
        /// Tokens that the answer has.
        tokens: u64,
        /// Whether the answer comes token by token.
        stream: bool,
        /// More directives for the engine.
        directives: String,
    },
    /// A call of a plain service by `POST`.
    Call {
        /// Name of the service.
        service: String,
        /// Path of the call, with its first slash.
        path: String,
    },
}

/// One request as its caller means it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Tag by which the run logs tell it from others.
    pub mark: String,
    /// Key of the workspace.
    pub key: String,
    /// What is to be run.
    pub work: Work,
    /// `Idempotency-Key`, if it has one.
    pub idempotency_key: Option<String>,
    /// Whether it keeps its body when it is sent again.
    pub keeps_body: bool,
}

impl Request {
    /// A streamed generation.
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
            },
            idempotency_key: None,
            keeps_body: false,
        }
    }

    /// A generation that is answered as a whole.
    #[must_use]
    pub fn non_streaming(mark: &str, key: &str, model: &str, tokens: u64) -> Self {
        let mut req = Self::stream(mark, key, model, tokens);
        if let Work::Generate { stream, .. } = &mut req.work {
            *stream = false;
        }
        req
    }

    /// A call of a plain service.
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

    /// The same with an `Idempotency-Key`, which it keeps with its body.
    #[must_use]
    pub fn with_idempotency_key(mut self, idempotency_key: &str) -> Self {
        self.idempotency_key = Some(idempotency_key.to_owned());
        self.keeps_body = true;
        self
    }

    /// The same with its body kept when it is sent again.
    #[must_use]
    pub fn same_body(mut self) -> Self {
        self.keeps_body = true;
        self
    }

    /// The same with more directives for the engine.
    #[must_use]
    pub fn directives(mut self, text: &str) -> Self {
        if let Work::Generate { directives, .. } = &mut self.work {
            directives.push_str(text);
        }
        self
    }

    /// Tokens that a whole answer has; `None` for a call.
    #[must_use]
    pub fn tokens(&self) -> Option<u64> {
        match &self.work {
            Work::Generate { tokens, .. } => Some(*tokens),
            Work::Call { .. } => None,
        }
    }

    /// Whether it may be sent anew though it may have run.
    pub(super) fn is_retryable(&self) -> bool {
        let generates = matches!(self.work, Work::Generate { .. });
        generates || self.idempotency_key.is_some()
    }

    /// Path of its URL.
    pub(super) fn path(&self) -> String {
        match &self.work {
            Work::Generate { .. } => "/v1/chat/completions".to_owned(),
            Work::Call { service, path } => format!("/services/{service}{path}"),
        }
    }

    /// Its body under `mark`.
    pub(super) fn body(&self, mark: &str) -> Value {
        match &self.work {
            Work::Generate {
                model,
                tokens,
                stream,
                directives,
            } => {
                let content = format!("[[mark={mark}]][[len={tokens}]]{directives} hello");
                json!({
                    "model": model,
                    "messages": [{"role": "user", "content": content}],
                    "max_tokens": tokens + 1,
                    "stream": stream,
                })
            }
            Work::Call { .. } => json!({ "text": format!("[[mark={mark}]]") }),
        }
    }
}
