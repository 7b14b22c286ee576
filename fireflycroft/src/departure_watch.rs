//! Departures while the store is silent.
//!
//! Load: a sixth of the engines leaves every few seconds with some two seconds of notice. The notice
//! is a change of the list in the store. While no entry is answered by the store, it reaches nobody,
//! and every run on such an engine is cut. The engine itself tells: its report states the time to
//! its end, some hundred milliseconds late; copying the runs takes what is left then. It also closes
//! each connection after an answer, from its notice on.
//!
//! The two owners of an engine query its report while the store is silent, and after it until the
//! list is settled: records that left in the silence are missing then, and so are those of living
//! engines. The second owner queries less often, so that neither a dead owner nor a cut link of one
//! hides a departure; nobody has to find out that the other is gone. A closed connection is a hint
//! and no proof, as engines close some for other reasons: whoever sees it queries at once, and
//! [`CLOSES_OF_LEAVING`] in a row are taken as a notice. If one was mistaken, the engine's runs were
//! moved without need, and it gets no work until the next incarnation.

use crate::failover::MAX_REPORT_AGE;
use crate::ids::Incarnation;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::collections::HashMap;
use std::time::Duration;

/// Age of the newest answer from which on the store counts as silent.
///
/// Watches wait for 0.8 s at most and pause for 0.3 s; of three watchers one is answered within the
/// wait of another. A mistake costs a few queries.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Interval between two queries by the first owner of an engine.
///
/// The shortest notice is 1.5 s, and copying the runs of a full engine takes up to 1.2 s.
const FIRST_OWNER_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two queries by the second owner.
const SECOND_OWNER_INTERVAL: Duration = Duration::from_millis(800);

/// Answers in a row after each of which an engine closed the connection, taken as a notice.
///
/// If one answer in a hundred comes with a close for another reason, one in a million is mistaken.
pub const CLOSES_OF_LEAVING: u32 = 3;

/// Interval between two queries after a hint.
const HINT_INTERVAL: Duration = Duration::from_millis(100);

/// What an entry knows of the store's contact with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// Whether an entry, this or another one, announces that the store answers it.
    pub is_watched: bool,
    /// Time of the newest answer to any entry; `None` before the first.
    pub answered_at: Option<Time>,
    /// Whether the list shows departures, rather than being unsettled after a silence.
    pub confirms_removals: bool,
}

impl StoreContact {
    /// Returns whether departures may go unannounced.
    ///
    /// An entry that hasn't heard of any answer has just started and has no runs.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        let is_late = |at: Time| now.since(at) >= MAX_ANSWER_AGE;
        self.answered_at
            .is_some_and(|at| !self.is_watched || !self.confirms_removals || is_late(at))
    }
}

/// Rank of this entry among the owners of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRank {
    /// Queries often.
    First,
    /// Queries now and then, in case the first owner is dead or cut off from the engine.
    Second,
}

impl OwnerRank {
    const fn interval(self) -> Duration {
        match self {
            Self::First => FIRST_OWNER_INTERVAL,
            Self::Second => SECOND_OWNER_INTERVAL,
        }
    }
}

/// What a report means for the incarnation that was queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMeaning {
    /// It doesn't leave, as far as the report shows.
    Stays,
    /// It leaves at this time at the earliest, if the report states one.
    Leaves(Option<Time>),
    /// Another incarnation answered, so nothing is known of this one.
    OtherIncarnation,
}

/// Returns what a report received at `now` means for the incarnation `expected`.
///
/// `leaves_in` is the stated time to the end, `is_leaving` the stated state.
#[must_use]
pub fn judge_report(
    now: Time,
    expected: Incarnation,
    reported: Incarnation,
    is_leaving: bool,
    leaves_in: Option<Duration>,
) -> ReportMeaning {
    if expected.is_known() && reported != expected {
        return ReportMeaning::OtherIncarnation;
    }
    if !is_leaving && leaves_in.is_none() {
        return ReportMeaning::Stays;
    }
    ReportMeaning::Leaves(leaves_in.map(|left| now + left.saturating_sub(MAX_REPORT_AGE)))
}

/// State of the queries to one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    queried_at: Option<Time>,
    hinted_at: Option<Time>,
    /// Answers in a row with a close.
    closes: u32,
}

/// Queries of one entry to engines whether they leave.
#[derive(Clone, Debug, Default)]
pub struct DepartureWatch {
    is_active: bool,
    engines: HashMap<UpstreamIx, Watched>,
}

impl DepartureWatch {
    /// Returns whether the store counts as silent.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.is_active
    }

    /// Updates from the store's contact; returns true if the watch began or ended.
    pub fn update(&mut self, now: Time, contact: &StoreContact) -> bool {
        let was_active = std::mem::replace(&mut self.is_active, contact.is_silent(now));
        if !self.is_active {
            self.engines.clear();
        }
        self.is_active != was_active
    }

    /// Records that an engine closes a connection; returns whether it is to be queried for that.
    pub fn record_hint(&mut self, now: Time, ix: UpstreamIx) -> bool {
        if !self.is_active {
            return false;
        }
        let watched = self.engines.entry(ix).or_default();
        if watched.is_hinted(now) {
            return false;
        }
        watched.hinted_at = Some(now);
        true
    }

    /// Records whether an engine closed the connection after a report; returns the number of such
    /// answers in a row.
    pub fn record_answer(&mut self, now: Time, ix: UpstreamIx, closes: bool) -> u32 {
        if !self.is_active {
            return 0;
        }
        let watched = self.engines.entry(ix).or_default();
        watched.closes = if closes { watched.closes + 1 } else { 0 };
        if closes {
            watched.hinted_at.get_or_insert(now);
        }
        watched.closes
    }

    /// Returns whether an engine closed a connection lately, as one that leaves does.
    #[must_use]
    pub fn is_hinted(&self, now: Time, ix: UpstreamIx) -> bool {
        self.engines.get(&ix).is_some_and(|w| w.is_hinted(now))
    }

    /// Returns whether an engine is to be queried now, and records the query.
    pub fn is_due(&mut self, now: Time, ix: UpstreamIx, rank: OwnerRank) -> bool {
        if !self.is_active {
            return false;
        }
        let watched = self.engines.entry(ix).or_default();
        let interval = if watched.is_hinted(now) {
            HINT_INTERVAL
        } else {
            rank.interval()
        };
        let is_due = watched
            .queried_at
            .is_none_or(|at| now.since(at) >= interval);
        if is_due {
            watched.queried_at = Some(now);
        }
        is_due
    }
}

impl Watched {
    /// Returns whether a hint may not be reflected by a report yet.
    fn is_hinted(&self, now: Time) -> bool {
        self.hinted_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE + HINT_INTERVAL)
    }
}
