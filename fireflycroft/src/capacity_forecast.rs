//! Forecast of the time at which memory comes free for a waiting generation.
//!
//! In a crest of some seconds memory is short by a tenth, and runs end all the time. A caller whose
//! objective leaves seconds is better held until one ends than refused: it has few retries. By Little's
//! law the memory in use, divided by the mean time for which runs hold it, is the rate at which it
//! comes free.

use crate::capacity::ServiceMemory;
use crate::ids::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in the mean: about thirty runs of one entry count, some ten seconds of a
/// busy one.
const RUN_WEIGHT: f64 = 0.03;

/// Weight of the newest first event in the mean: about ten count, some seconds of a busy entry.
const FIRST_EVENT_WEIGHT: f64 = 0.1;

/// Ratio of the time that most first events take to the mean.
const MOST_TO_MEAN: f64 = 1.5;

/// Minimum time to a first event, prompt included, on an engine with capacity.
const MIN_FIRST_EVENT: Duration = Duration::from_millis(600);

/// Number of services at which all means are cleared.
const MAX_SERVICES: usize = 256;

/// Longest forecast; what takes longer is not worth waiting for.
pub const MAX_FORECAST: Duration = Duration::from_mins(1);

/// Running sums of a service's runs.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    tokens: f64,
    token_seconds: f64,
    count: f64,
    first_event: Option<f64>,
}

/// Mean time for which runs hold memory and that they take to a first event, by service, learnt from the
/// runs of this entry.
#[derive(Clone, Debug, Default)]
pub struct HoldTimes {
    services: HashMap<Name, Held>,
}

impl HoldTimes {
    fn of_service(&mut self, service: &Name) -> &mut Held {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            self.services.clear();
        }
        self.services.entry(service.clone()).or_default()
    }

    /// Records the time from sending a request to its first event.
    pub fn record_first_event(&mut self, service: &Name, after: Duration) {
        let mean = self.of_service(service);
        let after = after.as_secs_f64();
        let earlier = mean.first_event.unwrap_or(after);
        mean.first_event = Some(earlier + FIRST_EVENT_WEIGHT * (after - earlier));
    }

    /// Returns the time from sending a request to its first event that most take at present.
    #[must_use]
    pub fn first_event(&self, service: &Name) -> Duration {
        let mean = self.services.get(service).and_then(|s| s.first_event);
        let most = mean.map(|seconds| Duration::from_secs_f64(seconds * MOST_TO_MEAN));
        most.unwrap_or_default().max(MIN_FIRST_EVENT)
    }

    /// Records a run that held memory for some time.
    pub fn record(&mut self, service: &Name, tokens: u64, held: Duration) {
        let mean = self.of_service(service);
        mean.count += 1.0;
        let weight = RUN_WEIGHT.max(1.0 / mean.count);
        let tokens = to_f64(tokens);
        mean.tokens += weight * (tokens - mean.tokens);
        mean.token_seconds += weight * (tokens * held.as_secs_f64() - mean.token_seconds);
    }

    /// Returns the mean time for which a token of memory is held; none before the first run.
    #[must_use]
    pub fn mean(&self, service: &Name) -> Option<Duration> {
        let held = self.services.get(service)?;
        (held.tokens > 0.0).then(|| Duration::from_secs_f64(held.token_seconds / held.tokens))
    }
}

/// Shortage of memory that a generation meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Memory of the service and what is reserved of it.
    pub memory: ServiceMemory,
    /// Tokens of waiting generations that go first.
    pub waiting_ahead: u64,
    /// Tokens that the generation needs.
    pub needed: u64,
    /// Share of the memory up to which it is admitted.
    pub limit: f64,
}

impl Shortage {
    /// Returns the time until the generation is within its limit, if runs hold memory for `mean_hold`.
    #[must_use]
    pub fn ends_in(&self, mean_hold: Duration) -> Duration {
        let (capacity, reserved) = (to_f64(self.memory.capacity), to_f64(self.memory.reserved));
        let claimed = reserved + to_f64(self.waiting_ahead) + to_f64(self.needed);
        let excess = claimed - self.limit * capacity;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        // Beyond the capacity runs wait within the engine, and none ends sooner.
        let rate = reserved.min(capacity) / mean_hold.as_secs_f64().max(0.001);
        if rate <= 0.0 {
            return MAX_FORECAST;
        }
        Duration::from_secs_f64((excess / rate).min(MAX_FORECAST.as_secs_f64()))
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
