//! Recognises callers that return after a refusal for lack of capacity.
//!
//! Each attempt of a caller has its own identifier, and its remaining time does not reveal how long
//! it has waited: callers of one kind differ by a sixth in it. A returning caller is therefore
//! recognised by its request: path, key and body. Entries report refusals to each other, since
//! callers may return to any entry.
//!
//! When an entry is lost, its refusals are lost too, and the callers count as new.

use crate::ids::Digest;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a refused caller is remembered: longer than the retry delay it was given.
const REMEMBER_FOR: Duration = Duration::from_secs(4);

/// Time for which a refusal is included in reports: two reports, one of which may be lost.
const REPORT_FOR: Duration = Duration::from_millis(600);

/// Refusals per report, newest first.
const MAX_REPORTED: usize = 24;

/// Interval between removals of expired refusals while the limit is reached.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of remembered refusals.
const MAX_REMEMBERED: usize = 4_096;

/// Refusal for lack of capacity, as reported between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Digest of the request's content.
    pub content: Digest,
    /// Time since the refusal.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    since: Time,
    is_own: bool,
}

/// Recently refused callers, by the content of their requests.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    refused: HashMap<Digest, Refused>,
    swept: Time,
}

impl ReturningCallers {
    /// Records a refusal with a retry delay; only the first one of a caller counts.
    pub fn record_refusal(&mut self, now: Time, content: Digest) {
        let refused = Refused {
            since: now,
            is_own: true,
        };
        self.remember(now, content, refused);
    }

    /// Applies a refusal reported by another entry.
    pub fn apply_refusal(&mut self, now: Time, reported: &Refusal) {
        let refused = Refused {
            since: now - reported.age,
            is_own: false,
        };
        self.remember(now, reported.content, refused);
    }

    fn remember(&mut self, now: Time, content: Digest, refused: Refused) {
        let is_full = self.refused.len() >= MAX_REMEMBERED;
        if is_full && now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.refused
                .retain(|_, r| now.since(r.since) < REMEMBER_FOR);
        }
        if self.refused.len() >= MAX_REMEMBERED {
            return;
        }
        let known = self.refused.entry(content).or_insert(refused);
        if now.since(known.since) >= REMEMBER_FOR {
            *known = refused;
        }
    }

    /// Returns the time since the first refusal of a caller with this request, if it is remembered.
    #[must_use]
    pub fn waited(&self, now: Time, content: Digest) -> Option<Duration> {
        let refused = self.refused.get(&content)?;
        let waited = now.since(refused.since);
        (waited < REMEMBER_FOR).then_some(waited)
    }

    /// Returns the recent refusals of this entry, to report to the others.
    #[must_use]
    pub fn own_refusals(&self, now: Time) -> Vec<Refusal> {
        let fresh = |r: &Refused| r.is_own && now.since(r.since) < REPORT_FOR;
        let own = self.refused.iter().filter(|(_, r)| fresh(r));
        let mut reported: Vec<Refusal> = own
            .map(|(content, r)| Refusal {
                content: *content,
                age: now.since(r.since),
            })
            .collect();
        reported.sort_by_key(|r| r.age);
        reported.truncate(MAX_REPORTED);
        reported
    }
}
