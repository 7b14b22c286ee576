//! Which suspects are to blame for crashes that several of them share.
//!
//! A suspect never seen sound is blamed before one that was, then the one under more crashes, then the later one in the
//! prompt, which fewer requests share, and a request's content before its parts. A crash under a blamed suspect
//! counts against no other one, until one of them is under a crash without it: that takes back all that it shared.
//!
//! A content doesn't get its shared crashes back from a blamed suspect under more crashes, nor from one under as many that
//! is refused while it isn't: a bystander may lose some upstreams to a request that crashes all of its own, and one more
//! to something else. A content under more crashes than any other suspect is judged by all of them, so that no bystander
//! refused by mistake hides it.

use crate::crash_report::{CrashId, CrashReport, Reach, Survivor, Suspect};
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Crashes at which a part is refused that was never seen sound.
pub const UNKNOWN_PART_CRASHES: usize = 3;

/// Crashes at which a part is refused that was seen sound before, or whose answers ended before their heads.
pub const PART_CRASHES: usize = 5;

/// Time from the first crash in which answers in progress show that a part never seen sound is.
const UNKNOWN_SPAN: Duration = Duration::from_millis(300);

/// The same for a part that was seen sound before.
const SOUND_PART_SPAN: Duration = Duration::from_millis(500);

/// Shortest time over which a content seen sound before, or past the beginning of its answers, crashes upstreams.
///
/// Longer than it takes to lose a rack, in which many callers may have the same call in progress.
const SOUND_CONTENT_SPAN: Duration = Duration::from_secs(1);

/// When a request's content is refused that was never seen sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentLimits {
    /// Crashes at which it is.
    pub crashes: usize,
    /// Time from the first crash in which answers in progress may show that it is sound.
    pub span: Duration,
}

impl Default for ContentLimits {
    fn default() -> Self {
        Self {
            crashes: 3,
            span: UNKNOWN_SPAN,
        }
    }
}

/// A suspect with crashes since it was last seen sound.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) suspect: Suspect,
    pub(crate) was_sound: bool,
    /// Crashes under answers that are known to have begun.
    begun: HashSet<CrashId>,
    /// Crashes that no surviving answer speaks against.
    pub(crate) all: HashSet<CrashId>,
    /// All crashes, each with its time and how far the furthest answer there had got.
    known: HashMap<CrashId, (Time, Reach)>,
    /// Those of them at the furthest point of its answers, as far as is known.
    standing: HashSet<CrashId>,
    pub(crate) first: Time,
    pub(crate) last: Time,
    /// Place in the prompt; the content comes last.
    place: usize,
    /// Crashes for which it is refused already; zero if it isn't.
    pub(crate) refused_for: usize,
    /// Whether another part may have caused each of its crashes.
    pub(crate) is_doubted: bool,
}

/// Suspects by whether they are to blame.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blame {
    /// Those that are refused, or to be refused.
    pub(crate) blamed: Vec<Suspicion>,
    /// Those that were refused for crashes which all have another cause.
    pub(crate) exonerated: Vec<Suspicion>,
}

impl Suspicion {
    pub(crate) fn new(suspect: Suspect, was_sound: bool, at: Time, refused_for: usize) -> Self {
        Self {
            suspect,
            was_sound,
            begun: HashSet::new(),
            all: HashSet::new(),
            known: HashMap::new(),
            standing: HashSet::new(),
            first: at,
            last: at,
            place: 0,
            refused_for,
            is_doubted: false,
        }
    }

    /// Adds a crash at a time under an answer in whose prompt it has this place.
    pub(crate) fn add(&mut self, report: &CrashReport, at: Time, place: usize) {
        self.all.insert(report.ended);
        if report.begun {
            self.begun.insert(report.ended);
        }
        let (_, reach) = self.known.entry(report.ended).or_insert((at, report.reach));
        *reach = report.reach.max(*reach);
        self.first = self.first.min(at);
        self.last = self.last.max(at);
        let place = if self.suspect.is_content() {
            usize::MAX
        } else {
            place
        };
        self.place = self.place.max(place);
    }

