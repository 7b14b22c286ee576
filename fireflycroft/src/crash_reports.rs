//! Reports of crashes that are kept and told, within bounds.
//!
//! An upstream that ends leaves a report for each answer that was in progress there, most of them of bystanders. So a
//! report is worth as much as the crashes that it shares with others: those of the suspect under most crashes are
//! dropped last and told first, and all are told in turn.

use crate::crash_report::{CrashId, CrashReport, Reach, Suspect};
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Maximum number of reports.
const MAX_REPORTS: usize = 512;

/// Reports that remain when some are dropped.
const REPORTS_KEPT: usize = 448;

/// Retention of a report.
const RETENTION: Duration = Duration::from_mins(10);

/// A report that is kept.
#[derive(Clone, Debug)]
pub(crate) struct KeptReport {
    /// Time of the crash.
    pub(crate) at: Time,
    pub(crate) report: CrashReport,
    /// Time until which it is told.
    tell_until: Time,
    /// Number of times that it was told.
    times_told: u32,
    /// Whether the crash was seen here.
    is_own: bool,
}

impl KeptReport {
    fn as_told(&self, now: Time) -> CrashReport {
        CrashReport {
            age: now.since(self.at),
            ..self.report.clone()
        }
    }
}

/// Reports of crashes, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashReports {
    kept: VecDeque<KeptReport>,
}

impl CrashReports {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KeptReport> {
        self.kept.iter()
    }

    /// Returns whether a report, or one that says more, is kept.
    pub(crate) fn contains(&self, report: &CrashReport) -> bool {
        self.kept.iter().any(|k| {
            k.report.ended == report.ended
                && k.report.suspects == report.suspects
                && (k.report.begun || !report.begun)
                && k.report.reach >= report.reach
        })
    }

    /// Returns whether a crash under a suspect is reported.
    pub(crate) fn has_crash(&self, ended: CrashId, suspect: Suspect) -> bool {
        let mut same = self.kept.iter().filter(|k| k.report.ended == ended);
        same.any(|k| k.report.suspects.contains(&suspect))
    }

    /// Returns the crashes under a suspect, each with how far the answers there had got.
    pub(crate) fn reaches_under(&self, suspect: Suspect) -> HashMap<CrashId, Reach> {
        let mut reaches: HashMap<CrashId, Reach> = HashMap::new();
        for KeptReport { report, .. } in &self.kept {
            if report.suspects.contains(&suspect) {
                let reach = reaches.entry(report.ended).or_default();
                *reach = report.reach.max(*reach);
            }
        }
        reaches
    }

    /// Returns whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Returns the time of the last crash under a suspect.
    pub(crate) fn last_under(&self, suspect: Suspect) -> Option<Time> {
        let under = self.kept.iter();
        let under = under.filter(|k| k.report.suspects.contains(&suspect));
        under.map(|k| k.at).max()
    }

    /// Returns the number of crashes under a suspect since a time.
    pub(crate) fn count_under(&self, suspect: Suspect, since: Option<Time>) -> usize {
        let under = self.kept.iter();
        let under = under.filter(|k| k.report.suspects.contains(&suspect));
        let under = under.filter(|k| since.is_none_or(|since| k.at >= since));
        let ended: HashSet<CrashId> = under.map(|k| k.report.ended).collect();
        ended.len()
    }

    /// Adds a report to be told for some time.
    pub(crate) fn insert(&mut self, now: Time, report: CrashReport, tell_for: Duration, own: bool) {
        if self.kept.len() >= MAX_REPORTS {
            self.drop_least();
        }
        self.kept.push_back(KeptReport {
            at: now - report.age,
            report,
            tell_until: now + tell_for,
            times_told: 0,
            is_own: own,
        });
    }

    /// Removes the reports with a suspect of crashes before a time.
    pub(crate) fn remove_under(&mut self, suspect: Suspect, before: Time) {
        self.kept
            .retain(|k| k.at >= before || !k.report.suspects.contains(&suspect));
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.kept.retain(|k| now.since(k.at) < RETENTION);
    }

    /// Returns whether a crash that was seen here has never been told.
    pub(crate) fn has_untold(&self, now: Time) -> bool {
        let mut due = self.kept.iter().filter(|k| now < k.tell_until);
        due.any(|k| k.is_own && k.times_told == 0)
    }

    /// Returns up to `most` reports to tell: those told least often, and of these the weightiest.
    pub(crate) fn take_to_tell(&mut self, now: Time, most: usize) -> Vec<CrashReport> {
        let weights = self.weights();
        let due = (0..self.kept.len()).filter(|i| now < self.kept[*i].tell_until);
        let mut due: Vec<usize> = due.collect();
        due.sort_by_key(|i| (self.kept[*i].times_told, Reverse((weights[*i], *i))));
        due.truncate(most);
        for i in &due {
            self.kept[*i].times_told += 1;
        }
        due.iter().map(|i| self.kept[*i].as_told(now)).collect()
    }

    /// Returns up to `most` reports for a process that knows none, the weightiest first.
    pub(crate) fn weightiest(&self, now: Time, most: usize) -> Vec<CrashReport> {
        let weights = self.weights();
        let mut all: Vec<usize> = (0..self.kept.len()).collect();
        all.sort_by_key(|i| Reverse((weights[*i], *i)));
        all.truncate(most);
        all.iter().map(|i| self.kept[*i].as_told(now)).collect()
    }

    /// Drops the reports that weigh least, of these the oldest.
    fn drop_least(&mut self) {
        let weights = self.weights();
        let mut order: Vec<usize> = (0..self.kept.len()).collect();
        order.sort_by_key(|i| (weights[*i], *i));
        let excess = self.kept.len().saturating_sub(REPORTS_KEPT);
        let dropped: HashSet<usize> = order.into_iter().take(excess).collect();
        let mut number = 0..;
        self.kept
            .retain(|_| number.next().is_none_or(|i| !dropped.contains(&i)));
    }

    /// Returns the most crashes under any one content of each report; parts are shared too widely to say much.
    fn weights(&self) -> Vec<usize> {
        let mut under: HashMap<Suspect, HashSet<CrashId>> = HashMap::new();
        for KeptReport { report, .. } in &self.kept {
            for suspect in report.suspects.iter().filter(|s| s.is_content()) {
                under.entry(*suspect).or_default().insert(report.ended);
            }
        }
        let weight = |k: &KeptReport| {
            let crashes = k.report.suspects.iter().filter_map(|s| under.get(s));
            crashes.map(HashSet::len).max().unwrap_or(0)
        };
        self.kept.iter().map(weight).collect()
    }
}
