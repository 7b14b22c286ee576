//! The state that a process shows to operators, renewed by its loop.

use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

/// State shown last; cloning shares it.
#[derive(Clone, Debug, Default)]
pub struct Status {
    value: Arc<Mutex<Value>>,
}

impl Status {
    /// Shows `value` from now on.
    pub fn set(&self, value: Value) {
        *self.value.lock().unwrap_or_else(PoisonError::into_inner) = value;
    }

    /// What is shown.
    #[must_use]
    pub fn get(&self) -> Value {
        self.value
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
