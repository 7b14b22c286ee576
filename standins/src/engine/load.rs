//! Delayed load reports.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::sync::lock;

/// The load of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting sequences.
    pub waiting: usize,
    /// Tokens held by running sequences.
    pub used_tokens: u64,
    /// Memory capacity, in tokens.
    pub capacity_tokens: u64,
    /// Maximum number of running sequences.
    pub max_batch: usize,
    /// Preemptions since startup.
    pub preemptions_total: u64,
    /// Clock time of the last step, in milliseconds.
    pub step_ms: f64,
}

/// Past loads that a report may still show.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    loads: Mutex<VecDeque<(Instant, Load)>>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration, initial: Load) -> Self {
        Self {
            lag,
            loads: Mutex::new(VecDeque::from([(Instant::now(), initial)])),
        }
    }

    /// Records the current load and drops loads that no report can show any more.
    pub(super) fn record(&self, load: Load) {
        let now = Instant::now();
        let mut loads = lock(&self.loads);
        loads.push_back((now, load));
        while loads
            .get(1)
            .is_some_and(|(recorded_at, _)| *recorded_at + self.lag <= now)
        {
            loads.pop_front();
        }
    }

    /// Returns the load from `lag` ago.
    pub(super) fn report(&self) -> Load {
        let now = Instant::now();
        let loads = lock(&self.loads);
        let visible = loads
            .iter()
            .rev()
            .find(|(recorded_at, _)| *recorded_at + self.lag <= now);
        let (_, load) = visible
            .or(loads.front())
            .copied()
            .unwrap_or((now, Load::default()));
        load
    }
}
