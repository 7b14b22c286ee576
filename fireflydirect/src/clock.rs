//! Monotonic time since the start of the process, as the core counts it.

use fireflycroft::Time;
use std::time::Duration;
use tokio::time::Instant;

/// Clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time now.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The moment that timers wait for.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
