//! Which entries watch the platform's store for all the others.
//!
//! Each waiting watch is a call that is paid for, and each change wakes all of
//! them, so a few entries watch and tell the others. Every entry decides for
//! itself, from what it hears, and one too many for a moment costs some calls.
//!
//! The seeds of the settings, which all entries know, begin as watchers. Another
//! entry steps in when it hears fewer than [`WATCHERS`] that watch in good health:
//! at once if it ranks among the first of those known, later the further behind it
//! ranks. So the loss of watchers costs a few lists of the store, whatever the
//! size of the fleet, and a store that turns most entries away is still found by
//! one that it answers. Who watches beside enough others that rank before it
//! steps down.

use crate::owners::OwnedKey;
use crate::time::Time;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Entries that watch at a time: two may be lost at once, and one more be on its way out.
pub const WATCHERS: usize = 3;

/// Time for which enough others must have watched before an entry stops to.
///
/// A watcher that lost the store in silence finds out after about three seconds.
pub const STEP_DOWN_AFTER: Duration = Duration::from_secs(4);

/// Time that an entry which has just started takes to hear of those that watch.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Entries that step in at a time when too few watch: enough that three of them are answered even
/// if the store turns half of the fleet away.
const STEP_IN_GROUP: usize = 8;

/// Time between two such groups: one lists the store and is heard within it.
const STEP_IN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause between calls to a store that doesn't answer, of the entries that rank first.
///
/// A configuration is to be in force two seconds after the store took it; these entries hear of it
/// and tell the others.
const TOP_RANKED_MAX_PAUSE: Duration = Duration::from_millis(700);

/// The same of all others, in a small fleet.
const OTHERS_MAX_PAUSE: Duration = Duration::from_millis(2_100);

/// The same for each entry that is known, in a larger one: together they call some twenty times a
/// second, whatever the size, so that one finds out soon when the store is back for it alone.
const PAUSE_PER_ENTRY: Duration = Duration::from_millis(100);

/// What an entry knows of another one's watching.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherView {
    /// Address of the other entry.
    pub addr: Ipv4Addr,
    /// Whether it is heard of late.
    pub is_alive: bool,
    /// Whether it is heard to watch, and the store answers it.
    pub watches: bool,
}

/// One entry's decision whether to watch, over time.
#[derive(Clone, Debug)]
pub struct WatcherRole {
    rank: u64,
    watching: bool,
    /// Since when enough others that rank before this entry watch.
    enough_since: Option<Time>,
    /// Since when too few watch, as long as this entry doesn't.
    too_few_since: Option<Time>,
    is_top_ranked: bool,
    others_max_pause: Duration,
}

/// What one look at the others comes to.
#[derive(Default)]
struct PeerCounts {
    known: usize,
    alive: usize,
    watching: usize,
    ranked_before: usize,
    watching_ranked_before: usize,
}

impl WatcherRole {
    /// An entry of which nothing is heard yet; whether it `begins` as a watcher is for it to say.
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

    /// Whether this entry is to watch.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.watching
    }

    /// Whether this entry is one of those that all others rely on: it watches, and too few that
    /// rank before it are heard to.
    #[must_use]
    pub const fn is_primary(&self) -> bool {
        self.watching && self.enough_since.is_none()
    }

    /// Longest pause between two calls while the store doesn't answer this entry.
    #[must_use]
    pub const fn max_pause(&self) -> Duration {
        if self.is_top_ranked {
            TOP_RANKED_MAX_PAUSE
        } else {
            self.others_max_pause
        }
    }

    /// Decides anew from what is known of the others; true when the decision changed.
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

/// Time after which an entry's turn to step in has come.
///
/// Its place among those known says little where nobody is heard.
fn step_in_delay(counts: &PeerCounts) -> Duration {
    let group = u32::try_from(counts.ranked_before / STEP_IN_GROUP).unwrap_or(u32::MAX);
    let group = if counts.alive == 0 {
        group.min(1)
    } else {
        group
    };
    STEP_IN_INTERVAL.saturating_mul(group)
}

/// Place in the order of entries, the same at all of them; the highest go first.
const fn rank_of(entry: Ipv4Addr) -> u64 {
    OwnedKey::of_watch().rank(entry)
}
