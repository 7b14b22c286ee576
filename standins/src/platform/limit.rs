//! Token bucket for the calls of one kind.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket that holds one second's worth of calls, but at least one call.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with one second's worth of calls; a rate of 0 means no limit.
    pub(super) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token, or returns the time until one is available.
    pub(super) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        if self.per_second <= 0.0 {
            return Ok(());
        }
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.per_second;
            return Err(Duration::from_secs_f64(wait));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
