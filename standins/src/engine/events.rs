//! Publishing cache events with a delay and with gaps.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::cache::CacheChange;
use crate::sync::lock;

/// Maximum number of retained events.
const MAX_RETAINED_EVENTS: usize = 8_192;

/// A numbered cache event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    kind: CacheChange,
    prefix: String,
}

/// A page of events and the number of the last one.
#[derive(Debug, Serialize)]
pub(super) struct EventPage {
    seq: u64,
    events: Vec<CacheEvent>,
}

/// The log of past events.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    gap: u64,
    retained: Mutex<RetainedEvents>,
    added: Notify,
}

#[derive(Debug, Default)]
struct RetainedEvents {
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, gap: u64) -> Self {
        Self {
            lag,
            gap,
            retained: Mutex::default(),
            added: Notify::new(),
        }
    }

    /// Numbers and retains changes, dropping every `gap`th one.
    pub(super) fn publish(&self, changes: Vec<(CacheChange, u64)>) {
        if changes.is_empty() {
            return;
        }
        let visible_at = Instant::now() + self.lag;
        let mut retained = lock(&self.retained);
        for (kind, prefix) in changes {
            retained.seq += 1;
            let event = CacheEvent {
                seq: retained.seq,
                kind,
                prefix: format!("{prefix:016x}"),
            };
            if !retained.seq.is_multiple_of(self.gap) {
                retained.push(visible_at, event);
            }
        }
        self.added.notify_waiters();
    }

    /// Waits for events after `since`; returns an empty page on a timeout.
    pub(super) async fn since(&self, since: u64, timeout: Duration) -> EventPage {
        let deadline = Instant::now() + timeout;
        loop {
            let added = self.added.notified();
            let events = lock(&self.retained).visible(since);
            if !events.events.is_empty() || Instant::now() >= deadline {
                return events;
            }
            let next = lock(&self.retained).next_visible(since);
            tokio::select! {
                () = added => {}
                () = sleep_until(next.map_or(deadline, |next| next.min(deadline))) => {}
            }
        }
    }
}

impl RetainedEvents {
    fn push(&mut self, visible_at: Instant, event: CacheEvent) {
        if self.events.len() == MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((visible_at, event));
    }

    fn visible(&self, since: u64) -> EventPage {
        let now = Instant::now();
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|(visible_at, event)| *visible_at <= now && event.seq > since)
            .map(|(_, event)| event.clone())
            .collect();
        EventPage {
            seq: events.last().map_or(since, |event| event.seq),
            events,
        }
    }

    /// Returns when the next event after `since` becomes visible.
    fn next_visible(&self, since: u64) -> Option<Instant> {
        let mut later = self.events.iter().filter(|(_, event)| event.seq > since);
        later.next().map(|(visible_at, _)| *visible_at)
    }
}
