//! Suspects whose requests are refused, and when one request may try one of them again.

use crate::crash_report::{RefusedSuspect, Suspect};
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of refused suspects; the one whose last crash is the oldest is dropped first.
const MAX_REFUSED: usize = 256;

/// Retention of a refusal after the last crash.
const RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of refused suspects told at a time.
const MAX_TOLD: usize = 16;

/// Of these the number with the latest crashes; the others are told in turn.
const MAX_TOLD_LATEST: usize = 12;

/// Time from a refusal, or the last try, to the next request that tries the suspect again.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// The same for a suspect whose crashes may all have another cause.
const DOUBT_INTERVAL: Duration = Duration::from_millis(500);

/// Factor by which the interval of a part grows with each try that crashed an upstream.
const PROBE_BACKOFF: u32 = 4;

/// Time after a refusal in which requests sent before it may still crash upstreams.
const REFUSAL_LAG: Duration = Duration::from_secs(5);

/// State of one refused suspect.
#[derive(Clone, Debug)]
struct Refusal {
    since: Time,
    last_crash: Time,
    crashes: u32,
    failed_probes: u32,
    next_probe: Time,
    /// Whether all of its crashes may have another cause.
    is_doubted: bool,
}

impl Refusal {
    fn told(&self, now: Time, suspect: Suspect) -> RefusedSuspect {
        RefusedSuspect {
            suspect,
            crashes: self.crashes,
            age: now.since(self.last_crash),
        }
    }

    /// Returns the time to the next try. The same request is worth one try; a part may be in sound requests too.
    fn probe_interval(&self, suspect: Suspect) -> Duration {
        if self.is_doubted {
            return DOUBT_INTERVAL;
        }
        if suspect.is_content() && self.failed_probes > 0 {
            return RETENTION;
        }
        let factor = PROBE_BACKOFF.saturating_pow(self.failed_probes);
        PROBE_INTERVAL.saturating_mul(factor).min(RETENTION)
    }
}

/// Refused suspects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    refused: HashMap<Suspect, Refusal>,
    /// Number of refusals told in turn so far.
    turn: usize,
}

impl Refusals {
    pub(crate) fn contains(&self, suspect: Suspect) -> bool {
        self.refused.contains_key(&suspect)
    }

    /// Returns a refusal.
    pub(crate) fn get(&self, now: Time, suspect: Suspect) -> Option<RefusedSuspect> {
        Some(self.refused.get(&suspect)?.told(now, suspect))
    }

    /// Returns the time of the last crash under a refused suspect.
    pub(crate) fn last_crash(&self, suspect: Suspect) -> Option<Time> {
        Some(self.refused.get(&suspect)?.last_crash)
    }

    /// Returns the number of crashes under a refused suspect; zero if it isn't refused.
    pub(crate) fn crashes(&self, suspect: Suspect) -> u32 {
        self.refused.get(&suspect).map_or(0, |r| r.crashes)
    }

    /// Refuses a suspect.
    pub(crate) fn insert(&mut self, now: Time, suspect: Suspect, crashes: u32, last_crash: Time) {
        if self.refused.len() >= MAX_REFUSED {
            let oldest = self.refused.iter().min_by_key(|(_, r)| r.last_crash);
            if let Some(oldest) = oldest.map(|(s, _)| *s) {
                self.refused.remove(&oldest);
            }
        }
        let refusal = Refusal {
            since: now,
            last_crash,
            crashes,
            failed_probes: 0,
            next_probe: now + PROBE_INTERVAL,
            is_doubted: false,
        };
        self.refused.insert(suspect, refusal);
    }

    /// Records whether all crashes of a refused suspect may have another cause; while they may, it is tried again soon.
    pub(crate) fn set_doubted(&mut self, now: Time, suspect: Suspect, is_doubted: bool) {
        let Some(refusal) = self.refused.get_mut(&suspect) else {
            return;
        };
        if refusal.is_doubted != is_doubted {
            refusal.is_doubted = is_doubted;
            refusal.next_probe = now + refusal.probe_interval(suspect);
        }
    }

