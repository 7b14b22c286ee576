//! When callers of an entry that knows no configuration are to come back.
//!
//! An entry that has just started learns the configuration from the store or from
//! any other entry within some ten milliseconds. One that still has none after
//! that is in an outage that all entries share, and sending callers elsewhere
//! soon only uses up their tries: of 207 refusals in such an outage of 1.8 s,
//! with 0.1 s to come back, most were of callers who had come back already.

use std::time::Duration;

/// Time within which an entry that starts beside others knows the configuration.
pub const STARTUP_TIME: Duration = Duration::from_millis(100);

/// When to come back to an entry that may only be starting, or to another one.
pub const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Mean wait in an outage: the longest after which a generation can still begin within the 1.5 and
/// 1.8 s that the users' kinds have for it. Callers bear a third of the time that they have left.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the wait by which callers are spread, so that they don't all return in one moment.
const JITTER: f64 = 0.3;

/// When a caller is to come back to an entry that has known no configuration for `age`; `draw` is
/// from 0 to 1.
#[must_use]
pub fn unconfigured_retry_after(age: Duration, draw: f64) -> Duration {
    if age < STARTUP_TIME {
        return STARTUP_RETRY_AFTER;
    }
    OUTAGE_RETRY_AFTER.mul_f64(1.0 + JITTER * (draw.clamp(0.0, 1.0) - 0.5))
}
