//! Selects the entries that watch the platform's store on behalf of the fleet.
//!
//! Each pending watch is a paid call and every change wakes all of them, so a few entries watch and
//! announce changes to the others. Each entry decides for itself from the announcements it
//! receives; a temporary excess of watchers only costs some calls.
//!
//! The configured seeds, known to all entries, start as watchers. Other entries step in when too few
//! watchers are answered: one after another in order of rank, each with a single trial call. Whoever
//! is answered watches. Whoever isn't steps back as long as enough watchers live, since they call a
//! silent store often enough to notice its return; trials go on at a rate that is the same for any
//! number of entries, since the store may refuse the watchers and answer others. An outage thus
//! changes no duties, the loss of watchers costs a few lists of the store, and a store that refuses
//! most entries is still reached by one that it answers. A watcher steps down when enough watchers
//! rank before it, or when the store answers enough others instead.

use crate::owners::OwnedKey;
use crate::time::Time;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Number of watchers: two may be lost at once while one more is leaving.
pub const WATCHERS: usize = 3;

/// Time for which enough higher-ranked entries must have watched before an entry steps down.
///
/// A watcher notices a silent loss of the store after about three seconds.
pub const STEP_DOWN_AFTER: Duration = Duration::from_secs(4);

/// Time within which an entry that has just started discovers the watchers.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Entries that try the store within [`FIRST_TRIALS_TIME`] when too few watch: enough that one is
/// answered even if the store refuses three quarters of the fleet.
const FIRST_TRIALS: u32 = 16;

/// Time for these trials: they find the store well within the two seconds of a configuration.
const FIRST_TRIALS_TIME: Duration = Duration::from_secs(1);

/// Interval between the trials of all further entries, and between all that follow.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two trials of one entry.
const MIN_RETRIAL_TIME: Duration = Duration::from_secs(2);

/// Longest pause of the top-ranked watchers between calls to a store that doesn't answer.
///
/// A configuration must be active two seconds after the store accepted it; these entries receive
/// it and announce it to the others.
const TOP_RANKED_MAX_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause of all other watchers in a small fleet, and of any while the store answers enough
/// others.
const OTHERS_MAX_PAUSE: Duration = Duration::from_millis(2_100);

/// Longest pause per known entry in a larger fleet: at any size, all of them together make some
/// twenty calls per second, so that one soon notices when the store is back for it alone.
const PAUSE_PER_ENTRY: Duration = Duration::from_millis(100);

/// What an entry knows about another entry as a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherView {
    /// Address of the other entry.
    pub addr: Ipv4Addr,
    /// Whether it was recently received from.
    pub is_alive: bool,
    /// Whether it announces that it watches and that the store answers it.
    pub watches: bool,
    /// Whether it announces that it watches, and that the store doesn't answer it any more.
    pub is_unanswered: bool,
}

/// Reason for a change of an entry's duty to watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReason {
    /// Too few watchers are answered by the store, and this entry is.
    TooFewAnswered,
    /// Too few watchers live, whether the store answers them or not.
    TooFewLive,
    /// Enough watchers rank before this one.
    EnoughBefore,
    /// The store answers enough others, but not this entry.
    OthersAnswered,
    /// The store doesn't answer this entry, and enough other watchers live.
    Unanswered,
}

impl DutyReason {
    /// Returns the reason as logged.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::TooFewAnswered => "too_few_answered",
            Self::TooFewLive => "too_few_live",
            Self::EnoughBefore => "enough_before",
            Self::OthersAnswered => "others_answered",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Whether an entry watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    Idle,
    /// It has stepped in, and its first call is not answered yet.
    Trial,
    Watching,
}