    /// Returns the time to the next try of a suspect that is refused in doubt.
    pub(crate) fn doubted_for(&self, now: Time, suspect: Suspect) -> Option<Duration> {
        let refusal = self.refused.get(&suspect).filter(|r| r.is_doubted)?;
        Some(refusal.next_probe.since(now).max(DOUBT_INTERVAL / 2))
    }

    /// Refuses a suspect that another process refuses at `limit` crashes.
    ///
    /// How often it was tried again isn't told; the crashes say at most how often.
    pub(crate) fn adopt(&mut self, now: Time, told: RefusedSuspect, limit: u32) {
        self.insert(now, told.suspect, told.crashes, now - told.age);
        if let Some(refusal) = self.refused.get_mut(&told.suspect) {
            refusal.failed_probes = told.crashes.saturating_sub(limit);
            refusal.next_probe = now + refusal.probe_interval(told.suspect);
        }
    }

    /// Takes over a greater number of crashes that was told.
    pub(crate) fn record_count(&mut self, suspect: Suspect, crashes: u32) {
        if let Some(refusal) = self.refused.get_mut(&suspect) {
            refusal.crashes = refusal.crashes.max(crashes);
        }
    }

    /// Records a further crash under a refused suspect.
    pub(crate) fn record_crash(&mut self, suspect: Suspect, at: Time) {
        let Some(refusal) = self.refused.get_mut(&suspect) else {
            return;
        };
        refusal.crashes = refusal.crashes.saturating_add(1);
        refusal.last_crash = refusal.last_crash.max(at);
        if at.since(refusal.since) > REFUSAL_LAG {
            refusal.failed_probes += 1;
            refusal.next_probe = at + refusal.probe_interval(suspect);
        }
    }

    /// Releases a suspect; returns whether it was refused.
    pub(crate) fn remove(&mut self, suspect: Suspect) -> bool {
        self.refused.remove(&suspect).is_some()
    }

    /// Takes the try of all refused suspects of a request if it is due for each; true for one request at a time.
    ///
    /// A request that would settle no doubt, since it has several of the suspects, tries them no sooner than others do.
    pub(crate) fn take_probe(&mut self, now: Time, suspects: &[Suspect], settles: bool) -> bool {
        let is_due = |r: &Refusal| {
            let is_in_turn = settles || !r.is_doubted || now >= r.last_crash + PROBE_INTERVAL;
            is_in_turn && now >= r.next_probe
        };
        let mut refused = suspects.iter().filter_map(|s| self.refused.get(s));
        if refused.any(|r| !is_due(r)) {
            return false;
        }
        let mut is_taken = false;
        for suspect in suspects {
            if let Some(refusal) = self.refused.get_mut(suspect) {
                refusal.next_probe = now + refusal.probe_interval(*suspect);
                is_taken = true;
            }
        }
        is_taken
    }

    /// Returns the number of refused contents.
    pub(crate) fn contents(&self) -> usize {
        self.refused.keys().filter(|s| s.is_content()).count()
    }

    /// Returns all refusals, those with the latest crashes first.
    pub(crate) fn all(&self, now: Time) -> Vec<RefusedSuspect> {
        let refused = self.refused.iter();
        let mut refused: Vec<RefusedSuspect> = refused.map(|(s, r)| r.told(now, *s)).collect();
        refused.sort_by_key(|r| (r.age, r.suspect));
        refused
    }

    /// Returns the refusals to tell.
    pub(crate) fn take_to_tell(&mut self, now: Time) -> Vec<RefusedSuspect> {
        let mut told = self.all(now);
        if told.len() <= MAX_TOLD {
            return told;
        }
        let others = told.split_off(MAX_TOLD_LATEST);
        let in_turn = others.iter().cycle().skip(self.turn % others.len());
        told.extend(in_turn.take(MAX_TOLD - MAX_TOLD_LATEST));
        self.turn += MAX_TOLD - MAX_TOLD_LATEST;
        told
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.refused
            .retain(|_, r| now.since(r.last_crash) < RETENTION);
    }
}
