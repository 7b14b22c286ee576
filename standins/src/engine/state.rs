//! Shared state of the endpoints and the steps of an engine.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::StepPlan;
use super::config::Config;
use super::core::{Core, Submission, SubmitError};
use super::events::EventLog;
use super::load::LoadHistory;
use super::log::RunEvent;
use super::orders::{FencedOrder, Orders, StaleFence};
use super::stream::{Reader, Stream};
use super::stream_faults::{BodyEnd, CancelOutcome, EarlyEnd, StreamFaults};
use crate::server::Stop;
use crate::sync::lock;

/// A change of the faults; omitted fields keep their values.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct FaultPatch {
    /// Multiplier of step durations.
    pub(super) slow_factor: Option<f64>,
    /// Clock time for which the engine is frozen, in milliseconds.
    pub(super) freeze_ms: Option<u64>,
    /// Version of the software that goes on with its streams.
    pub(super) software_version: Option<Arc<str>>,
    /// End of the bodies of cancelled generations.
    pub(super) cancelled_end: Option<BodyEnd>,
    /// What becomes of cancellations.
    pub(super) cancel: Option<CancelOutcome>,
    /// End of bodies before that of their generation.
    pub(super) early_end: Option<EarlyEnd>,
}

/// The whole state of an engine.
#[derive(Debug)]
pub(super) struct State {
    pub(super) cfg: Config,
    pub(super) orders: Mutex<Orders>,
    pub(super) events: EventLog,
    pub(super) load: LoadHistory,
    pub(super) stop: Stop,
    pub(super) work_added: Notify,
    core: Mutex<Core>,
    software_version: Mutex<Arc<str>>,
    stream_faults: Arc<Mutex<StreamFaults>>,
    pace: Mutex<PaceFaults>,
}

/// Faults that affect the engine's pace.
#[derive(Clone, Copy, Debug)]
struct PaceFaults {
    slow_factor: f64,
    frozen_until: Instant,
}

impl State {
    pub(super) fn new(cfg: Config, stop: Stop) -> Self {
        let core = Core::new(&cfg);
        let initial_load = core.load(&cfg);
        Self {
            orders: Mutex::new(Orders::new(
                &cfg.models,
                cfg.check_fence,
                cfg.scaled(cfg.load_time),
            )),
            events: EventLog::new(cfg.scaled(cfg.event_lag), cfg.event_gap),
            load: LoadHistory::new(cfg.scaled(cfg.load_lag), initial_load),
            stop,
            work_added: Notify::new(),
            core: Mutex::new(core),
            software_version: Mutex::new(Arc::clone(&cfg.software_version)),
            stream_faults: Arc::default(),
            pace: Mutex::new(PaceFaults {
                slow_factor: cfg.slow_factor,
                frozen_until: Instant::now(),
            }),
            cfg,
        }
    }

    /// Adds a request to the waiting queue and attaches a reader to its stream.
    pub(super) fn submit(&self, submission: Submission) -> Result<Reader, SubmitError> {
        if !lock(&self.orders).serves(&submission.model) {
            return Err(SubmitError::UnknownModel);
        }
        let longest = self.cfg.max_prompt_tokens.min(self.cfg.capacity_tokens - 1);
        if submission.prompt.tokens > longest {
            return Err(SubmitError::PromptTooLong);
        }
        let reader = lock(&self.core).submit(&self.cfg, submission)?;
        self.record_load();
        self.work_added.notify_one();
        Ok(reader)
    }

    /// Returns a stream by its id.
    pub(super) fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        lock(&self.core).stream(id)
    }

    /// Cancels a generation in progress.
    pub(super) fn cancel(&self, stream: &Stream) {
        lock(&self.core).cancel(&self.cfg, stream);
        self.record_load();
    }

    /// Cancels idle streams in progress and drops idle ended ones.
    pub(super) fn sweep(&self) {
        let window = self.cfg.scaled(self.cfg.resume_window);
        if lock(&self.core).sweep(&self.cfg, window) {
            self.record_load();
        }
    }

    /// Plans a step; returns its duration, or `None` if there is no work.
    pub(super) fn begin_step(&self) -> Option<Duration> {
        let mut core = lock(&self.core);
        let plan = core.plan(&self.cfg);
        self.events.publish(core.take_cache_changes());
        if plan.batch == 0 {
            return None;
        }
        let step = self.step_time(&plan);
        core.set_step_duration(step);
        Some(step)
    }

    /// Delivers the tokens of a step; returns whether the engine crashed.
    pub(super) fn end_step(&self) -> bool {
        let crashed = lock(&self.core).commit(&self.cfg);
        self.record_load();
        crashed
    }

    /// Applies an order and logs it, accepted or not.
    pub(super) fn apply_order(&self, order: &FencedOrder) -> Result<(), StaleFence> {
        let mut orders = lock(&self.orders);
        let result = orders.apply(order);
        self.cfg.run_log.append(&RunEvent::Order {
            accepted: result.is_ok(),
            order,
        });
        result
    }

    /// Applies a change of the faults.
    pub(super) fn patch_faults(&self, patch: FaultPatch) {
        if let Some(version) = patch.software_version {
            *lock(&self.software_version) = version;
        }
        let mut streams = lock(&self.stream_faults);
        streams.cancelled_end = patch.cancelled_end.unwrap_or(streams.cancelled_end);
        streams.cancel = patch.cancel.unwrap_or(streams.cancel);
        streams.early_end = patch.early_end.or(streams.early_end);
        let mut pace = lock(&self.pace);
        if let Some(factor) = patch.slow_factor {
            pace.slow_factor = factor;
        }
        if let Some(freeze) = patch.freeze_ms {
            pace.frozen_until = Instant::now() + Duration::from_millis(freeze);
        }
    }

    /// Returns the version of its software.
    pub(super) fn software_version(&self) -> Arc<str> {
        Arc::clone(&lock(&self.software_version))
    }

    /// Returns the faults of its streams.
    pub(super) fn stream_faults(&self) -> Arc<Mutex<StreamFaults>> {
        Arc::clone(&self.stream_faults)
    }

    /// Returns the end of the latest freeze.
    pub(super) fn frozen_until(&self) -> Instant {
        lock(&self.pace).frozen_until
    }

    fn record_load(&self) {
        let load = lock(&self.core).load(&self.cfg);
        self.load.record(load);
    }

    #[expect(clippy::cast_precision_loss, reason = "counts stay small")]
    fn step_time(&self, plan: &StepPlan) -> Duration {
        let cfg = &self.cfg;
        let ms = cfg.step_base_ms
            + cfg.step_per_seq_ms * plan.batch as f64
            + cfg.prefill_per_token_ms * plan.prefill_tokens as f64;
        let slow_factor = lock(&self.pace).slow_factor;
        cfg.scaled(Duration::from_secs_f64(ms * slow_factor / 1e3))
    }
}
