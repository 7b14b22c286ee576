//! Which part of a prompt crashes the upstreams that begin an answer on it.
//!
//! Requests that crash upstreams need not be alike: a shared part of their prompts may be the cause, in any place but
//! the last. An upstream that ends is evidence against each shared part of the answers that were beginning there. It
//! is known by its incarnation, so that it counts once, whoever saw it end. An answer that goes on past its beginning
//! is evidence for each of its shared parts, and clears them of all earlier crashes.
//!
//! A part is refused once enough incarnations have ended under it since it was last seen sound. Of several parts that
//! were in the same requests, one that was never seen sound is refused first, then the later one in the prompt, which
//! fewer requests share. Its crashes then count against no other part. A part that was seen sound before needs more
//! crashes over a longer time, since the loss of a rack ends many upstreams with the same popular part at once.
//!
//! While answers elsewhere may still show that a part is sound, requests with it are put off for a moment.
//!
//! A refused part is tried again by one request now and then, at growing intervals, and is released when an answer
//! on it goes on.

use crate::ids::{Digest, PartId};
use crate::time::Time;
use crate::upstream::UpstreamIncarnation;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Crashes at which a part is refused that was never seen sound.
pub const UNKNOWN_PART_CRASHES: usize = 3;

/// Crashes at which a part is refused that was seen sound before, or whose answers ended before their heads.
pub const PART_CRASHES: usize = 5;

/// Time from the first crash in which answers in progress show that a part never seen sound is.
const UNKNOWN_PART_SPAN: Duration = Duration::from_millis(300);

/// The same for a part that was seen sound before.
const SOUND_PART_SPAN: Duration = Duration::from_millis(500);

/// Maximum number of shared parts of one request that are considered.
pub const MAX_SHARED_PARTS: usize = 64;

/// Maximum number of crash reports; the oldest is dropped first.
const MAX_REPORTS: usize = 256;

/// Retention of a crash report.
const REPORT_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of refused parts; the one whose last crash is the oldest is dropped first.
const MAX_REFUSED: usize = 64;

/// Retention of a refused part after its last crash.
const REFUSAL_RETENTION: Duration = Duration::from_hours(1);

/// Parts per generation of those seen sound; the older of two generations is forgotten.
const SOUND_GENERATION: usize = 2_048;

/// Time for which a sound part, or a crash that was seen here, is told again, since messages may be lost.
const TELL_FOR: Duration = Duration::from_secs(5);

/// The same for a crash that another process told.
const RETELL_FOR: Duration = Duration::from_secs(1);

/// Maximum number of crashes, and of sound parts, told at a time.
const MAX_TOLD: usize = 8;

/// Maximum number of refused parts told at a time.
const MAX_TOLD_REFUSED: usize = 16;

/// Time from the refusal of a part, or the last try, to the next request that tries it again.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Factor by which the interval grows with each try that crashed an upstream.
const PROBE_BACKOFF: u32 = 4;

/// Time after a refusal in which requests sent before it may still crash upstreams.
const REFUSAL_LAG: Duration = Duration::from_secs(5);

/// Id of an incarnation of an upstream that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the end of an incarnation.
    #[must_use]
    pub fn of(ended: &UpstreamIncarnation) -> Self {
        let start = ended.incarnation.0.to_le_bytes();
        Self(Digest::of(&[ended.instance.as_bytes(), &start]).folded())
    }
}

/// An upstream that ended while an answer was beginning there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation that ended.
    pub ended: CrashId,
    /// Shared parts of the answer's prompt, in order.
    pub parts: Vec<PartId>,
    /// Whether the answer is known to have begun.
    pub begun: bool,
    /// Time since the crash.
    pub age: Duration,
}

/// A part on which an answer went on past its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundPart {
    /// The part.
    pub part: PartId,
    /// Time since then.
    pub age: Duration,
}

