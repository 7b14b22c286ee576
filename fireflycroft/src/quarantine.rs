//! Quarantine of content that crashes upstreams, by digest.
//!
//! A crash makes every request that ran on the upstream a suspect. Suspects
//! of different content never run together on an upstream, so that the next crash
//! separates them. At [`CRASH_LIMIT`] crashes the content is refused. Records are
//! bounded and expire.

use crate::ids::Digest;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Number of crashes at which content is refused.
pub const CRASH_LIMIT: u8 = 2;

/// Maximum number of digests; the one with the fewest crashes, then the oldest,
/// is evicted first.
pub const MAX_DIGESTS: usize = 4_096;

/// Retention of a digest after its last crash.
pub const CRASH_RETENTION: Duration = Duration::from_hours(1);

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u8,
    last: Time,
}

/// Crash counts by content.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Digest, CrashRecord>,
}

impl Quarantine {
    /// Returns the known number of upstreams that the content crashed.
    #[must_use]
    pub fn crashes(&self, content: Digest) -> u8 {
        self.records.get(&content).map_or(0, |e| e.crashes)
    }

    /// Returns whether the content is refused.
    #[must_use]
    pub fn is_refused(&self, content: Digest) -> bool {
        self.crashes(content) >= CRASH_LIMIT
    }

    /// Records a crash count; returns true if it is higher than the known one.
    pub fn record(&mut self, now: Time, content: Digest, crashes: u8) -> bool {
        if crashes <= self.crashes(content) {
            return false;
        }
        if self.records.len() >= MAX_DIGESTS && !self.records.contains_key(&content) {
            self.drop_oldest();
        }
        self.records
            .insert(content, CrashRecord { crashes, last: now });
        true
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        self.records
            .retain(|_, e| now.since(e.last) < CRASH_RETENTION);
    }

    /// Returns the number of refused digests.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.records
            .values()
            .filter(|e| e.crashes >= CRASH_LIMIT)
            .count()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, e)| (e.crashes, e.last));
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }
}
