//! Workspace quotas in tokens per minute, checked locally without a remote call
//! per request.
//!
//! Each entry holds its share, the quota divided by the number of live entries,
//! as a token bucket with a depth of one minute.

use crate::ids::Name;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Number of buckets at which those unused for a minute, normally full again,
/// are dropped.
pub const MAX_BUCKETS: usize = 65_536;

const MINUTE_SECS: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    updated_at: Time,
}

/// Token buckets of the workspaces that have a quota.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Name, Bucket>,
}

impl Quotas {
    /// Takes `tokens` from a workspace's share of the quota.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds enough tokens.
    #[allow(clippy::cast_precision_loss)]
    pub fn take(
        &mut self,
        now: Time,
        workspace: &Name,
        tokens: u64,
        share: u64,
    ) -> Result<(), Duration> {
        let depth = share.max(1) as f64;
        let rate = depth / MINUTE_SECS;
        if self.buckets.len() >= MAX_BUCKETS {
            self.drop_full(now);
        }
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            level: depth,
            updated_at: now,
        });
        bucket.level =
            (bucket.level + rate * now.since(bucket.updated_at).as_secs_f64()).min(depth);
        bucket.updated_at = now;
        // A request for more than a minute's share passes if the bucket is full.
        let required = (tokens as f64).min(depth);
        if bucket.level < required {
            return Err(Duration::from_secs_f64((required - bucket.level) / rate));
        }
        bucket.level -= tokens as f64;
        Ok(())
    }

    /// Refunds tokens that were taken and not used.
    #[allow(clippy::cast_precision_loss)]
    pub fn refund(&mut self, workspace: &Name, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += tokens as f64;
        }
    }

    /// Charges used tokens; the level may become negative.
    #[allow(clippy::cast_precision_loss)]
    pub fn charge(&mut self, workspace: &Name, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level -= tokens as f64;
        }
    }

    fn drop_full(&mut self, now: Time) {
        self.buckets
            .retain(|_, b| now.since(b.updated_at).as_secs_f64() < MINUTE_SECS);
    }
}
