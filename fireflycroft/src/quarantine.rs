//! Content that crashes upstreams: counted by digest, refused from a bound on.
//!
//! One crash makes every request that ran there a suspect; a suspect is run
//! beside no other suspect, so that the next crash tells them apart. At
//! [`CRASH_LIMIT`] the content is refused. Entries are bounded and expire.

use crate::ids::Digest;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Crashes at which content is refused.
pub const CRASH_LIMIT: u8 = 2;

/// Digests kept at once; the oldest goes when more come.
pub const MAX_DIGESTS: usize = 4_096;

/// How long a digest is kept after its last crash.
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
    /// Upstreams that the content crashed, as far as known here.
    #[must_use]
    pub fn crashes(&self, content: Digest) -> u8 {
        self.records.get(&content).map_or(0, |e| e.crashes)
    }

    /// Whether the content is refused.
    #[must_use]
    pub fn is_refused(&self, content: Digest) -> bool {
        self.crashes(content) >= CRASH_LIMIT
    }

    /// Takes a count from a peer or an upstream; true when it is news.
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

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Time) {
        self.records
            .retain(|_, e| now.since(e.last) < CRASH_RETENTION);
    }

    /// Number of digests that are refused.
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
