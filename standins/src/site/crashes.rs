//! Oracle of the guarantees beside requests that crash upstreams.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::checker::{Attempt, Breach, Evidence};
use super::record::{Run, RunEnd};

/// Upstreams that a part of prompts may crash before it is known to do so; set by the users.
const MAX_PART_CRASHES: usize = 5;

/// Upstreams that a request that comes again may crash before it is known to do so; set by the users.
const MAX_REQUEST_CRASHES: usize = 3;

/// Time for which an entry has to run before the rules with a time bound hold for it.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time from the last of these crashes to the refusal at all entries; set by the users.
const REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Requests that may reach upstreams even so; set by the users.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time from these crashes from which sound requests with the same other parts are judged, and the number of
/// them from which they are; set by the users.
const PART_RECOVERY_TIME: Duration = Duration::from_secs(6);
const MIN_PART_ATTEMPTS: usize = 20;

impl Evidence {
    /// Returns the guarantees that requests and parts that crash upstreams violated.
    pub(super) fn crash_breaches(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for part in &self.crashing_parts {
            let served = self.is_part_served(part);
            breaches.extend(served.then(|| Breach::PartServed(part.clone())));
            breaches.extend(self.lost_beside(part).map(Breach::LostBeside));
        }
        for path in &self.crashing_paths {
            let late = self.late_arrivals(MAX_REQUEST_CRASHES, |r| r.path == *path);
            let served = late > MAX_LATE_ARRIVALS;
            breaches.extend(served.then(|| Breach::RequestServed(path.clone())));
        }
        breaches
    }

    /// Returns the times at which these runs crashed upstreams, in order.
    fn crashes_of(&self, is_of: impl Fn(&Run) -> bool) -> Vec<Instant> {
        let ended = self.runs.iter().filter(|r| r.end.0 == RunEnd::Crashed);
        let mut times: Vec<Instant> = ended.filter(|r| is_of(r)).map(|r| r.end.1).collect();
        times.sort_unstable();
        times
    }

    /// Returns how many of these runs began later than [`REFUSAL_TIME`] after they had crashed `limit` upstreams, by
    /// entries that had run for [`STABLE_WINDOW`].
    fn late_arrivals(&self, limit: usize, is_of: impl Fn(&Run) -> bool) -> usize {
        let crashes = self.crashes_of(&is_of);
        let Some(known_at) = crashes.get(limit - 1) else {
            return 0;
        };
        let late = self.runs.iter().filter(|r| is_of(r));
        let late = late.filter(|r| r.began > *known_at + REFUSAL_TIME);
        let late = late.filter(|r| !self.is_excused(r.began));
        late.filter(|r| !self.is_from_new_entry(r)).count()
    }

    /// Returns whether the entry that sent a run had started less than [`STABLE_WINDOW`] before.
    fn is_from_new_entry(&self, run: &Run) -> bool {
        let attempt = self.attempts.iter().find(|a| a.id == run.request_id);
        attempt.is_some_and(|attempt| {
            let mut starts = self.restarts.iter().filter(|(e, _)| *e == attempt.entry);
            starts.any(|(_, at)| *at <= run.began && run.began < *at + STABLE_WINDOW)
        })
    }

    fn is_part_served(&self, part: &str) -> bool {
        let late = self.late_arrivals(MAX_PART_CRASHES, |r| shares(r, part));
        late > MAX_LATE_ARRIVALS
    }

    /// Returns the shares of sound streams beside a part that begin after and before its crashes, if the first is
    /// under half of the second.
    fn lost_beside(&self, part: &str) -> Option<String> {
        let crashes = self.crashes_of(|r| shares(r, part));
        let known_at = crashes.get(MAX_PART_CRASHES - 1).or(crashes.last())?;
        let first = crashes.first()?;
        let has = |a: &Attempt, part: &str| a.shared_parts.iter().any(|p| p == part);
        let bad = self.attempts.iter().filter(|a| has(a, part));
        let others: BTreeSet<&str> = bad
            .flat_map(|a| &a.shared_parts)
            .map(String::as_str)
            .collect();
        let beside = self.attempts.iter().filter(|a| !has(a, part));
        let beside = beside.filter(|a| others.iter().any(|p| has(a, p)));
        let judged = beside.filter(|a| a.resumes.is_none() && !self.is_excused(a.began));
        let (before, later): (Vec<_>, Vec<_>) = judged.partition(|a| a.began < *first);
        let after: Vec<&Attempt> = later
            .into_iter()
            .filter(|a| a.began > *known_at + PART_RECOVERY_TIME)
            .collect();
        if before.len().min(after.len()) < MIN_PART_ATTEMPTS {
            return None;
        }
        let begun = |attempts: &[&Attempt]| attempts.iter().filter(|a| a.goes_on()).count();
        let (served, usual) = (begun(&after), begun(&before));
        let is_lost = served * 2 * before.len() < usual * after.len();
        let text = format!("{part}: {served}/{} {usual}/{}", after.len(), before.len());
        is_lost.then_some(text)
    }
}

/// Returns whether a run's prompt shares a part.
fn shares(run: &Run, part: &str) -> bool {
    run.shared_parts.iter().any(|p| p == part)
}