    /// Weighs the crashes under a content by how far other answers with it got.
    ///
    /// A crash doesn't count if an answer that survives got past the point at which it came. One whose answer got past
    /// that point and then ended with its upstream leaves it doubtful.
    pub(crate) fn weigh(&mut self, survivors: &[Survivor]) {
        if !self.suspect.is_content() {
            return;
        }
        let known = &self.known;
        let survived = |crash: &Reach| survivors.iter().any(|s| s.reach.is_beyond(crash));
        let passed = |crash: &Reach| known.values().any(|(_, other)| other.is_beyond(crash));
        self.all.retain(|id| !survived(&known[id].1));
        self.begun.retain(|id| self.all.contains(id));
        let standing = self.all.iter().filter(|id| !passed(&known[*id].1));
        self.standing = standing.copied().collect();
        if let Some((first, last)) = self.span_of(&self.all) {
            (self.first, self.last) = (first, last);
        }
    }

    /// Returns the times of the first and last of some crashes.
    fn span_of(&self, crashes: &HashSet<CrashId>) -> Option<(Time, Time)> {
        let times = || crashes.iter().map(|id| self.known[id].0);
        Some((times().min()?, times().max()?))
    }

    /// Returns whether crashes came over longer than it takes to lose a rack.
    fn is_lasting(&self, crashes: &HashSet<CrashId>) -> bool {
        let span = self.span_of(crashes);
        span.is_some_and(|(first, last)| last.since(first) >= SOUND_CONTENT_SPAN)
    }

    /// Returns whether these crashes under a content that was in no complete answer are enough to refuse it.
    fn is_enough_for_unknown_content(
        &self,
        crashes: &HashSet<CrashId>,
        limits: &ContentLimits,
    ) -> bool {
        let standing = self.standing.intersection(crashes).copied();
        let standing: HashSet<CrashId> = standing.collect();
        let is_late = |id: &CrashId| self.known[id].1.is_past_beginning();
        let is_sure = !standing.iter().any(is_late) || self.is_lasting(&standing);
        standing.len() >= limits.crashes && is_sure
            || crashes.len() >= PART_CRASHES && self.is_lasting(crashes)
    }

    /// Returns the time at which it is refused, unless it is seen sound before.
    pub(crate) fn due(&self, limits: &ContentLimits) -> Time {
        let span = match (self.suspect, self.was_sound) {
            (Suspect::Content(_), true) => SOUND_CONTENT_SPAN,
            (Suspect::Content(_), false) => limits.span,
            (Suspect::Part(_), true) => SOUND_PART_SPAN,
            (Suspect::Part(_), false) => UNKNOWN_SPAN,
        };
        self.first + span
    }

    /// Returns whether these crashes are enough to refuse it.
    fn is_enough(&self, crashes: &HashSet<CrashId>, limits: &ContentLimits) -> bool {
        let begun = self.begun.intersection(crashes).count();
        match (self.suspect, self.was_sound) {
            (Suspect::Content(_), true) => {
                crashes.len() >= PART_CRASHES && self.is_lasting(crashes)
            }
            (Suspect::Content(_), false) => self.is_enough_for_unknown_content(crashes, limits),
            (Suspect::Part(_), true) => begun >= PART_CRASHES,
            (Suspect::Part(_), false) => {
                begun >= UNKNOWN_PART_CRASHES || crashes.len() >= PART_CRASHES
            }
        }
    }

    /// Returns the strength of the evidence against it.
    fn weight(&self) -> (usize, usize) {
        (self.begun.len().max(self.refused_for), self.all.len())
    }

    /// Returns whether it is refused, and no surviving answer speaks for it.
    fn is_surely_refused(&self) -> bool {
        self.refused_for > 0 && self.all.len() == self.known.len()
    }

