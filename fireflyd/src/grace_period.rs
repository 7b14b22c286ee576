//! Grace period between refusing new work and leaving.
//!
//! Load balancers and peers still send work until they learn of the stop; it
//! is refused with a reason instead of meeting a closed port.

use std::time::{Duration, Instant};

/// Grace period of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    duration: Duration,
    since: Option<Instant>,
}

impl GracePeriod {
    /// Creates a period of that duration, not started yet.
    #[must_use]
    pub const fn new(duration: Duration) -> Self {
        Self {
            duration,
            since: None,
        }
    }

    /// Starts the period; further calls have no effect.
    pub fn begin(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    /// Returns whether the period was started and has elapsed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.since.is_some_and(|t| t.elapsed() >= self.duration)
    }
}