/// A part that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PartId,
    /// Incarnations that ended under it, as far as is known.
    pub crashes: u32,
    /// Time since the last of them.
    pub age: Duration,
}

/// Evidence that a process tells others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartEvidence {
    /// Upstreams that recently ended as answers began there.
    pub crashes: Vec<CrashReport>,
    /// Parts seen sound that were suspected of a crash.
    pub sound: Vec<SoundPart>,
    /// Parts that the sender refuses: those with the latest crashes.
    pub refused: Vec<RefusedPart>,
}

/// Why a request may not be sent because of a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// The part crashes upstreams.
    Refused(RefusedPart),
    /// The part may crash upstreams.
    Suspended {
        /// The part.
        part: PartId,
        /// Time until it is known better.
        wait: Duration,
    },
}

impl PartVerdict {
    /// Returns the part.
    #[must_use]
    pub const fn part(&self) -> PartId {
        match self {
            Self::Refused(refused) => refused.part,
            Self::Suspended { part, .. } => *part,
        }
    }
}

#[derive(Clone, Debug)]
struct Crash {
    at: Time,
    /// Time until which it is told.
    tell_until: Time,
    report: CrashReport,
}

#[derive(Clone, Debug)]
struct Refusal {
    since: Time,
    last_crash: Time,
    crashes: u32,
    failed_probes: u32,
    next_probe: Time,
}

impl Refusal {
    fn told(&self, now: Time, part: PartId) -> RefusedPart {
        RefusedPart {
            part,
            crashes: self.crashes,
            age: now.since(self.last_crash),
        }
    }

    fn probe_interval(&self) -> Duration {
        let factor = PROBE_BACKOFF.saturating_pow(self.failed_probes);
        PROBE_INTERVAL.saturating_mul(factor).min(REFUSAL_RETENTION)
    }

    fn record_crash(&mut self, at: Time) {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = self.last_crash.max(at);
        if at.since(self.since) > REFUSAL_LAG {
            self.failed_probes += 1;
            self.next_probe = at + self.probe_interval();
        }
    }
}

/// A part with unexplained crashes since it was last seen sound.
#[derive(Clone, Debug)]
struct Suspect {
    part: PartId,
    was_sound: bool,
    /// Crashes under answers that are known to have begun.
    begun: HashSet<CrashId>,
    all: HashSet<CrashId>,
    first: Time,
    last: Time,
    /// Place in the prompt.
    place: usize,
}

/// Evidence about the shared parts of prompts, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: VecDeque<Crash>,
    /// Times at which parts were last seen sound, in two generations.
    sound: [HashMap<PartId, Time>; 2],
    refused: HashMap<PartId, Refusal>,
    /// Parts that are refused at the given time unless they are seen sound before.
    suspended: Vec<(PartId, Time)>,
    /// Sound parts to tell, with the time since which they are told.
    sound_news: VecDeque<(PartId, Time)>,
    /// Time at which the reports are to be judged again.
    judge_at: Option<Time>,
    /// Whether a part known to be sound waits to be told.
    has_news: bool,
}

impl CrashEvidence {
    /// Records a crash that was seen here; returns whether it was news.
    pub fn record_crash(&mut self, now: Time, report: CrashReport) -> bool {
        self.insert_crash(now, report, TELL_FOR)
    }

    /// Records a crash that another process told; returns whether it was news.
    pub fn record_told_crash(&mut self, now: Time, report: CrashReport) -> bool {
        self.insert_crash(now, report, RETELL_FOR)
    }