/// Decision of one entry over time whether to watch.
#[derive(Clone, Debug)]
pub struct WatcherRole {
    rank: u64,
    duty: Duty,
    /// Whether the store has answered since it began to watch.
    was_answered: bool,
    /// Whether its last call failed.
    is_unanswered: bool,
    /// Time since which enough others watch.
    enough_since: Option<Time>,
    /// Time since which too few entries are answered, while the store doesn't answer this one.
    too_few_since: Option<Time>,
    /// Trials that failed since then, and the earliest time of the next one.
    failed_trials: u32,
    retrial_at: Time,
    is_top_ranked: bool,
    others_max_pause: Duration,
    /// Number of other live watchers, answered or not, at the last decision.
    live_watchers: usize,
}

/// Counts of the other entries in one decision.
#[derive(Default)]
struct PeerCounts {
    known: usize,
    alive: usize,
    watching: usize,
    live_watchers: usize,
    ranked_before: usize,
    watching_ranked_before: usize,
    live_watchers_ranked_before: usize,
}

impl PeerCounts {
    /// Returns the number of entries ranked before that call a silent store often. An entry that
    /// hears of no live watcher has to expect that all do, as after a start in an outage.
    const fn callers_before(&self) -> usize {
        if self.live_watchers == 0 {
            self.ranked_before
        } else {
            self.live_watchers_ranked_before
        }
    }
}

impl WatcherRole {
    /// Creates the role of an entry that knows no other yet; `starts_watching` for seeds.
    #[must_use]
    pub fn new(own_addr: Ipv4Addr, starts_watching: bool) -> Self {
        Self {
            rank: rank_of(own_addr),
            duty: if starts_watching {
                Duty::Watching
            } else {
                Duty::Idle
            },
            was_answered: false,
            is_unanswered: false,
            enough_since: None,
            too_few_since: (!starts_watching).then(Time::default),
            failed_trials: 0,
            retrial_at: Time::default(),
            is_top_ranked: true,
            others_max_pause: OTHERS_MAX_PAUSE,
            live_watchers: 0,
        }
    }

