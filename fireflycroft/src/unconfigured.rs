//! Retry delays for callers of an entry that has no configuration.
//!
//! An entry that has just started gets the configuration from the store or from any other entry
//! within some ten milliseconds. One that still has none after that is in an outage shared by all
//! entries, and sending callers elsewhere soon only uses up their attempts: of 207 refusals in such
//! an outage of 1.8 s, with a retry delay of 0.1 s, most were of callers that had already retried.

use std::time::Duration;

/// Time within which an entry that starts beside others has the configuration.
pub const STARTUP_TIME: Duration = Duration::from_millis(100);

/// Retry delay while the entry may only be starting, or when another entry can serve the caller.
pub const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Mean retry delay in an outage: the longest after which a generation can still begin within its
/// objectives of 1.5 and 1.8 s. Callers wait at most a third of their remaining time.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Spread of the retry delay as a share of the mean, so that callers don't all return at once.
const JITTER: f64 = 0.3;

/// Returns the retry delay for callers of an entry that has had no configuration for `age`; `draw`
/// is a random number from 0 to 1.
#[must_use]
pub fn unconfigured_retry_after(age: Duration, draw: f64) -> Duration {
    if age < STARTUP_TIME {
        return STARTUP_RETRY_AFTER;
    }
    OUTAGE_RETRY_AFTER.mul_f64(1.0 + JITTER * (draw.clamp(0.0, 1.0) - 0.5))
}