    /// Returns whether it explains the crashes that it shares with a content: it is under more crashes, or under as many
    /// and refused while the content isn't.
    fn outweighs(&self, content: &Self) -> bool {
        let is_refused = self.is_surely_refused() && content.refused_for == 0;
        let strength = |s: &Self, is_refused| (s.weight(), is_refused);
        self.suspect != content.suspect && strength(self, is_refused) > strength(content, false)
    }

    /// Returns the crashes that count against a content, beside others that are to blame.
    fn without_those_of(&self, others: &[&Self]) -> HashSet<CrashId> {
        let stronger = others.iter().filter(|s| s.outweighs(self));
        let stronger: Vec<&&Self> = stronger.collect();
        let is_explained = |id: &&CrashId| stronger.iter().any(|s| s.all.contains(*id));
        let own = self.all.iter().filter(|id| !is_explained(id));
        own.copied().collect()
    }

    /// Returns whether it is to blame, where other suspects explain some crashes.
    fn is_blamed(
        &self,
        explained: &HashSet<CrashId>,
        others: &[&Self],
        limits: &ContentLimits,
    ) -> bool {
        let unexplained = self.all.difference(explained).copied();
        let unexplained: HashSet<CrashId> = unexplained.collect();
        if unexplained.is_empty() {
            return false;
        }
        let is_weaker = self.all.len() < self.known.len();
        if self.refused_for > 0 && !is_weaker {
            return true;
        }
        match (self.suspect, self.was_sound) {
            (_, true) => self.is_enough(&unexplained, limits),
            (Suspect::Content(_), false) => self.is_enough(&self.without_those_of(others), limits),
            (Suspect::Part(_), false) => self.is_enough(&self.all, limits),
        }
    }

    /// Returns whether it is a part that may have caused crashes of others: never seen sound, and under two or more.
    fn is_rival(&self) -> bool {
        !self.suspect.is_content() && !self.was_sound && self.all.len() > 1
    }

    /// Returns whether another part is blamed for some of its crashes as well, and rivals may have caused all of them.
    fn is_in_doubt(&self, blamed: &[Self], rivals: &[Self]) -> bool {
        let is_other = |s: &&Self| s.suspect != self.suspect && s.is_rival();
        let shares = |s: &Self| !s.all.is_disjoint(&self.all);
        if !self.is_rival() || self.all.len() >= PART_CRASHES {
            return false;
        }
        let explains = |c: &CrashId| rivals.iter().filter(is_other).any(|s| s.all.contains(c));
        blamed.iter().filter(is_other).any(shares) && self.all.iter().all(explains)
    }

    /// Returns whether all crashes for which it is refused are known here.
    fn is_known_whole(&self) -> bool {
        self.known.len() >= self.refused_for
    }
}

/// Decides which suspects are to blame.
pub(crate) fn assign_blame(mut suspicions: Vec<Suspicion>, limits: &ContentLimits) -> Blame {
    let rivals: Vec<Suspicion> = suspicions
        .iter()
        .filter(|s| s.is_rival())
        .cloned()
        .collect();
    let refused: Vec<Suspicion> = suspicions
        .iter()
        .filter(|s| s.is_surely_refused())
        .cloned()
        .collect();
    let severity = |s: &Suspicion| (!s.was_sound, s.weight(), s.place, s.suspect);
    suspicions.sort_by_key(|s| Reverse(severity(s)));
    let mut explained = HashSet::new();
    let mut blame = Blame::default();
    for suspicion in suspicions {
        let others: Vec<&Suspicion> = refused.iter().chain(&blame.blamed).collect();
        if suspicion.is_blamed(&explained, &others, limits) {
            explained.extend(suspicion.all.iter().copied());
            blame.blamed.push(suspicion);
        } else if suspicion.refused_for > 0 && suspicion.is_known_whole() {
            blame.exonerated.push(suspicion);
        }
    }
    let doubted: Vec<bool> = blame
        .blamed
        .iter()
        .map(|s| s.is_in_doubt(&blame.blamed, &rivals))
        .collect();
    for (suspicion, is_doubted) in blame.blamed.iter_mut().zip(doubted) {
        suspicion.is_doubted = is_doubted;
    }
    blame
}
