//! What crashes the upstreams of answers: a part that prompts share, or one request that comes again.
//!
//! Requests that crash upstreams need not be alike: a shared part of their prompts may be the cause, in any place but
//! the last. Or it is one request alone, which its caller sends again: its content. An upstream that ends is evidence
//! against the parts of the answers that were beginning there, and against the contents of all that were in progress,
//! since a request may crash its upstream at any point of its answer. It is known by its incarnation, so that it counts
//! once, whoever saw it end.
//!
//! An answer that goes on past its beginning clears its parts of all earlier crashes, and a complete one its content.
//! One in progress speaks against the crashes under its content that came at an earlier point of their answers, for as
//! long as its own upstream lives.
//!
//! A suspect is refused once enough incarnations have ended under it since it was last seen sound; [`crate::suspicion`]
//! decides which of several that were under the same crashes. One that was seen sound before needs more crashes over a
//! longer time, since the loss of a rack ends many upstreams with the same popular part or call at once.
//!
//! While answers elsewhere may still show that a suspect is sound, its requests are put off for a moment.
//!
//! A refused suspect is tried again by one request now and then, at growing intervals, and is released when an answer
//! under it goes on.

use crate::crash_report::{
    CrashNews, CrashReport, CrashVerdict, MAX_SHARED_PARTS, Reach, RefusedSuspect, SoundSuspect,
    Survivor, Suspect,
};
use crate::crash_reports::{CrashReports, KeptReport};
use crate::refusals::Refusals;
use crate::sound_suspects::SoundSuspects;
use crate::survivors::Survivors;
use crate::suspicion::{Blame, ContentLimits, Suspicion, UNKNOWN_PART_CRASHES, assign_blame};
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a crash that was seen here is told, since messages may be lost.
const TELL_FOR: Duration = Duration::from_secs(5);

/// The same for a crash that another process told.
const RETELL_FOR: Duration = Duration::from_secs(1);

/// Maximum number of crashes told at a time.
const MAX_TOLD: usize = 8;

/// Maximum number of crashes told to a process that knows none.
const MAX_TOLD_TO_NEWCOMERS: usize = 64;

/// Maximum number of suspects that are remembered as exonerated.
const MAX_EXONERATED: usize = 256;

/// Changes of what is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judgement {
    /// Suspects refused from now on.
    pub refused: Vec<RefusedSuspect>,
    /// Suspects refused no more, since others explain all of their crashes.
    pub exonerated: Vec<Suspect>,
}

/// Evidence about the suspects of crashes, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    content_limits: ContentLimits,
    reports: CrashReports,
    sound: SoundSuspects,
    survivors: Survivors,
    refusals: Refusals,
    /// Suspects that are refused at the given time unless they are seen sound before.
    suspended: Vec<(Suspect, Time)>,
    /// Crashes of which other suspects explained all, so that no refusal for them is adopted.
    exonerated: HashMap<Suspect, u32>,
    /// Time at which the reports are to be judged again.
    judge_at: Option<Time>,
}

impl CrashEvidence {
    /// Creates evidence without reports, with other limits for contents than the default ones.
    #[must_use]
    pub fn with_content_limits(content_limits: ContentLimits) -> Self {
        Self {
            content_limits,
            ..Self::default()
        }
    }

    /// Records a crash that was seen here; returns whether it was news.
    pub fn record_crash(&mut self, now: Time, report: CrashReport) -> bool {
        self.insert_crash(now, report, TELL_FOR, true)
    }

    /// Records a crash that another process told; returns whether it was news.
    pub fn record_told_crash(&mut self, now: Time, report: CrashReport) -> bool {
        self.insert_crash(now, report, RETELL_FOR, false)
    }

