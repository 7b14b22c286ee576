//! Standby copies of runs, while departures may go unannounced.
//!
//! Load: engines leave every few seconds while the store is silent. Queries find most departures
//! ([`crate::DepartureWatch`]), but what is found late leaves no time to copy all runs of an engine
//! over its one link. A copy made before costs memory on another engine, of which the runs to come
//! need most. So a run gets a copy by the risk that it is lost with its engine: the rate at which
//! engines of this fleet leave, the time that the run still takes, and the share of the runs beside
//! it that can't be copied after a departure was found. The greater the risk, the fuller the memory
//! may be. A copy once made is good to the end of a run: whoever resumes from it reads the tokens
//! made since, some hundred in the time of an event.

use crate::ids::Name;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which departures are counted.
const RATE_WINDOW: Duration = Duration::from_secs(12);

/// Time from a departure being found to the engine's end in which runs can be copied.
const TIME_AFTER_FINDING: Duration = Duration::from_millis(700);

/// Share of the memory that may be reserved when a run without risk gets a backup.
pub const MAX_FILL_WITHOUT_RISK: f64 = 0.4;

/// Share of the memory that may be reserved when a run gets a copy at the highest risk; what is left
/// takes runs that begin before copies are given up.
const MAX_FILL_AT_RISK: f64 = 0.75;

/// Risk from which on a copy is worth as much memory as is allowed: one run in ten is lost.
const HIGH_RISK: f64 = 0.1;

/// Share of the memory above which copies are given up, beyond what allows new ones.
const GIVE_UP_MARGIN: f64 = 0.1;

/// Share of the runs that are lost although there is time to copy all: the engine's link is cut, or
/// targets have no room.
const MIN_SHARE_LOST: f64 = 0.1;

/// Share of an engine's memory above which it keeps no standby copies: beyond it runs that grow are
/// preempted.
pub const MAX_HOLDER_FILL: f64 = 0.9;

/// Time in which an engine can't start again, run a request and copy it.
///
/// Each incarnation counts its handles anew, so a handle of one that ended unheard may name the memory
/// of another request. A stream that breaks within this time of its last event breaks before that.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Departures of a fleet, for the rate at which its engines leave.
#[derive(Clone, Debug, Default)]
pub struct DepartureRate {
    departed_at: VecDeque<(Time, Name)>,
}

impl DepartureRate {
    /// Records that an engine of a service leaves.
    pub fn record(&mut self, now: Time, service: &Name) {
        self.expire(now);
        self.departed_at.push_back((now, service.clone()));
    }

    /// Returns the probability per second that an engine leaves, of `serving` that do not.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn per_second(&self, now: Time, service: &str, serving: usize) -> f64 {
        let recent = |(at, of): &&(Time, Name)| **of == *service && now.since(*at) < RATE_WINDOW;
        let departed = self.departed_at.iter().filter(recent).count();
        let engine_seconds = (serving + departed).max(1) as f64 * RATE_WINDOW.as_secs_f64();
        departed as f64 / engine_seconds
    }

    fn expire(&mut self, now: Time) {
        let is_old = |(at, _): &(Time, Name)| now.since(*at) >= RATE_WINDOW;
        while self.departed_at.front().is_some_and(is_old) {
            self.departed_at.pop_front();
        }
    }
}

/// What a run is exposed to while departures may go unannounced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Probability per second that its engine leaves.
    pub departures_per_second: f64,
    /// Time that the run is expected to take yet.
    pub remaining: Duration,
    /// Time to copy all runs of its engine over the engine's link.
    pub engine_copy_time: Duration,
    /// Whether departures are found by queries.
    pub is_watched: bool,
    /// Whether its engine closed a connection, as one that leaves does.
    pub is_hinted: bool,
}

impl Exposure {
    /// Returns the probability that the run is lost without a copy.
    #[must_use]
    pub fn risk(&self) -> f64 {
        if self.is_hinted {
            return 1.0;
        }
        let leaves = 1.0 - (-self.departures_per_second * self.remaining.as_secs_f64()).exp();
        leaves * self.share_lost()
    }

    /// Returns the share of an engine's runs that can't be copied once its departure is found.
    fn share_lost(&self) -> f64 {
        if !self.is_watched {
            return 1.0;
        }
        let needed = self.engine_copy_time.as_secs_f64();
        (1.0 - TIME_AFTER_FINDING.as_secs_f64() / needed.max(f64::MIN_POSITIVE)).max(MIN_SHARE_LOST)
    }
}

/// Returns the share of a service's memory that may be reserved when a run at `risk` gets a copy.
#[must_use]
pub fn max_fill_for_copy(risk: f64) -> f64 {
    let weight = (risk / HIGH_RISK).min(1.0);
    MAX_FILL_WITHOUT_RISK + weight * (MAX_FILL_AT_RISK - MAX_FILL_WITHOUT_RISK)
}

/// Returns whether a copy may be used only if its source is known to be in the same incarnation.
#[must_use]
pub fn needs_same_incarnation(since_last_event: Duration) -> bool {
    since_last_event >= RESTART_TIME
}

/// Why a standby copy is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The store tells departures again.
    StoreBack,
    /// Its holder leaves; the run may get another copy.
    HolderLeaves,
    /// Memory is short.
    MemoryShort,
    /// Its source may have started again, and its handle may name the memory of another request.
    SourceUnknown,
}

impl GiveUpReason {
    /// Returns the reason as in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StoreBack => "store_back",
            Self::HolderLeaves => "holder_leaves",
            Self::MemoryShort => "memory_short",
            Self::SourceUnknown => "source_unknown",
        }
    }
}

/// A standby copy, as far as the decision to keep it depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldCopy {
    /// Risk of its run.
    pub risk: f64,
    /// Reserved share of the memory of its holder.
    pub holder_fill: f64,
    /// Whether its holder stays.
    pub holder_serves: bool,
    /// Whether the engine of its run is known to leave, or closed a connection as one that does.
    pub source_leaves: bool,
}

/// Returns why a copy is to be given up at once; `None` if it is kept.
///
/// `service_fill` is the reserved share of the service's memory.
#[must_use]
pub fn give_up_reason(
    is_store_silent: bool,
    service_fill: f64,
    copy: &HeldCopy,
) -> Option<GiveUpReason> {
    if !copy.holder_serves {
        return Some(GiveUpReason::HolderLeaves);
    }
    // The run needs that memory within two seconds.
    if copy.source_leaves {
        return None;
    }
    if !is_store_silent {
        return Some(GiveUpReason::StoreBack);
    }
    let limit = max_fill_for_copy(copy.risk) + GIVE_UP_MARGIN;
    let is_short = service_fill > limit || copy.holder_fill > MAX_HOLDER_FILL;
    is_short.then_some(GiveUpReason::MemoryShort)
}
