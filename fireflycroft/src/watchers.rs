//! Selects the entries that watch the platform's store on behalf of the fleet.
//!
//! Each pending watch is a paid call and every change wakes all of them, so a few entries watch and
//! announce changes to the others. Each entry decides for itself from the announcements it
//! receives; a temporary excess of watchers only costs some calls.
//!
//! The configured seeds, known to all entries, start as watchers. Another entry steps in when it
//! sees fewer than [`WATCHERS`] healthy watchers: at once if it ranks among the first of the known
//! entries, later the lower it ranks. The loss of watchers thus costs a few lists of the store at
//! any fleet size, and a store that refuses most entries is still reached by one that it answers. A
//! watcher steps down when enough watchers rank before it.

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

/// Entries that step in together when too few watch: enough that three of them are answered even if
/// the store refuses half of the fleet.
const STEP_IN_GROUP: usize = 8;

/// Interval between such groups: one lists the store and announces itself within it.
const STEP_IN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause of the top-ranked entries between calls to a store that doesn't answer.
///
/// A configuration must be active two seconds after the store accepted it; these entries receive
/// it and announce it to the others.
const TOP_RANKED_MAX_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause of all other entries in a small fleet.
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
}

/// Decision of one entry over time whether to watch.
#[derive(Clone, Debug)]
pub struct WatcherRole {
    rank: u64,
    watching: bool,
    /// Time since which enough higher-ranked entries watch.
    enough_since: Option<Time>,
    /// Time since which too few entries watch, while this entry doesn't.
    too_few_since: Option<Time>,
    is_top_ranked: bool,
    others_max_pause: Duration,
}

/// Counts of the other entries in one decision.
#[derive(Default)]
struct PeerCounts {
    known: usize,
    alive: usize,
    watching: usize,
    ranked_before: usize,
    watching_ranked_before: usize,
}

impl WatcherRole {
    /// Creates the role of an entry that knows no other yet; `starts_watching` for seeds.
    #[must_use]
    pub fn new(own_addr: Ipv4Addr, starts_watching: bool) -> Self {
        Self {
            rank: rank_of(own_addr),
            watching: starts_watching,
            enough_since: None,
            too_few_since: (!starts_watching).then(Time::default),
            is_top_ranked: true,
            others_max_pause: OTHERS_MAX_PAUSE,
        }
    }

    /// Returns whether this entry watches.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns whether the other entries rely on this one: it watches, and too few watchers rank
    /// before it.
    #[must_use]
    pub const fn is_primary(&self) -> bool {
        self.watching && self.enough_since.is_none()
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

    /// Updates the decision from the state of the other entries; returns whether it changed.
    pub fn decide<'a>(
        &mut self,
        now: Time,
        others: impl IntoIterator<Item = &'a WatcherView>,
    ) -> bool {
        let counts = self.counts(others);
        let known = u32::try_from(counts.known).unwrap_or(u32::MAX);
        self.others_max_pause = OTHERS_MAX_PAUSE.max(PAUSE_PER_ENTRY.saturating_mul(known));
        self.is_top_ranked = counts.ranked_before < WATCHERS;
        let was_watching = self.watching;
        if was_watching {
            self.step_down_if_enough(now, &counts);
        } else {
            self.step_in_if_too_few(now, &counts);
        }
        self.watching != was_watching
    }

    fn counts<'a>(&self, others: impl IntoIterator<Item = &'a WatcherView>) -> PeerCounts {
        others
            .into_iter()
            .fold(PeerCounts::default(), |counts, other| {
                let is_before = rank_of(other.addr) > self.rank;
                PeerCounts {
                    known: counts.known + 1,
                    alive: counts.alive + usize::from(other.is_alive),
                    watching: counts.watching + usize::from(other.watches),
                    ranked_before: counts.ranked_before + usize::from(is_before),
                    watching_ranked_before: counts.watching_ranked_before
                        + usize::from(is_before && other.watches),
                }
            })
    }

    fn step_down_if_enough(&mut self, now: Time, counts: &PeerCounts) {
        if counts.watching_ranked_before < WATCHERS {
            self.enough_since = None;
            return;
        }
        let since = *self.enough_since.get_or_insert(now);
        if now.since(since) >= STEP_DOWN_AFTER {
            self.watching = false;
            self.enough_since = None;
        }
    }

    fn step_in_if_too_few(&mut self, now: Time, counts: &PeerCounts) {
        if counts.watching >= WATCHERS {
            self.too_few_since = None;
            return;
        }
        let since = *self.too_few_since.get_or_insert(now);
        let discovered_at = Time::default() + DISCOVERY_TIME;
        if now >= discovered_at.max(since + step_in_delay(counts)) {
            self.watching = true;
            self.too_few_since = None;
        }
    }
}

/// Returns the delay before an entry steps in.
///
/// Its rank among the known entries means little if none of them is alive.
fn step_in_delay(counts: &PeerCounts) -> Duration {
    let group = u32::try_from(counts.ranked_before / STEP_IN_GROUP).unwrap_or(u32::MAX);
    let group = if counts.alive == 0 {
        group.min(1)
    } else {
        group
    };
    STEP_IN_INTERVAL.saturating_mul(group)
}

/// Returns the rank of an entry, the same at all entries; the highest ranks come first.
const fn rank_of(entry: Ipv4Addr) -> u64 {
    OwnedKey::of_watch().rank(entry)
}
