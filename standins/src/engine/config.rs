//! Settings of an engine.

use std::sync::Arc;
use std::time::Duration;

use crate::RunLog;

/// Settings of an engine. All durations are divided by `time_scale`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Models loaded from the start.
    pub models: Vec<Arc<str>>,
    /// Seed of drawn output lengths.
    pub seed: u64,
    /// Milliseconds of a decode step for itself.
    pub step_base_ms: f64,
    /// Milliseconds that each running sequence adds to a step.
    pub step_per_seq_ms: f64,
    /// Milliseconds that each prompt token to compute adds to a step.
    pub prefill_per_token_ms: f64,
    /// How many times faster than the model of time the engine runs.
    pub time_scale: f64,
    /// How many times slower than usual the steps are.
    pub slow_factor: f64,
    /// Tokens that the memory of running sequences holds.
    pub capacity_tokens: u64,
    /// Sequences that run at once.
    pub max_batch: usize,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// How late cache events are published.
    pub event_lag: Duration,
    /// Every so many cache events one is lost; 0 for none.
    pub event_gap: u64,
    /// How late load reports are.
    pub load_lag: Duration,
    /// How long a stream outlives its connection or its end.
    pub resume_window: Duration,
    /// How long it takes to load a model.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub check_fence: bool,
    /// Whether a crash aborts the process, or only stops the server.
    pub crash_aborts: bool,
    /// Where generations that ran are told.
    pub run_log: Arc<RunLog>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            models: vec![Arc::from("small")],
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
    /// A duration of the model of time as it passes on the clock.
    pub(super) fn scaled(&self, duration: Duration) -> Duration {
        duration.div_f64(self.time_scale)
    }
}
