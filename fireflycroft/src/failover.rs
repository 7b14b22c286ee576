//! Which runs get a copy of their memory elsewhere, and when.
//!
//! A generation that may run only once is lost when its upstream goes, unless
//! another upstream holds its memory. A copy kept as the run grows also
//! survives a crash, but takes memory twice; a copy made on notice takes it
//! only for the moment of moving. So copies are kept while memory is plentiful
//! and made on notice where it isn't.

use crate::ids::Name;
use crate::placed::Need;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::time::Duration;

/// Share of all memory that may be spoken for when a run begins with a copy.
pub const MAX_SERVICE_FILL_FOR_BACKUP: f64 = 0.4;

/// Share of one engine's memory that may be spoken for when it takes a copy.
const MAX_HOLDER_FILL: f64 = 0.95;

/// Answers that are expected to be shorter are done before a copy pays.
pub const MIN_BACKUP_TOKENS: u64 = 64;

/// Time from an upstream's notice to the moment at which its runs are stopped for the last part of
/// their copies, while nothing better is known.
///
/// All entries copy at once when notice comes, over one link; the last part of an early one would
/// queue behind whole copies of others while its caller waits. Upstreams that are taken away go
/// 1.4 s after their notice is heard at the earliest.
pub const STOP_AFTER_LEAVE_NOTICE: Duration = Duration::from_millis(1_050);

/// Time that the last parts of all runs of an upstream are given before it is gone.
const FINAL_COPY_TIME: Duration = Duration::from_millis(250);

/// Age that a report of an engine may have at most when it comes.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Whole copies take longer than their memory over an idle link, since some go to other data
/// centres and some are turned away.
const COPY_TIME_FACTOR: f64 = 1.25;

/// What is known of an upstream that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When its notice was heard.
    pub notified_at: Time,
    /// When it is gone, if it has said so.
    pub gone_at: Option<Time>,
    /// Time that the memory of all its runs takes over its link.
    pub copy_time: Duration,
}

impl Departure {
    /// What is known when notice is heard.
    #[must_use]
    pub const fn notified(notified_at: Time) -> Self {
        Self {
            notified_at,
            gone_at: None,
            copy_time: Duration::ZERO,
        }
    }

    /// When its runs are stopped for the last part of their copies: once the whole copies are
    /// likely to be done, and in time for all last parts.
    #[must_use]
    pub fn stop_at(&self) -> Time {
        let earliest = self.notified_at + STOP_AFTER_LEAVE_NOTICE;
        let Some(gone_at) = self.gone_at else {
            return earliest;
        };
        let copied_at = self.notified_at + self.copy_time.mul_f64(COPY_TIME_FACTOR);
        let latest = self.notified_at
            + gone_at
                .since(self.notified_at)
                .saturating_sub(FINAL_COPY_TIME);
        copied_at.min(latest).max(earliest)
    }
}

/// What to do with a run whose upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAction {
    /// Let it run; its copy takes over if it breaks off.
    Continue,
    /// Copy its memory to another upstream and go on there.
    Migrate,
}

/// Decides about a run whose upstream leaves, by whether a copy of it lies on one that stays.
///
/// A run that seems nearly done is moved all the same: the expected length is
/// right in the median only, and a moved run that was nearly done costs one
/// copy, a lost one everything.
#[must_use]
pub const fn departure_action(has_backup: bool) -> DepartureAction {
    if has_backup {
        DepartureAction::Continue
    } else {
        DepartureAction::Migrate
    }
}

/// The upstream that is to keep a copy of a run as it grows on `at`, if any.
#[must_use]
pub fn pick_backup_holder(
    pool: &Pool,
    now: Time,
    service: &Name,
    need: &Need,
    at: UpstreamIx,
) -> Option<UpstreamIx> {
    if pool.fill_of(now, service) > MAX_SERVICE_FILL_FOR_BACKUP {
        return None;
    }
    let holder = pool.choose(now, service, need, &[at])?;
    (pool.fill(now, holder) <= MAX_HOLDER_FILL).then_some(holder)
}