    fn insert_crash(&mut self, now: Time, mut report: CrashReport, tell_for: Duration) -> bool {
        report.parts.truncate(MAX_SHARED_PARTS);
        let is_known = |c: &Crash| {
            c.report.ended == report.ended
                && c.report.parts == report.parts
                && (c.report.begun || !report.begun)
        };
        if report.parts.is_empty() || self.crashes.iter().any(is_known) {
            return false;
        }
        let at = now - report.age;
        for part in &report.parts {
            if self.seen_sound(*part).is_some() {
                self.tell(now, *part);
            }
            let is_first = self.refused.contains_key(part) && self.is_first_report(&report, *part);
            if let Some(refusal) = self.refused.get_mut(part).filter(|_| is_first) {
                refusal.record_crash(at);
            }
        }
        if self.crashes.len() >= MAX_REPORTS {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            at,
            tell_until: now + tell_for,
            report,
        });
        self.judge_at = Some(now);
        true
    }

    /// Records that an answer with these shared parts went on past its beginning `age` ago; returns those of them
    /// that were refused or suspected.
    pub fn record_sound(&mut self, now: Time, parts: &[PartId], age: Duration) -> Vec<SoundPart> {
        let at = now - age;
        let mut cleared = Vec::new();
        for part in parts.iter().take(MAX_SHARED_PARTS) {
            let suspected = self.is_suspected(*part);
            let known = self.seen_sound(*part).unwrap_or_default();
            self.insert_sound(*part, at.max(known));
            let released = self.refused.get(part).is_some_and(|r| at > r.last_crash);
            if released {
                self.refused.remove(part);
                // What caused these crashes is unknown again; blaming the parts beside it would refuse them all in turn.
                self.crashes
                    .retain(|c| c.at >= at || !c.report.parts.contains(part));
            }
            if released || suspected && !self.is_suspected(*part) {
                self.tell(now, *part);
                cleared.push(SoundPart { part: *part, age });
            }
        }
        if !cleared.is_empty() {
            self.judge_at = Some(now);
        }
        cleared
    }

    /// Adopts the refusal of a part that another process told; returns whether it was news.
    ///
    /// Evidence that the part was sound after its last crash is told in return.
    pub fn adopt(&mut self, now: Time, told: RefusedPart) -> bool {
        let last_crash = now - told.age;
        if self.seen_sound(told.part).is_some_and(|at| at > last_crash) {
            self.tell(now, told.part);
            return false;
        }
        if let Some(refusal) = self.refused.get_mut(&told.part) {
            refusal.crashes = refusal.crashes.max(told.crashes);
            return false;
        }
        self.refuse(now, told.part, told.crashes, last_crash);
        if let Some(refusal) = self.refused.get_mut(&told.part) {
            // How often the part was tried again isn't told; the crashes say at most how often.
            let known = u32::try_from(UNKNOWN_PART_CRASHES).unwrap_or(u32::MAX);
            refusal.failed_probes = told.crashes.saturating_sub(known);
            refusal.next_probe = now + refusal.probe_interval();
        }
        self.judge_at = Some(now);
        true
    }

    /// Applies evidence that another process told.
    pub fn apply(&mut self, now: Time, told: &PartEvidence) {
        for SoundPart { part, age } in &told.sound {
            self.record_sound(now, &[*part], *age);
        }
        for report in &told.crashes {
            self.record_told_crash(now, report.clone());
        }
        for refused in &told.refused {
            self.adopt(now, *refused);
        }
    }

    /// Judges the reports if that is due; returns the parts that are refused from now on.
    pub fn judge(&mut self, now: Time) -> Vec<RefusedPart> {
        if self.judge_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.suspended.clear();
        let mut refused = Vec::new();
        let mut suspects = self.suspects();
        while let Some(suspect) = take_worst(&mut suspects) {
            let due = suspect.first + suspect.span();
            if due <= now {
                let crashes = u32::try_from(suspect.all.len()).unwrap_or(u32::MAX);
                self.refuse(now, suspect.part, crashes, suspect.last);
                let refusal = self.refused.get(&suspect.part);
                refused.extend(refusal.map(|r| r.told(now, suspect.part)));
            } else {
                self.suspended.push((suspect.part, due));
            }
            for other in &mut suspects {
                other.remove_explained(&suspect.all);
            }
        }
        self.judge_at = self.suspended.iter().map(|(_, until)| *until).min();
        refused
    }

    /// Returns why a request with these shared parts may not be sent; `None` if it may.
    #[must_use]
    pub fn verdict(&self, now: Time, parts: &[PartId]) -> Option<PartVerdict> {
        let parts = || parts.iter().take(MAX_SHARED_PARTS);
        let refused = parts().find_map(|p| Some(self.refused.get(p)?.told(now, *p)));
        let suspended = || {
            let mut suspended = self.suspended.iter();
            let found = suspended.find(|(p, until)| now < *until && parts().any(|q| q == p));
            found.map(|(part, until)| PartVerdict::Suspended {
                part: *part,
                wait: until.since(now),
            })
        };
        refused.map(PartVerdict::Refused).or_else(suspended)
    }

    /// Takes the try of all refused parts of a request if it is due for each; true for one request at a time.
    pub fn take_probe(&mut self, now: Time, parts: &[PartId]) -> bool {
        let parts = || parts.iter().take(MAX_SHARED_PARTS);
        let mut refused = parts().filter_map(|p| self.refused.get(p));
        if refused.any(|r| now < r.next_probe) {
            return false;
        }
        let mut is_taken = false;
        for part in parts() {
            if let Some(refusal) = self.refused.get_mut(part) {
                refusal.next_probe = now + refusal.probe_interval();
                is_taken = true;
            }
        }
        is_taken
    }

    /// Returns all refused parts.
    #[must_use]
    pub fn refused(&self, now: Time) -> Vec<RefusedPart> {
        let refused = self.refused.iter();
        let mut refused: Vec<RefusedPart> = refused.map(|(p, r)| r.told(now, *p)).collect();
        refused.sort_by_key(|r| (r.age, r.part));
        refused
    }

    /// Returns what to tell other processes: recent crashes and sound parts, and refused parts.
    #[must_use]
    pub fn to_tell(&self, now: Time) -> PartEvidence {
        let mut refused = self.refused(now);
        refused.truncate(MAX_TOLD_REFUSED);
        PartEvidence {
            crashes: self.crashes_to_tell(now),
            sound: self.sound_to_tell(now),
            refused,
        }
    }

    fn crashes_to_tell(&self, now: Time) -> Vec<CrashReport> {
        let recent = self.crashes.iter().rev();
        let recent = recent.filter(|c| now < c.tell_until);
        let told = recent.take(MAX_TOLD).map(|c| CrashReport {
            age: now.since(c.at),
            ..c.report.clone()
        });
        told.collect()
    }

    fn sound_to_tell(&self, now: Time) -> Vec<SoundPart> {
        let recent = self.sound_news.iter().rev();
        let recent = recent.filter(|(_, since)| now.since(*since) < TELL_FOR);
        let told = recent.take(MAX_TOLD).filter_map(|(part, _)| {
            let age = now.since(self.seen_sound(*part)?);
            Some(SoundPart { part: *part, age })
        });
        told.collect()
    }

    /// Returns once whether there is a sound part to tell since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|c| now.since(c.at) < REPORT_RETENTION);
        self.refused
            .retain(|_, r| now.since(r.last_crash) < REFUSAL_RETENTION);
        self.sound_news
            .retain(|(_, since)| now.since(*since) < TELL_FOR);
    }

    /// Returns whether an upstream ended under a part since it was last seen sound.
    fn is_suspected(&self, part: PartId) -> bool {
        let sound = self.seen_sound(part);
        let mut crashes = self.crashes.iter();
        crashes.any(|c| c.report.parts.contains(&part) && sound.is_none_or(|at| c.at >= at))
    }

    /// Returns whether no earlier report has the same crash under a part.
    fn is_first_report(&self, report: &CrashReport, part: PartId) -> bool {
        let mut same = self.crashes.iter().map(|c| &c.report);
        !same.any(|r| r.ended == report.ended && r.parts.contains(&part))
    }

    fn seen_sound(&self, part: PartId) -> Option<Time> {
        self.sound.iter().find_map(|g| g.get(&part)).copied()
    }

    fn insert_sound(&mut self, part: PartId, at: Time) {
        if self.sound[0].len() >= SOUND_GENERATION && !self.sound[0].contains_key(&part) {
            self.sound[1] = std::mem::take(&mut self.sound[0]);
        }
        self.sound[0].insert(part, at);
    }

    fn tell(&mut self, now: Time, part: PartId) {
        self.sound_news.retain(|(p, _)| *p != part);
        if self.sound_news.len() >= MAX_TOLD {
            self.sound_news.pop_front();
        }
        self.sound_news.push_back((part, now));
        self.has_news = true;
    }

    fn refuse(&mut self, now: Time, part: PartId, crashes: u32, last_crash: Time) {
        if self.refused.len() >= MAX_REFUSED {
            let oldest = self.refused.iter().min_by_key(|(_, r)| r.last_crash);
            if let Some(oldest) = oldest.map(|(p, _)| *p) {
                self.refused.remove(&oldest);
            }
        }
        let refusal = Refusal {
            since: now,
            last_crash,
            crashes,
            failed_probes: 0,
            next_probe: now + PROBE_INTERVAL,
        };
        self.refused.insert(part, refusal);
    }

    /// Counts the crashes that no refused part explains, by part.
    fn suspects(&self) -> Vec<Suspect> {
        let is_refused = |c: &&Crash| c.report.parts.iter().any(|p| self.refused.contains_key(p));
        let explained = self.crashes.iter().filter(is_refused);
        let explained: HashSet<CrashId> = explained.map(|c| c.report.ended).collect();
        let mut suspects: HashMap<PartId, Suspect> = HashMap::new();
        for Crash { at, report, .. } in &self.crashes {
            if explained.contains(&report.ended) {
                continue;
            }
            for (place, part) in report.parts.iter().enumerate() {
                let sound = self.seen_sound(*part);
                if sound.is_some_and(|sound| sound > *at) {
                    continue;
                }
                let suspect = suspects
                    .entry(*part)
                    .or_insert_with(|| Suspect::new(*part, sound.is_some(), *at));
                suspect.all.insert(report.ended);
                if report.begun {
                    suspect.begun.insert(report.ended);
                }
                suspect.first = suspect.first.min(*at);
                suspect.last = suspect.last.max(*at);
                suspect.place = suspect.place.max(place);
            }
        }
        suspects.into_values().collect()
    }
}

