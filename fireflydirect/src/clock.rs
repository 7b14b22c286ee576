//! Monotonic time since the start of the process, in the core's units.

use fireflycroft::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current instant.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a time to an instant for tokio's timers.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
