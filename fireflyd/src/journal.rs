//! What happened to requests of late, kept for `fireflyctl explain`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use fireflycroft::{LogEvent, Name, RequestId};
use serde_json::{Value, json};

/// Notes kept at once; the oldest goes when more come.
pub const MAX_NOTES: usize = 8_192;

/// Notes of one process; cloning shares them.
#[derive(Clone, Debug)]
pub struct Journal {
    node: Name,
    notes: Arc<Mutex<VecDeque<(u64, LogEvent)>>>,
}

impl Journal {
    /// An empty journal of the node of that name.
    #[must_use]
    pub fn new(node: Name) -> Self {
        Self {
            node,
            notes: Arc::default(),
        }
    }

    /// Keeps a note that concerns a request.
    pub fn add(&self, note: &LogEvent) {
        if note.request.is_none() {
            return;
        }
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let at = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let mut notes = self.notes.lock().unwrap_or_else(PoisonError::into_inner);
        if notes.len() >= MAX_NOTES {
            notes.pop_front();
        }
        notes.push_back((at, note.clone()));
    }

    /// What happened to a request, in order, as JSON.
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Value {
        let notes = self.notes.lock().unwrap_or_else(PoisonError::into_inner);
        let of_request = notes.iter().filter(|(_, n)| n.request == Some(request));
        let rows = of_request.map(|(at, note)| self.row(*at, note));
        Value::Array(rows.collect())
    }

    fn row(&self, at: u64, note: &LogEvent) -> Value {
        json!({
            "at_ms": at,
            "node": self.node,
            "event": note.event,
            "peer": note.peer,
            "code": note.code.map(fireflycroft::Code::number),
            "phrase": note.code.map(fireflycroft::Code::phrase),
            "count": note.count,
        })
    }
}
