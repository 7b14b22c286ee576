//! When an entry makes itself known in the platform's store, and looks there for other entries.
//!
//! Entries find each other through the seeds that their settings name. Where no seed answers, those that start find
//! nobody, and each would take itself for the whole fleet. So the few entries on which the others rely to watch the store
//! keep an object there each, and so does an entry that hears from nobody. All of these list the objects, each after it
//! has written its own, so that of two entries one sees the other.

use crate::time::Time;
use std::time::Duration;

/// Age of a process from which on silent seeds count as gone: they answer within milliseconds, once they have started.
const SEED_SILENCE: Duration = Duration::from_millis(600);

/// Time for which an entry is relied on until it makes itself known.
const MIN_DUTY: Duration = Duration::from_secs(2);

/// Time after which an object that isn't needed any more is removed.
const WITHDRAW_AFTER: Duration = Duration::from_secs(5);

/// First pause between two lists of an entry that hears from nobody; it doubles each time.
const FIRST_LIST_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause between two lists of an entry that hears from nobody.
const MAX_LIST_PAUSE: Duration = Duration::from_secs(8);

/// Pause between two lists of an entry that hears from others.
const SETTLED_LIST_PAUSE: Duration = Duration::from_secs(30);

/// Pause after a call that failed; it doubles with each further one in a row.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause after a call that failed.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(8);

/// Doublings after which any pause is the longest.
const MAX_DOUBLINGS: u32 = 10;

/// Age up to which an entry that can't tell whether it is alone takes the fleet for unknown.
const UNKNOWN_UP_TO: Duration = Duration::from_secs(30);

/// What an entry does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryDuty {
    /// It serves its own callers.
    Ordinary,
    /// They rely on it to watch the store.
    ReliedOn,
    /// It stops.
    Stopping,
}

/// What an entry knows of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// Whether all entries know it by their settings.
    pub is_seed: bool,
    /// Whether it has heard from any other entry.
    pub hears_others: bool,
    /// What it does for them.
    pub duty: EntryDuty,
    /// Whether it knows that the store doesn't answer.
    pub is_store_silent: bool,
}

/// Call to the store that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryStep {
    /// Create the entry's own object.
    Register,
    /// List the objects of all entries as they are now.
    List,
    /// List them as any replica of the store has them.
    ListReplica,
    /// Remove the entry's own object.
    Withdraw,
}

/// Discovery of entries through the store; times count from the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    relied_on_since: Option<Time>,
    is_registered: bool,
    unneeded_since: Option<Time>,
    retry_at: Time,
    /// Calls that failed in a row.
    failures: u32,
    lists: u32,
    listed_at: Option<Time>,
    /// Whether a list has shown the entry's own object.
    is_visible: bool,
}

impl Discovery {
    /// Returns the call that is due; none to a silent store, which the watchers probe.
    pub fn next_step(&mut self, now: Time, around: Surroundings) -> Option<DiscoveryStep> {
        if now < self.retry_at || around.is_store_silent {
            return None;
        }
        let is_lone = is_lone(now, around);
        let is_needed = is_lone || self.has_duty(now, around.duty);
        if around.duty == EntryDuty::Stopping || !is_needed {
            return self.withdraw_if_unneeded(now, around.duty);
        }
        self.unneeded_since = None;
        if !self.is_registered {
            return Some(DiscoveryStep::Register);
        }
        let pause = self.list_pause(is_lone);
        match self.listed_at {
            None => Some(DiscoveryStep::List),
            Some(at) if now.since(at) >= pause => Some(DiscoveryStep::ListReplica),
            Some(_) => None,
        }
    }

    /// Records that the entry's own object is in the store.
    pub const fn record_registered(&mut self) {
        self.failures = 0;
        self.is_registered = true;
    }

    /// Records a list, and whether it showed the entry's own object; a store that was restored from a backup may lack it.
    pub fn record_listed(&mut self, now: Time, is_visible: bool) {
        self.failures = 0;
        self.is_visible |= is_visible;
        self.is_registered = is_visible;
        self.lists += 1;
        self.listed_at = Some(now);
    }

    /// Records that the entry's own object was removed.
    pub const fn record_withdrawn(&mut self) {
        self.failures = 0;
        self.is_registered = false;
        self.unneeded_since = None;
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self, now: Time) {
        let pause = doubled(FIRST_FAILURE_PAUSE, self.failures, MAX_FAILURE_PAUSE);
        self.retry_at = now + pause;
        self.failures += 1;
    }

    /// Returns whether the entry can't tell yet whether it is alone.
    #[must_use]
    pub fn is_pending(&self, now: Time, around: Surroundings) -> bool {
        let is_alone = !around.is_seed && !around.hears_others;
        is_alone && !self.is_visible && now < Time::default() + UNKNOWN_UP_TO
    }

    fn has_duty(&mut self, now: Time, duty: EntryDuty) -> bool {
        if duty != EntryDuty::ReliedOn {
            self.relied_on_since = None;
            return false;
        }
        let since = *self.relied_on_since.get_or_insert(now);
        now.since(since) >= MIN_DUTY
    }

    fn list_pause(&self, is_lone: bool) -> Duration {
        if !is_lone {
            return SETTLED_LIST_PAUSE;
        }
        doubled(
            FIRST_LIST_PAUSE,
            self.lists.saturating_sub(1),
            MAX_LIST_PAUSE,
        )
    }

    fn withdraw_if_unneeded(&mut self, now: Time, duty: EntryDuty) -> Option<DiscoveryStep> {
        if !self.is_registered {
            return None;
        }
        let since = *self.unneeded_since.get_or_insert(now);
        let is_due = duty == EntryDuty::Stopping || now.since(since) >= WITHDRAW_AFTER;
        is_due.then_some(DiscoveryStep::Withdraw)
    }
}

fn is_lone(now: Time, around: Surroundings) -> bool {
    !around.is_seed && !around.hears_others && now >= Time::default() + SEED_SILENCE
}

fn doubled(pause: Duration, times: u32, longest: Duration) -> Duration {
    let factor = 1 << times.min(MAX_DOUBLINGS);
    pause.saturating_mul(factor).min(longest)
}
