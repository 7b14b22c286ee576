//! Monotonic time, passed to the core as an argument; the core reads no clock.
//!
//! Values count microseconds since the start of the process. Values of two
//! processes are never compared; messages carry durations only.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `millis` milliseconds after the start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(rhs)))
    }
}

/// Returns the whole microseconds of `span`, saturating at `u64::MAX`.
#[must_use]
pub(crate) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the whole milliseconds of `span`, saturating at `u64::MAX`.
#[must_use]
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