/// Removes and returns the suspect to be refused before all others; `None` if none has enough crashes.
fn take_worst(suspects: &mut Vec<Suspect>) -> Option<Suspect> {
    let enough = suspects.iter().enumerate().filter(|(_, s)| s.has_enough());
    let worst = enough.max_by_key(|(_, s)| (!s.was_sound, s.begun.len(), s.place, s.part));
    let worst = worst.map(|(i, _)| i)?;
    Some(suspects.swap_remove(worst))
}

impl Suspect {
    fn new(part: PartId, was_sound: bool, at: Time) -> Self {
        Self {
            part,
            was_sound,
            begun: HashSet::new(),
            all: HashSet::new(),
            first: at,
            last: at,
            place: 0,
        }
    }

    fn has_enough(&self) -> bool {
        if self.was_sound {
            return self.begun.len() >= PART_CRASHES;
        }
        self.begun.len() >= UNKNOWN_PART_CRASHES || self.all.len() >= PART_CRASHES
    }

    /// Returns the time from the first crash in which answers elsewhere may clear the part.
    const fn span(&self) -> Duration {
        if self.was_sound {
            SOUND_PART_SPAN
        } else {
            UNKNOWN_PART_SPAN
        }
    }

    fn remove_explained(&mut self, crashes: &HashSet<CrashId>) {
        self.begun.retain(|c| !crashes.contains(c));
        self.all.retain(|c| !crashes.contains(c));
    }
}
