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

/// Minimum time for which a refused caller is remembered.
const REMEMBER_FOR: Duration = Duration::from_secs(4);

/// Time for which a caller is remembered beyond its retry delay.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Longest retry delay that counts, so that a report can't fill the memory for long.
const MAX_EXPECTED_IN: Duration = Duration::from_secs(30);

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
    /// Time from the arrival of the caller's first attempt to the refusal.
    pub waited: Duration,
    /// Retry delay that the caller was given.
    pub expected_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    /// Arrival of the first attempt.
    since: Time,
    at: Time,
    expected_in: Duration,
    is_own: bool,
}

impl Refused {
    fn reported(now: Time, refusal: &Refusal, is_own: bool) -> Self {
        let at = now - refusal.age;
        Self {
            since: at - refusal.waited,
            at,
            expected_in: refusal.expected_in.min(MAX_EXPECTED_IN),
            is_own,
        }
    }

    fn is_remembered(&self, now: Time) -> bool {
        let remembered = REMEMBER_FOR.max(self.expected_in + RETURN_GRACE);
        now.since(self.at) < remembered
    }

    fn refusal(&self, now: Time, content: Digest) -> Refusal {
        Refusal {
            content,
            age: now.since(self.at),
            waited: self.at.since(self.since),
            expected_in: self.expected_in,
        }
    }
}

/// Recently refused callers, by the content of their requests.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    refused: HashMap<Digest, Refused>,
    swept: Time,
}

impl ReturningCallers {
    /// Records a refusal with a retry delay; a caller's wait counts from its first attempt.
    pub fn record_refusal(&mut self, now: Time, refusal: &Refusal) {
        let refused = Refused::reported(now, refusal, true);
        self.remember(now, refusal.content, refused);
    }

    /// Applies a refusal reported by another entry.
    pub fn apply_refusal(&mut self, now: Time, reported: &Refusal) {
        let refused = Refused::reported(now, reported, false);
        self.remember(now, reported.content, refused);
    }

    fn remember(&mut self, now: Time, content: Digest, refused: Refused) {
        let is_full = self.refused.len() >= MAX_REMEMBERED;
        if is_full && now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.refused.retain(|_, r| r.is_remembered(now));
        }
        if self.refused.len() >= MAX_REMEMBERED {
            return;
        }
        let known = self.refused.entry(content).or_insert(refused);
        if !known.is_remembered(now) {
            *known = refused;
        }
    }

    /// Returns the time since the first attempt of a caller with this request, if it was refused and is
    /// remembered.
    #[must_use]
    pub fn waited(&self, now: Time, content: Digest) -> Option<Duration> {
        let refused = self.refused.get(&content)?;
        refused.is_remembered(now).then(|| now.since(refused.since))
    }

    /// Returns the remembered refusal of a caller with this request.
    #[must_use]
    pub fn refusal(&self, now: Time, content: Digest) -> Option<Refusal> {
        let refused = self.refused.get(&content)?;
        refused
            .is_remembered(now)
            .then(|| refused.refusal(now, content))
    }

    /// Returns the recent refusals of this entry, to report to the others.
    #[must_use]
    pub fn own_refusals(&self, now: Time) -> Vec<Refusal> {
        let fresh = |r: &Refused| r.is_own && now.since(r.at) < REPORT_FOR;
        let own = self.refused.iter().filter(|(_, r)| fresh(r));
        let mut reported: Vec<Refusal> = own.map(|(content, r)| r.refusal(now, *content)).collect();
        reported.sort_by_key(|r| r.age);
        reported.truncate(MAX_REPORTED);
        reported
    }
}