    fn insert_crash(
        &mut self,
        now: Time,
        mut report: CrashReport,
        tell_for: Duration,
        is_own: bool,
    ) -> bool {
        let mut parts = 0;
        report.suspects.retain(|s| {
            parts += usize::from(!s.is_content());
            s.is_content() || parts <= MAX_SHARED_PARTS
        });
        if report.suspects.is_empty() || self.reports.contains(&report) {
            return false;
        }
        for suspect in &report.suspects {
            if self.sound.last(*suspect).is_some() {
                self.sound.tell(now, *suspect);
            }
            if !self.reports.has_crash(report.ended, *suspect) {
                self.refusals.record_crash(*suspect, now - report.age);
                self.exonerated.remove(suspect);
            }
            self.survivors.remove(*suspect, report.ended);
        }
        self.reports.insert(now, report, tell_for, is_own);
        self.judge_at = Some(now);
        true
    }

    /// Records an answer in progress; returns whether it got past a crash under its content that nothing else speaks
    /// against.
    pub fn record_survivor(&mut self, now: Time, survivor: Survivor) -> bool {
        let Survivor { content, at, reach } = survivor;
        if self.reports.is_empty() {
            return false;
        }
        let crashes = self.reports.reaches_under(content);
        let known = self.survivors.of(content);
        let is_open = |crash: &Reach| !known.iter().any(|s| s.reach.is_beyond(crash));
        let mut others = crashes.values();
        let is_news = others.any(|crash| reach.is_beyond(crash) && is_open(crash));
        if !is_news || crashes.contains_key(&at) {
            return false;
        }
        self.survivors.record(now, survivor);
        self.judge_at = Some(now);
        true
    }

    /// Records that a part was in an answer that went on past its beginning, or any suspect in a complete one, `age`
    /// ago; returns those of them that were refused or suspected.
    pub fn record_sound(
        &mut self,
        now: Time,
        suspects: &[Suspect],
        age: Duration,
    ) -> Vec<SoundSuspect> {
        let at = now - age;
        let mut cleared = Vec::new();
        for suspect in suspects {
            let is_suspected = self.is_suspected(*suspect);
            self.sound.record(*suspect, at);
            self.survivors.forget(*suspect);
            let last_crash = self.refusals.last_crash(*suspect);
            let is_released = last_crash.is_some_and(|last| at > last);
            if is_released {
                self.refusals.remove(*suspect);
                // What caused these crashes is unknown again; blaming the suspects beside it would refuse them all in
                // turn.
                self.reports.remove_under(*suspect, at);
            }
            if is_released || is_suspected && !self.is_suspected(*suspect) {
                self.sound.tell(now, *suspect);
                cleared.push(SoundSuspect {
                    suspect: *suspect,
                    age,
                });
            }
        }
        if !cleared.is_empty() {
            self.judge_at = Some(now);
        }
        cleared
    }

    /// Records a sound answer that another process told, `age` before it did so, in a message that was on its way for
    /// `on_way` at most; returns the suspect if it was refused or suspected.
    ///
    /// The answer clears only crashes that are older for certain. Where that can't be said of the last crash of a
    /// refused suspect, nothing is concluded until it is told again.
    pub fn record_told_sound(
        &mut self,
        now: Time,
        told: SoundSuspect,
        on_way: Duration,
    ) -> Option<SoundSuspect> {
        let latest = now - told.age;
        let earliest = latest - on_way;
        let last_crash = self.refusals.last_crash(told.suspect);
        if last_crash.is_some_and(|at| earliest <= at && at < latest) {
            return None;
        }
        let cleared = self.record_sound(now, &[told.suspect], told.age + on_way);
        cleared.first().copied()
    }

