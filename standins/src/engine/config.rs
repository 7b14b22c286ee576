//! Settings of an engine.

use std::sync::Arc;
use std::time::Duration;

use crate::RunLog;

/// Settings of an engine. All durations are divided by `time_scale`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models loaded at startup.
    pub models: Vec<Arc<str>>,
    /// Version of its software; empty to state none.
    pub software_version: Arc<str>,
    /// Seed of random output lengths.
    pub seed: u64,
    /// Base duration of a decode step, in milliseconds.
    pub step_base_ms: f64,
    /// Duration that each running sequence adds to a step, in milliseconds.
    pub step_per_seq_ms: f64,
    /// Duration that each prefilled token adds to a step, in milliseconds.
    pub prefill_per_token_ms: f64,
    /// Speed of the engine relative to simulated time.
    pub time_scale: f64,
    /// Multiplier of step durations.
    pub slow_factor: f64,
    /// Memory capacity for running sequences, in tokens.
    pub capacity_tokens: u64,
    /// Maximum number of running sequences.
    pub max_batch: usize,
    /// Maximum prompt length, in tokens.
    pub max_prompt_tokens: u64,
    /// Prefix cache capacity, in tokens.
    pub cache_tokens: u64,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// Interval between dropped cache events, in events; 0 for none.
    pub event_gap: u64,
    /// Delay of load reports.
    pub load_lag: Duration,
    /// Retention of a stream without readers, in progress or ended.
    pub resume_window: Duration,
    /// Duration of loading a model.
    pub load_time: Duration,
    /// Whether orders with a stale fencing number are rejected.
    pub check_fence: bool,
    /// Whether a crash aborts the process instead of stopping the server.
    pub crash_aborts: bool,
    /// Log of generations and orders.
    pub run_log: Arc<RunLog>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            models: vec![Arc::from("small")],
            software_version: Arc::from("v1"),
            seed: 1,
            step_base_ms: 12.0,
            step_per_seq_ms: 0.4,
            prefill_per_token_ms: 0.05,
            time_scale: 1.0,
            slow_factor: 1.0,
            capacity_tokens: 60_000,
            max_batch: 64,
            max_prompt_tokens: 16_384,
            cache_tokens: 30_000,
            event_lag: Duration::from_millis(500),
            event_gap: 0,
            load_lag: Duration::from_millis(500),
            resume_window: Duration::from_secs(10),
            load_time: Duration::from_secs(5),
            check_fence: true,
            crash_aborts: false,
            run_log: Arc::new(RunLog::discard()),
        }
    }
}

impl Config {
    /// Converts a simulated duration to clock time.
    pub(super) fn scaled(&self, duration: Duration) -> Duration {
        duration.div_f64(self.time_scale)
    }
}
