//! The time between refusing new work and leaving.
//!
//! Balancers and peers that have not heard yet still send work meanwhile; it
//! is refused with a reason instead of meeting a closed port.

use std::time::{Duration, Instant};

/// Grace of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    duration: Duration,
    since: Option<Instant>,
}

impl GracePeriod {
    /// Grace of that length, not begun yet.
    #[must_use]
    pub const fn new(duration: Duration) -> Self {
        Self {
            duration,
            since: None,
        }
    }

    /// Begins it; a second call changes nothing.
    pub fn begin(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    /// Whether it was begun and has passed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.since.is_some_and(|t| t.elapsed() >= self.duration)
    }
}
