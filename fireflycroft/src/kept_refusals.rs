//! When an entry reads and writes the refused suspects in the platform's store.
//!
//! Entries tell each other which requests crash upstreams, so that this is lost only when all of them end at once. For
//! that case the store holds the refused suspects in one object. The entries on which the others rely to watch the
//! store write it when it has changed, and an entry that starts reads it unless another entry has informed it.
//!
//! A restored suspect is adopted like one that another entry tells: its next trial is due a whole interval later, hence
//! no sooner than it would have been, however clocks differ.

use crate::crash_report::{RefusedSuspect, Suspect};
use crate::time::{Time, whole_millis};
use std::time::Duration;

/// Maximum number of suspects in the store; those with the latest crashes.
pub const MAX_KEPT_REFUSALS: usize = 64;

/// Age up to which a suspect from the store is refused.
const RETENTION: Duration = Duration::from_hours(1);

/// Age of a process from which it reads the store; another entry informs it within milliseconds.
const READ_AFTER: Duration = Duration::from_millis(100);

/// Time from a change to its write: several suspects may be refused at once.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Pause after a call that failed or met another entry's write; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(64);

/// A refused suspect in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptRefusal {
    /// The suspect.
    pub suspect: Suspect,
    /// Incarnations that ended under it.
    pub crashes: u32,
    /// Time of the last of them, in milliseconds since the Unix epoch.
    pub last_crash: u64,
}

impl KeptRefusal {
    /// Returns the refusal to adopt at a time in milliseconds since the Unix epoch; `None` if it is too old.
    #[must_use]
    pub fn to_adopt(&self, unix_millis: u64) -> Option<RefusedSuspect> {
        let age = Duration::from_millis(unix_millis.saturating_sub(self.last_crash));
        (age < RETENTION).then_some(RefusedSuspect {
            suspect: self.suspect,
            crashes: self.crashes,
            age,
        })
    }
}

/// What an entry knows of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeeperContact {
    /// It doesn't watch the store, or hasn't called it yet.
    #[default]
    Unknown,
    /// The store answers it.
    Answers,
    /// The store doesn't.
    Silent,
}

/// State of an entry on which its calls depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperView {
    /// Its contact to the store.
    pub contact: KeeperContact,
    /// Number of times that the store was restored from a backup.
    pub era: u64,
    /// Whether the others rely on it to watch the store.
    pub is_relied_on: bool,
}

/// Call to the store that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperStep {
    /// Read the object.
    Read,
    /// Write the object.
    Write {
        /// Revision of the object that it replaces; `None` if there is none.
        revision: Option<u64>,
        /// Its new content.
        kept: Vec<KeptRefusal>,
    },
}

/// The object as last read or written.
#[derive(Clone, Debug)]
struct Stored {
    revision: Option<u64>,
    kept: Vec<KeptRefusal>,
}

/// Keeper of the refused suspects in the store; times count from the start of the process.
#[derive(Clone, Debug, Default)]
pub struct RefusalKeeper {
    /// Whether the object was read, or another entry has told what it knows.
    is_informed: bool,
    /// `None` while unknown.
    stored: Option<Stored>,
    changed_at: Option<Time>,
    contact: KeeperContact,
    era: u64,
    retry_at: Time,
    /// Calls that failed since the last one that succeeded.
    failures: u32,
    /// Writes that were rejected, or not confirmed, since the last one that succeeded.
    conflicts: u32,
}

impl RefusalKeeper {
    /// Returns the call that is due, at a time which is also given in milliseconds since the Unix epoch.
    pub fn next_step(
        &mut self,
        now: Time,
        unix_millis: u64,
        view: KeeperView,
        refused: &[RefusedSuspect],
    ) -> Option<KeeperStep> {
        self.record_view(now, view);
        if now < self.retry_at || view.contact == KeeperContact::Silent {
            return None;
        }
        if !self.is_informed {
            let is_due = now >= Time::default() + READ_AFTER;
            return is_due.then_some(KeeperStep::Read);
        }
        let kept = self.to_keep(unix_millis, refused);
        if !view.is_relied_on || !self.differs_from(&kept) {
            self.changed_at = None;
            self.conflicts = 0;
            return None;
        }
        let changed_at = *self.changed_at.get_or_insert(now);
        if now.since(changed_at) < SETTLE_TIME {
            return None;
        }
        let step = self.stored.as_ref().map(|stored| KeeperStep::Write {
            revision: stored.revision,
            kept,
        });
        Some(step.unwrap_or(KeeperStep::Read))
    }

    /// Returns whether the entry knows what the store or another entry does.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Records that another entry has told what it knows.
    pub const fn record_informed(&mut self) {
        self.is_informed = true;
    }

    /// Records the object as read; its revision is `None` if there is none.
    pub fn record_read(&mut self, now: Time, revision: Option<u64>, kept: Vec<KeptRefusal>) {
        self.is_informed = true;
        self.stored = Some(Stored { revision, kept });
        self.retry_at = now;
        self.failures = 0;
    }

    /// Records a write that succeeded; without the object's new revision it is read before it is believed.
    pub fn record_written(&mut self, now: Time, revision: Option<u64>, kept: Vec<KeptRefusal>) {
        if revision.is_none() {
            return self.record_conflict(now);
        }
        self.stored = Some(Stored { revision, kept });
        self.changed_at = None;
        self.retry_at = now;
        self.failures = 0;
        self.conflicts = 0;
    }

    /// Records a write that the store rejected since the object has changed; it is read before the next one.
    pub fn record_conflict(&mut self, now: Time) {
        self.stored = None;
        self.retry_at = now + pause_after(self.conflicts);
        self.conflicts += 1;
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self, now: Time) {
        self.retry_at = now + pause_after(self.failures);
        self.failures += 1;
    }

    fn record_view(&mut self, now: Time, view: KeeperView) {
        let is_back = view.contact == KeeperContact::Answers && self.contact != view.contact;
        self.contact = view.contact;
        if is_back {
            self.retry_at = now;
            self.failures = 0;
        }
        if self.era != view.era {
            self.era = view.era;
            // The backup may lack the object.
            self.stored = None;
        }
    }

    /// Returns the suspects to keep; one without a new crash keeps its time, whichever entry writes it.
    fn to_keep(&self, unix_millis: u64, refused: &[RefusedSuspect]) -> Vec<KeptRefusal> {
        let stored = self.stored.as_ref().map_or(&[][..], |s| &s.kept);
        let latest = refused.iter().take(MAX_KEPT_REFUSALS);
        let kept = latest.map(|r| {
            let same = |k: &&KeptRefusal| k.suspect == r.suspect && k.crashes >= r.crashes;
            let known = stored.iter().find(same).copied();
            known.unwrap_or_else(|| KeptRefusal {
                suspect: r.suspect,
                crashes: r.crashes,
                last_crash: unix_millis.saturating_sub(whole_millis(r.age)),
            })
        });
        kept.collect()
    }

    /// Returns whether the store may hold something else than `kept`, in whatever order.
    fn differs_from(&self, kept: &[KeptRefusal]) -> bool {
        let Some(stored) = &self.stored else {
            return !kept.is_empty();
        };
        stored.kept.len() != kept.len() || kept.iter().any(|k| !stored.kept.contains(k))
    }
}

/// Returns the pause after a call that failed, after so many others.
fn pause_after(failures: u32) -> Duration {
    let factor = 1 << failures.min(16);
    FIRST_PAUSE.saturating_mul(factor).min(MAX_PAUSE)
}