    /// Adopts the refusal of a suspect that another process told; returns whether it was news.
    ///
    /// Evidence that the suspect was sound after its last crash is told in return.
    pub fn adopt(&mut self, now: Time, told: RefusedSuspect) -> bool {
        let RefusedSuspect {
            suspect,
            crashes,
            age,
        } = told;
        let sound = self.sound.last(suspect);
        if sound.is_some_and(|at| at > now - age) {
            self.sound.tell(now, suspect);
            return false;
        }
        if self.refusals.contains(suspect) {
            self.refusals.record_count(suspect, crashes);
            return false;
        }
        if self.exonerated.get(&suspect).is_some_and(|c| *c >= crashes) {
            return false;
        }
        let limit = if suspect.is_content() {
            self.content_limits.crashes
        } else {
            UNKNOWN_PART_CRASHES
        };
        self.refusals.adopt(now, told, to_u32(limit));
        self.judge_at = Some(now);
        true
    }

    /// Applies evidence that another process told.
    pub fn apply(&mut self, now: Time, told: &CrashNews) {
        for SoundSuspect { suspect, age } in &told.sound {
            self.record_sound(now, &[*suspect], *age);
        }
        for report in &told.crashes {
            self.record_told_crash(now, report.clone());
        }
        for refused in &told.refused {
            self.adopt(now, *refused);
        }
        for survivor in &told.survivors {
            self.record_survivor(now, *survivor);
        }
    }

    /// Judges the reports if that is due; returns what is refused from now on, or no more.
    pub fn judge(&mut self, now: Time) -> Judgement {
        let mut judgement = Judgement::default();
        if self.judge_at.is_none_or(|at| now < at) {
            return judgement;
        }
        self.suspended.clear();
        let Blame { blamed, exonerated } = assign_blame(self.suspicions(), &self.content_limits);
        for Suspicion { suspect, .. } in &exonerated {
            self.exonerate(*suspect);
            judgement.exonerated.push(*suspect);
        }
        for suspicion in &blamed {
            let suspect = suspicion.suspect;
            if suspicion.refused_for > 0 {
                self.refusals
                    .set_doubted(now, suspect, suspicion.is_doubted);
                continue;
            }
            let due = suspicion.due(&self.content_limits);
            if now < due {
                self.suspended.push((suspect, due));
                continue;
            }
            let crashes = to_u32(suspicion.all.len());
            self.refusals.insert(now, suspect, crashes, suspicion.last);
            self.refusals
                .set_doubted(now, suspect, suspicion.is_doubted);
            judgement.refused.extend(self.refusals.get(now, suspect));
        }
        self.judge_at = self.suspended.iter().map(|(_, until)| *until).min();
        judgement
    }

    fn exonerate(&mut self, suspect: Suspect) {
        if self.exonerated.len() >= MAX_EXONERATED {
            self.exonerated.clear();
        }
        let crashes = self.refusals.crashes(suspect);
        self.exonerated.insert(suspect, crashes);
        self.refusals.remove(suspect);
    }

    /// Returns why a request with these suspects may not be sent; `None` if it may.
    #[must_use]
    pub fn verdict(&self, now: Time, suspects: &[Suspect]) -> Option<CrashVerdict> {
        let refused = suspects.iter();
        let refused = refused.filter_map(|s| Some((*s, self.refusals.get(now, *s)?)));
        // A request is refused in doubt only if each of its refused suspects is.
        let refused = refused.min_by_key(|(s, _)| self.refusals.doubted_for(now, *s).is_some());
        let suspended = || {
            let mut suspended = self.suspended.iter();
            let found = suspended.find(|(s, until)| now < *until && suspects.contains(s));
            found.map(|(suspect, until)| CrashVerdict::Suspended {
                suspect: *suspect,
                wait: until.since(now),
            })
        };
        let refused = refused.map(|(suspect, refused)| {
            let wait = self.refusals.doubted_for(now, suspect);
            let wait = wait.filter(|_| self.suspected_parts(suspects) <= 1);
            wait.map_or(CrashVerdict::Refused(refused), |wait| {
                CrashVerdict::Doubted { refused, wait }
            })
        });
        refused.or_else(suspended)
    }

