//! Which entries watch the platform's store for all the others.
//!
//! Each waiting watch is a call that is paid for, and each change wakes all of
//! them, so a few entries watch and tell the others. Every entry decides for
//! itself, from what it hears: it watches while fewer than [`WATCHERS`] entries
//! that rank before it watch in good health. So when watchers die, are cut off
//! from the store or from this entry, the next ones step in without agreement;
//! one too many for a moment costs a call or two.

use crate::ids::{Digest, Name};
use crate::time::Time;
use std::time::Duration;

/// Entries that watch at a time: two may be lost at once, and one more be on its way out.
pub const WATCHERS: usize = 3;

/// Time for which enough others must have watched before an entry stops to.
///
/// A watcher that lost the store in silence finds out after about three seconds.
pub const STEP_DOWN_AFTER: Duration = Duration::from_secs(4);

/// Longest pause between calls to a store that doesn't answer, of the entries that rank first.
///
/// A configuration is to be in force two seconds after the store took it; these entries hear of it
/// and tell the others.
const FIRST_PAUSE_LIMIT: Duration = Duration::from_millis(700);

/// The same of all others, in a small fleet.
///
/// When the store is away for all, every entry tries: at 350 entries, two lists each, 1,000 calls a
/// second with the pause of the first, half of what the store takes from all.
const OTHERS_PAUSE_LIMIT: Duration = Duration::from_millis(2_100);

/// The same for each entry that is heard, in a larger one: together they call some twenty times a
/// second, whatever the size, so that one finds out soon when the store is back for it alone.
const PAUSE_FOR_EACH: Duration = Duration::from_millis(100);

/// What an entry knows of another one's watching.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchView {
    /// Name of the other entry.
    pub name: Name,
    /// Whether it watches and the store answers it.
    pub watches: bool,
}

/// One entry's decision whether to watch, over time.
#[derive(Clone, Debug)]
pub struct WatchDuty {
    rank: Digest,
    watching: bool,
    enough_since: Option<Time>,
    is_among_first: bool,
    others_pause: Duration,
}

impl WatchDuty {
    /// An entry that watches until it hears of enough others.
    #[must_use]
    pub fn new(name: &Name) -> Self {
        Self {
            rank: rank_of(name),
            watching: true,
            enough_since: None,
            is_among_first: true,
            others_pause: OTHERS_PAUSE_LIMIT,
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
    pub const fn is_relied_on(&self) -> bool {
        self.watching && self.enough_since.is_none()
    }

    /// Whether fewer than [`WATCHERS`] of the entries that are heard rank before this one.
    #[must_use]
    pub const fn is_among_first(&self) -> bool {
        self.is_among_first
    }

    /// Longest pause between two calls while the store doesn't answer this entry.
    #[must_use]
    pub const fn longest_pause(&self) -> Duration {
        if self.is_among_first {
            FIRST_PAUSE_LIMIT
        } else {
            self.others_pause
        }
    }

    /// Decides anew from what is heard of the others; true when the decision changed.
    pub fn decide<'a>(
        &mut self,
        now: Time,
        others: impl IntoIterator<Item = &'a WatchView>,
    ) -> bool {
        let others: Vec<_> = others.into_iter().collect();
        let heard = u32::try_from(others.len()).unwrap_or(u32::MAX);
        self.others_pause = OTHERS_PAUSE_LIMIT.max(PAUSE_FOR_EACH.saturating_mul(heard));
        let others = others.into_iter();
        let before: Vec<_> = others.filter(|o| rank_of(&o.name) < self.rank).collect();
        self.is_among_first = before.len() < WATCHERS;
        let enough = before.iter().filter(|o| o.watches).count() >= WATCHERS;
        if !enough {
            self.enough_since = None;
            return !std::mem::replace(&mut self.watching, true);
        }
        let since = *self.enough_since.get_or_insert(now);
        let step_down = self.watching && now.since(since) >= STEP_DOWN_AFTER;
        if step_down {
            self.watching = false;
        }
        step_down
    }
}

/// Place in the order of entries, the same at all of them.
fn rank_of(name: &Name) -> Digest {
    Digest::of(&[b"watch", name.as_bytes()])
}
