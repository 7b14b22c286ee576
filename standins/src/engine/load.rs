//! Load reports, which show the state of a while ago.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::sync::lock;

/// The load of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Sequences that run.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// Tokens that running sequences hold.
    pub used_tokens: u64,
    /// Tokens that the memory holds.
    pub capacity_tokens: u64,
    /// Sequences that may run at once.
    pub max_batch: usize,
    /// Preemptions since the start.
    pub preemptions_total: u64,
    /// Milliseconds of the last step, on the clock.
    pub step_ms: f64,
}

/// The loads of the past, as far as a report may need them.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    loads: Mutex<VecDeque<(Instant, Load)>>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration, first: Load) -> Self {
        Self {
            lag,
            loads: Mutex::new(VecDeque::from([(Instant::now(), first)])),
        }
    }

    /// Takes in the load of now and drops what no report will show again.
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

    /// The load as it was a lag ago.
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