    /// Takes the try of all refused suspects of a request if it is due for each; true for one request at a time.
    pub fn take_probe(&mut self, now: Time, suspects: &[Suspect]) -> bool {
        let settles = self.suspected_parts(suspects) <= 1;
        self.refusals.take_probe(now, suspects, settles)
    }

    /// Returns how many of a request's parts an upstream ended under since they were last seen sound.
    fn suspected_parts(&self, suspects: &[Suspect]) -> usize {
        let parts = suspects.iter().filter(|s| !s.is_content());
        parts.filter(|s| self.is_suspected(**s)).count()
    }

    /// Returns all refused suspects.
    #[must_use]
    pub fn refused(&self, now: Time) -> Vec<RefusedSuspect> {
        self.refusals.all(now)
    }

    /// Returns the number of refused contents.
    #[must_use]
    pub fn refused_contents(&self) -> usize {
        self.refusals.contents()
    }

    /// Returns the number of upstreams that ended under a suspect since it was last seen sound, as far as is known.
    #[must_use]
    pub fn crashes_under(&self, suspect: Suspect) -> usize {
        let refused_for = usize::try_from(self.refusals.crashes(suspect)).unwrap_or(usize::MAX);
        let since = self.sound.last(suspect);
        self.reports.count_under(suspect, since).max(refused_for)
    }

    /// Returns what to tell other processes now: recent crashes and sound suspects, and refused ones.
    pub fn news_to_tell(&mut self, now: Time) -> CrashNews {
        CrashNews {
            crashes: self.reports.take_to_tell(now, MAX_TOLD),
            sound: self.sound.to_tell(now),
            refused: self.refusals.take_to_tell(now),
            survivors: self.survivors.to_tell(now),
        }
    }

    /// Returns whether a crash that was seen here has never been told.
    #[must_use]
    pub fn has_untold(&self, now: Time) -> bool {
        self.reports.has_untold(now)
    }

    /// Returns what to tell a process that knows nothing.
    #[must_use]
    pub fn all_to_tell(&self, now: Time) -> CrashNews {
        CrashNews {
            crashes: self.reports.weightiest(now, MAX_TOLD_TO_NEWCOMERS),
            sound: self.sound.to_tell(now),
            refused: self.refusals.all(now),
            survivors: self.survivors.to_tell(now),
        }
    }

    /// Returns once whether there is a sound suspect or a survivor to tell since the last call.
    pub fn take_news(&mut self) -> bool {
        let has_survivors = self.survivors.take_news();
        self.sound.take_news() || has_survivors
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Time) {
        self.reports.expire(now);
        self.refusals.expire(now);
        self.sound.expire(now);
        self.survivors.expire(now);
    }

    /// Returns whether an upstream ended under a suspect since it was last seen sound.
    fn is_suspected(&self, suspect: Suspect) -> bool {
        let sound = self.sound.last(suspect);
        let last = self.reports.last_under(suspect);
        last.is_some_and(|last| sound.is_none_or(|at| last >= at))
    }

    /// Returns the suspects of crashes since each was last seen sound.
    fn suspicions(&self) -> Vec<Suspicion> {
        let mut suspicions: HashMap<Suspect, Suspicion> = HashMap::new();
        for KeptReport { at, report, .. } in self.reports.iter() {
            for (place, suspect) in report.suspects.iter().enumerate() {
                let sound = self.sound.last(*suspect);
                if sound.is_some_and(|sound| sound > *at) {
                    continue;
                }
                let suspicion = suspicions.entry(*suspect).or_insert_with(|| {
                    let refused_for = self.refusals.crashes(*suspect);
                    let refused_for = usize::try_from(refused_for).unwrap_or(usize::MAX);
                    Suspicion::new(*suspect, sound.is_some(), *at, refused_for)
                });
                suspicion.add(report, *at, place);
            }
        }
        for suspicion in suspicions.values_mut() {
            suspicion.weigh(self.survivors.of(suspicion.suspect));
        }
        suspicions.into_values().collect()
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