    /// Returns whether this entry watches, or tries to.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.duty != Duty::Idle
    }

    /// Returns whether this entry has stepped in and not been answered yet.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.duty == Duty::Trial
    }

    /// Returns whether the other entries rely on this one: it watches, and too few watchers rank
    /// before it.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.duty == Duty::Watching && self.enough_since.is_none()
    }

    /// Returns the longest pause between two calls while the store doesn't answer this entry.
    #[must_use]
    pub const fn max_pause(&self) -> Duration {
        if self.is_top_ranked {
            TOP_RANKED_MAX_PAUSE
        } else {
            self.others_max_pause
        }
    }

    /// Updates the decision from the state of the other entries; returns the reason if it changed.
    pub fn decide<'a>(
        &mut self,
        now: Time,
        others: impl IntoIterator<Item = &'a WatcherView>,
    ) -> Option<DutyReason> {
        let counts = self.counts(others);
        let known = u32::try_from(counts.known).unwrap_or(u32::MAX);
        self.others_max_pause = OTHERS_MAX_PAUSE.max(PAUSE_PER_ENTRY.saturating_mul(known));
        self.live_watchers = counts.live_watchers;
        self.is_top_ranked = counts.watching < WATCHERS && counts.callers_before() < WATCHERS;
        if self.is_watching() {
            return self.step_down_if_enough(now, &counts);
        }
        self.step_in_if_too_few(now, &counts);
        None
    }

    /// Records an answer of the store; returns the reason if this entry now watches.
    pub fn record_answer(&mut self) -> Option<DutyReason> {
        self.is_unanswered = false;
        self.was_answered = self.is_watching();
        let was_trial = self.is_on_trial();
        if was_trial {
            self.begin_to_watch();
        }
        was_trial.then_some(DutyReason::TooFewAnswered)
    }

    /// Records a call that the store didn't answer; returns the reason if the duty changes.
    ///
    /// One that was never answered leaves the calls to the other watchers if enough of them live.
    pub fn record_failure(&mut self, now: Time) -> Option<DutyReason> {
        self.is_unanswered = true;
        let was_trial = self.is_on_trial();
        if self.live_watchers >= WATCHERS && self.is_watching() && !self.was_answered {
            self.duty = Duty::Idle;
            self.is_unanswered = false;
            self.failed_trials += 1;
            self.retrial_at = now + MIN_RETRIAL_TIME;
            // A failed trial changes nothing for the others.
            return (!was_trial).then_some(DutyReason::Unanswered);
        }
        if was_trial {
            self.begin_to_watch();
        }
        was_trial.then_some(DutyReason::TooFewLive)
    }

    fn counts<'a>(&self, others: impl IntoIterator<Item = &'a WatcherView>) -> PeerCounts {
        let mut counts = PeerCounts::default();
        for other in others {
            let is_before = rank_of(other.addr) > self.rank;
            let is_live_watcher = other.watches || other.is_unanswered;
            counts.known += 1;
            counts.alive += usize::from(other.is_alive);
            counts.watching += usize::from(other.watches);
            counts.live_watchers += usize::from(is_live_watcher);
            counts.ranked_before += usize::from(is_before);
            counts.watching_ranked_before += usize::from(is_before && other.watches);
            counts.live_watchers_ranked_before += usize::from(is_before && is_live_watcher);
        }
        counts
    }

    fn step_down_if_enough(&mut self, now: Time, counts: &PeerCounts) -> Option<DutyReason> {
        let others_answered = self.is_unanswered && counts.watching >= WATCHERS;
        let before = if self.is_unanswered {
            counts.live_watchers_ranked_before
        } else {
            counts.watching_ranked_before
        };
        if before < WATCHERS && !others_answered {
            self.enough_since = None;
            return None;
        }
        let since = *self.enough_since.get_or_insert(now);
        if now.since(since) < STEP_DOWN_AFTER {
            return None;
        }
        self.stop_watching();
        Some(if others_answered {
            DutyReason::OthersAnswered
        } else {
            DutyReason::EnoughBefore
        })
    }

    const fn begin_to_watch(&mut self) {
        self.duty = Duty::Watching;
        self.end_trials();
    }

    const fn end_trials(&mut self) {
        self.too_few_since = None;
        self.failed_trials = 0;
        self.retrial_at = Time(0);
    }

    fn stop_watching(&mut self) {
        self.end_trials();
        self.duty = Duty::Idle;
        self.was_answered = false;
        self.is_unanswered = false;
        self.enough_since = None;
    }

    fn step_in_if_too_few(&mut self, now: Time, counts: &PeerCounts) {
        if counts.watching >= WATCHERS {
            self.end_trials();
            return;
        }
        let since = *self.too_few_since.get_or_insert(now);
        let discovered_at = Time::default() + DISCOVERY_TIME;
        let due = discovered_at.max(since) + trial_delay(counts, self.failed_trials);
        if now >= due.max(self.retrial_at) {
            self.duty = Duty::Trial;
        }
    }
}

/// Returns the delay before an entry's trial: the entries that don't watch make theirs in order of
/// rank, and again in the same order after the last of them.
///
/// Its rank among the known entries means little if none of them is alive.
fn trial_delay(counts: &PeerCounts, failed_trials: u32) -> Duration {
    let idle = counts.known + 1 - counts.live_watchers;
    let idle_before = counts.ranked_before - counts.live_watchers_ranked_before;
    let [idle, idle_before] = [idle, idle_before].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
    let place = idle
        .saturating_mul(failed_trials)
        .saturating_add(idle_before);
    let first = FIRST_TRIALS_TIME.saturating_mul(place.min(FIRST_TRIALS)) / FIRST_TRIALS;
    if counts.alive == 0 {
        return first;
    }
    let later = TRIAL_INTERVAL.saturating_mul(place.saturating_sub(FIRST_TRIALS));
    first.saturating_add(later)
}

/// Returns the rank of an entry, the same at all entries; the highest ranks come first.
const fn rank_of(entry: Ipv4Addr) -> u64 {
    OwnedKey::of_watch().rank(entry)
}
