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
pub const BACKUP_FILL: f64 = 0.65;

/// Share of one engine's memory that may be spoken for when it takes a copy.
const BACKUP_FILL_OF_ONE: f64 = 0.95;

/// Answers that are expected to be shorter are done before a copy pays.
pub const WORTH_SAVING_TOKENS: u64 = 64;

/// Time from an upstream's notice to the moment at which a run is stopped for the last part of
/// its copy, if the rest is copied by then.
///
/// All entries copy at once when notice comes, over one link; the last part of an early one would
/// queue behind whole copies of others while its caller waits. Upstreams that are taken away go
/// a second and a half after their notice at the earliest.
pub const STOP_AFTER_NOTICE: Duration = Duration::from_millis(1_050);

/// What to do with a run whose upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnNotice {
    /// Let it run; its copy takes over if it breaks off.
    LetRun,
    /// Copy its memory to another upstream and go on there.
    Move,
}

/// Decides about a run whose upstream leaves, by whether a copy of it lies on one that stays.
///
/// A run that seems nearly done is moved all the same: the expected length is
/// right in the median only, and a moved run that was nearly done costs one
/// copy, a lost one everything.
#[must_use]
pub const fn on_notice(has_copy: bool) -> OnNotice {
    if has_copy {
        OnNotice::LetRun
    } else {
        OnNotice::Move
    }
}

/// The upstream that is to keep a copy of a run as it grows on `at`, if any.
#[must_use]
pub fn pick_backup(
    pool: &Pool,
    now: Time,
    service: &Name,
    need: &Need,
    at: UpstreamIx,
) -> Option<UpstreamIx> {
    if pool.fill_of(now, service) > BACKUP_FILL {
        return None;
    }
    let keeper = pool.choose(now, service, need, &[at])?;
    (pool.fill(now, keeper) <= BACKUP_FILL_OF_ONE).then_some(keeper)
}
