//! Recent events of requests, kept for `fireflyctl explain`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use fireflycroft::{LogEvent, Name, RequestId};
use serde_json::{Value, json};

/// Most events kept; the oldest is evicted first.
pub const MAX_EVENTS: usize = 8_192;

/// Events of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Journal {
    node: Name,
    events: Arc<Mutex<VecDeque<(u64, LogEvent)>>>,
}

impl Journal {
    /// Creates an empty journal of the node of that name.
    #[must_use]
    pub fn new(node: Name) -> Self {
        Self {
            node,
            events: Arc::default(),
        }
    }

    /// Adds an event, unless it concerns no request.
    pub fn add(&self, log_event: &LogEvent) {
        if log_event.request.is_none() {
            return;
        }
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let at = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back((at, log_event.clone()));
    }

    /// Returns the events of a request in order, as JSON.
    #[must_use]
    pub fn explain(&self, request: RequestId) -> Value {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let of_request = events.iter().filter(|(_, n)| n.request == Some(request));
        let rows = of_request.map(|(at, log_event)| self.row(*at, log_event));
        Value::Array(rows.collect())
    }

    fn row(&self, at: u64, log_event: &LogEvent) -> Value {
        json!({
            "at_ms": at,
            "node": self.node,
            "event": log_event.event,
            "peer": log_event.peer,
            "code": log_event.code.map(fireflycroft::Code::number),
            "phrase": log_event.code.map(fireflycroft::Code::phrase),
            "count": log_event.count,
        })
    }
}
