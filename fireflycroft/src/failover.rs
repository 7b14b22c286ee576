//! Memory backups of runs and migration off departing upstreams.
//!
//! A generation that may run only once is lost with its upstream, unless another upstream holds its
//! memory. A backup kept while the run grows also survives a crash, but needs memory twice; a copy
//! made after a leave notice needs it only during the migration. So runs are backed up while memory
//! is plentiful and copied after the notice otherwise.

use crate::ids::Name;
use crate::placed::Need;
use crate::pool::Pool;
use crate::standby_copy::max_fill_for_copy;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::time::Duration;

/// Share of an engine's memory that may be reserved when it accepts a backup.
const MAX_BACKUP_HOLDER_FILL: f64 = 0.95;

/// Expected tokens below which a run finishes before a backup pays off.
pub const MIN_BACKUP_TOKENS: u64 = 64;

/// Time from a leave notice to the stop of the upstream's runs for the final part of their copies,
/// while nothing better is known.
///
/// All entries copy at once after a notice, over one link; the final part of an early run would
/// queue behind whole copies of others while its caller waits. Upstreams that are removed go no
/// earlier than 1.4 s after their notice is received.
pub const STOP_AFTER_LEAVE_NOTICE: Duration = Duration::from_millis(1_050);

/// Time reserved before the departure for the final parts of all runs of an upstream.
const FINAL_COPY_TIME: Duration = Duration::from_millis(250);

/// Maximum age of an engine's report on arrival.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Factor of the time of whole copies over that of their memory on an idle link: some go to other
/// data centres and some are refused.
const COPY_TIME_FACTOR: f64 = 1.25;

/// State of a departing upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Time at which its leave notice was received.
    pub notified_at: Time,
    /// Time of the departure, if the upstream stated it.
    pub gone_at: Option<Time>,
    /// Transfer time of the memory of all its runs over its link.
    pub copy_time: Duration,
}

impl Departure {
    /// Creates the state at the leave notice.
    #[must_use]
    pub const fn notified(notified_at: Time) -> Self {
        Self {
            notified_at,
            gone_at: None,
            copy_time: Duration::ZERO,
        }
    }

    /// Returns when its runs are stopped for the final part of their copies: after the whole copies
    /// are probably complete, and early enough for all final parts.
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

/// What to do with a run on a departing upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAction {
    /// Let it run; its backup takes over if it is interrupted.
    Continue,
    /// Copy its memory to another upstream and resume it there.
    Migrate,
}

/// Decides about a run on a departing upstream, by whether it has a backup on one that stays.
///
/// A run that seems nearly finished is migrated all the same: the expected length is accurate only
/// in the median, and the migration of a nearly finished run costs one copy, a lost run everything.
#[must_use]
pub const fn departure_action(has_backup: bool) -> DepartureAction {
    if has_backup {
        DepartureAction::Continue
    } else {
        DepartureAction::Migrate
    }
}

/// Selects the upstream that holds the backup of a run on `at`, if there is one and memory isn't
/// too short for the `risk` that the run is lost ([`crate::Exposure::risk`]).
#[must_use]
pub fn pick_backup_holder(
    pool: &Pool,
    now: Time,
    service: &Name,
    need: &Need,
    at: UpstreamIx,
    risk: f64,
) -> Option<UpstreamIx> {
    if pool.service_memory_share(now, service) > max_fill_for_copy(risk) {
        return None;
    }
    let holder = pool.choose(now, service, need, &[at])?;
    (pool.memory_share(now, holder) <= MAX_BACKUP_HOLDER_FILL).then_some(holder)
}
