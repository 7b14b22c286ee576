//! Status of a process for operators, updated by its loop.

use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

/// Latest status; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Status {
    value: Arc<Mutex<Value>>,
}

impl Status {
    /// Replaces the status.
    pub fn set(&self, value: Value) {
        *self.value.lock().unwrap_or_else(PoisonError::into_inner) = value;
    }

    /// Returns the current status.
    #[must_use]
    pub fn get(&self) -> Value {
        self.value
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
